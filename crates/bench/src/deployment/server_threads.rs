//! Servers and stand-ins on threads of their own, with the addresses that they were given.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use cv_entry::EntryServer;
use cv_http::DrainGate;
use cv_http::bind_listener;
use cv_runtime::ServingThread;
use cv_settings::EntrySection;
use cv_settings::ServerSettings;
use cv_settings::SidecarSection;
use cv_sidecar::SidecarServer;
use monoio::net::TcpListener;

/// An entry on its thread.
#[derive(Debug)]
pub struct EntryThread {
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Where it takes requests.
    pub data: SocketAddr,
    /// Its thread; dropping it shuts the entry down.
    pub thread: ServingThread,
}

/// A sidecar on its thread.
#[derive(Debug)]
pub struct SidecarThread {
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Where it takes requests.
    pub data: SocketAddr,
    /// Its thread; dropping it shuts the sidecar down.
    pub thread: ServingThread,
}

/// A stand-in on its thread.
#[derive(Debug)]
pub struct StandinThread {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its thread; dropping it ends the stand-in.
    pub thread: ServingThread,
}

/// Starts an entry.
///
/// # Panics
/// Panics if it cannot start.
#[must_use]
pub fn start_entry(settings: ServerSettings, section: EntrySection) -> EntryThread {
    let (sender, receiver) = channel();
    let name = settings.name.clone();
    let thread = ServingThread::spawn(&name, move |shutdown| async move {
        let server = EntryServer::bind(settings, section).expect("the entry binds its addresses");
        let addresses = (server.data_address(), server.control_address());
        let _ = sender.send((addresses.0.expect("bound"), addresses.1.expect("bound")));
        server.run(shutdown).await;
    });
    let (data, control) = started(&receiver);
    EntryThread {
        control,
        data,
        thread,
    }
}

/// Starts a sidecar.
///
/// # Panics
/// Panics if it cannot start.
#[must_use]
pub fn start_sidecar(settings: ServerSettings, section: SidecarSection) -> SidecarThread {
    let (sender, receiver) = channel();
    let name = settings.name.clone();
    let thread = ServingThread::spawn(&name, move |shutdown| async move {
        let server =
            SidecarServer::bind(settings, section).expect("the sidecar binds its addresses");
        let addresses = (server.data_address(), server.control_address());
        let _ = sender.send((addresses.0.expect("bound"), addresses.1.expect("bound")));
        server.run(shutdown).await;
    });
    let (data, control) = started(&receiver);
    SidecarThread {
        control,
        data,
        thread,
    }
}

/// Starts a stand-in on a free port, or on the given one.
///
/// # Panics
/// Panics if the port cannot be bound.
#[must_use]
pub fn start_standin<S, F>(name: &str, address: Option<SocketAddr>, serve: S) -> StandinThread
where
    S: FnOnce(TcpListener, DrainGate) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let (sender, receiver) = channel();
    let wanted = address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let thread = ServingThread::spawn(name, move |shutdown| async move {
        let listener = bind_listener(wanted).expect("the stand-in binds its address");
        let _ = sender.send(listener.local_addr().expect("bound"));
        monoio::select! {
            () = serve(listener, DrainGate::default()) => {}
            () = shutdown.given() => {}
        }
    });
    StandinThread {
        address: started(&receiver),
        thread,
    }
}

/// Waits for what a thread tells once it has started.
fn started<T>(receiver: &Receiver<T>) -> T {
    receiver.recv().expect("the server starts")
}

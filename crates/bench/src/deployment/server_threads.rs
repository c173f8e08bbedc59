//! Servers and stand-ins on threads of their own, with the addresses that they were given.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use cv_entry::EntryServer;
use cv_http::DrainGate;
use cv_http::bind_listener;
use cv_runtime::ServingThread;
use cv_runtime::ShutdownSignal;
use cv_settings::EntrySection;
use cv_settings::ServerSettings;
use cv_settings::SidecarSection;
use cv_sidecar::SidecarServer;
use monoio::net::TcpListener;

/// Time between two looks for a request to freeze.
const FREEZE_LOOK: Duration = Duration::from_millis(5);

/// Faults that can be done to a server's thread.
#[derive(Clone, Debug)]
pub struct ThreadFaults {
    freeze: Sender<Duration>,
    kill: ShutdownSignal,
}

impl ThreadFaults {
    /// Ends the server at once: its sockets close, nothing is drained or given back.
    pub fn kill(&self) {
        self.kill.trigger();
    }

    /// Holds the whole thread up, as if its process were stopped and went on later.
    pub fn freeze(&self, time: Duration) {
        // A server that was killed cannot be frozen.
        let _ = self.freeze.send(time);
    }
}

/// An entry on its thread.
#[derive(Debug)]
pub struct EntryThread {
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Where it takes requests.
    pub data: SocketAddr,
    /// Faults for its thread.
    pub faults: ThreadFaults,
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
    /// Faults for its thread.
    pub faults: ThreadFaults,
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
    let (faults, kill, frozen) = thread_faults();
    let thread = ServingThread::spawn(&name, move |shutdown| async move {
        let server = EntryServer::bind(settings, section).expect("the entry binds its addresses");
        let addresses = (server.data_address(), server.control_address());
        let _ = sender.send((addresses.0.expect("bound"), addresses.1.expect("bound")));
        run_with_faults(server.run(shutdown), kill, frozen).await;
    });
    let (data, control) = started(&receiver);
    EntryThread { control, data, faults, thread }
}

/// Starts a sidecar.
///
/// # Panics
/// Panics if it cannot start.
#[must_use]
pub fn start_sidecar(settings: ServerSettings, section: SidecarSection) -> SidecarThread {
    let (sender, receiver) = channel();
    let name = settings.name.clone();
    let (faults, kill, frozen) = thread_faults();
    let thread = ServingThread::spawn(&name, move |shutdown| async move {
        let server =
            SidecarServer::bind(settings, section).expect("the sidecar binds its addresses");
        let addresses = (server.data_address(), server.control_address());
        let _ = sender.send((addresses.0.expect("bound"), addresses.1.expect("bound")));
        run_with_faults(server.run(shutdown), kill, frozen).await;
    });
    let (data, control) = started(&receiver);
    SidecarThread { control, data, faults, thread }
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
            () = shutdown.triggered() => {}
        }
    });
    StandinThread { address: started(&receiver), thread }
}

/// Creates the faults of a thread, and what the thread sees of them.
fn thread_faults() -> (ThreadFaults, ShutdownSignal, Receiver<Duration>) {
    let (freeze, frozen) = channel();
    let kill = ShutdownSignal::new();
    (ThreadFaults { freeze, kill: kill.clone() }, kill, frozen)
}

/// Runs a server until it ends or is killed, and freezes its thread when asked to.
async fn run_with_faults(
    server: impl Future<Output = ()>,
    kill: ShutdownSignal,
    frozen: Receiver<Duration>,
) {
    let freezing = async {
        loop {
            monoio::time::sleep(FREEZE_LOOK).await;
            if let Ok(time) = frozen.try_recv() {
                std::thread::sleep(time);
            }
        }
    };
    monoio::select! {
        () = server => {}
        () = kill.triggered() => {}
        () = freezing => {}
    }
}

/// Waits for what a thread tells once it has started.
fn started<T>(receiver: &Receiver<T>) -> T {
    receiver.recv().expect("the server starts")
}

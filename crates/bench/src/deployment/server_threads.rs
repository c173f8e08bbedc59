//! Starts servers and stand-ins on their own threads and returns the addresses that they bound.

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

/// Time between two checks for a request to freeze.
const FREEZE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Injects faults into a server's thread.
#[derive(Clone, Debug)]
pub struct ThreadFaults {
    freeze: Sender<Duration>,
    kill: ShutdownSignal,
}

impl ThreadFaults {
    /// Stops the server at once: its sockets close, without draining or revoking its lease.
    pub fn kill(&self) {
        self.kill.trigger();
    }

    /// Blocks the whole thread for a time, as if its process were suspended and later resumed.
    pub fn freeze(&self, time: Duration) {
        // Fails only if the server has stopped, and then there is nothing to freeze.
        let _ = self.freeze.send(time);
    }
}

/// An entry that runs on its own thread.
#[derive(Debug)]
pub struct EntryThread {
    /// Address for control calls.
    pub control: SocketAddr,
    /// Address for requests.
    pub data: SocketAddr,
    /// Injects faults into its thread.
    pub faults: ThreadFaults,
    /// Its thread; dropping it shuts the entry down.
    pub thread: ServingThread,
}

/// A sidecar that runs on its own thread.
#[derive(Debug)]
pub struct SidecarThread {
    /// Address for control calls.
    pub control: SocketAddr,
    /// Address for requests.
    pub data: SocketAddr,
    /// Injects faults into its thread.
    pub faults: ThreadFaults,
    /// Its thread; dropping it shuts the sidecar down.
    pub thread: ServingThread,
}

/// A stand-in that runs on its own thread.
#[derive(Debug)]
pub struct StandinThread {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its thread; dropping it stops the stand-in.
    pub thread: ServingThread,
}

/// Starts an entry and waits until it has bound its addresses.
///
/// # Panics
/// Panics if it cannot start.
#[must_use]
pub fn start_entry(settings: ServerSettings, section: EntrySection) -> EntryThread {
    let (sender, receiver) = channel();
    let name = settings.name.clone();
    let (faults, kill, freeze_requests) = thread_faults();
    let thread = ServingThread::spawn(&name, move |shutdown| async move {
        let server = EntryServer::bind(settings, section).expect("the entry binds its addresses");
        let addresses = (server.data_address(), server.control_address());
        let _ = sender.send((addresses.0.expect("bound"), addresses.1.expect("bound")));
        run_with_faults(server.run(shutdown), kill, freeze_requests).await;
    });
    let (data, control) = wait_until_started(&receiver);
    EntryThread { control, data, faults, thread }
}

/// Starts a sidecar and waits until it has bound its addresses.
///
/// # Panics
/// Panics if it cannot start.
#[must_use]
pub fn start_sidecar(settings: ServerSettings, section: SidecarSection) -> SidecarThread {
    let (sender, receiver) = channel();
    let name = settings.name.clone();
    let (faults, kill, freeze_requests) = thread_faults();
    let thread = ServingThread::spawn(&name, move |shutdown| async move {
        let server =
            SidecarServer::bind(settings, section).expect("the sidecar binds its addresses");
        let addresses = (server.data_address(), server.control_address());
        let _ = sender.send((addresses.0.expect("bound"), addresses.1.expect("bound")));
        run_with_faults(server.run(shutdown), kill, freeze_requests).await;
    });
    let (data, control) = wait_until_started(&receiver);
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
    let bind_address = address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let thread = ServingThread::spawn(name, move |shutdown| async move {
        let listener = bind_listener(bind_address).expect("the stand-in binds its address");
        let _ = sender.send(listener.local_addr().expect("bound"));
        monoio::select! {
            () = serve(listener, DrainGate::default()) => {}
            () = shutdown.triggered() => {}
        }
    });
    StandinThread { address: wait_until_started(&receiver), thread }
}

/// Creates the fault injector of a thread, and the signal and channel that the thread listens to.
fn thread_faults() -> (ThreadFaults, ShutdownSignal, Receiver<Duration>) {
    let (freeze, freeze_requests) = channel();
    let kill = ShutdownSignal::new();
    (ThreadFaults { freeze, kill: kill.clone() }, kill, freeze_requests)
}

/// Runs a server until it stops or is killed, and blocks its thread on each freeze request.
async fn run_with_faults(
    server: impl Future<Output = ()>,
    kill: ShutdownSignal,
    freeze_requests: Receiver<Duration>,
) {
    let handle_freezes = async {
        loop {
            monoio::time::sleep(FREEZE_CHECK_INTERVAL).await;
            if let Ok(time) = freeze_requests.try_recv() {
                std::thread::sleep(time);
            }
        }
    };
    monoio::select! {
        () = server => {}
        () = kill.triggered() => {}
        () = handle_freezes => {}
    }
}

/// Waits for the first message of a new thread and returns it.
fn wait_until_started<T>(receiver: &Receiver<T>) -> T {
    receiver.recv().expect("the server starts")
}

//! A TCP proxy that injects faults between two processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cv_http::bind_listener;
use cv_runtime::ServingThread;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use tokio::sync::watch;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FaultMode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Passes everything on after a delay in each direction.
    Delay(Duration),
    /// Ends all connections and takes no new ones.
    Disconnect,
    /// Takes connections and bytes and passes nothing on.
    HalfOpen,
    /// Ends a connection after this many bytes of its answers.
    TruncateResponse(usize),
    /// Passes requests on and ends a connection when the first answer byte comes.
    LoseResponse,
}

/// A proxy in front of one address; its mode may change at any time.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    mode: Arc<watch::Sender<FaultMode>>,
    _thread: ServingThread,
}

impl FaultProxy {
    /// Starts a proxy on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start(upstream: SocketAddr) -> io::Result<Self> {
        let mode = Arc::new(watch::channel(FaultMode::Pass).0);
        let given = Arc::clone(&mode);
        let (sender, bound) = std::sync::mpsc::channel();
        let thread = ServingThread::spawn("fault-proxy", move |shutdown| async move {
            let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0)));
            let Ok(listener) = listener else { return };
            let _ = sender.send(listener.local_addr());
            loop {
                monoio::select! {
                    () = shutdown.triggered() => return,
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        monoio::spawn(relay(stream, upstream, Arc::clone(&given)));
                    }
                }
            }
        });
        let address = bound.recv().map_err(|_| io::Error::other("no port can be bound"))??;
        Ok(Self { address, mode, _thread: thread })
    }

    /// Returns where the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the proxy does, to open connections too.
    pub fn set_mode(&self, mode: FaultMode) {
        self.mode.send_replace(mode);
    }
}

/// Relays one connection until it ends or a fault ends it.
async fn relay(client: TcpStream, upstream: SocketAddr, mode: Arc<watch::Sender<FaultMode>>) {
    let mut modes = mode.subscribe();
    if *modes.borrow() == FaultMode::Disconnect {
        return;
    }
    let Ok(server) = TcpStream::connect_addr(upstream).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy(client_read, server_write, mode.subscribe(), false);
    let answers = copy(server_read, client_write, mode.subscribe(), true);
    monoio::select! {
        _ = modes.wait_for(|mode| *mode == FaultMode::Disconnect) => {}
        // A direction that ends by itself lets the other one finish.
        ((), ()) = async { futures::join!(requests, answers) } => {}
    }
}

/// Copies one direction of a connection.
async fn copy<R: AsyncReadRent, W: AsyncWriteRent>(
    mut from: R,
    mut to: W,
    modes: watch::Receiver<FaultMode>,
    answers: bool,
) {
    let mut passed = 0;
    loop {
        let (result, buffer) = from.read(Vec::with_capacity(READ_BYTES)).await;
        let length = match result {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        let mode = *modes.borrow();
        let mut kept = length;
        match mode {
            FaultMode::Delay(delay) => monoio::time::sleep(delay).await,
            FaultMode::HalfOpen => continue,
            FaultMode::Disconnect => break,
            FaultMode::TruncateResponse(limit) if answers => kept = length.min(limit - passed),
            FaultMode::LoseResponse if answers => break,
            FaultMode::Pass | FaultMode::TruncateResponse(_) | FaultMode::LoseResponse => {}
        }
        passed += kept;
        let mut buffer = buffer;
        buffer.truncate(kept);
        if to.write_all(buffer).await.0.is_err() || kept < length {
            break;
        }
    }
    let _ = to.shutdown().await;
}

//! A TCP proxy that injects faults between two processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cv_http::bind_listener;
use cv_runtime::ServingThread;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use tokio::sync::watch;

use crate::silence_check::SilenceCheck;
use crate::unframed_response::copy_unframed;

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FaultMode {
    /// Forwards everything unchanged.
    #[default]
    Pass,
    /// Delays each read by this time, in both directions.
    Delay(Duration),
    /// Closes all connections, and new ones as soon as they are accepted.
    Disconnect,
    /// Closes all connections, and responds to the first request on each new one with status 503.
    TurnAway,
    /// Accepts connections and reads from them, but forwards nothing.
    HalfOpen,
    /// Closes a connection after this many bytes of its responses.
    TruncateResponse(usize),
    /// Forwards requests and closes a connection when the first byte of a response arrives.
    LoseResponse,
    /// Responds with interim responses without end until the client closes.
    SendInterimResponses,
    /// Forwards everything, and sends each response with status 503 once more before the next one on
    /// the same connection.
    RepeatRefusals,
    /// Forwards chunked responses without chunks or length, and at most this many bytes of the body;
    /// closes the connection after each.
    Unframe(usize),
    /// Forwards this many bytes of a connection's responses, then sends bytes that belong to no
    /// response until the client closes: one a time with this pause, or without end if it is zero.
    SendGarbage(usize, Duration),
}

/// A proxy in front of one address; its mode may change at any time.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    mode: Arc<watch::Sender<FaultMode>>,
    /// Number of times that the open connections went silent.
    silences: Arc<AtomicU64>,
    _thread: ServingThread,
}

impl FaultProxy {
    /// Starts a proxy of `upstream` on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start(upstream: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), upstream)
    }

    /// Starts a proxy of `upstream` on the given address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start_at(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let mode = Arc::new(watch::channel(FaultMode::Pass).0);
        let shared_mode = Arc::clone(&mode);
        let silences = Arc::new(AtomicU64::new(0));
        let shared_silences = Arc::clone(&silences);
        let (sender, bound) = std::sync::mpsc::channel();
        let thread = ServingThread::spawn("fault-proxy", move |shutdown| async move {
            let listener = bind_listener(address);
            let Ok(listener) = listener else { return };
            let _ = sender.send(listener.local_addr());
            loop {
                monoio::select! {
                    () = shutdown.triggered() => return,
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let (mode, silences) =
                            (Arc::clone(&shared_mode), Arc::clone(&shared_silences));
                        monoio::spawn(relay(stream, upstream, mode, silences));
                    }
                }
            }
        });
        let address = bound
            .recv()
            .map_err(|_| io::Error::other("the proxy's thread failed to bind a port"))??;
        Ok(Self { address, mode, silences, _thread: thread })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the open connections carry nothing from now on; new ones are unaffected.
    pub fn silence_connections(&self) {
        self.silences.fetch_add(1, Ordering::Relaxed);
    }

    /// Changes the injected fault, for open connections too.
    pub fn set_mode(&self, mode: FaultMode) {
        self.mode.send_replace(mode);
    }
}

/// Relays one connection until it closes or a fault closes it.
async fn relay(
    client: TcpStream,
    upstream: SocketAddr,
    mode: Arc<watch::Sender<FaultMode>>,
    silences: Arc<AtomicU64>,
) {
    let check = SilenceCheck::new(silences);
    let mut modes = mode.subscribe();
    let mode_at_start = *modes.borrow();
    match mode_at_start {
        FaultMode::Disconnect => return,
        FaultMode::TurnAway => return turn_away(client).await,
        _ => {}
    }
    let Ok(server) = TcpStream::connect_addr(upstream).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy(client_read, server_write, mode.subscribe(), check.clone(), false);
    let responses = copy(server_read, client_write, mode.subscribe(), check, true);
    monoio::select! {
        _ = modes.wait_for(|mode| matches!(mode, FaultMode::Disconnect | FaultMode::TurnAway)) => {}
        // If one direction closes, the other one can still finish.
        ((), ()) = async { futures::join!(requests, responses) } => {}
    }
}

/// Responds to the first request of a connection with status 503 and closes it.
async fn turn_away(mut client: TcpStream) {
    let (read, _) = client.read(Vec::with_capacity(READ_BUFFER_BYTES)).await;
    if read.is_ok_and(|length| length > 0) {
        let response = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\
                        Content-Length: 0\r\n\r\n";
        let _ = client.write_all(response.as_bytes().to_vec()).await;
    }
    let _ = client.shutdown().await;
}

/// Copies one direction of a connection; `is_response` tells which one.
async fn copy<R: AsyncReadRent, W: AsyncWriteRent>(
    mut from: R,
    mut to: W,
    modes: watch::Receiver<FaultMode>,
    check: SilenceCheck,
    is_response: bool,
) {
    let mut forwarded = 0;
    // Bytes that were discarded must not be missing from the middle of a connection that goes on.
    let mut has_discarded = false;
    let mut last_refusal = Vec::new();
    loop {
        let (result, buffer) = from.read(Vec::with_capacity(READ_BUFFER_BYTES)).await;
        let length = match result {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        let mode = *modes.borrow();
        let mut forward_length = length;
        match mode {
            FaultMode::Delay(delay) => monoio::time::sleep(delay).await,
            FaultMode::HalfOpen => has_discarded = true,
            FaultMode::Disconnect | FaultMode::TurnAway => break,
            FaultMode::TruncateResponse(limit) if is_response => {
                forward_length = length.min(limit.saturating_sub(forwarded));
            }
            FaultMode::LoseResponse if is_response => break,
            FaultMode::SendGarbage(limit, pause) if is_response => {
                let mut buffer = buffer;
                buffer.truncate(length.min(limit.saturating_sub(forwarded)));
                if to.write_all(buffer).await.0.is_ok() {
                    send_garbage(&mut to, pause).await;
                }
                break;
            }
            FaultMode::SendInterimResponses if is_response => {
                let interim = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(64);
                while to.write_all(interim.clone()).await.0.is_ok() {}
                break;
            }
            FaultMode::RepeatRefusals if is_response => {
                let repeated = std::mem::take(&mut last_refusal);
                if !repeated.is_empty() && to.write_all(repeated).await.0.is_err() {
                    break;
                }
                if buffer.starts_with(b"HTTP/1.1 503") {
                    last_refusal = buffer[..length].to_vec();
                }
            }
            FaultMode::Unframe(limit) if is_response => {
                let mut received = buffer;
                received.truncate(length);
                copy_unframed(&mut from, &mut to, received, limit).await;
                break;
            }
            FaultMode::Pass
            | FaultMode::RepeatRefusals
            | FaultMode::SendInterimResponses
            | FaultMode::Unframe(_)
            | FaultMode::TruncateResponse(_)
            | FaultMode::LoseResponse
            | FaultMode::SendGarbage(..) => {}
        }
        if has_discarded || check.is_silent() {
            continue;
        }
        forwarded += forward_length;
        let mut buffer = buffer;
        buffer.truncate(forward_length);
        if to.write_all(buffer).await.0.is_err() || forward_length < length {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Sends bytes that belong to no response until the client closes the connection: chunks of a
/// chunked body, which within a head are a header line that never ends.
async fn send_garbage<W: AsyncWriteRent>(to: &mut W, pause: Duration) {
    let length = if pause.is_zero() { READ_BUFFER_BYTES } else { 1 };
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + length, b'x');
    chunk.extend_from_slice(b"\r\n");
    while to.write_all(chunk.clone()).await.0.is_ok() {
        if !pause.is_zero() {
            monoio::time::sleep(pause).await;
        }
    }
}

//! A server of raw bytes: its responses may be cut off anywhere, or go on without end.

use std::fmt;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rustix::net::sockopt::set_socket_linger;

/// Time between two checks of whether a connection waits to be accepted.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum wait for a client that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time for which bytes are repeated.
const MAX_REPEAT_TIME: Duration = Duration::from_secs(10);

/// A request that a raw server has received.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// The value of `request-id`, or an empty text.
    pub id: String,
    /// The value of `last-event-id`, or 0.
    pub last_event: u64,
    /// Earlier requests on the same connection.
    pub position: usize,
    /// The request line.
    pub request_line: String,
}

/// What follows the bytes of a response.
#[derive(Clone, Debug, Default)]
pub enum RawEnding {
    /// The next request on the connection.
    #[default]
    KeepOpen,
    /// The orderly end of the connection.
    Close,
    /// A reset of the connection.
    Reset,
    /// A block of bytes, again and again until the client closes, with a pause after each.
    Repeat(Arc<Vec<u8>>, Duration),
}

/// The response to one request.
#[derive(Clone, Debug, Default)]
pub struct RawResponse {
    /// The bytes to send.
    pub bytes: Vec<u8>,
    /// Time before the first byte.
    pub delay: Duration,
    /// What follows the bytes.
    pub ending: RawEnding,
}

/// Decides how a raw server responds to a request.
pub trait RawResponder: Fn(&RawRequest) -> RawResponse + Send + Sync + 'static {}

impl<F: Fn(&RawRequest) -> RawResponse + Send + Sync + 'static> RawResponder for F {}

/// A server that serves each connection in a thread of its own, with blocking sockets, so that it
/// sends faster than an event loop reads.
pub struct RawServer {
    address: SocketAddr,
    counters: Arc<RawCounters>,
    thread: Option<JoinHandle<()>>,
}

/// What a raw server has done so far.
#[derive(Debug, Default)]
struct RawCounters {
    is_stopped: AtomicBool,
    requests: AtomicU64,
    sent_bytes: AtomicU64,
}

impl fmt::Debug for RawServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RawServer").field("address", &self.address).finish_non_exhaustive()
    }
}

impl RawServer {
    /// Starts a server at an address, which responds as `respond` decides.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start(address: SocketAddr, respond: impl RawResponder) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let counters = Arc::new(RawCounters::default());
        let (respond, shared) = (Arc::new(respond), Arc::clone(&counters));
        let thread = std::thread::spawn(move || {
            while !shared.is_stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let (respond, counters) = (Arc::clone(&respond), Arc::clone(&shared));
                // A connection ends with an error when its client closes it.
                std::thread::spawn(move || serve_connection(&stream, &*respond, &counters));
            }
        });
        Ok(Self { address, counters, thread: Some(thread) })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests received.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.counters.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent, which includes those that clients have not read.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.counters.sent_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.counters.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Serves one connection until it ends.
fn serve_connection(
    stream: &TcpStream,
    respond: &impl RawResponder,
    counters: &RawCounters,
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut reader = BufReader::new(stream);
    for position in 0.. {
        let Some(request) = read_request(&mut reader, stream, position)? else {
            break;
        };
        counters.requests.fetch_add(1, Ordering::Relaxed);
        let response = respond(&request);
        std::thread::sleep(response.delay);
        send(stream, &response.bytes, counters)?;
        match response.ending {
            RawEnding::KeepOpen => {}
            RawEnding::Close => break,
            RawEnding::Reset => {
                set_socket_linger(stream, Some(Duration::ZERO))?;
                break;
            }
            RawEnding::Repeat(block, pause) => {
                let started_at = Instant::now();
                while !counters.is_stopped.load(Ordering::Relaxed)
                    && started_at.elapsed() < MAX_REPEAT_TIME
                {
                    send(stream, &block, counters)?;
                    std::thread::sleep(pause);
                }
                break;
            }
        }
    }
    Ok(())
}

/// Sends bytes and counts them.
fn send(mut stream: &TcpStream, bytes: &[u8], counters: &RawCounters) -> io::Result<()> {
    stream.write_all(bytes)?;
    counters.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    Ok(())
}

/// Reads a request with its body, for which it asks if the client waits for that; `None` at the end
/// of the connection.
fn read_request(
    reader: &mut BufReader<&TcpStream>,
    mut stream: &TcpStream,
    position: usize,
) -> io::Result<Option<RawRequest>> {
    let mut request = RawRequest { position, ..RawRequest::default() };
    let (mut length, mut expects_continue) = (0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if request.request_line.is_empty() {
            line.clone_into(&mut request.request_line);
            continue;
        }
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        match name.to_ascii_lowercase().as_str() {
            "request-id" => value.trim().clone_into(&mut request.id),
            "last-event-id" => request.last_event = value.trim().parse().unwrap_or(0),
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "expect" => expects_continue = true,
            _ => {}
        }
    }
    if expects_continue {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(request))
}

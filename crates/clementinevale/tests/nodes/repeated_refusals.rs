//! A target that sends a refusal once more on the same connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::ClientResponse;
use cv_http::HttpLimits;
use cv_runtime::block_on;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use tempfile::TempDir;

/// Port of the calls between node processes.
const INTERNAL_PORT: u16 = 17_660;

/// Time in which the sidecar starts to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time before each event of a run.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Number of events of a run.
const EVENTS: u32 = 25;

/// An engine that refuses its first request, and sends the refusal once more on that connection
/// before it responds to the next request there.
struct RepeatingEngine {
    /// Whether refusals, and their copies, name their request.
    names_request: [bool; 2],
    /// Status line of the refusal.
    refusal: &'static str,
    refused: AtomicU32,
    runs: AtomicU32,
}

impl RepeatingEngine {
    /// Starts an engine at an address, whose refusal has the given status line.
    fn start(
        ip: IpAddr,
        refusal: &'static str,
        names_request: [bool; 2],
    ) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let engine = Arc::new(Self {
            names_request,
            refusal,
            refused: AtomicU32::new(0),
            runs: AtomicU32::new(0),
        });
        engine.serve(listener);
        (engine, address)
    }

    /// Returns the number of requests that it has run.
    fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Serves each connection of a listener in a thread of its own.
    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let engine = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&engine);
                std::thread::spawn(move || engine.serve_connection(&stream));
            }
        });
    }

    /// Serves one connection until it closes.
    fn serve_connection(&self, mut stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut refusal = String::new();
        while let Some(id) = read_request(&mut reader) {
            if self.refused.fetch_add(1, Ordering::Relaxed) == 0 {
                let [answer, copy] = self.names_request.map(|is_named| {
                    let name =
                        if is_named { format!("Request-Id: {id}\r\n") } else { String::new() };
                    let status = self.refusal;
                    format!("HTTP/1.1 {status}\r\nNot-Run: 1\r\n{name}Content-Length: 0\r\n\r\n")
                });
                refusal = copy;
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.runs.fetch_add(1, Ordering::Relaxed);
            if stream.write_all(std::mem::take(&mut refusal).as_bytes()).is_err()
                || stream_events(stream, &id).is_err()
            {
                return;
            }
        }
    }
}

/// Reads a request with its body and returns its id; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("request-id:") {
            value.trim().clone_into(&mut id);
        } else if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(id)
}

/// Sends a successful response of [`EVENTS`] events.
fn stream_events(mut stream: &TcpStream, id: &str) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nRequest-Id: {id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in 1..=EVENTS {
        std::thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {number}\ndata: {number}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// A sidecar process, which is killed at the end.
struct SidecarProcess {
    address: SocketAddr,
    child: Child,
    /// Holds its settings.
    _folder: TempDir,
}

impl Drop for SidecarProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a sidecar at an address and waits until it listens.
fn start_sidecar(address: SocketAddr, engine: SocketAddr) -> SidecarProcess {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let settings = folder.path().join("sidecar.yaml");
    let text = format!(
        "name: sidecar\nrole: sidecar\nzone: zone-0\nip: \"{}\"\ninner_port: {}\n\
         store: \"127.0.0.1:9\"\nsidecar:\n  engine: \"{engine}\"\n",
        address.ip(),
        address.port(),
    );
    std::fs::write(&settings, text).expect("the settings file can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_clementinevale"));
    command.arg("node").arg(&settings).stdin(Stdio::null()).stdout(Stdio::null());
    let child = command.spawn().expect("the binary can be run");
    let process = SidecarProcess { address, child, _folder: folder };
    let started_at = std::time::Instant::now();
    while TcpStream::connect(address).is_err() {
        assert!(started_at.elapsed() < START_TIMEOUT, "the sidecar does not listen");
        std::thread::sleep(Duration::from_millis(20));
    }
    process
}

/// Returns an address of this process that no other test uses.
fn test_address(host: u8) -> IpAddr {
    let octet = 100 + (std::process::id() % 100) as u8;
    IpAddr::V4(Ipv4Addr::new(127, octet, 250, host))
}

/// Starts an engine, whose refusal has the given status line, and its sidecar.
fn start_pair(
    host: u8,
    refusal: &'static str,
    names_request: [bool; 2],
) -> (Arc<RepeatingEngine>, SidecarProcess) {
    let ip = test_address(host);
    let (engine, engine_address) = RepeatingEngine::start(ip, refusal, names_request);
    (engine, start_sidecar(SocketAddr::new(ip, INTERNAL_PORT), engine_address))
}

/// Sends a request to a sidecar and returns the response.
fn send(address: SocketAddr, request: &ClientRequest) -> ClientResponse {
    let response = block_on(async {
        let timeout = Duration::from_secs(1);
        let limits = HttpLimits::default();
        let mut connection = ClientConnection::connect(address, timeout, limits).await?;
        connection.exchange(request, Duration::from_secs(10), 64 * 1024).await
    });
    response.expect("the runtime starts").expect("the sidecar responds")
}

// Guards against a refusal that a target repeats on a kept connection and that is taken for one of
// the same request, sent again meanwhile: the request then runs twice.
#[rstest]
#[case::with_request_id(true, 10)]
#[case::without_request_id(false, 11)]
fn a_repeated_refusal_is_not_taken_for_a_new_one(#[case] has_request_id: bool, #[case] host: u8) {
    let (engine, sidecar) = start_pair(host, "503 Service Unavailable", [has_request_id; 2]);
    let request = ClientRequest::new(Method::POST, "/plans/item", "body")
        .with_header("host", "growers.example")
        .with_header("request-id", "item1")
        .with_header("token-count", "10,25")
        .with_header("cv-class", "batch")
        .with_header("cv-patience-ms", "10000")
        .with_header("cv-slots", "4");
    assert_eq!(send(sidecar.address, &request).status, StatusCode::OK);
    assert_eq!(engine.runs(), 1, "the item has run more than once");
}

/// Returns an online request.
fn online_request() -> ClientRequest {
    ClientRequest::new(Method::POST, "/orders", "body")
        .with_header("host", "growers.example")
        .with_header("deadline-ms", "5000")
        .with_header("cv-class", "online")
        .with_header("cv-stay-ms", "2000")
        .with_header("cv-objective-ms", "2000")
        .with_header("cv-patience-ms", "2000")
        .with_header("cv-slots", "4")
}

// Guards against an online request that runs and is reported as refused, so that its entry sends it
// to another target.
#[rstest]
#[case::misdirected("421 Misdirected Request", true, 20)]
#[case::misdirected_without_request_id("421 Misdirected Request", false, 21)]
#[case::full("503 Service Unavailable", true, 22)]
#[case::full_without_request_id("503 Service Unavailable", false, 23)]
#[case::limited("429 Too Many Requests", true, 24)]
fn a_repeated_refusal_is_not_relayed_for_a_request_that_runs(
    #[case] refusal: &'static str,
    #[case] has_request_id: bool,
    #[case] host: u8,
) {
    let (engine, sidecar) = start_pair(host, refusal, [has_request_id; 2]);
    let request = online_request().with_header("request-id", "order1");
    let mut response = send(sidecar.address, &request);
    if engine.runs() == 0 {
        // What an entry does after a refusal.
        response = send(sidecar.address, &request);
    }
    assert_eq!(engine.runs(), 1);
    assert_eq!(response.status, StatusCode::OK, "a request that runs was reported as refused");
}

// Guards against the response to a request without an id being taken for that of the next one.
#[test]
fn a_request_without_an_id_shares_no_connection() {
    let (engine, sidecar) = start_pair(30, "421 Misdirected Request", [false; 2]);
    let unnamed = online_request();
    send(sidecar.address, &unnamed);
    let named = unnamed.with_header("request-id", "order2");
    let response = send(sidecar.address, &named);
    assert_eq!(engine.runs(), 1);
    assert_eq!(response.status, StatusCode::OK, "a request that runs was reported as refused");
}

// Guards against a copy without a request id that passes for the refusal of another request.
#[test]
fn a_copy_without_an_id_is_not_taken_for_a_refusal_of_the_next_request() {
    let (engine, sidecar) = start_pair(31, "421 Misdirected Request", [true, false]);
    send(sidecar.address, &online_request().with_header("request-id", "order1"));
    let response = send(sidecar.address, &online_request().with_header("request-id", "order2"));
    assert_eq!(engine.runs(), 1);
    let verdict = response.headers.get("cv-verdict").expect("a verdict of the sidecar");
    assert_eq!(verdict, "unknown", "a request that runs was reported as refused");
}

// Guards against a copy without a request id that costs the next request its response.
#[test]
fn a_connection_with_a_response_without_an_id_carries_no_other_request() {
    let (engine, sidecar) = start_pair(32, "421 Misdirected Request", [false; 2]);
    send(sidecar.address, &online_request().with_header("request-id", "order1"));
    let response = send(sidecar.address, &online_request().with_header("request-id", "order2"));
    assert_eq!((engine.runs(), response.status), (1, StatusCode::OK));
}

//! A client whose server sends bytes without end keeps serving its other tasks and timers, and
//! gives the connection up.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_runtime::block_on;
use cv_standin::RawEnding;
use cv_standin::RawResponse;
use cv_standin::RawServer;
use cv_tests::RunClock;
use http::Method;
use rstest::rstest;

/// Time for which a client reads what does not end.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time within which a process has to respond to its readiness check and thus to run timers, less
/// the time for which its thread waited for a processor.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// Number of servers' floods at once.
const FLOODS: usize = 8;

/// Size of the repeated block, in bytes.
const BLOCK_BYTES: usize = 512 * 1024;

/// Starts a server that sends a head and then a unit of bytes without end.
fn start_flood(head: &'static str, unit: &'static [u8]) -> RawServer {
    let block = Arc::new(unit.repeat(BLOCK_BYTES.div_ceil(unit.len())));
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = RawServer::start(address, move |_| RawResponse {
        bytes: head.as_bytes().to_vec(),
        ending: RawEnding::Repeat(Arc::clone(&block), Duration::ZERO),
        ..RawResponse::default()
    });
    server.expect("a port is free")
}

/// Reads a response until it ends or a fault occurs.
async fn read_flood(address: SocketAddr) -> Result<(), HttpFault> {
    let limits = HttpLimits::default();
    let mut connection = ClientConnection::connect(address, Duration::from_secs(1), limits).await?;
    connection.send(&ClientRequest::new(Method::GET, "/x", "")).await?;
    connection.read_head(&Method::GET, READ_TIMEOUT).await?;
    while connection.read_piece().await?.is_some() {}
    Ok(())
}

/// Returns the longest delay of a timer in the time that `work` takes.
async fn longest_timer_delay(work: impl Future<Output = ()>) -> Duration {
    let (longest, is_done) = (Rc::new(Cell::new(Duration::ZERO)), Rc::new(Cell::new(false)));
    let (seen, done) = (Rc::clone(&longest), Rc::clone(&is_done));
    let ticks = monoio::spawn(async move {
        while !done.get() {
            let (clock, period) = (RunClock::start(None), Duration::from_millis(5));
            monoio::time::sleep(period).await;
            seen.set(seen.get().max(clock.elapsed().saturating_sub(period)));
        }
    });
    work.await;
    is_done.set(true);
    ticks.await;
    longest.get()
}

// Guards against timers that do not run while a peer's bytes are always ready, so that no timeout,
// lease or deadline of the process holds.
#[rstest]
#[case::interim_responses("", b"HTTP/1.1 102 Processing\r\n\r\n")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", b"x-filler: 0123456789\r\n")]
#[case::one_header_line("HTTP/1.1 200 OK\r\nx-filler: ", b"0123456789")]
#[case::body_until_close("HTTP/1.1 200 OK\r\n\r\n", b"data: 0\n\n")]
#[case::body_of_declared_length("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", b"\0")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"10\r\n0123456789abcdef\r\n"
)]
#[case::chunks_of_one_byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n")]
#[case::one_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", b"x")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", b"x")]
#[case::chunk_extensions(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1;extension=0123456789\r\nx\r\n"
)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    b"x-filler: 0123456789\r\n"
)]
fn timers_run_while_a_server_sends_without_end(
    #[case] head: &'static str,
    #[case] unit: &'static [u8],
) {
    let server = start_flood(head, unit);
    let address = server.address();
    let delay = block_on(longest_timer_delay(async move {
        let floods = (0..FLOODS).map(|_| async move {
            let clock = RunClock::start(None);
            let read = monoio::time::timeout(READ_TIMEOUT, read_flood(address)).await;
            assert!(clock.elapsed() < READ_TIMEOUT + MAX_TIMER_DELAY);
            assert!(!matches!(read, Ok(Ok(()))), "a response without end has ended");
        });
        futures::future::join_all(floods).await;
    }));
    let delay = delay.expect("the runtime starts");
    assert!(delay < MAX_TIMER_DELAY, "a timer was late by {delay:?}");
}

/// Returns the first piece of the body of a response that begins with `bytes` and then stalls.
fn read_first_piece(bytes: Vec<u8>) -> Result<usize, HttpFault> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = RawServer::start(address, move |_| RawResponse {
        bytes: bytes.clone(),
        ending: RawEnding::Repeat(Arc::default(), Duration::from_millis(100)),
        ..RawResponse::default()
    });
    let address = server.as_ref().expect("a port is free").address();
    let read = block_on(async move {
        let limits = HttpLimits { body_timeout: READ_TIMEOUT, ..HttpLimits::default() };
        let mut connection =
            ClientConnection::connect(address, Duration::from_secs(1), limits).await?;
        connection.send(&ClientRequest::new(Method::GET, "/x", "")).await?;
        connection.read_head(&Method::GET, READ_TIMEOUT).await?;
        connection.read_piece().await
    });
    read.expect("the runtime starts").map(|piece| piece.map_or(0, |piece| piece.len()))
}

// Guards against whole chunks kept in memory, on every connection at once.
#[test]
fn a_chunk_is_read_in_pieces() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n300000\r\n";
    let mut bytes = head.as_bytes().to_vec();
    bytes.resize(bytes.len() + 2 * 1024 * 1024, b'x');
    let first = read_first_piece(bytes).expect("a part of the chunk is read");
    assert!((1..=64 * 1024).contains(&first), "{first} bytes");
}

// Guards against lines of a chunked body that are kept in memory until they end.
#[rstest]
#[case::extension("1;x=")]
#[case::size("0")]
#[case::trailer("0\r\nx-filler: ")]
fn an_overlong_line_of_a_chunked_body_is_refused(#[case] start: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{start}");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + 64 * 1024, b'0');
    let read = read_first_piece(bytes);
    assert!(matches!(read, Err(HttpFault::Malformed(_))), "{read:?}");
}

// Guards against a probe, or a call to a peer, that is held for as long as a few bytes come now and
// then.
#[rstest]
#[case::interim_responses("", b"HTTP/1.1 102 Processing\r\n\r\n")]
#[case::header_line("HTTP/1.1 200 OK\r\nx-filler: ", b"0")]
#[case::body("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", b"0")]
fn a_pooled_exchange_ends_in_time(#[case] head: &'static str, #[case] unit: &'static [u8]) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = RawServer::start(address, move |_| RawResponse {
        bytes: head.as_bytes().to_vec(),
        ending: RawEnding::Repeat(Arc::new(unit.to_vec()), Duration::from_millis(50)),
        ..RawResponse::default()
    });
    let server = server.expect("a port is free");
    let address = server.address();
    let clock = RunClock::start(None);
    let response = block_on(async move {
        let pool = ConnectionPool::new(HttpLimits::default());
        pool.exchange(address, &ClientRequest::new(Method::GET, "/x", ""), READ_TIMEOUT, 9999).await
    });
    let response = response.expect("the runtime starts");
    assert!(matches!(response, Err(HttpFault::TimedOut(_))), "{response:?}");
    let elapsed = clock.elapsed();
    assert!(elapsed < READ_TIMEOUT + MAX_TIMER_DELAY, "{elapsed:?}");
}

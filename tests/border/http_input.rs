//! The HTTP server refuses malformed, oversized and ambiguous requests with the right status, and
//! incomplete requests and idle connections do not affect other connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use cv_bench::deployment::StandinThread;
use cv_bench::deployment::start_standin;
use cv_standin::ExecutionCounter;
use cv_standin::PlainServiceStandin;
use rstest::rstest;

/// Longest wait for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Connections that are open without a request.
const IDLE_CONNECTIONS: usize = 1_000;

/// Starts a plain service on the HTTP server under test.
fn start_server() -> StandinThread {
    let service = PlainServiceStandin::new(ExecutionCounter::default(), Duration::ZERO);
    start_standin("service", None, move |listener, gate| service.serve(listener, gate))
}

/// Sends bytes and returns everything received until the server closes the connection or the read
/// times out; `close_write` closes the sending side first.
fn exchange(address: SocketAddr, bytes: &[u8], close_write: bool) -> String {
    let mut stream = TcpStream::connect(address).expect("the server accepts the connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the read timeout is set");
    // The server may refuse the request and close the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    if close_write {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[rstest]
#[case::two_lengths("POST /x HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", "400")]
#[case::length_and_chunks(
    "POST /x HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case::signed_length("POST /x HTTP/1.1\r\ncontent-length: +1\r\n\r\na", "400")]
#[case::unknown_encoding("POST /x HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n", "400")]
#[case::bad_chunk("POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400")]
#[case::not_http("hello\r\n\r\n", "400")]
#[case::bad_version("GET /x HTTP/9.9\r\n\r\n", "400")]
#[case::other_expectation(
    "POST /x HTTP/1.1\r\nexpect: miracles\r\ncontent-length: 1\r\n\r\na",
    "417"
)]
#[case::body_too_large("POST /x HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n", "413")]
fn an_invalid_request_gets_its_error_status(#[case] bytes: &str, #[case] status: &str) {
    let server = start_server();
    let response = exchange(server.address, bytes.as_bytes(), false);
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
    assert!(response.contains("\"run\":\"not_run\""), "{response}");
}

#[test]
fn an_endless_head_is_refused_before_it_exhausts_memory() {
    let server = start_server();
    let mut bytes = b"GET /x HTTP/1.1\r\nx-long: ".to_vec();
    bytes.resize(2 * 1024 * 1024, b'a');
    let response = exchange(server.address, &bytes, false);
    // The server closes without reading the rest, which may reset the connection before the
    // response arrives.
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");
}

#[test]
fn too_many_headers_are_refused() {
    let server = start_server();
    let headers = "x-field: 1\r\n".repeat(200);
    let response =
        exchange(server.address, format!("GET /x HTTP/1.1\r\n{headers}\r\n").as_bytes(), false);
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
}

#[test]
fn an_incomplete_request_ends_only_its_own_connection() {
    let server = start_server();
    let response =
        exchange(server.address, b"POST /x HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc", true);
    assert_eq!(response, "");
    let next_response =
        exchange(server.address, b"GET /x HTTP/1.1\r\nconnection: close\r\n\r\n", false);
    assert!(next_response.starts_with("HTTP/1.1 200"), "{next_response}");
}

#[test]
fn expect_100_continue_is_answered_with_continue() {
    let server = start_server();
    let bytes = b"POST /x HTTP/1.1\r\nexpect: 100-continue\r\nconnection: close\r\n\
                  content-length: 2\r\n\r\nab";
    let response = exchange(server.address, bytes, false);
    assert!(response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{response}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = start_server();
    let bytes = b"GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\nconnection: close\r\n\r\n";
    let response = exchange(server.address, bytes, false);
    let (first, second) = (response.find("/first"), response.find("/second"));
    assert!(first.is_some() && first < second, "{response}");
}

#[test]
fn an_http_1_0_request_gets_one_response_and_a_closed_connection() {
    let server = start_server();
    let response = exchange(server.address, b"GET /x HTTP/1.0\r\n\r\n", false);
    assert!(
        response.starts_with("HTTP/1.1 200") && response.contains("connection: close"),
        "{response}"
    );
}

#[test]
fn idle_connections_do_not_block_a_request() {
    let server = start_server();
    let connections: Vec<TcpStream> =
        (0..IDLE_CONNECTIONS).filter_map(|_| TcpStream::connect(server.address).ok()).collect();
    assert_eq!(connections.len(), IDLE_CONNECTIONS);
    let response = exchange(server.address, b"GET /x HTTP/1.1\r\nconnection: close\r\n\r\n", false);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

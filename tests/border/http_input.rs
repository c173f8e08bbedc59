//! Malformed, oversized, slow and ambiguous messages get a clear answer and disturb nobody.

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

/// Longest time that an answer may take.
const PATIENCE: Duration = Duration::from_secs(15);

/// Idle connections of the crowd.
const CROWD: usize = 1_000;

/// Starts a server over the bounded connections.
fn server() -> StandinThread {
    let service = PlainServiceStandin::new(ExecutionCounter::default(), Duration::ZERO);
    start_standin("service", None, move |listener, gate| service.serve(listener, gate))
}

/// Sends bytes and returns what comes back until the server closes or is silent.
fn exchange(address: SocketAddr, bytes: &[u8], end: bool) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
    // A server that has refused the beginning may not take the rest.
    let _ = stream.write_all(bytes);
    if end {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
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
#[case::no_request("hello\r\n\r\n", "400")]
#[case::bad_version("GET /x HTTP/9.9\r\n\r\n", "400")]
#[case::other_expectation(
    "POST /x HTTP/1.1\r\nexpect: miracles\r\ncontent-length: 1\r\n\r\na",
    "417"
)]
#[case::body_too_large("POST /x HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n", "413")]
fn a_message_that_breaks_a_rule_gets_its_status(#[case] bytes: &str, #[case] status: &str) {
    let server = server();
    let answer = exchange(server.address, bytes.as_bytes(), false);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains("\"run\":\"not_run\""), "{answer}");
}

#[test]
fn a_head_without_end_is_refused_before_it_fills_the_memory() {
    let server = server();
    let mut bytes = b"GET /x HTTP/1.1\r\nx-long: ".to_vec();
    bytes.resize(2 * 1024 * 1024, b'a');
    let answer = exchange(server.address, &bytes, false);
    // The server closes without reading the rest, so the answer itself may be lost on its way.
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[test]
fn too_many_fields_are_refused() {
    let server = server();
    let fields = "x-field: 1\r\n".repeat(200);
    let answer =
        exchange(server.address, format!("GET /x HTTP/1.1\r\n{fields}\r\n").as_bytes(), false);
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[test]
fn a_request_that_stops_half_way_ends_its_connection_alone() {
    let server = server();
    let answer =
        exchange(server.address, b"POST /x HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc", true);
    assert_eq!(answer, "");
    let sound = exchange(server.address, b"GET /x HTTP/1.1\r\nconnection: close\r\n\r\n", false);
    assert!(sound.starts_with("HTTP/1.1 200"), "{sound}");
}

#[test]
fn a_caller_that_waits_to_be_invited_is_invited() {
    let server = server();
    let bytes = b"POST /x HTTP/1.1\r\nexpect: 100-continue\r\nconnection: close\r\n\
                  content-length: 2\r\n\r\nab";
    let answer = exchange(server.address, bytes, false);
    assert!(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{answer}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = server();
    let bytes = b"GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\nconnection: close\r\n\r\n";
    let answer = exchange(server.address, bytes, false);
    let (first, second) = (answer.find("/first"), answer.find("/second"));
    assert!(first.is_some() && first < second, "{answer}");
}

#[test]
fn an_older_version_gets_one_answer_and_the_end() {
    let server = server();
    let answer = exchange(server.address, b"GET /x HTTP/1.0\r\n\r\n", false);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
}

#[test]
fn a_crowd_of_idle_connections_disturbs_nobody() {
    let server = server();
    let crowd: Vec<TcpStream> =
        (0..CROWD).filter_map(|_| TcpStream::connect(server.address).ok()).collect();
    assert_eq!(crowd.len(), CROWD);
    let answer = exchange(server.address, b"GET /x HTTP/1.1\r\nconnection: close\r\n\r\n", false);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

//! Requests whose bodies wait for `100 Continue`, in a process that is stopped meanwhile.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpLimits;
use cv_http::SendFault;
use cv_runtime::block_on;
use http::Method;
use rstest::rstest;

/// Time for which a client waits for `100 Continue`.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that the server takes for it.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Accepts a connection, responds to the head of a request, and returns whether a body follows.
fn receive_body(listener: &TcpListener) -> bool {
    let (mut stream, _) = listener.accept().expect("the client connects");
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("the head arrives");
        head.push(byte[0]);
    }
    std::thread::sleep(RESPONSE_TIME);
    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").expect("the client reads");
    stream.read(&mut byte).is_ok_and(|length| length > 0)
}

// Guards against a frozen process that hands an item over when it continues, after its job was closed.
#[rstest]
#[case::it_runs(Duration::ZERO, true)]
#[case::it_is_stopped(Duration::from_millis(1_500), false)]
fn a_body_is_sent_only_by_a_process_that_was_not_stopped(
    #[case] stop_time: Duration,
    #[case] is_sent: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let server = std::thread::spawn(move || receive_body(&listener));
    let result = block_on(async {
        let limits = HttpLimits::default();
        let connection = ClientConnection::connect(address, CONTINUE_TIMEOUT, limits).await;
        let mut connection = connection.expect("the server listens");
        let request = ClientRequest::new(Method::POST, "/item", "body");
        let stop = async {
            monoio::time::sleep(RESPONSE_TIME / 2).await;
            std::thread::sleep(stop_time);
        };
        let sent = connection.send_expecting_continue(&request, CONTINUE_TIMEOUT);
        futures::join!(sent, stop).0
    })
    .expect("a runtime");
    assert_eq!(result.is_ok(), is_sent);
    assert!(is_sent || matches!(result, Err(SendFault::BeforeBody(_))));
    assert_eq!(server.join().expect("the server does not panic"), is_sent);
}

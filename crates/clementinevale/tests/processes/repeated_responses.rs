//! A target that sends a response once more in front of the next one on the same connection.

use std::path::Path;
use std::time::Duration;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpLimits;
use cv_policy::headers;
use cv_runtime::block_on;
use cv_standin::RawRequest;
use cv_standin::RawResponse;
use cv_standin::RawServer;
use cv_tests::ServerProcess;
use http::Method;
use tempfile::TempDir;

use crate::BINARY;

/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Encodes a response whose body names the path of its request.
fn encode_response(path: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}", path.len())
}

// Guards against a sidecar that takes the repeated response to one request for that to the next, on a
// connection that has carried both.
#[test]
fn a_repeated_response_is_not_given_to_the_next_request() {
    let address = "127.0.0.1:0".parse().expect("an address");
    let target = RawServer::start(address, |request: &RawRequest| {
        let path = request.request_line.split(' ').nth(1).unwrap_or_default();
        let is_repeated = path == "/second" && request.position > 0;
        let earlier = if is_repeated { encode_response("/first") } else { String::new() };
        let bytes = earlier + &encode_response(path);
        RawResponse { bytes: bytes.into_bytes(), ..RawResponse::default() }
    });
    let target = target.expect("the target listens");
    let folder = TempDir::new().expect("a temporary folder can be created");
    let settings = folder.path().join("target.yaml");
    let text = format!(
        "role: sidecar\nname: target\nzone: fraser-a\nlisten: 127.0.0.1:0\n\
         control_listen: 127.0.0.1:0\nsecret: test\nsidecar:\n  service: notes\n  kind: plain\n  \
         target: {}\n",
        target.address(),
    );
    std::fs::write(&settings, text).expect("the settings file can be written");
    let sidecar = ServerProcess::start(Path::new(BINARY), &settings);
    // The first probe of the target has to be over.
    std::thread::sleep(Duration::from_secs(1));
    let bodies = block_on(async {
        let limits = HttpLimits::default();
        let connection = ClientConnection::connect(sidecar.data, RESPONSE_TIMEOUT, limits).await;
        let mut connection = connection.expect("the sidecar listens");
        let mut bodies = Vec::new();
        for path in ["/first", "/second"] {
            let request = ClientRequest::new(Method::POST, path, "body")
                .with_header(headers::CLASS, "online")
                .with_header(headers::DEADLINE_MS, "4000")
                .with_header(headers::ORGANISATION, "members")
                .with_header(headers::REPEATABLE, "true")
                .with_header(headers::REQUEST_ID, path)
                .with_header(headers::SECRET, "test");
            let response = connection.exchange(&request, RESPONSE_TIMEOUT, 1024).await;
            bodies.push(response.expect("the sidecar responds").body);
        }
        bodies
    });
    let bodies = bodies.expect("the runtime starts");
    assert_eq!(bodies, ["/first", "/second"]);
}

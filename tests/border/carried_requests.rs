//! Which connections of a pool carry a request.

use std::net::SocketAddr;
use std::time::Duration;

use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::ConnectionUse;
use cv_http::HttpLimits;
use cv_runtime::block_on;
use cv_standin::RawEnding;
use cv_standin::RawRequest;
use cv_standin::RawResponse;
use cv_standin::RawServer;
use http::Method;
use http::StatusCode;
use rstest::rstest;

/// Longest time to connect and for a response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a server whose responses have a status and no body.
fn start_server(status: StatusCode) -> RawServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let respond = move |_: &RawRequest| RawResponse {
        bytes: format!("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", status.as_u16()).into_bytes(),
        delay: Duration::ZERO,
        ending: RawEnding::KeepOpen,
    };
    RawServer::start(address, respond).expect("the server starts")
}

/// Sends requests one after the other and returns the connection that carried each.
fn connections_of(server: &RawServer, request_ids: &[Option<&str>]) -> Vec<ConnectionUse> {
    let pool = ConnectionPool::new(HttpLimits::default());
    let request = ClientRequest::new(Method::POST, "/", "body");
    let address = server.address();
    let carried = block_on(async {
        let mut carried = Vec::new();
        for id in request_ids {
            let connection = pool.connect_for(address, *id, TIMEOUT).await;
            let mut connection = connection.expect("the server listens");
            connection.exchange(&request, TIMEOUT, 1024).await.expect("the server responds");
            carried.push(connection.connection_use());
            pool.release(address, connection);
        }
        carried
    });
    carried.expect("a runtime")
}

// Guards against a copy of any earlier response that passes for the response to the same request.
#[rstest]
fn a_request_is_sent_at_most_once_on_a_connection(
    #[values(200, 400, 421, 422, 429, 500, 503)] status: u16,
) {
    let server = start_server(StatusCode::from_u16(status).expect("a status"));
    let ids = [Some("a"), Some("b"), Some("a"), Some("c"), Some("a"), Some("b")];
    let used = connections_of(&server, &ids);
    let are_first: Vec<bool> = used.iter().map(|used| used.is_first_request()).collect();
    assert_eq!(are_first, [true, false, true, false, true, false], "{used:?}");
}

// Guards against a response to a request without an id that passes for one to the next request.
#[test]
fn a_request_without_an_id_has_a_connection_of_its_own() {
    let server = start_server(StatusCode::OK);
    let used = connections_of(&server, &[Some("a"), None, None, Some("b")]);
    let are_first: Vec<bool> = used.iter().map(|used| used.is_first_request()).collect();
    assert_eq!(are_first, [true, true, true, false], "{used:?}");
}

#[test]
fn a_connection_that_remembers_many_requests_is_closed() {
    let server = start_server(StatusCode::OK);
    let ids: Vec<String> = (0..600).map(|number| format!("request-{number}")).collect();
    let ids: Vec<Option<&str>> = ids.iter().map(|id| Some(id.as_str())).collect();
    let used = connections_of(&server, &ids);
    assert_eq!(used.iter().filter(|used| used.is_first_request()).count(), 3);
}

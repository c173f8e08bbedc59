//! A caller of entries, which checks what it is told.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cv_adapter_standin::PlatformTarget;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Longest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Deadline that callers name, in milliseconds.
const DEADLINE_MS: &str = "5000";

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// The whole answer.
    Completed,
    /// The request has not run and will not.
    NotRun,
    /// Nothing certain.
    Unknown(String),
    /// Something that is not true.
    Incorrect(String),
}

/// Makes the headers of a request.
fn request(method: Method, path: &str, id: &str, body: impl Into<Bytes>) -> ClientRequest {
    ClientRequest::new(method, path, body)
        .with_header("host", "growers.example")
        .with_header("request-id", id)
        .with_header("deadline-ms", DEADLINE_MS)
}

/// A caller that keeps its connection open until it fails or is asked to end.
pub struct NodeCaller {
    address: SocketAddr,
    connection: Option<ClientConnection>,
}

impl NodeCaller {
    /// Creates a caller of one entry.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Asks for a stream of so many events and checks every one.
    pub async fn request_stream(&mut self, route: &str, id: &str, events: u64) -> CallerOutcome {
        let stream = request(Method::POST, &format!("/{route}/x"), id, "prompt")
            .with_header("token-count", &format!("10,{events}"));
        match self.call(&stream).await {
            Ok((StatusCode::OK, body)) => {
                let expected = PlatformTarget::expected_stream(id, events);
                if body == expected.as_bytes() {
                    CallerOutcome::Completed
                } else {
                    CallerOutcome::Incorrect(format!(
                        "stream {id}: {}",
                        String::from_utf8_lossy(&body)
                    ))
                }
            }
            other => failure_outcome(other),
        }
    }

    /// Asks for a plain answer and checks it.
    pub async fn request_plain(&mut self, route: &str, id: &str) -> CallerOutcome {
        let plain = request(Method::POST, &format!("/{route}/x"), id, "order");
        match self.call(&plain).await {
            Ok((StatusCode::OK, body)) if body == PlatformTarget::event_data(id, 0).as_bytes() => {
                CallerOutcome::Completed
            }
            Ok((StatusCode::OK, body)) => CallerOutcome::Incorrect(format!(
                "answer to {id}: {}",
                String::from_utf8_lossy(&body)
            )),
            other => failure_outcome(other),
        }
    }

    /// Makes one call over the kept connection, or over a new one.
    async fn call(&mut self, request: &ClientRequest) -> Result<(StatusCode, Bytes), HttpFault> {
        let limits = HttpLimits { body_timeout: RESPONSE_TIMEOUT, ..HttpLimits::default() };
        let kept = self.connection.take();
        let mut connection = match kept {
            Some(connection) => connection,
            None => ClientConnection::connect(self.address, CONNECT_TIMEOUT, limits).await?,
        };
        let answer = connection.exchange(request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await?;
        if connection.is_reusable() {
            self.connection = Some(connection);
        }
        let is_signed = answer.headers.contains_key("server-seal");
        if answer.status == StatusCode::OK && !is_signed && !request.path.starts_with("/lots/") {
            return Err(HttpFault::Malformed("a success without the target's signature"));
        }
        Ok((answer.status, answer.body))
    }
}

/// Makes one call over a new connection.
async fn call(
    address: SocketAddr,
    request: &ClientRequest,
) -> Result<(StatusCode, Bytes), HttpFault> {
    NodeCaller::new(address).call(request).await
}

/// Asks for a stream over a new connection.
pub async fn request_stream(
    address: SocketAddr,
    route: &str,
    id: &str,
    events: u64,
) -> CallerOutcome {
    NodeCaller::new(address).request_stream(route, id, events).await
}

/// Asks for a plain answer over a new connection.
pub async fn request_plain(address: SocketAddr, route: &str, id: &str) -> CallerOutcome {
    NodeCaller::new(address).request_plain(route, id).await
}

/// Body of an item that says nothing of it, in base64.
const SHORT_BODY: &str = "q83v";

/// Submits a job of items with so many events each; the items' ids follow from the job's.
pub async fn submit_job(address: SocketAddr, job: &str, items: u64, events: u64) -> CallerOutcome {
    submit_job_with_body(address, job, items, events, SHORT_BODY).await
}

/// Submits a job whose items have a body, given in base64.
pub async fn submit_job_with_body(
    address: SocketAddr,
    job: &str,
    items: u64,
    events: u64,
    body: &str,
) -> CallerOutcome {
    let rows: Vec<Value> = (0..items)
        .map(|item| {
            json!({
                "id": item_id(job, item), "path": "/plans/item", "body": body, "tokenCount": 20,
                "headers": { "Token-Count": format!("10,{events}"), "Model": "m" },
            })
        })
        .collect();
    let body = json!({ "items": rows }).to_string();
    match call(address, &request(Method::POST, "/plans/job", job, body)).await {
        Ok((StatusCode::ACCEPTED, _)) => CallerOutcome::Completed,
        other => failure_outcome(other),
    }
}

/// Reads the results of a job from a position.
///
/// # Errors
/// Says why the entry gave no answer.
pub async fn read_results(
    address: SocketAddr,
    job: &str,
    position: usize,
) -> Result<Value, String> {
    let path = format!("/lots/{job}?after={position}");
    match call(address, &request(Method::GET, &path, "read", "")).await {
        Ok((StatusCode::OK, body)) => {
            serde_json::from_slice(&body).map_err(|fault| fault.to_string())
        }
        Ok((status, _)) => Err(format!("status {status}")),
        Err(fault) => Err(fault.to_string()),
    }
}

/// Ends a job; tells whether that was acknowledged.
pub async fn close_job(address: SocketAddr, job: &str) -> bool {
    let path = format!("/lots/{job}");
    let ended = call(address, &request(Method::DELETE, &path, "end", "")).await;
    ended.is_ok_and(|(status, _)| status == StatusCode::OK)
}

/// Returns the id of a job's item.
#[must_use]
pub fn item_id(job: &str, item: u64) -> String {
    format!("{job}i{item}")
}

/// Returns the whole output of an item.
#[must_use]
pub fn expected_output(id: &str, events: u64) -> String {
    let rows = (1..=events).map(|number| PlatformTarget::event_data(id, number));
    rows.collect::<Vec<_>>().join("\n")
}

/// Sorts what is no success.
fn failure_outcome(result: Result<(StatusCode, Bytes), HttpFault>) -> CallerOutcome {
    match result {
        Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) => {
            CallerOutcome::NotRun
        }
        Ok((status, _)) if status.is_server_error() => CallerOutcome::Unknown(status.to_string()),
        Ok((status, _)) => CallerOutcome::Incorrect(format!("status {status}")),
        Err(HttpFault::Malformed(detail)) => CallerOutcome::Incorrect(detail.to_owned()),
        Err(fault) => CallerOutcome::Unknown(fault.to_string()),
    }
}

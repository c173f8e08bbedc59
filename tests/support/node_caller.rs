//! A caller of entries that checks their responses.

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

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Value of the deadline header of every request, in milliseconds.
const DEADLINE_MS: &str = "5000";

/// Key that callers send with each request; only fleets with customers ask for it.
pub const CALLER_KEY: &str = "key-callers";

/// Customer that holds [`CALLER_KEY`] in a fleet with customers.
pub const CALLER_NAME: &str = "callers";

/// What a caller knows of its request after the call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// The response arrived whole and is correct; for a job, it was accepted.
    Completed,
    /// The entry refused the request: it has not run and will not.
    NotRun,
    /// The call failed; the request may have run.
    Unknown(String),
    /// The response is wrong: its status, its body or its form.
    Incorrect(String),
}

/// Builds a request with the headers that every request has.
pub(crate) fn build_request(
    method: Method,
    path: &str,
    id: &str,
    body: impl Into<Bytes>,
) -> ClientRequest {
    build_without_key(method, path, id, body).with_header("api-key", CALLER_KEY)
}

/// Builds a request with the headers that every request has, but for the key.
pub(crate) fn build_without_key(
    method: Method,
    path: &str,
    id: &str,
    body: impl Into<Bytes>,
) -> ClientRequest {
    ClientRequest::new(method, path, body)
        .with_header("host", "growers.example")
        .with_header("request-id", id)
        .with_header("deadline-ms", DEADLINE_MS)
}

/// A caller that reuses its connection until it fails or the entry closes it.
pub struct NodeCaller {
    address: SocketAddr,
    connection: Option<ClientConnection>,
}

impl NodeCaller {
    /// Creates a caller of the entry at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Requests a stream of `events` events and checks each of them.
    pub async fn request_stream(&mut self, route: &str, id: &str, events: u64) -> CallerOutcome {
        self.request_prompt(route, id, events, "").await
    }

    /// Requests a stream of `events` events for a prompt with the given prefix, for example
    /// `a1:100,b2:50`, and checks each event.
    pub async fn request_prompt(
        &mut self,
        route: &str,
        id: &str,
        events: u64,
        prefix: &str,
    ) -> CallerOutcome {
        let body = format!("prompt of {id}");
        let mut stream = build_request(Method::POST, &format!("/{route}/x"), id, body)
            .with_header("token-count", &format!("10,{events}"));
        if !prefix.is_empty() {
            stream = stream.with_header("prompt-prefix", prefix);
        }
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

    /// Requests a plain response and checks it.
    pub async fn request_plain(&mut self, route: &str, id: &str) -> CallerOutcome {
        let plain = build_request(Method::POST, &format!("/{route}/x"), id, format!("order {id}"));
        match self.call(&plain).await {
            Ok((StatusCode::OK, body)) if body == PlatformTarget::event_data(id, 0).as_bytes() => {
                CallerOutcome::Completed
            }
            Ok((StatusCode::OK, body)) => CallerOutcome::Incorrect(format!(
                "response to {id}: {}",
                String::from_utf8_lossy(&body)
            )),
            other => failure_outcome(other),
        }
    }

    /// Makes one call over the open connection, or over a new one.
    ///
    /// # Errors
    /// Fails if the exchange fails, or if a response from a target lacks the target's signature.
    async fn call(&mut self, request: &ClientRequest) -> Result<(StatusCode, Bytes), HttpFault> {
        let limits = HttpLimits { body_timeout: RESPONSE_TIMEOUT, ..HttpLimits::default() };
        let open_connection = self.connection.take();
        let mut connection = match open_connection {
            Some(connection) => connection,
            None => ClientConnection::connect(self.address, CONNECT_TIMEOUT, limits).await?,
        };
        let response = connection.exchange(request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await?;
        if connection.is_reusable() {
            self.connection = Some(connection);
        }
        let is_signed = response.headers.contains_key("server-seal");
        if response.status == StatusCode::OK && !is_signed && !request.path.starts_with("/lots/") {
            return Err(HttpFault::Malformed("a successful response lacks the target's signature"));
        }
        Ok((response.status, response.body))
    }
}

/// Makes one call over a new connection.
pub(crate) async fn call(
    address: SocketAddr,
    request: &ClientRequest,
) -> Result<(StatusCode, Bytes), HttpFault> {
    NodeCaller::new(address).call(request).await
}

/// Makes one call over a new connection, with the given headers and no key beside them.
///
/// # Errors
/// Fails if the exchange fails, or if a response from a target lacks the target's signature.
pub async fn call_with_key(
    address: SocketAddr,
    (method, path): (Method, &str),
    id: &str,
    headers: &[(&'static str, &str)],
    body: impl Into<Bytes>,
) -> Result<(StatusCode, Bytes), HttpFault> {
    let request = build_without_key(method, path, id, body);
    let request =
        headers.iter().fold(request, |request, (name, value)| request.with_header(name, value));
    call(address, &request).await
}

/// Requests a stream over a new connection.
pub async fn request_stream(
    address: SocketAddr,
    route: &str,
    id: &str,
    events: u64,
) -> CallerOutcome {
    NodeCaller::new(address).request_stream(route, id, events).await
}

/// Requests a stream for a prompt with the given prefix over a new connection.
pub async fn request_prompt(
    address: SocketAddr,
    route: &str,
    id: &str,
    events: u64,
    prefix: &str,
) -> CallerOutcome {
    NodeCaller::new(address).request_prompt(route, id, events, prefix).await
}

/// Requests a plain response over a new connection.
pub async fn request_plain(address: SocketAddr, route: &str, id: &str) -> CallerOutcome {
    NodeCaller::new(address).request_plain(route, id).await
}

/// Body of an item whose content does not matter, in base64.
pub const DEFAULT_BODY: &str = "q83v";

/// Submits a job whose items each produce `events` events; [`item_id`] gives their ids.
pub async fn submit_job(address: SocketAddr, job: &str, items: u64, events: u64) -> CallerOutcome {
    submit_job_with_body(address, job, items, events, DEFAULT_BODY).await
}

/// Submits a job whose items all have the given body, in base64.
pub async fn submit_job_with_body(
    address: SocketAddr,
    job: &str,
    items: u64,
    events: u64,
    body: &str,
) -> CallerOutcome {
    submit_job_to_route(address, "plans", job, items, events, body).await
}

/// Submits a job on the given route, whose items all have the given body, in base64.
pub async fn submit_job_to_route(
    address: SocketAddr,
    route: &str,
    job: &str,
    items: u64,
    events: u64,
    body: &str,
) -> CallerOutcome {
    let rows: Vec<Value> = (0..items)
        .map(|item| {
            json!({
                "id": item_id(job, item), "path": format!("/{route}/item"), "body": body,
                "tokenCount": 20,
                "headers": { "Token-Count": format!("10,{events}"), "Model": "m" },
            })
        })
        .collect();
    let body = json!({ "items": rows }).to_string();
    let path = format!("/{route}/job");
    let request = build_request(Method::POST, &path, job, body)
        .with_header("content-type", "application/json");
    match call(address, &request).await {
        Ok((StatusCode::ACCEPTED, _)) => CallerOutcome::Completed,
        other => failure_outcome(other),
    }
}

/// Submits a job with an item for each of the prompt prefixes; [`item_id`] gives their ids.
pub async fn submit_prompts(
    address: SocketAddr,
    job: &str,
    prefixes: &[&str],
    events: u64,
) -> CallerOutcome {
    let rows = prefixes.iter().enumerate().map(|(item, prefix)| {
        json!({
            "id": item_id(job, item as u64), "path": "/plans/item", "body": DEFAULT_BODY,
            "tokenCount": 20,
            "headers": { "Token-Count": format!("10,{events}"), "Prompt-Prefix": prefix },
        })
    });
    let body = json!({ "items": rows.collect::<Vec<Value>>() }).to_string();
    match call(address, &build_request(Method::POST, "/plans/job", job, body)).await {
        Ok((StatusCode::ACCEPTED, _)) => CallerOutcome::Completed,
        other => failure_outcome(other),
    }
}

/// Reads a job's results after a position.
///
/// # Errors
/// Returns the status unless it is 200, or why the call failed or its body is no JSON.
pub async fn read_results(
    address: SocketAddr,
    job: &str,
    position: usize,
) -> Result<Value, String> {
    let path = format!("/lots/{job}?after={position}");
    match call(address, &build_request(Method::GET, &path, "read", "")).await {
        Ok((StatusCode::OK, body)) => {
            serde_json::from_slice(&body).map_err(|fault| fault.to_string())
        }
        Ok((status, _)) => Err(format!("status {status}")),
        Err(fault) => Err(fault.to_string()),
    }
}

/// Closes a job; returns whether the entry acknowledged it.
pub async fn close_job(address: SocketAddr, job: &str) -> bool {
    let path = format!("/lots/{job}");
    let closed = call(address, &build_request(Method::DELETE, &path, "end", "")).await;
    closed.is_ok_and(|(status, _)| status == StatusCode::OK)
}

/// Returns the id of a job's item.
#[must_use]
pub fn item_id(job: &str, item: u64) -> String {
    format!("{job}i{item}")
}

/// Returns the complete output that an item of `events` events must have.
#[must_use]
pub fn expected_output(id: &str, events: u64) -> String {
    let rows = (1..=events).map(|number| PlatformTarget::event_data(id, number));
    rows.collect::<Vec<_>>().join("\n")
}

/// Returns the outcome of a call that did not succeed.
pub(crate) fn failure_outcome(result: Result<(StatusCode, Bytes), HttpFault>) -> CallerOutcome {
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

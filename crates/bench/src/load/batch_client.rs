//! A blocking client of the batch API, for threads without a runtime.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_http::ClientRequest;
use cv_http::ClientResponse;
use cv_http::HttpFault;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::deployment::AdminClient;

/// Time between two polls of a job's status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Submits batch jobs and reads their results.
#[derive(Clone, Debug)]
pub struct BatchClient {
    client: AdminClient,
    organisation: String,
}

impl BatchClient {
    /// Creates a client of the entry at an address.
    #[must_use]
    pub fn new(address: SocketAddr, organisation: &str) -> Self {
        Self { client: AdminClient::new(address), organisation: organisation.to_owned() }
    }

    /// Sends a bearer token with every call.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.client = self.client.with_token(token);
        self
    }

    /// Sends a request, with an idempotency key if one is given.
    ///
    /// # Errors
    /// Fails if the connection fails.
    pub fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        key: Option<&str>,
    ) -> Result<ClientResponse, HttpFault> {
        let mut request = ClientRequest::new(method, path, body)
            .with_header("x-organisation", &self.organisation);
        if let Some(key) = key {
            request = request.with_header("idempotency-key", key);
        }
        self.client.call(request)
    }

    /// Uploads an input file and returns its id.
    ///
    /// # Errors
    /// Returns the body of a response that holds no file id.
    pub fn upload(&self, lines: Vec<u8>) -> Result<String, Value> {
        let response = json_body(self.call(Method::POST, "/v1/files", lines, None));
        let id = response["id"].as_str().map(str::to_owned);
        id.ok_or(response)
    }

    /// Creates a job that is due within `due`, and returns its id.
    ///
    /// # Errors
    /// Returns the body of a response that holds no job id.
    pub fn create(&self, file: &str, key: Option<&str>, due: Duration) -> Result<String, Value> {
        let window = format!("{}s", due.as_secs().max(1));
        let body = json!({"completion_window": window, "input_file_id": file});
        let bytes = body.to_string().into_bytes();
        let response = json_body(self.call(Method::POST, "/v1/batches", bytes, key));
        let id = response["id"].as_str().map(str::to_owned);
        id.ok_or(response)
    }

    /// Reads a job; null if it cannot be read now.
    #[must_use]
    pub fn fetch(&self, id: &str) -> Value {
        json_body(self.call(Method::GET, &format!("/v1/batches/{id}"), Vec::new(), None))
    }

    /// Cancels a job and returns the response body.
    #[must_use]
    pub fn cancel(&self, id: &str) -> Value {
        json_body(self.call(Method::POST, &format!("/v1/batches/{id}/cancel"), Vec::new(), None))
    }

    /// Waits until a job is completed or cancelled, for at most `timeout`; returns its last state.
    #[must_use]
    pub fn wait(&self, id: &str, timeout: Duration) -> Value {
        let started_at = Instant::now();
        loop {
            let job = self.fetch(id);
            let is_finished = matches!(job["status"].as_str(), Some("completed" | "cancelled"));
            if is_finished || started_at.elapsed() > timeout {
                return job;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Reads the lines of a result file, `output` or `errors`.
    ///
    /// # Errors
    /// Fails if the connection fails, also in the middle of the response.
    pub fn results(&self, id: &str, kind: &str) -> Result<Vec<Value>, HttpFault> {
        let path = format!("/v1/files/{id}-{kind}/content");
        let response = self.call(Method::GET, &path, Vec::new(), None)?;
        let text = String::from_utf8_lossy(&response.body);
        Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
    }
}

/// Parses a response's body as JSON; null if that fails.
fn json_body(response: Result<ClientResponse, HttpFault>) -> Value {
    response
        .ok()
        .and_then(|response| serde_json::from_slice(&response.body).ok())
        .unwrap_or_default()
}

//! A caller's side of batch jobs, for threads without a runtime.

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

/// Pause between two looks at a job.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Submits jobs and reads their results.
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

    /// Shows a token with every call.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.client = self.client.with_token(token);
        self
    }

    /// Makes one call.
    ///
    /// # Errors
    /// Faults of the connection.
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

    /// Uploads a file and returns its id, or the answer that refuses it.
    ///
    /// # Errors
    /// The whole answer, where it is no file.
    pub fn upload(&self, lines: Vec<u8>) -> Result<String, Value> {
        let answer = value_of(self.call(Method::POST, "/v1/files", lines, None));
        let id = answer["id"].as_str().map(str::to_owned);
        id.ok_or(answer)
    }

    /// Creates a job and returns its id.
    ///
    /// # Errors
    /// The whole answer, where it is no job.
    pub fn create(&self, file: &str, key: Option<&str>, due: Duration) -> Result<String, Value> {
        let window = format!("{}s", due.as_secs().max(1));
        let body = json!({"completion_window": window, "input_file_id": file});
        let bytes = body.to_string().into_bytes();
        let answer = value_of(self.call(Method::POST, "/v1/batches", bytes, key));
        let id = answer["id"].as_str().map(str::to_owned);
        id.ok_or(answer)
    }

    /// Shows a job; null if it cannot be read now.
    #[must_use]
    pub fn show(&self, id: &str) -> Value {
        value_of(self.call(Method::GET, &format!("/v1/batches/{id}"), Vec::new(), None))
    }

    /// Cancels a job and returns the answer.
    #[must_use]
    pub fn cancel(&self, id: &str) -> Value {
        value_of(self.call(Method::POST, &format!("/v1/batches/{id}/cancel"), Vec::new(), None))
    }

    /// Waits until a job has ended, at most for `patience`; returns it as it is then.
    #[must_use]
    pub fn wait(&self, id: &str, patience: Duration) -> Value {
        let begin = Instant::now();
        loop {
            let job = self.show(id);
            let ended = matches!(job["status"].as_str(), Some("completed" | "cancelled"));
            if ended || begin.elapsed() > patience {
                return job;
            }
            std::thread::sleep(LOOK_PAUSE);
        }
    }

    /// Reads the lines of a result file, `output` or `errors`.
    ///
    /// # Errors
    /// Faults of the connection, a cut answer among them.
    pub fn results(&self, id: &str, kind: &str) -> Result<Vec<Value>, HttpFault> {
        let path = format!("/v1/files/{id}-{kind}/content");
        let response = self.call(Method::GET, &path, Vec::new(), None)?;
        let text = String::from_utf8_lossy(&response.body);
        Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
    }
}

/// Reads the value of an answer; null if there is none.
fn value_of(answer: Result<ClientResponse, HttpFault>) -> Value {
    answer.ok().and_then(|response| serde_json::from_slice(&response.body).ok()).unwrap_or_default()
}

//! Operators' calls from a thread without a runtime.

use std::net::SocketAddr;
use std::time::Duration;

use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::ClientResponse;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_runtime::block_on_with_tarpc;
use http::Method;
use serde_json::Value;

/// Longest time that a call waits.
const PATIENCE: Duration = Duration::from_secs(30);

/// Longest answer, in bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Calls one server.
#[derive(Clone, Debug)]
pub struct AdminClient {
    address: SocketAddr,
    token: Option<String>,
}

impl AdminClient {
    /// Creates a client of the server at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, token: None }
    }

    /// Shows a token with every call.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Makes one call.
    ///
    /// # Errors
    /// Faults of the connection.
    pub fn call(&self, mut request: ClientRequest) -> Result<ClientResponse, HttpFault> {
        if let Some(token) = &self.token {
            request = request.with_header("authorization", &format!("Bearer {token}"));
        }
        let result = block_on_with_tarpc(async {
            let limits = HttpLimits::default();
            let mut connection = ClientConnection::connect(self.address, PATIENCE, limits).await?;
            connection.exchange(&request, PATIENCE, ANSWER_BYTES).await
        });
        result.unwrap_or(Err(HttpFault::Closed))
    }

    /// Reads a JSON value; `None` if there is none.
    #[must_use]
    pub fn get_json(&self, path: &str) -> Option<Value> {
        let response = self.call(ClientRequest::new(Method::GET, path, "")).ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Changes the configuration against a revision and returns the answer.
    ///
    /// # Errors
    /// Faults of the connection.
    pub fn put_config(&self, document: &str, against: u64) -> Result<ClientResponse, HttpFault> {
        let request = ClientRequest::new(Method::PUT, "/admin/config", document.to_owned())
            .with_header("x-config-revision", &against.to_string());
        self.call(request)
    }
}

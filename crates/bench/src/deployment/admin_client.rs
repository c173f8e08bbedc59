//! A blocking HTTP client of one server, for threads without a runtime.

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

/// Timeout for connecting and for the response.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests to one server.
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

    /// Sends a bearer token with every call.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Sends a request on a new connection.
    ///
    /// # Errors
    /// Fails if the connection fails.
    pub fn call(&self, mut request: ClientRequest) -> Result<ClientResponse, HttpFault> {
        if let Some(token) = &self.token {
            request = request.with_header("authorization", &format!("Bearer {token}"));
        }
        let result = block_on_with_tarpc(async {
            let limits = HttpLimits::default();
            let mut connection = ClientConnection::connect(self.address, TIMEOUT, limits).await?;
            connection.exchange(&request, TIMEOUT, MAX_RESPONSE_BYTES).await
        });
        result.unwrap_or(Err(HttpFault::Closed))
    }

    /// Reads a JSON document; `None` if the call fails or the body is not JSON.
    #[must_use]
    pub fn get_json(&self, path: &str) -> Option<Value> {
        let response = self.call(ClientRequest::new(Method::GET, path, "")).ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Replaces the configuration if its current revision is the expected one.
    ///
    /// # Errors
    /// Fails if the connection fails.
    pub fn put_config(
        &self,
        document: &str,
        expected_revision: u64,
    ) -> Result<ClientResponse, HttpFault> {
        let request = ClientRequest::new(Method::PUT, "/admin/config", document.to_owned())
            .with_header("x-config-revision", &expected_revision.to_string());
        self.call(request)
    }
}

//! The platform's list of instances, which lags behind reality.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cv_http::DrainGate;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_http::HttpServer;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::StatusCode;
use monoio::net::TcpListener;
use serde::Deserialize;
use serde::Serialize;

use crate::json_response::respond_json;

/// One instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Where it takes requests.
    pub data: SocketAddr,
    /// Whether it has a disk.
    #[serde(default)]
    pub disk: bool,
    /// Whether it is draining.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Its name.
    pub name: String,
    /// Its role, `entry` or `sidecar`.
    pub role: String,
    /// The service of a sidecar's target.
    #[serde(default)]
    pub service: String,
    /// Its availability zone.
    pub zone: String,
}

/// A list and the time of its publication.
type ListVersion = (Instant, Vec<ListedInstance>);

/// The stand-in; clones share the list.
#[derive(Clone, Debug, Default)]
pub struct InstanceListStandin {
    lag: Duration,
    versions: Arc<Mutex<Vec<ListVersion>>>,
}

impl InstanceListStandin {
    /// Creates an empty list whose changes show after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self { lag, versions: Arc::default() }
    }

    /// Changes the list.
    ///
    /// # Panics
    /// Panics if a holder of the list has panicked.
    pub fn set(&self, instances: Vec<ListedInstance>) {
        self.versions.lock().expect("no holder panics").push((Instant::now(), instances));
    }

    /// Serves the list until the gate drains.
    pub async fn serve(self, listener: TcpListener, gate: DrainGate) {
        HttpServer::new(listener, Rc::new(self), gate, HttpLimits::default()).run().await;
    }

    /// Returns the list as it shows now: the first version at once, later ones after the lag.
    fn visible(&self) -> Vec<ListedInstance> {
        let versions = self.versions.lock().expect("no holder panics");
        let shown = versions.iter().rev().find(|(since, _)| since.elapsed() >= self.lag);
        shown.or(versions.first()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

impl RequestHandler for InstanceListStandin {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        exchange.read_body(0).await?;
        respond_json(exchange, StatusCode::OK, &self.visible()).await
    }
}

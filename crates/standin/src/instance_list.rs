//! The platform's list of instances, which shows changes only after a lag.

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
    /// Address for control calls.
    pub control: SocketAddr,
    /// Address for requests.
    pub data: SocketAddr,
    /// Whether it has a persistent disk.
    #[serde(default)]
    pub disk: bool,
    /// Whether it is draining.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Its unique name.
    pub name: String,
    /// Its role, `entry` or `sidecar`.
    pub role: String,
    /// The service of a sidecar's target.
    #[serde(default)]
    pub service: String,
    /// Its availability zone.
    pub zone: String,
}

/// A version of the list, and when it was set.
type ListVersion = (Instant, Vec<ListedInstance>);

/// Serves the list of instances; clones share the list.
#[derive(Clone, Debug, Default)]
pub struct InstanceListStandin {
    lag: Duration,
    versions: Arc<Mutex<Vec<ListVersion>>>,
}

impl InstanceListStandin {
    /// Creates an empty list whose changes become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self { lag, versions: Arc::default() }
    }

    /// Replaces the list.
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

    /// Returns the visible version: the first one at once, later ones after the lag.
    fn visible(&self) -> Vec<ListedInstance> {
        let versions = self.versions.lock().expect("no holder panics");
        let visible = versions.iter().rev().find(|(set_at, _)| set_at.elapsed() >= self.lag);
        visible.or(versions.first()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

impl RequestHandler for InstanceListStandin {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        exchange.read_body(0).await?;
        respond_json(exchange, StatusCode::OK, &self.visible()).await
    }
}

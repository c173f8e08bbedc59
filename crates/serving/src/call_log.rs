//! Records how the calls of a process to targets and sidecars ended.

use std::net::SocketAddr;

use cv_http::ConnectionUse;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use http::StatusCode;
use prometheus::IntCounter;
use prometheus::Registry;

/// Log and metrics of the calls of one process.
#[derive(Clone, Debug)]
pub(crate) struct CallLog {
    log: LineLog,
    /// Responses to other requests that were skipped.
    strays: IntCounter,
}

/// A call to a server, as log lines name it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoggedCall<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    /// The connection that carries the call.
    pub connection: ConnectionUse,
    /// Id of the request, if it has one.
    pub request_id: Option<&'a str>,
}

impl CallLog {
    /// Creates the log, whose counter of skipped responses has the name `metric`.
    ///
    /// # Errors
    /// Fails if the registry has a metric of that name.
    pub fn register(log: LineLog, registry: &Registry, metric: &str) -> prometheus::Result<Self> {
        let strays = IntCounter::new(metric, "Responses to other requests that were skipped.")?;
        registry.register(Box::new(strays.clone()))?;
        Ok(Self { log, strays })
    }

    /// Records a response, with the id of the request that it names.
    pub fn record_response(
        &self,
        call: &LoggedCall<'_>,
        status: StatusCode,
        named_id: Option<&str>,
    ) {
        self.record(LinePriority::Routine, EventKind::ResponseReceived, call, || {
            format!("status={} named={}", status.as_u16(), named_id.unwrap_or("none"))
        });
    }

    /// Records a response to another request, which is skipped.
    pub fn record_stray(&self, call: &LoggedCall<'_>, status: StatusCode, named_id: &str) {
        self.strays.inc();
        self.record(LinePriority::Essential, EventKind::StrayResponse, call, || {
            format!("status={} named={named_id}", status.as_u16())
        });
    }

    /// Records a call that was handed over, or partly so, and got no response.
    pub fn record_fault(&self, call: &LoggedCall<'_>, fault: &str) {
        self.record(LinePriority::Essential, EventKind::ResponseReceived, call, || {
            format!("fault={}", fault.replace(' ', "_"))
        });
    }

    /// Writes a line about a call.
    fn record(
        &self,
        priority: LinePriority,
        kind: EventKind,
        call: &LoggedCall<'_>,
        describe: impl FnOnce() -> String,
    ) {
        self.log.record(priority, kind, call.request_id.unwrap_or_default(), || {
            format!("address={} connection={} {}", call.address, call.connection, describe())
        });
    }
}

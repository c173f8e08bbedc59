//! Records how the calls of a process to targets and sidecars ended.

use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use http::StatusCode;
use prometheus::IntCounter;
use prometheus::Registry;

use crate::logged_call::LoggedCall;
use crate::pending_call::PendingCall;

/// Log and metrics of the calls of one process.
#[derive(Clone, Debug)]
pub(crate) struct CallLog {
    log: LineLog,
    /// Responses to other requests that were skipped.
    strays: IntCounter,
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

    /// Begins to watch a call that is about to be sent.
    pub fn begin<'a>(&'a self, call: LoggedCall<'a>) -> PendingCall<'a> {
        PendingCall::new(self, call)
    }

    /// Records a response, with the id of the request that it names.
    pub fn record_response(
        &self,
        priority: LinePriority,
        call: &LoggedCall<'_>,
        status: StatusCode,
        named_id: Option<&str>,
    ) {
        self.record(priority, EventKind::ResponseReceived, call, || {
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

    /// Writes a line about a call.
    pub fn record(
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

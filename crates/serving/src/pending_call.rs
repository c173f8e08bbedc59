//! A call whose response is still to come.

use cv_timeline::EventKind;
use cv_timeline::LinePriority;

use crate::call_log::CallLog;
use crate::logged_call::LoggedCall;

/// A call that may have reached its server; dropping it without a response writes a line.
pub(crate) struct PendingCall<'a> {
    call: LoggedCall<'a>,
    is_over: bool,
    log: &'a CallLog,
}

impl<'a> PendingCall<'a> {
    /// Begins to watch a call that is about to be sent.
    pub fn new(log: &'a CallLog, call: LoggedCall<'a>) -> Self {
        Self { call, is_over: false, log }
    }

    /// Ends the call after its response.
    pub fn finish(mut self) {
        self.is_over = true;
    }

    /// Ends the call, which got no response of its own, and records the reason.
    pub fn fail(mut self, fault: &str) {
        self.is_over = true;
        self.log.record(LinePriority::Essential, EventKind::ResponseReceived, &self.call, || {
            format!("fault={}", fault.replace(' ', "_"))
        });
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.log.record(LinePriority::Routine, EventKind::ResponseReceived, &self.call, || {
                "fault=abandoned".to_owned()
            });
        }
    }
}

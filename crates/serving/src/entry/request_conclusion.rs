//! Ends a caller's request, with or without a target's response.

use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::TargetChoice;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use http::HeaderMap;
use http::StatusCode;

use crate::PlatformAdapter;
use crate::entry::request_context::RequestContext;
use crate::entry::response_relay::ResponseRelay;

/// Retry delay of a request that was refused because another is being tried, or because of what only
/// a sidecar knows yet.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Ends one request.
pub(crate) struct RequestConclusion<'c, 'a, P> {
    /// The request.
    pub context: &'c RequestContext<'a, P>,
}

impl<P: PlatformAdapter> RequestConclusion<'_, '_, P> {
    /// Ends a request that has no complete response from any target: the caller is told to retry
    /// if nothing has run, otherwise it gets an error.
    pub async fn finish_unanswered(
        &self,
        exchange: &mut ServerExchange<'_>,
        relay: &ResponseRelay<'_>,
        reason: &str,
    ) -> Result<(), HttpFault> {
        let handler = self.context.handler;
        if self.context.attempts == 0 && !relay.has_started() {
            let now = handler.view.clock.now();
            let time_left = self.context.time_left();
            let random = handler.view.random_fraction();
            let after = handler.retry_advice.borrow_mut().record_refusal(now, time_left, random);
            let details = format!(
                "tried={} rank={}/{} returning={} held_ms={} version={}",
                self.context.tried_targets.join(","),
                self.context.rank.customer,
                self.context.rank.route,
                self.context.is_retry,
                self.context.received_at.elapsed().as_millis(),
                handler.view.routes().map_or(0, |routes| routes.version),
            );
            return handler.refuse(exchange, after, reason, &details).await;
        }
        handler.metrics.failed.inc();
        self.record_failure(reason);
        if relay.has_started() {
            return Err(HttpFault::Truncated);
        }
        let is_late = self.context.time_left().is_zero();
        let status = if is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
    }

    /// Ends a request because the process exits before the request does: the caller is told to go
    /// elsewhere if nothing has run.
    pub async fn finish_stopping(
        &self,
        exchange: &mut ServerExchange<'_>,
        relay: &ResponseRelay<'_>,
    ) -> Result<(), HttpFault> {
        let handler = self.context.handler;
        if self.context.has_not_run() && !relay.has_started() {
            return handler.refuse_stopping(exchange).await;
        }
        handler.metrics.failed.inc();
        self.record_failure("stopping");
        if relay.has_started() {
            return Err(HttpFault::Truncated);
        }
        exchange.respond(StatusCode::GATEWAY_TIMEOUT, &HeaderMap::new(), &Bytes::new()).await
    }

    /// Logs a request that fails after an attempt.
    fn record_failure(&self, reason: &str) {
        let subject = self.context.subject();
        let log = &self.context.handler.view.log;
        log.record(LinePriority::Essential, EventKind::RequestConcluded, subject, || {
            format!(
                "outcome=failed reason={reason} attempts={} tried={} total_ms={} left_ms={}",
                self.context.attempts,
                self.context.tried_targets.join(","),
                self.context.received_at.elapsed().as_millis(),
                self.context.time_left().as_millis(),
            )
        });
    }

    /// Ends a request that is not handed over because of a subject in quarantine.
    pub async fn finish_quarantined(
        &self,
        exchange: &mut ServerExchange<'_>,
        relay: &ResponseRelay<'_>,
    ) -> Result<(), HttpFault> {
        const REASON: &str = "quarantined";
        if self.context.attempts > 0 || relay.has_started() {
            return self.finish_unanswered(exchange, relay, REASON).await;
        }
        let handler = self.context.handler;
        handler.metrics.quarantined.inc();
        let (subject, retry_after) = match self.context.decide_quarantine() {
            QuarantineDecision::Refuse(subject, left) => (Some(subject), left),
            QuarantineDecision::Try(subject) => (Some(subject), TRIAL_RETRY_DELAY),
            QuarantineDecision::Admit => (None, TRIAL_RETRY_DELAY),
        };
        let details = format!(
            "part={} held_ms={}",
            subject.map_or_else(|| "unknown".to_owned(), |subject| subject.to_string()),
            self.context.received_at.elapsed().as_millis(),
        );
        handler.refuse(exchange, retry_after, REASON, &details).await
    }

    /// Records a complete response, which may be an error of the target.
    pub fn record_success(&self, target: &str, status: StatusCode, relay: &ResponseRelay<'_>) {
        let handler = self.context.handler;
        handler.metrics.answered.inc();
        let now = handler.view.clock.now();
        handler.retry_advice.borrow_mut().record_admission(now);
        let total = self.context.received_at.elapsed();
        handler.run_times.borrow_mut().record(now, &self.context.route.name, total);
        if status.is_server_error() {
            handler.metrics.relayed_errors.inc();
        } else {
            handler.view.with_targets(|targets| {
                if let Some(row) = targets.get_mut(target) {
                    row.record_success();
                }
            });
        }
        let subject = self.context.subject();
        let time_to_first =
            relay.first_sent_at().map(|time| time.duration_since(self.context.received_at));
        let is_late = time_to_first.is_some_and(|time| time > self.context.route.objective);
        let priority = if is_late { LinePriority::Essential } else { LinePriority::Routine };
        handler.view.log.record(priority, EventKind::RequestConcluded, subject, || {
            format!(
                "outcome=answered late={is_late} first_ms={} total_ms={} objective_ms={} \
                 status={status} target={target} attempts={} refused_by={} returning={}",
                time_to_first.unwrap_or_default().as_millis(),
                self.context.received_at.elapsed().as_millis(),
                self.context.route.objective.as_millis(),
                self.context.attempts,
                self.context.tried_targets.len(),
                self.context.is_retry,
            )
        });
        if let Some(time_to_first) = time_to_first {
            handler.metrics.first_response.observe(time_to_first.as_secs_f64());
            let objective = self.context.route.objective;
            handler.view.with_targets(|targets| {
                if let Some(service) = targets.get(target).map(|row| row.record.service.clone()) {
                    targets.record_first_event(&service, time_to_first, objective);
                }
            });
        }
    }

    /// Records that the engine may have survived the prompt.
    pub fn record_survival(&self, choice: &TargetChoice, status: StatusCode) {
        if !status.is_success() {
            return;
        }
        let desk = &self.context.handler.view.quarantine;
        if choice.through_sidecar {
            desk.record_response(&self.context.subjects);
        } else {
            desk.judge_response(choice.address, &self.context.subjects);
        }
    }

    /// Records that the caller has gone away; dropping the attempt's connection cancels it.
    pub fn record_abandoned(&self) {
        self.context.handler.metrics.abandoned.inc();
    }
}

//! Routes callers' requests.

use std::cell::RefCell;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::RequestCaller;
use cv_dispatch::RetryAdvice;
use cv_dispatch::RetryDetector;
use cv_dispatch::RouteKind;
use cv_dispatch::RouteRule;
use cv_dispatch::RunTimes;
use cv_http::ConnectionPool;
use cv_http::DrainGate;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use http::HeaderMap;
use http::StatusCode;
use http::header::HOST;

use crate::CallerRequest;
use crate::FleetView;
use crate::NodeIdentity;
use crate::PlatformAdapter;
use crate::call_log::CallLog;
use crate::entry::entry_metrics::EntryMetrics;
use crate::entry::identified_caller::IdentifiedCaller;
use crate::entry::job_confirmation::may_submit_job;
use crate::entry::job_relay::JobCall;
use crate::entry::job_relay::JobRelay;
use crate::entry::long_bodies::LongBodies;
use crate::entry::online_request::OnlineRequest;
use crate::entry::permit_client::PermitClient;
use crate::entry::quota_stage::QuotaRefusal;
use crate::entry::quota_stage::QuotaStage;
use crate::entry::request_context::DEFAULT_DEADLINE;
use crate::entry::request_context::ReceivedRequest;
use crate::entry::reservation_client::ReservationClient;
use crate::entry::retry_headers::retry_headers;

/// Retry delay that callers receive while the entry has no configuration.
const NO_CONFIG_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after its start for which an entry holds requests until its view is loaded.
///
/// Loading takes a few round trips to the store. A caller that is refused meanwhile spends one of
/// its few attempts on a request that the entry could have served milliseconds later.
const VIEW_LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay of callers that another entry serves, since this one shuts down or is cut off.
const OTHER_ENTRY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time of a call to the keepers, of which the first may be silent.
const JOB_CALL_TIME: Duration = Duration::from_millis(2_500);

/// Handles the requests of callers.
pub(crate) struct EntryHandler<P> {
    /// Decides when refused callers should retry.
    pub retry_advice: RefCell<RetryAdvice>,
    /// Log of the calls to targets and sidecars.
    pub call_log: CallLog,
    /// Selects the platform adapter.
    pub adapter: PhantomData<P>,
    /// The server's shutdown.
    pub gate: DrainGate,
    /// The process's name and addresses.
    pub identity: Rc<NodeIdentity>,
    /// Relays requests about jobs to the keepers.
    pub jobs: JobRelay,
    /// Limits the memory of long responses.
    pub long_bodies: LongBodies,
    /// The entry's metrics.
    pub metrics: EntryMetrics,
    /// Asks for permits to send requests to targets with a limit.
    pub permits: Rc<PermitClient>,
    /// Pool of connections to targets and sidecars.
    pub pool: ConnectionPool,
    /// Lets requests pass that are within their customer's quota.
    pub quota: QuotaStage,
    /// Places reservations at sidecars.
    pub reservations: Rc<ReservationClient>,
    /// Detects callers that retry after a refusal.
    pub retry_detector: RefCell<RetryDetector>,
    /// How long the requests of each route took of late.
    pub run_times: RefCell<RunTimes>,
    /// When the entry started to accept requests.
    pub started_at: Instant,
    /// The entry's view.
    pub view: Rc<FleetView>,
}

impl<P: PlatformAdapter> RequestHandler for EntryHandler<P> {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let received_at = Instant::now();
        self.wait_for_view(exchange).await?;
        let Some(routes) = self.view.routes() else {
            return self.refuse(exchange, NO_CONFIG_RETRY_DELAY, "no_configuration", "").await;
        };
        let host = exchange.header(HOST.as_str()).unwrap_or_default().to_owned();
        if let CallerRequest::Job(request) = P::classify(exchange.head()) {
            let headers = &exchange.head().headers;
            let Some(identified) = IdentifiedCaller::of_job::<P>(&routes, &host, headers) else {
                return self.reject_caller(exchange, &host).await;
            };
            let call =
                JobCall { caller: &identified.caller, is_submission: false, job: request.job() };
            return self.relay_job(exchange, call, Bytes::new()).await;
        }
        let path = exchange.head().uri.path().to_owned();
        let Some(route) = routes.find(&host, &path) else {
            // An accepted job outlives its route.
            if may_submit_job(exchange.head()) {
                let body = exchange.read_body(routes.limits.max_body_bytes).await?;
                if self.confirm_job(exchange, &routes, &host, &body).await? {
                    return Ok(());
                }
            }
            return self.respond_unrouted(exchange, &host, &path).await;
        };
        let headers = &exchange.head().headers;
        let Some(identified) = IdentifiedCaller::on_route::<P>(&routes, route, headers) else {
            return self.reject_caller(exchange, &host).await;
        };
        let body = exchange.read_body(routes.limits.max_body_bytes).await?;
        if route.kind == RouteKind::Batch {
            let options = P::request_options(&exchange.head().headers);
            let job = options.request_id.unwrap_or_default();
            let call = JobCall { caller: &identified.caller, is_submission: true, job: &job };
            return self.relay_job(exchange, call, body).await;
        }
        // The route may have been added below that of an accepted job.
        if may_submit_job(exchange.head())
            && routes.find_batch(&host, &path).is_some()
            && self.confirm_job(exchange, &routes, &host, &body).await?
        {
            return Ok(());
        }
        // Only now, so that a body that arrives slowly holds no credit.
        let credit = match self.quota.admit(&routes, &identified.caller).await {
            Ok(credit) => credit,
            Err(refusal) => {
                let left = Self::time_left(exchange, route, received_at);
                return self.refuse_credit(exchange, &identified.caller, refusal, left).await;
            }
        };
        let received = ReceivedRequest { body, credit, identified, received_at };
        let result = OnlineRequest::new(self, route, exchange, received).run(exchange).await;
        // After a fault on a target's side the request may have run, so the connection is closed
        // without a response that could say otherwise.
        result.map_err(|fault| if exchange.has_responded() { fault } else { HttpFault::Closed })
    }
}

impl<P: PlatformAdapter> EntryHandler<P> {
    /// Waits until the view and the quarantines are loaded, or the entry has been running for [`VIEW_LOAD_TIMEOUT`].
    ///
    /// # Errors
    /// `Closed` if the caller goes away.
    async fn wait_for_view(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let left = VIEW_LOAD_TIMEOUT.saturating_sub(self.started_at.elapsed());
        let quarantine = &self.view.quarantine;
        if self.view.is_loaded() && quarantine.is_restored() || left.is_zero() {
            return Ok(());
        }
        let loaded = async {
            self.view.wait_until_loaded().await;
            quarantine.wait_until_restored().await;
        };
        monoio::select! {
            // After the timeout the request is handled with what has been loaded.
            _ = monoio::time::timeout(left, loaded) => Ok(()),
            () = exchange.closed() => Err(HttpFault::Closed),
        }
    }

    /// Relays a call about a job to the keepers, unless the process shuts down before they respond.
    async fn relay_job(
        &self,
        exchange: &mut ServerExchange<'_>,
        call: JobCall<'_>,
        body: Bytes,
    ) -> Result<(), HttpFault> {
        if !self.has_time_for_jobs() {
            return self.refuse_stopping(exchange).await;
        }
        self.jobs.relay::<P>(exchange, call, body).await
    }

    /// Responds with status 401 to a caller whose key is missing or unknown.
    async fn reject_caller(
        &self,
        exchange: &mut ServerExchange<'_>,
        host: &str,
    ) -> Result<(), HttpFault> {
        self.metrics.rejected.inc();
        let headers = &exchange.head().headers;
        let subject = P::request_options(headers).request_id.unwrap_or_default();
        let has_key = P::caller_key(headers).is_some();
        // The key itself is never logged.
        self.view.log.record(LinePriority::Routine, EventKind::Refused, &subject, || {
            let version = self.view.routes().map_or(0, |routes| routes.version);
            format!("reason=unknown_key has_key={has_key} host={host} version={version}")
        });
        exchange.respond(StatusCode::UNAUTHORIZED, &HeaderMap::new(), &Bytes::new()).await
    }

    /// Returns whether the process lives long enough for a call to the keepers.
    pub fn has_time_for_jobs(&self) -> bool {
        self.gate.grace_left().is_none_or(|left| left >= JOB_CALL_TIME)
    }

    /// Refuses a request that would not end before the process does.
    pub async fn refuse_stopping(
        &self,
        exchange: &mut ServerExchange<'_>,
    ) -> Result<(), HttpFault> {
        let left = self.gate.grace_left().unwrap_or_default();
        let details = format!("grace_left_ms={}", left.as_millis());
        self.refuse(exchange, OTHER_ENTRY_RETRY_DELAY, "stopping", &details).await
    }

    /// Responds with status 503 and a `Retry-After` header in seconds; the request has not run.
    /// `details` is added to the log line.
    pub async fn refuse(
        &self,
        exchange: &mut ServerExchange<'_>,
        retry_after: Duration,
        reason: &str,
        details: &str,
    ) -> Result<(), HttpFault> {
        self.metrics.refused.inc();
        let subject = P::request_options(&exchange.head().headers).request_id.unwrap_or_default();
        self.view.log.record(LinePriority::Essential, EventKind::Refused, &subject, || {
            format!("reason={reason} retry_after_ms={} {details}", retry_after.as_millis())
        });
        let headers = retry_headers(retry_after);
        exchange.respond(StatusCode::SERVICE_UNAVAILABLE, &headers, &Bytes::new()).await
    }

    /// Refuses a request that gets no credit of its customer's quota and whose caller waits for
    /// `left`.
    async fn refuse_credit(
        &self,
        exchange: &mut ServerExchange<'_>,
        caller: &RequestCaller,
        refusal: QuotaRefusal,
        left: Duration,
    ) -> Result<(), HttpFault> {
        match refusal {
            QuotaRefusal::OverLimit(wait) => {
                self.quota.respond_over_limit::<P>(exchange, caller, wait, left).await
            }
            QuotaRefusal::Unknown => {
                // The caller's next connection comes to an entry that is ready.
                exchange.close_afterwards();
                let details = format!("customer={}", caller.customer().unwrap_or_default());
                self.refuse(exchange, OTHER_ENTRY_RETRY_DELAY, "quota_unknown", &details).await
            }
        }
    }

    /// Returns the time until the deadline of an exchange's request.
    fn time_left(
        exchange: &ServerExchange<'_>,
        route: &RouteRule,
        received_at: Instant,
    ) -> Duration {
        let deadline = P::request_options(&exchange.head().headers).deadline;
        let limit = deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        limit.saturating_sub(received_at.elapsed())
    }

    /// Returns whether a caller with this deadline has probably been refused before.
    pub fn is_retry(&self, route: &RouteRule, deadline: Option<Duration>) -> bool {
        let mut retry_detector = self.retry_detector.borrow_mut();
        let now = self.view.clock.now();
        deadline.is_some_and(|deadline| retry_detector.is_retry(now, &route.name, deadline))
    }

    /// Responds with status 404 to a request that matches no route.
    async fn respond_unrouted(
        &self,
        exchange: &mut ServerExchange<'_>,
        host: &str,
        path: &str,
    ) -> Result<(), HttpFault> {
        self.view.log.record(LinePriority::Routine, EventKind::Refused, "", || {
            let version = self.view.routes().map_or(0, |routes| routes.version);
            format!("reason=no_route host={host} path={path} version={version}")
        });
        exchange.respond(StatusCode::NOT_FOUND, &HeaderMap::new(), &Bytes::new()).await
    }
}

//! Takes callers' requests to their routes.

use std::cell::RefCell;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::RetryAdvice;
use cv_dispatch::RetryDetector;
use cv_dispatch::RouteKind;
use cv_dispatch::RouteRule;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::HOST;
use http::header::RETRY_AFTER;

use crate::CallerRequest;
use crate::FleetView;
use crate::NodeIdentity;
use crate::PlatformAdapter;
use crate::entry::entry_metrics::EntryMetrics;
use crate::entry::job_relay::JobRelay;
use crate::entry::online_request::OnlineRequest;

/// Advice to callers of an entry that knows no configuration yet.
const UNREADY_RETRY: Duration = Duration::from_millis(500);

/// Handles the requests of callers.
pub(crate) struct EntryHandler<P> {
    /// Advice to refused callers.
    pub advice: RefCell<RetryAdvice>,
    pub border: PhantomData<P>,
    pub identity: Rc<NodeIdentity>,
    pub jobs: JobRelay,
    pub metrics: EntryMetrics,
    pub pool: ConnectionPool,
    pub returns: RefCell<RetryDetector>,
    pub view: Rc<FleetView>,
}

impl<P: PlatformAdapter> RequestHandler for EntryHandler<P> {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let began = Instant::now();
        if let CallerRequest::Job(call) = P::classify(exchange.head()) {
            return self.jobs.relay(exchange, call.job(), Bytes::new(), false).await;
        }
        let Some(routes) = self.view.routes() else {
            return self.refuse(exchange, UNREADY_RETRY, "no_configuration", "").await;
        };
        let host = exchange.header(HOST.as_str()).unwrap_or_default().to_owned();
        let path = exchange.head().uri.path().to_owned();
        let Some(route) = routes.find(&host, &path) else {
            return self.answer_unrouted(exchange, &host, &path).await;
        };
        let body = exchange.read_body(routes.limits.body_bytes).await?;
        if route.kind == RouteKind::Batch {
            let terms = P::request_options(&exchange.head().headers);
            let job = terms.request_id.unwrap_or_default();
            return self.jobs.relay(exchange, &job, body, true).await;
        }
        let result = OnlineRequest::new(self, route, exchange, body, began).run(exchange).await;
        // A fault of a target's side must not turn into an answer that promises something.
        result.map_err(|fault| if exchange.has_responded() { fault } else { HttpFault::Closed })
    }
}

impl<P: PlatformAdapter> EntryHandler<P> {
    /// Tells a caller to come back later; the request has not run.
    pub async fn refuse(
        &self,
        exchange: &mut ServerExchange<'_>,
        after: Duration,
        reason: &str,
        inputs: &str,
    ) -> Result<(), HttpFault> {
        self.metrics.refused.inc();
        let subject = P::request_options(&exchange.head().headers).request_id.unwrap_or_default();
        self.view.log.record(LineWeight::Essential, EventKind::Refused, &subject, || {
            format!("reason={reason} retry_after_ms={} {inputs}", after.as_millis())
        });
        let mut headers = HeaderMap::new();
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
        exchange.respond(StatusCode::SERVICE_UNAVAILABLE, &headers, &Bytes::new()).await
    }

    /// Tells whether a caller has been refused before.
    pub fn is_returning(&self, route: &RouteRule, deadline: Option<Duration>) -> bool {
        let mut returns = self.returns.borrow_mut();
        deadline.is_some_and(|deadline| returns.is_returning(&route.name, deadline))
    }

    /// Answers a request that no route takes.
    async fn answer_unrouted(
        &self,
        exchange: &mut ServerExchange<'_>,
        host: &str,
        path: &str,
    ) -> Result<(), HttpFault> {
        self.view.log.record(LineWeight::Routine, EventKind::Refused, "", || {
            let version = self.view.routes().map_or(0, |routes| routes.version);
            format!("reason=no_route host={host} path={path} version={version}")
        });
        exchange.respond(StatusCode::NOT_FOUND, &HeaderMap::new(), &Bytes::new()).await
    }
}

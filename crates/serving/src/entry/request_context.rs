//! A caller's online request, and what has been tried for it.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::DrainTerms;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::RequestCaller;
use cv_dispatch::RequestDigest;
use cv_dispatch::RequestIdentity;
use cv_dispatch::RequestRank;
use cv_dispatch::RouteRule;
use cv_dispatch::ShareKey;
use cv_dispatch::WaitPolicy;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::Method;
use http::header::HOST;

use crate::PlatformAdapter;
use crate::RequestOptions;
use crate::entry::attempt_recorder::AttemptRecorder;
use crate::entry::entry_handler::EntryHandler;
use crate::entry::identified_caller::IdentifiedCaller;
use crate::entry::quota_client::QuotaCredit;
use crate::internal_headers::strip_internal_headers;
use crate::platform_adapter::part_subjects;

/// Time before the caller's deadline at which the final response is sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);

/// Deadline of a request that sets none.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A whole request of an identified caller, as it has been received.
pub(crate) struct ReceivedRequest {
    /// The request body.
    pub body: Bytes,
    /// Credit of its customer's quota, if that has one.
    pub credit: Option<QuotaCredit>,
    /// Who sends the request.
    pub identified: IdentifiedCaller,
    /// When its head had been received.
    pub received_at: Instant,
}

/// A caller's online request, and what has been tried for it.
pub(crate) struct RequestContext<'a, P> {
    /// Attempts that a target may have run.
    pub attempts: u32,
    /// The request body.
    pub body: Bytes,
    /// Who sends the request.
    pub caller: RequestCaller,
    /// Credit of its customer's quota; used up unless it is given back.
    pub credit: Option<QuotaCredit>,
    /// When the final response is due.
    pub deadline: Instant,
    /// Digest of the request, the same for each attempt of its caller.
    pub digest: RequestDigest,
    /// The entry.
    pub handler: &'a EntryHandler<P>,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// Whether a target may have received the request in the current attempt.
    pub is_handed_over: bool,
    /// Whether the caller has probably been refused before.
    pub is_retry: bool,
    /// The request method.
    pub method: Method,
    /// The options in the caller's headers.
    pub options: RequestOptions,
    /// The request target with its query.
    pub path: String,
    /// Rank of the request in queues.
    pub rank: RequestRank,
    /// When the head of the request had been received.
    pub received_at: Instant,
    /// The route of the request.
    pub route: &'a RouteRule,
    /// What may end engines: the shared parts of the prompt in order, then the request.
    pub subjects: Vec<QuarantineSubject>,
    /// Ids of the targets that get the request no more.
    pub tried_targets: Vec<String>,
}

impl<'a, P: PlatformAdapter> RequestContext<'a, P> {
    /// Creates the state of an exchange's request, whose body has been read already.
    pub fn new(
        handler: &'a EntryHandler<P>,
        route: &'a RouteRule,
        exchange: &ServerExchange<'_>,
        received: ReceivedRequest,
    ) -> Self {
        let ReceivedRequest { body, credit, identified, received_at } = received;
        let IdentifiedCaller { caller, rank } = identified;
        let mut headers = exchange.head().headers.clone();
        // Sidecars act on these headers, which only the system's own processes may send.
        strip_internal_headers(&mut headers);
        let options = P::request_options(&headers);
        let limit = options.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        let path = exchange.head().uri.to_string();
        let digest = RequestDigest::new(&RequestIdentity {
            body: &body,
            // All keys of a customer count as the same caller.
            caller: caller.customer().or_else(|| P::claimed_caller(&headers)).unwrap_or_default(),
            host: headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default(),
            method: exchange.head().method.as_str(),
            path: &path,
        });
        let mut subjects = part_subjects::<P>(&headers);
        subjects.push(QuarantineSubject::Request(digest));
        Self {
            received_at,
            body,
            caller,
            credit,
            digest,
            deadline: received_at + limit.saturating_sub(RESPONSE_MARGIN),
            handler,
            is_handed_over: false,
            is_retry: handler.is_retry(route, options.deadline),
            headers,
            method: exchange.head().method.clone(),
            path,
            rank,
            route,
            attempts: 0,
            options,
            subjects,
            tried_targets: Vec::new(),
        }
    }

    /// Returns the request's id for logs, or an empty text without one.
    pub fn subject(&self) -> &str {
        self.options.request_id.as_deref().unwrap_or_default()
    }

    /// Decides whether its subjects allow the request to be handed over.
    pub fn decide_quarantine(&self) -> QuarantineDecision {
        self.handler.view.quarantine.decide(&self.subjects)
    }

    /// Returns the key by which queues share slots between callers.
    pub fn share_key(&self) -> ShareKey {
        self.caller.share_key(self.rank)
    }

    /// Returns the longest expected wait at which the request enters a sidecar's queue.
    pub fn max_expected_wait(&self) -> Duration {
        let is_retry = self.is_retry || self.attempts > 0;
        WaitPolicy.max_expected_wait(self.route.objective, self.time_left(), is_retry)
    }

    /// Returns the time in which the request has to start to meet its latency objective.
    pub fn objective_left(&self) -> Duration {
        WaitPolicy.objective_left(self.route.objective, self.received_at.elapsed())
    }

    /// Returns whether the request goes on to another target if its next attempt fails.
    pub fn may_fail(&self) -> bool {
        self.route.may_repeat() && self.attempts + 1 < self.route.max_attempts
    }

    /// Returns the recorder of this request's failed attempts.
    pub fn recorder(&self) -> AttemptRecorder<'_> {
        AttemptRecorder {
            request: self.subject(),
            subjects: &self.subjects,
            view: &self.handler.view,
        }
    }

    /// Returns whether the request has not run and no target will run it.
    pub fn has_not_run(&self) -> bool {
        self.attempts == 0 && !self.is_handed_over
    }

    /// Gives the credit back if the request has not run and never will.
    pub fn give_back_credit(&mut self) {
        if self.has_not_run()
            && let Some(credit) = self.credit.take()
        {
            credit.give_back();
        }
    }

    /// Returns whether the request will end before the process does, if that shuts down.
    pub fn ends_in_time(&self) -> bool {
        let Some(grace_left) = self.handler.gate.grace_left() else {
            return true;
        };
        let terms = DrainTerms {
            grace_left,
            is_draining: self.handler.gate.is_draining(),
            longest_run: self.handler.run_times.borrow().longest(&self.route.name),
            time_left: self.time_left(),
        };
        terms.ends_in_time()
    }

    /// Returns the time left until the final response is due.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

//! Confirms jobs that are submitted again after the configuration has changed.
//!
//! Callers repeat a submission whose response they have not received. The job may have been accepted
//! although its path leads to no batch route any more.

use bytes::Bytes;
use cv_dispatch::RouteTable;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::request::Parts as RequestHead;

use crate::PlatformAdapter;
use crate::entry::entry_handler::EntryHandler;
use crate::entry::identified_caller::IdentifiedCaller;

/// Returns whether a request that leads to no batch route may be a submission, by its head.
pub(crate) fn may_submit_job(head: &RequestHead) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    head.method == Method::POST
        && content_type.is_some_and(|value| value.starts_with(b"application/json"))
}

impl<P: PlatformAdapter> EntryHandler<P> {
    /// Responds to a request that repeats the submission of an accepted job; returns whether it does.
    ///
    /// # Errors
    /// Faults of the caller's connection.
    pub async fn confirm_job(
        &self,
        exchange: &mut ServerExchange<'_>,
        routes: &RouteTable,
        host: &str,
        body: &[u8],
    ) -> Result<bool, HttpFault> {
        let headers = &exchange.head().headers;
        let job = P::request_options(headers).request_id;
        let caller = IdentifiedCaller::of_job::<P>(routes, host, headers);
        let (Some(job), Some(identified)) = (job, caller) else {
            return Ok(false);
        };
        if !P::decode_items(body).is_ok_and(|items| !items.is_empty()) {
            return Ok(false);
        }
        if !self.has_time_for_jobs() {
            self.refuse_stopping(exchange).await?;
            return Ok(true);
        }
        match self.jobs.confirm::<P>(exchange, &identified.caller, &job).await? {
            Some(StatusCode::ACCEPTED) => {
                exchange.respond(StatusCode::ACCEPTED, &HeaderMap::new(), &Bytes::new()).await?;
                Ok(true)
            }
            Some(_) => Ok(false),
            None => {
                self.view.log.record(LinePriority::Essential, EventKind::Refused, &job, || {
                    "reason=job_unknown".to_owned()
                });
                // Status 503 would say that the job does not run, and it may have been accepted.
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await?;
                Ok(true)
            }
        }
    }
}

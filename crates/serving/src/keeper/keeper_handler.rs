//! Handles HTTP requests to a keeper, from entries and other keepers.

use std::rc::Rc;

use bytes::Bytes;
use cv_dispatch::JobSpec;
use cv_dispatch::RequestCaller;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;

use crate::CallerRequest;
use crate::JobRequest;
use crate::PlatformAdapter;
use crate::internal_handler::METRICS_PATH;
use crate::internal_handler::respond_metrics;
use crate::internal_headers::is_confirmation;
use crate::internal_headers::read_caller;
use crate::internal_headers::read_config_version;
use crate::keeper::close_notices::CLOSED_PATH;
use crate::keeper::close_notices::receive_close;
use crate::keeper::job_path::job_of_path;
use crate::keeper::job_requests::CallResponse;
use crate::keeper::job_requests::close_job;
use crate::keeper::job_requests::confirm_job;
use crate::keeper::job_requests::read_item;
use crate::keeper::job_requests::read_results;
use crate::keeper::job_requests::submit_job;
use crate::keeper::keeper_registration::KNOWN_KEEPERS_PATH;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::owner_check::OWNED_PATH;
use crate::keeper::owner_check::respond_owned;
use crate::keeper::progress_replication::UPDATES_PATH;
use crate::keeper::progress_replication::read_updates;
use crate::keeper::progress_replication::receive_updates;
use crate::peer_sync::VIEW_PATH;
use crate::peer_sync::respond_view;
use crate::store_contact::STORE_CONTACT_PATH;
use crate::store_contact::respond_store_contact;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Memory that decoding, storing and replicating a submitted job takes beside its body, as a multiple
/// of the body's length.
const DECODED_FACTOR: usize = 3;

/// Routes requests to job operations, peer calls and metrics.
pub(crate) struct KeeperHandler<P: PlatformAdapter> {
    /// Shared state of the keeper.
    pub state: Rc<KeeperState<P>>,
}

impl<P: PlatformAdapter> RequestHandler for KeeperHandler<P> {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        if exchange.head().uri.path() == METRICS_PATH {
            return respond_metrics(exchange, &self.state.metrics.registry).await;
        }
        if exchange.head().uri.path() == VIEW_PATH {
            return respond_view(exchange, &self.state.view).await;
        }
        if exchange.head().uri.path() == KNOWN_KEEPERS_PATH {
            let names = self.state.view.keepers().encode_names();
            return exchange.respond(StatusCode::OK, &HeaderMap::new(), &Bytes::from(names)).await;
        }
        if exchange.head().uri.path() == STORE_CONTACT_PATH {
            let has_contact = self.state.has_store_contact();
            return respond_store_contact(exchange, &self.state.view, has_contact).await;
        }
        let body = exchange.read_body(MAX_BODY_BYTES).await?;
        if exchange.head().uri.path() == OWNED_PATH {
            let (status, body) = respond_owned(&self.state, &body);
            return exchange.respond(status, &HeaderMap::new(), &body).await;
        }
        if let Some(job) = job_of_path(CLOSED_PATH, exchange.head().uri.path()) {
            let (status, body) = receive_close(&self.state, &job);
            return exchange.respond(status, &HeaderMap::new(), &body).await;
        }
        if let Some(job) = job_of_path(UPDATES_PATH, exchange.head().uri.path()) {
            let (status, body) = if job.is_empty() {
                receive_updates(&self.state, &body)
            } else {
                read_updates(&self.state, &job)
            };
            return exchange.respond(status, &HeaderMap::new(), &body).await;
        }
        let caller = read_caller(&exchange.head().headers);
        let (status, body) = match P::classify(exchange.head()) {
            CallerRequest::Routed if is_confirmation(&exchange.head().headers) => {
                let job = P::request_options(&exchange.head().headers).request_id;
                confirm_job(&self.state, &caller, &job.unwrap_or_default()).await
            }
            CallerRequest::Routed => {
                exchange.hold_memory(body.len() * DECODED_FACTOR).await?;
                self.submit(exchange, caller, &body).await
            }
            CallerRequest::Job(JobRequest::ReadResults { job, position, max_wait }) => {
                read_results(&self.state, &caller, &job, position, max_wait).await
            }
            CallerRequest::Job(JobRequest::ReadItem { job, item }) => {
                let (status, body) = read_item(&self.state, &caller, &job, &item).await;
                return exchange.respond(status, &HeaderMap::new(), &body).await;
            }
            CallerRequest::Job(JobRequest::Close { job }) => {
                close_job(&self.state, &caller, &job).await
            }
        };
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        exchange.respond(status, &headers, &body).await
    }
}

impl<P: PlatformAdapter> KeeperHandler<P> {
    /// Decodes a submitted job and accepts it.
    async fn submit(
        &self,
        exchange: &ServerExchange<'_>,
        caller: RequestCaller,
        body: &[u8],
    ) -> CallResponse {
        let options = P::request_options(&exchange.head().headers);
        let items = match P::decode_items(body) {
            Ok(items) => items,
            Err(fault) => return (StatusCode::BAD_REQUEST, Bytes::from(fault.0)),
        };
        let Some(id) = options.request_id else {
            return (StatusCode::BAD_REQUEST, Bytes::from_static(b"the job has no id"));
        };
        let spec = JobSpec {
            caller,
            host: exchange.header(HOST.as_str()).unwrap_or_default().to_owned(),
            id,
            items,
            path: exchange.head().uri.path().to_owned(),
            submitted_ms: self.state.view.clock.wall_millis(),
        };
        let config_version = read_config_version(&exchange.head().headers);
        submit_job(&self.state, spec, config_version).await
    }
}

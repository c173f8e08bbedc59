//! Routing of requests to their handlers, by path.

use std::rc::Rc;

use bytes::Bytes;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use cv_policy::routing::TargetRow;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::admin::handle_admin_request;
use crate::batch::BatchCoordinator;
use crate::batch::handle_batch_request;
use crate::caller_identity::CallerIdentity;
use crate::caller_response::CallerError;
use crate::caller_response::respond_json;
use crate::entry_state::EntryState;
use crate::online::CompletionOutline;
use crate::online::OnlineDriver;
use crate::online::OnlineRequest;

/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Serves the requests of an entry.
pub(crate) struct ApiRouter {
    coordinator: Rc<BatchCoordinator>,
    state: Rc<EntryState>,
}

impl ApiRouter {
    /// Creates the router.
    pub fn new(coordinator: Rc<BatchCoordinator>) -> Self {
        let state = Rc::clone(&coordinator.state);
        Self { coordinator, state }
    }

    /// Serves a request of an identified caller.
    async fn serve(
        &self,
        exchange: &mut ServerExchange<'_>,
        path: &str,
        caller: &CallerIdentity,
    ) -> Result<(), HttpFault> {
        match path {
            "/v1/completions" | "/v1/chat/completions" => {
                self.serve_completion(exchange, path, caller).await
            }
            _ if path.starts_with("/v1/files") || path.starts_with("/v1/batches") => {
                handle_batch_request(&self.coordinator, exchange, path, caller).await
            }
            "/v1/models" => self.list_models(exchange).await,
            _ if path.starts_with(SERVICES_PREFIX) => {
                self.serve_plain_service(exchange, path, caller).await
            }
            _ => {
                exchange.read_body(self.state.settings.max_body_bytes).await?;
                let message = "There is no such path.";
                let error = CallerError::not_run(StatusCode::NOT_FOUND, "no_such_path", message);
                error.respond(exchange).await
            }
        }
    }

    /// Serves a completion request.
    async fn serve_completion(
        &self,
        exchange: &mut ServerExchange<'_>,
        path: &str,
        caller: &CallerIdentity,
    ) -> Result<(), HttpFault> {
        let body = exchange.read_body(self.state.settings.max_body_bytes).await?;
        let outline: CompletionOutline<'_> = match serde_json::from_slice(&body) {
            Ok(outline) => outline,
            Err(error) => {
                let message = format!("The body is not a completion request: {error}");
                let status = StatusCode::BAD_REQUEST;
                return CallerError::not_run(status, "invalid_body", message)
                    .respond(exchange)
                    .await;
            }
        };
        let is_known = self.state.config.borrow().config().service(&outline.model).is_some();
        if !is_known {
            let message = format!("There is no model `{}`.", outline.model);
            let error = CallerError::not_run(StatusCode::NOT_FOUND, "no_such_model", message);
            return error.respond(exchange).await;
        }
        let (affinity, stream) = (outline.affinity(), outline.stream);
        let model = outline.model.into_owned();
        let request = OnlineRequest::new(&self.state, exchange, caller, &model, path, body.clone())
            .with_outline(affinity, stream);
        OnlineDriver::new(&self.state, &request).run(exchange).await
    }

    /// Serves a request to a plain service.
    async fn serve_plain_service(
        &self,
        exchange: &mut ServerExchange<'_>,
        path: &str,
        caller: &CallerIdentity,
    ) -> Result<(), HttpFault> {
        let body = exchange.read_body(self.state.settings.max_body_bytes).await?;
        let rest = &path[SERVICES_PREFIX.len()..];
        let (service, service_path) = rest.split_once('/').unwrap_or((rest, ""));
        let is_known = self.state.config.borrow().config().service(service).is_some();
        if !is_known {
            let message = format!("There is no service `{service}`.");
            let error = CallerError::not_run(StatusCode::NOT_FOUND, "no_such_service", message);
            return error.respond(exchange).await;
        }
        let query = exchange.head().uri.query().map(|query| format!("?{query}"));
        let target_path = format!("/{service_path}{}", query.unwrap_or_default());
        let request =
            OnlineRequest::new(&self.state, exchange, caller, service, &target_path, body);
        OnlineDriver::new(&self.state, &request).run(exchange).await
    }

    /// Responds with the list of configured models.
    async fn list_models(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        exchange.read_body(0).await?;
        let data: Vec<Value> = {
            let config = self.state.config.borrow();
            let services = config.config().services.iter();
            services
                .filter(|service| service.kind == cv_policy::config::ServiceKind::Model)
                .map(|service| json!({"id": service.name, "object": "model"}))
                .collect()
        };
        respond_json(exchange, StatusCode::OK, &json!({"object": "list", "data": data})).await
    }

    /// Serves the entry's own paths: metrics, health and readiness.
    async fn serve_internal(
        &self,
        exchange: &mut ServerExchange<'_>,
        path: &str,
    ) -> Result<(), HttpFault> {
        exchange.read_body(0).await?;
        let empty = HeaderMap::new();
        let (status, body) = match path {
            "/metrics" => (StatusCode::OK, Bytes::from(self.state.metrics.render())),
            "/health" => (StatusCode::OK, Bytes::from_static(b"ok\n")),
            _ if self.is_ready() => (StatusCode::OK, Bytes::from_static(b"ready\n")),
            _ => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n")),
        };
        exchange.respond(status, &empty, &body).await
    }

    /// Returns whether the load balancer should send requests to this entry.
    fn is_ready(&self) -> bool {
        let has_targets = self.state.targets.borrow().rows().iter().any(TargetRow::is_eligible);
        has_targets && self.state.config.borrow().revision() > 0 && !self.state.draining.get()
    }
}

impl RequestHandler for ApiRouter {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let path = exchange.head().uri.path().to_owned();
        let is_internal = matches!(path.as_str(), "/metrics" | "/health" | "/ready");
        if is_internal && exchange.head().method == Method::GET {
            return self.serve_internal(exchange, &path).await;
        }
        if path.starts_with("/admin/") {
            return handle_admin_request(&self.state, exchange, &path).await;
        }
        let caller = CallerIdentity::identify(exchange, &self.state.config.borrow());
        let Some(caller) = caller else {
            let message = "A token of an organisation is needed.";
            let status = StatusCode::UNAUTHORIZED;
            return CallerError::not_run(status, "not_authorised", message).respond(exchange).await;
        };
        self.serve(exchange, &path, &caller).await
    }
}

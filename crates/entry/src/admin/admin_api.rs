//! Requests of operators: configuration and state of the fleet.

use std::rc::Rc;
use std::time::Duration;

use cv_control::call_context;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_key_value::CallPurpose;
use cv_key_value::KeyValueClient;
use cv_key_value::KeyValueFault;
use cv_key_value::Transaction;
use cv_key_value::WriteOutcome;
use cv_policy::config::ConfigDocument;
use cv_policy::config::FleetConfig;
use cv_settings::FindingList;
use cv_settings::parse_fleet_config;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::caller_identity::is_operator;
use crate::caller_response::CallerError;
use crate::caller_response::respond_findings;
use crate::caller_response::respond_json;
use crate::entry_state::EntryState;
use crate::watch::CONFIG_KEY;

/// Maximum size of a configuration, in bytes; the key-value service limits values to a megabyte.
const MAX_CONFIG_BYTES: usize = 1_000_000;

/// Timeout of a write of the configuration, including retries.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a status poll of one process.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Prefix of the keys that hold earlier configurations.
const HISTORY_PREFIX: &str = "clementinevale/config-history/";

/// Header with the revision that a change was made against.
const BASE_REVISION_HEADER: &str = "x-config-revision";

/// Serves an operator's request.
pub(crate) async fn handle_admin_request(
    state: &Rc<EntryState>,
    exchange: &mut ServerExchange<'_>,
    path: &str,
) -> Result<(), HttpFault> {
    let body = exchange.read_body(MAX_CONFIG_BYTES).await?;
    if !is_operator(exchange, &state.config.borrow()) {
        let message = "An operator's token is needed.";
        let error = CallerError::not_run(StatusCode::UNAUTHORIZED, "not_authorised", message);
        return error.respond(exchange).await;
    }
    let method = exchange.head().method.clone();
    let text = String::from_utf8_lossy(&body).into_owned();
    match (method, path) {
        (Method::GET, "/admin/config") => show_config(state, exchange).await,
        (Method::PUT, "/admin/config") => change_config(state, exchange, &text).await,
        (Method::POST, "/admin/config/check") => check_config(exchange, &text).await,
        (Method::GET, "/admin/config/status") => show_config_status(state, exchange).await,
        (Method::GET, "/admin/targets") => show_targets(state, exchange).await,
        _ => {
            let message = "There is no such call.";
            CallerError::not_run(StatusCode::NOT_FOUND, "no_such_path", message)
                .respond(exchange)
                .await
        }
    }
}

/// Responds with this entry's active configuration.
async fn show_config(
    state: &EntryState,
    exchange: &mut ServerExchange<'_>,
) -> Result<(), HttpFault> {
    let response = {
        let config = state.config.borrow();
        json!({"revision": config.revision(), "config": config.config()})
    };
    respond_json(exchange, StatusCode::OK, &response).await
}

/// Validates a configuration without applying it.
async fn check_config(exchange: &mut ServerExchange<'_>, text: &str) -> Result<(), HttpFault> {
    match parse_fleet_config("configuration", text) {
        Ok(_) => respond_json(exchange, StatusCode::OK, &json!({"valid": true})).await,
        Err(findings) => {
            respond_findings(exchange, "invalid_config", &findings_json(&findings)).await
        }
    }
}

/// Replaces the configuration, unless it changed since the revision that the caller gives.
async fn change_config(
    state: &EntryState,
    exchange: &mut ServerExchange<'_>,
    text: &str,
) -> Result<(), HttpFault> {
    let Some(base_revision) =
        exchange.header(BASE_REVISION_HEADER).and_then(|value| value.parse().ok())
    else {
        let message = "Name the revision that the change was made against; 0 for the first.";
        let error =
            CallerError::not_run(StatusCode::PRECONDITION_REQUIRED, "revision_missing", message);
        return error.respond(exchange).await;
    };
    let mut config = match parse_fleet_config("configuration", text) {
        Ok(config) => config,
        Err(findings) => {
            return respond_findings(exchange, "invalid_config", &findings_json(&findings)).await;
        }
    };
    let Some(client) = &state.key_value else {
        let message = "No key-value service is configured.";
        let error = CallerError::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_platform", message);
        return error.respond(exchange).await;
    };
    set_creation_times(&mut config, state.clock.wall_millis());
    match write_config(state, client, &config, base_revision).await {
        Ok(WriteOutcome::Done(revision)) => {
            let response = json!({"accepted": true, "revision": revision});
            respond_json(exchange, StatusCode::OK, &response).await
        }
        Ok(WriteOutcome::Conflict(current)) => {
            let revision = current.map_or(0, |entry| entry.revision);
            let response = json!({"error": {
                "message": "The configuration was changed since that revision.",
                "reason": "revision_conflict",
                "revision": revision,
                "run": "not_run",
            }});
            respond_json(exchange, StatusCode::CONFLICT, &response).await
        }
        Err(fault) => write_error(&fault).respond(exchange).await,
    }
}

/// Writes a configuration and its history entry in one transaction.
async fn write_config(
    state: &EntryState,
    client: &KeyValueClient,
    config: &FleetConfig,
    base_revision: u64,
) -> Result<WriteOutcome, KeyValueFault> {
    // The write id makes the value unique, so that a write whose response was lost can be
    // recognised when the key is read again.
    let mut value = serde_json::to_value(config).unwrap_or_default();
    value["write_id"] = json!(state.new_id());
    let bytes = value.to_string().into_bytes();
    let history_key = format!("{HISTORY_PREFIX}{base_revision:016x}");
    let transaction = Transaction::for_key(CONFIG_KEY)
        .if_revision(CONFIG_KEY, base_revision)
        .put(CONFIG_KEY, &bytes)
        .put(&history_key, &bytes);
    let outcome = client
        .transact_with_retry(CallPurpose::Config, &transaction, &bytes, WRITE_TIMEOUT)
        .await?;
    if let WriteOutcome::Done(revision) = outcome {
        let body = String::from_utf8_lossy(&bytes).into_owned();
        state.offer_config(ConfigDocument { body, revision });
    }
    Ok(outcome)
}

/// Responds with the revision that is active on each entry and sidecar.
async fn show_config_status(
    state: &EntryState,
    exchange: &mut ServerExchange<'_>,
) -> Result<(), HttpFault> {
    let mut rows = vec![json!({
        "name": state.settings.name,
        "role": "entry",
        "revision": state.config.borrow().revision(),
    })];
    let records = state.instances.borrow().clone();
    for record in records.iter().filter(|record| record.name != state.settings.name) {
        let revision = match record.role.as_str() {
            "entry" => poll_entry_revision(state, record.control).await,
            _ => poll_sidecar_revision(state, record.control).await,
        };
        rows.push(json!({"name": record.name, "role": record.role, "revision": revision}));
    }
    respond_json(exchange, StatusCode::OK, &json!({"instances": rows})).await
}

/// Polls an entry for its active revision; `None` if it does not respond.
async fn poll_entry_revision(state: &EntryState, address: std::net::SocketAddr) -> Option<u64> {
    let client = state.peers.client(address).await.ok()?;
    let status = client.status(call_context(STATUS_TIMEOUT), state.call_metadata()).await;
    status.ok().flatten().map(|status| status.config_revision)
}

/// Polls a sidecar for its active revision; `None` if it does not respond.
async fn poll_sidecar_revision(state: &EntryState, address: std::net::SocketAddr) -> Option<u64> {
    let client = state.sidecars.client(address).await.ok()?;
    let status = client.status(call_context(STATUS_TIMEOUT), state.call_metadata()).await;
    status.ok().flatten().map(|status| status.config_revision)
}

/// Responds with this entry's target table.
async fn show_targets(
    state: &EntryState,
    exchange: &mut ServerExchange<'_>,
) -> Result<(), HttpFault> {
    let now = state.clock.now();
    let rows: Vec<Value> = state
        .targets
        .borrow()
        .rows()
        .iter()
        .map(|row| {
            json!({
                "ejected": row.is_ejected(now),
                "in_flight": row.in_flight,
                "latency_ms": row.latency * 1_000.0,
                "leaving": row.draining,
                "load": row.load(now),
                "name": row.name,
                "reading": row.reported_load.map(|(_, load)| load),
                "ready": row.ready,
                "zone": row.zone,
            })
        })
        .collect();
    respond_json(exchange, StatusCode::OK, &json!({"targets": rows})).await
}

/// Sets the creation time of exceptions that have none, in milliseconds since the Unix epoch.
fn set_creation_times(config: &mut FleetConfig, wall_millis: u64) {
    for exception in config.exceptions.iter_mut().filter(|row| row.created_ms == 0) {
        exception.created_ms = wall_millis;
    }
}

/// Converts findings to JSON.
fn findings_json(findings: &FindingList) -> Vec<Value> {
    let rows = findings.0.iter().map(|finding| {
        json!({
            "column": finding.column,
            "hint": finding.hint,
            "line": finding.line,
            "message": finding.message,
        })
    });
    rows.collect()
}

/// Converts a failed write to the error response, which says whether the outcome is known.
fn write_error(fault: &KeyValueFault) -> CallerError {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    match fault {
        KeyValueFault::Ambiguous(_) => {
            let message = "It is not known whether the change was accepted; read it again.";
            let mut error = CallerError::not_run(status, "outcome_unknown", message);
            error.run = "unknown";
            error
        }
        KeyValueFault::NotApplied(_) | KeyValueFault::Invalid(_) => {
            CallerError::not_run(status, "platform_unavailable", fault.to_string())
        }
    }
}

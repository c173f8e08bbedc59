//! Operators' calls: configuration and the state of the fleet.

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
use cv_settings::check_fleet_document;
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

/// Largest configuration; the service holds values up to a megabyte.
const CONFIG_BYTES: usize = 1_000_000;

/// Longest time to settle a change of the configuration.
const CHANGE_PATIENCE: Duration = Duration::from_secs(10);

/// Longest time to ask one process for its state.
const STATUS_PATIENCE: Duration = Duration::from_secs(1);

/// Prefix of the keys that hold earlier configurations.
const HISTORY_PREFIX: &str = "clementinevale/config-history/";

/// Header that names the revision a change was made against.
const AGAINST_HEADER: &str = "x-config-revision";

/// Answers an operator's call.
pub(crate) async fn handle_admin(
    state: &Rc<EntryState>,
    exchange: &mut ServerExchange<'_>,
    path: &str,
) -> Result<(), HttpFault> {
    let body = exchange.read_body(CONFIG_BYTES).await?;
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
        (Method::GET, "/admin/config/status") => config_status(state, exchange).await,
        (Method::GET, "/admin/targets") => show_targets(state, exchange).await,
        _ => {
            let message = "There is no such call.";
            CallerError::not_run(StatusCode::NOT_FOUND, "no_such_path", message)
                .respond(exchange)
                .await
        }
    }
}

/// Shows the configuration in force here.
async fn show_config(
    state: &EntryState,
    exchange: &mut ServerExchange<'_>,
) -> Result<(), HttpFault> {
    let answer = {
        let register = state.config.borrow();
        json!({"revision": register.revision(), "config": register.config()})
    };
    respond_json(exchange, StatusCode::OK, &answer).await
}

/// Checks a configuration without changing anything.
async fn check_config(exchange: &mut ServerExchange<'_>, text: &str) -> Result<(), HttpFault> {
    match check_fleet_document("configuration", text) {
        Ok(_) => respond_json(exchange, StatusCode::OK, &json!({"valid": true})).await,
        Err(findings) => respond_findings(exchange, "invalid_config", &rendered(&findings)).await,
    }
}

/// Changes the configuration, if nobody else has since the revision that the caller names.
async fn change_config(
    state: &EntryState,
    exchange: &mut ServerExchange<'_>,
    text: &str,
) -> Result<(), HttpFault> {
    let Some(against) = exchange.header(AGAINST_HEADER).and_then(|value| value.parse().ok()) else {
        let message = "Name the revision that the change was made against; 0 for the first.";
        let error =
            CallerError::not_run(StatusCode::PRECONDITION_REQUIRED, "revision_missing", message);
        return error.respond(exchange).await;
    };
    let mut config = match check_fleet_document("configuration", text) {
        Ok(config) => config,
        Err(findings) => {
            return respond_findings(exchange, "invalid_config", &rendered(&findings)).await;
        }
    };
    let Some(client) = &state.key_value else {
        let message = "No key-value service is configured.";
        let error = CallerError::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_platform", message);
        return error.respond(exchange).await;
    };
    stamp_exceptions(&mut config, state.clock.wall_millis());
    match write_config(state, client, &config, against).await {
        Ok(WriteOutcome::Done(revision)) => {
            let answer = json!({"accepted": true, "revision": revision});
            respond_json(exchange, StatusCode::OK, &answer).await
        }
        Ok(WriteOutcome::Conflict(current)) => {
            let revision = current.map_or(0, |entry| entry.revision);
            let answer = json!({"error": {
                "message": "The configuration was changed since that revision.",
                "reason": "revision_conflict",
                "revision": revision,
                "run": "not_run",
            }});
            respond_json(exchange, StatusCode::CONFLICT, &answer).await
        }
        Err(fault) => write_fault(&fault).respond(exchange).await,
    }
}

/// Writes a configuration and its place in the history.
async fn write_config(
    state: &EntryState,
    client: &KeyValueClient,
    config: &FleetConfig,
    against: u64,
) -> Result<WriteOutcome, KeyValueFault> {
    // The write id makes this value unlike any other, so that a lost answer can be resolved.
    let mut value = serde_json::to_value(config).unwrap_or_default();
    value["write_id"] = json!(state.new_id());
    let bytes = value.to_string().into_bytes();
    let history_key = format!("{HISTORY_PREFIX}{against:016x}");
    let transaction = Transaction::for_key(CONFIG_KEY)
        .if_revision(CONFIG_KEY, against)
        .put(CONFIG_KEY, &bytes)
        .put(&history_key, &bytes);
    let answer = client
        .transact_with_retry(CallPurpose::Config, &transaction, &bytes, CHANGE_PATIENCE)
        .await?;
    if let WriteOutcome::Done(revision) = answer {
        let body = String::from_utf8_lossy(&bytes).into_owned();
        state.offer_config(ConfigDocument { body, revision });
    }
    Ok(answer)
}

/// Tells which revision is in force on each entry and sidecar.
async fn config_status(
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
            "entry" => entry_revision(state, record.control).await,
            _ => sidecar_revision(state, record.control).await,
        };
        rows.push(json!({"name": record.name, "role": record.role, "revision": revision}));
    }
    respond_json(exchange, StatusCode::OK, &json!({"instances": rows})).await
}

/// Asks an entry for its revision; `None` if it does not answer.
async fn entry_revision(state: &EntryState, address: std::net::SocketAddr) -> Option<u64> {
    let client = state.peers.client(address).await.ok()?;
    let status = client.status(call_context(STATUS_PATIENCE), state.call_metadata()).await;
    status.ok().flatten().map(|status| status.config_revision)
}

/// Asks a sidecar for its revision; `None` if it does not answer.
async fn sidecar_revision(state: &EntryState, address: std::net::SocketAddr) -> Option<u64> {
    let client = state.sidecars.client(address).await.ok()?;
    let status = client.status(call_context(STATUS_PATIENCE), state.call_metadata()).await;
    status.ok().flatten().map(|status| status.config_revision)
}

/// Shows this entry's view of the targets.
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
                "reading": row.reported_load.map(|(_, reading)| reading),
                "ready": row.ready,
                "zone": row.zone,
            })
        })
        .collect();
    respond_json(exchange, StatusCode::OK, &json!({"targets": rows})).await
}

/// Puts the time of the change on exceptions that have none.
fn stamp_exceptions(config: &mut FleetConfig, wall_millis: u64) {
    for exception in config.exceptions.iter_mut().filter(|row| row.created_ms == 0) {
        exception.created_ms = wall_millis;
    }
}

/// Renders findings for an answer.
fn rendered(findings: &FindingList) -> Vec<Value> {
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

/// Tells what is known of a change without an answer.
fn write_fault(fault: &KeyValueFault) -> CallerError {
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

//! The JSON Lines format of batch input, output and error files.

use std::borrow::Cow;

use cv_policy::batch::ResultState;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;

/// URL prefix of requests to plain services.
const SERVICES_PREFIX: &str = "/services/";

/// One line of an input file: the request of one item.
#[derive(Debug, Deserialize)]
pub(crate) struct InputLine<'l> {
    /// Request body, as unparsed JSON.
    #[serde(borrow)]
    pub body: &'l RawValue,
    /// Identifier that the caller chose for the item.
    #[serde(borrow)]
    pub custom_id: Cow<'l, str>,
    /// HTTP method; `POST` if absent.
    #[serde(borrow, default)]
    pub method: Option<Cow<'l, str>>,
    /// Path of the equivalent online request.
    #[serde(borrow)]
    pub url: Cow<'l, str>,
}

/// The `model` field of a completion request body.
#[derive(Debug, Deserialize)]
struct ModelField<'l> {
    #[serde(borrow)]
    model: Cow<'l, str>,
}

impl<'l> InputLine<'l> {
    /// Parses a line; the error is a message for the caller.
    pub fn parse(line: &'l str) -> Result<Self, String> {
        serde_json::from_str(line).map_err(|error| error.to_string())
    }

    /// Returns whether the item is a completion request.
    pub fn is_completion(&self) -> bool {
        matches!(&*self.url, "/v1/completions" | "/v1/chat/completions")
    }

    /// Returns the service that the item addresses and the request path at its target; the error is
    /// a message for the caller.
    pub fn route(&self) -> Result<(String, String), String> {
        if self.is_completion() {
            let field: ModelField<'_> = serde_json::from_str(self.body.get())
                .map_err(|error| format!("`body` names no model: {error}"))?;
            return Ok((field.model.into_owned(), self.url.to_string()));
        }
        let suffix = self.url.strip_prefix(SERVICES_PREFIX).ok_or_else(|| {
            format!(
                "`url` is `{}`; use /v1/completions, /v1/chat/completions or /services/…",
                self.url
            )
        })?;
        let (service, path) = suffix.split_once('/').unwrap_or((suffix, ""));
        Ok((service.to_owned(), format!("/{path}")))
    }
}

/// Returns the output file line of an item that received a response.
pub(crate) fn output_line(custom_id: &str, request_id: &str, status: u16, body: &Value) -> String {
    json!({
        "custom_id": custom_id,
        "error": null,
        "id": request_id,
        "response": {"body": body, "request_id": request_id, "status_code": status},
    })
    .to_string()
}

/// Returns the error file line of an item that failed or whose outcome is unknown.
pub(crate) fn error_line(
    custom_id: &str,
    request_id: &str,
    state: ResultState,
    reason: &str,
) -> String {
    let run = if state == ResultState::Unknown { "unknown" } else { "failed" };
    json!({
        "custom_id": custom_id,
        "error": {"code": reason, "message": reason, "run": run},
        "id": request_id,
        "response": null,
    })
    .to_string()
}

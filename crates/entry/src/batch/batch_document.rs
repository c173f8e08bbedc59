//! The lines of a batch's input and output.

use std::borrow::Cow;

use cv_policy::batch::ResultState;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;

/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// One line of the input.
#[derive(Debug, Deserialize)]
pub(crate) struct InputLine<'l> {
    /// The body of the request.
    #[serde(borrow)]
    pub body: &'l RawValue,
    /// The caller's name for the item.
    #[serde(borrow)]
    pub custom_id: Cow<'l, str>,
    /// The method; `POST` where it is left out.
    #[serde(borrow, default)]
    pub method: Option<Cow<'l, str>>,
    /// The path that an online request would have.
    #[serde(borrow)]
    pub url: Cow<'l, str>,
}

/// The part of a body that names the model.
#[derive(Debug, Deserialize)]
struct ModelField<'l> {
    #[serde(borrow)]
    model: Cow<'l, str>,
}

impl<'l> InputLine<'l> {
    /// Parses a line; the error is a text for people.
    pub fn parse(line: &'l str) -> Result<Self, String> {
        serde_json::from_str(line).map_err(|error| error.to_string())
    }

    /// Tells whether the item is a completion.
    pub fn is_completion(&self) -> bool {
        matches!(&*self.url, "/v1/completions" | "/v1/chat/completions")
    }

    /// Returns the service that the item is for, and the path at its target.
    pub fn route(&self) -> Result<(String, String), String> {
        if self.is_completion() {
            let field: ModelField<'_> = serde_json::from_str(self.body.get())
                .map_err(|error| format!("`body` names no model: {error}"))?;
            return Ok((field.model.into_owned(), self.url.to_string()));
        }
        let rest = self.url.strip_prefix(SERVICES_PREFIX).ok_or_else(|| {
            format!(
                "`url` is `{}`; use /v1/completions, /v1/chat/completions or /services/…",
                self.url
            )
        })?;
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        Ok((service.to_owned(), format!("/{path}")))
    }
}

/// Returns a line of the output for an answer.
pub(crate) fn answer_line(custom_id: &str, request_id: &str, status: u16, body: &Value) -> String {
    json!({
        "custom_id": custom_id,
        "error": null,
        "id": request_id,
        "response": {"body": body, "request_id": request_id, "status_code": status},
    })
    .to_string()
}

/// Returns a line of the error file.
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

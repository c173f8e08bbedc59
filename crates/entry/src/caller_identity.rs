//! Who sends a request.

use cv_http::ServerExchange;
use cv_policy::config::ActiveConfig;
use cv_policy::hash_token;
use cv_policy::headers;
use http::header::AUTHORIZATION;

/// Organisation of callers that name none, where no tokens are demanded.
const OPEN_ORGANISATION: &str = "default";

/// The caller's side of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CallerIdentity {
    /// The organisation that pays.
    pub organisation: String,
}

impl CallerIdentity {
    /// Finds the caller's organisation, or `None` if its token is missing or unknown.
    pub fn of(exchange: &ServerExchange<'_>, register: &ActiveConfig) -> Option<Self> {
        let organisation = if register.requires_tokens() {
            let hash = hash_token(bearer_token(exchange)?);
            register.organisation_of_token(&hash)?.to_owned()
        } else {
            exchange.header(headers::ORGANISATION).unwrap_or(OPEN_ORGANISATION).to_owned()
        };
        Some(Self { organisation })
    }
}

/// Tells whether the caller is an operator; anybody is while no operator token is configured.
pub(crate) fn is_operator(exchange: &ServerExchange<'_>, register: &ActiveConfig) -> bool {
    let hashes = &register.config().operator_token_hashes;
    if hashes.is_empty() {
        return true;
    }
    bearer_token(exchange).is_some_and(|token| hashes.contains(&hash_token(token)))
}

/// Returns the token of the authorisation header.
fn bearer_token<'e>(exchange: &'e ServerExchange<'_>) -> Option<&'e str> {
    exchange.header(AUTHORIZATION.as_str())?.strip_prefix("Bearer ")
}

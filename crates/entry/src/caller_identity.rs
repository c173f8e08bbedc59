//! Identification of callers and operators.

use cv_http::ServerExchange;
use cv_policy::config::ActiveConfig;
use cv_policy::hash_token;
use cv_policy::headers;
use http::header::AUTHORIZATION;

/// Organisation of callers that name none, if no tokens are required.
const DEFAULT_ORGANISATION: &str = "default";

/// The identity of a request's caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CallerIdentity {
    /// The organisation that the request is accounted to.
    pub organisation: String,
}

impl CallerIdentity {
    /// Determines the caller's organisation; `None` if its token is missing or unknown.
    pub fn identify(exchange: &ServerExchange<'_>, config: &ActiveConfig) -> Option<Self> {
        let organisation = if config.requires_tokens() {
            let hash = hash_token(bearer_token(exchange)?);
            config.organisation_of_token(&hash)?.to_owned()
        } else {
            exchange.header(headers::ORGANISATION).unwrap_or(DEFAULT_ORGANISATION).to_owned()
        };
        Some(Self { organisation })
    }
}

/// Returns whether the caller is an operator; every caller is if no operator token is configured.
pub(crate) fn is_operator(exchange: &ServerExchange<'_>, config: &ActiveConfig) -> bool {
    let hashes = &config.config().operator_token_hashes;
    if hashes.is_empty() {
        return true;
    }
    bearer_token(exchange).is_some_and(|token| hashes.contains(&hash_token(token)))
}

/// Returns the bearer token of the `Authorization` header.
fn bearer_token<'e>(exchange: &'e ServerExchange<'_>) -> Option<&'e str> {
    exchange.header(AUTHORIZATION.as_str())?.strip_prefix("Bearer ")
}

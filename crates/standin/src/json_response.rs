//! Responses in JSON.

use bytes::Bytes;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;

/// Responds with a value in JSON.
pub(crate) async fn respond_json<T: Serialize>(
    exchange: &mut ServerExchange<'_>,
    status: StatusCode,
    value: &T,
) -> Result<(), HttpFault> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    exchange.respond(status, &json_headers(), &Bytes::from(body)).await
}

/// Returns the headers of a response in JSON.
pub(crate) fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}

//! Headers of requests and answers.

use std::time::Duration;

use cv_adapter::GrowersPlatform;
use cv_dispatch::ItemSpec;
use cv_serving::AttemptOptions;
use cv_serving::PlatformAdapter;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

/// Headers of the given fields.
fn headers_of(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let rows = fields
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
    rows.collect()
}

#[test]
fn an_attempt_keeps_what_is_the_callers() {
    let headers = headers_of(&[
        ("host", "a.example"),
        ("request-id", "r1"),
        ("model", "m"),
        ("token-count", "10,20"),
        ("prompt-prefix", "ab:100,cd:50"),
        ("deadline-ms", "5000"),
        ("connection", "keep-alive"),
        ("content-length", "12"),
    ]);
    let terms = AttemptOptions {
        deadline: Some(Duration::from_millis(4_200)),
        expected_target: Some("i-1"),
        resume_after: Some(12),
    };
    let attempt = GrowersPlatform::attempt_headers(&headers, &terms);
    for name in ["host", "request-id", "model", "token-count", "prompt-prefix"] {
        assert_eq!(attempt.get(name), headers.get(name), "{name}");
    }
    assert_eq!(attempt["deadline-ms"], "4200");
    assert_eq!(attempt["expect-instance"], "i-1");
    assert_eq!(attempt["last-event-id"], "12");
    assert!(!attempt.contains_key("connection") && !attempt.contains_key("content-length"));
}

#[test]
fn terms_and_marks_are_read() {
    let headers =
        headers_of(&[("request-id", "r1"), ("deadline-ms", "600"), ("last-event-id", "3")]);
    let terms = GrowersPlatform::request_options(&headers);
    assert_eq!(terms.deadline, Some(Duration::from_millis(600)));
    assert_eq!((terms.request_id.as_deref(), terms.resume_after), (Some("r1"), Some(3)));
    let damaged = headers_of(&[("deadline-ms", "soon")]);
    assert_eq!(GrowersPlatform::request_options(&damaged).deadline, None);
    let marks = GrowersPlatform::response_metadata(&headers_of(&[("not-run", "1")]));
    assert!(marks.not_run && !marks.is_signed);
    let marks = GrowersPlatform::response_metadata(&headers_of(&[("server-seal", "x")]));
    assert!(!marks.not_run && marks.is_signed);
}

#[test]
fn an_items_run_bears_its_own_id_and_headers() {
    let item = ItemSpec {
        body: Vec::new(),
        headers: vec![
            ("Model".to_owned(), "m".to_owned()),
            ("bad name".to_owned(), "x".to_owned()),
        ],
        id: "i1".to_owned(),
        path: "/plans/1".to_owned(),
        tokens: 10,
    };
    let headers = GrowersPlatform::item_headers("a.example", &item);
    assert_eq!(
        (&headers["host"], &headers["request-id"]),
        (&HeaderValue::from_static("a.example"), &HeaderValue::from_static("i1"),)
    );
    assert_eq!(headers["model"], "m");
    assert_eq!(headers.len(), 3);
}

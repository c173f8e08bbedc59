//! Messages of the job API.

use std::time::Duration;

use cv_adapter::GrowersPlatform;
use cv_dispatch::ItemOutcome;
use cv_dispatch::ItemResult;
use cv_serving::CallerRequest;
use cv_serving::JobRequest;
use cv_serving::PlatformAdapter;
use http::Request;
use rstest::rstest;

/// Classifies a request with the given method and path.
fn classify(method: &str, path: &str) -> CallerRequest {
    let request = Request::builder().method(method).uri(path).header("wait-ms", "1000").body(());
    GrowersPlatform::classify(&request.expect("a request").into_parts().0)
}

#[test]
fn job_requests_are_distinguished_from_routed_requests() {
    let read = JobRequest::ReadResults {
        job: "j1".to_owned(),
        position: 12,
        max_wait: Duration::from_secs(1),
    };
    assert_eq!(classify("GET", "/lots/j1?after=12"), CallerRequest::Job(read));
    let item = JobRequest::ReadItem { job: "j1".to_owned(), item: "i1".to_owned() };
    assert_eq!(classify("GET", "/items/j1?id=i1"), CallerRequest::Job(item));
    let close = JobRequest::Close { job: "j1".to_owned() };
    assert_eq!(classify("DELETE", "/lots/j1"), CallerRequest::Job(close));
    assert_eq!(classify("POST", "/plans/j1"), CallerRequest::Routed);
    assert_eq!(classify("GET", "/plans/lots/j1"), CallerRequest::Routed);
}

#[test]
fn a_submission_is_decoded_with_its_bodies() {
    let text = r#"{"items":[{"id":"i1","path":"/plans/1","headers":{"Model":"m"},
        "body":"q83vEjRWeJA=","tokenCount":940},{"id":"i2","path":"/plans/2","body":""}]}"#;
    let items = GrowersPlatform::decode_items(text.as_bytes()).expect("a job");
    assert_eq!(items[0].body, [0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90]);
    assert_eq!(items[0].headers, [("Model".to_owned(), "m".to_owned())]);
    assert_eq!((items[0].tokens, items[1].tokens), (940, 0));
}

#[rstest]
#[case("")]
#[case("{\"items\":7}")]
#[case("{\"items\":[{\"path\":\"/x\"}]}")]
#[case("{\"items\":[{\"id\":\"i\",\"path\":\"/x\",\"body\":\"%%%\"}]}")]
fn an_invalid_submission_is_rejected(#[case] text: &str) {
    assert!(GrowersPlatform::decode_items(text.as_bytes()).is_err());
}

#[test]
fn results_are_encoded_with_the_next_position() {
    let results = [
        ItemResult { outcome: ItemOutcome::Completed(b"a\nb\"".to_vec()), id: "i1".to_owned() },
        ItemResult { outcome: ItemOutcome::DeadLetter, id: "i2".to_owned() },
    ];
    let text = GrowersPlatform::encode_results(5, 2, &results);
    let message: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
    assert_eq!((&message["total"], &message["next"]), (&5.into(), &4.into()));
    assert_eq!(message["results"][0]["text"], "a\nb\"");
    assert_eq!(message["results"][0]["state"], "completed");
    assert_eq!(message["results"][1]["state"], "dead_letter");
}

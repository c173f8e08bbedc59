//! Decoding of the operator's configuration.

use std::time::Duration;

use cv_adapter::GrowersPlatform;
use cv_dispatch::RouteKind;
use cv_serving::PlatformAdapter;
use rstest::rstest;

/// A configuration as the platform documents it, with fields that the product does not know.
const CONFIG: &str = r#"{"version":7,"routes":[
    {"name":"advice","host":"a.example","prefix":"/advice/","kind":"streaming","timeoutMs":5000,
     "sloMs":300,"priority":0,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,
     "gapSloMs":250},
    {"name":"split","host":"a.example","prefix":"/split/","kind":"safe","timeoutMs":600,"sloMs":100,
     "priority":2,"trafficSplit":[{"service":"one","weight":90},{"service":"two","weight":10}],
     "maxAttempts":3},
    {"name":"plans","host":"a.example","prefix":"/plans/","kind":"batch","timeoutMs":15000,"sloMs":400,
     "priority":2,"service":"llm","maxAttempts":3,"runSloMs":18000,"maxQueueS":60,
     "maxQueuedTokens":3100000}],
    "services":[{"name":"llm","healthPath":"/health","maxConns":310,"engine":{"slots":8,"new":1}},
                {"name":"one","healthPath":"/health","maxConns":110}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304},"unknown":{"field":true}}"#;

#[test]
fn a_configuration_is_decoded_completely() {
    let table = GrowersPlatform::decode_routes(CONFIG.as_bytes()).expect("a configuration");
    assert_eq!((table.version, table.limits.max_body_bytes), (7, 4_194_304));
    let advice = table.find("a.example", "/advice/x").expect("a route");
    assert_eq!(advice.kind, RouteKind::Streaming);
    assert_eq!(advice.objective, Duration::from_millis(300));
    assert!(advice.resumable && advice.uses_service("llm"));
    let split = table.find("a.example", "/split/x").expect("a route");
    assert_eq!((split.pick_service(89), split.pick_service(90)), (Some("one"), Some("two")));
    let plans = table.find("a.example", "/plans/x").expect("a route");
    assert_eq!(plans.due_after, Duration::from_secs(18));
    assert_eq!(plans.abandon_after, Duration::from_mins(1));
    assert_eq!(plans.max_queued_tokens, 3_100_000);
    assert!(table.service("llm").is_some_and(|service| service.is_model && service.slots == 8));
    assert!(table.service("one").is_some_and(|service| !service.is_model));
}

#[test]
fn an_unknown_kind_is_treated_as_unsafe() {
    let text = CONFIG.replace("\"safe\"", "\"keyed\"");
    let table = GrowersPlatform::decode_routes(text.as_bytes()).expect("a configuration");
    let route = table.find("a.example", "/split/x").expect("a route");
    assert_eq!(route.kind, RouteKind::Unsafe);
    assert!(!route.may_repeat());
}

#[rstest]
#[case("")]
#[case("{}")]
#[case("{\"version\":\"7\"}")]
#[case("{\"version\":7,\"routes\":[{\"name\":\"x\"}]}")]
fn an_invalid_configuration_is_rejected(#[case] text: &str) {
    assert!(GrowersPlatform::decode_routes(text.as_bytes()).is_err());
}

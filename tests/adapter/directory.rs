//! Decoding of targets' registrations in the store.

use cv_adapter::GrowersPlatform;
use cv_dispatch::TargetState;
use cv_serving::PlatformAdapter;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// A registration as the platform documents it, with fields that the product does not know.
const RECORD: &str = r#"{"service":"llm","address":"10.128.0.9:8080","zone":"fraser-a","version":"v1",
    "slots":8,"state":"ready","coldLeftMs":0,"stage":"both","models":[],"callSeq":4,"born":1}"#;

#[test]
fn a_registration_is_decoded() {
    let record = GrowersPlatform::decode_target("i-1", RECORD.as_bytes()).expect("a registration");
    assert_eq!((record.id.as_str(), record.service.as_str()), ("i-1", "llm"));
    assert_eq!((record.slots, record.state), (8, TargetState::Ready));
    assert_eq!(record.address.to_string(), "10.128.0.9:8080");
    let draining = RECORD.replace("ready", "draining");
    let record =
        GrowersPlatform::decode_target("i-1", draining.as_bytes()).expect("a registration");
    assert_eq!(record.state, TargetState::Draining);
}

// Guards against requests to an address that another writer, and no target, has stated.
#[rstest]
fn a_registration_without_a_field_is_rejected(
    #[values("service", "address", "zone", "version", "slots", "state", "coldLeftMs", "callSeq")]
    name: &str,
    #[values(None, Some(Value::Null), Some(json!({})))] other: Option<Value>,
) {
    let mut record: Value = serde_json::from_str(RECORD).expect("the record is JSON");
    let fields = record.as_object_mut().expect("the record has fields");
    match other {
        Some(value) => fields.insert(name.to_owned(), value),
        None => fields.remove(name),
    };
    assert!(GrowersPlatform::decode_target("i-1", record.to_string().as_bytes()).is_err());
}

#[rstest]
#[case(RECORD.replace("\"slots\":8,", ""))]
#[case(RECORD.replace("\"slots\":8", "\"slots\":\"8\""))]
#[case(RECORD.replace("ready", "asleep"))]
#[case(RECORD.replace("10.128.0.9:8080", "nowhere"))]
#[case(RECORD.replace("\"zone\":\"fraser-a\"", "\"zone\":7"))]
#[case(RECORD.replace("\"version\":\"v1\"", "\"version\":1"))]
#[case(RECORD.replace("\"coldLeftMs\":0", "\"coldLeftMs\":\"0\""))]
#[case(RECORD.replace("\"callSeq\":4", "\"callSeq\":\"4\""))]
#[case(RECORD.replace("\"callSeq\":4", "\"callSeq\":-4"))]
#[case(RECORD.replace("\"born\":1", "\"born\":\"1\""))]
#[case("not even close".to_owned())]
fn a_malformed_registration_is_rejected(#[case] text: String) {
    assert!(GrowersPlatform::decode_target("i-1", text.as_bytes()).is_err());
}

#[test]
fn bytes_that_are_not_utf8_are_rejected() {
    assert!(GrowersPlatform::decode_target("i-1", &[0xff, 0x00, 0x7b]).is_err());
}

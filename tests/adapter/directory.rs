//! Targets' entries in the directory.

use cv_adapter::GrowersPlatform;
use cv_dispatch::TargetState;
use cv_serving::PlatformAdapter;
use rstest::rstest;

/// An entry as the platform's pages show it.
const ENTRY: &str = r#"{"service":"llm","address":"10.128.0.9:8080","zone":"fraser-a","version":"v1",
    "slots":8,"state":"ready","coldLeftMs":0,"stage":"both","models":[],"callSeq":4,"born":1}"#;

#[test]
fn an_entry_names_a_target() {
    let record = GrowersPlatform::decode_target("i-1", ENTRY.as_bytes()).expect("an entry");
    assert_eq!((record.id.as_str(), record.service.as_str()), ("i-1", "llm"));
    assert_eq!((record.slots, record.state), (8, TargetState::Ready));
    assert_eq!(record.address.to_string(), "10.128.0.9:8080");
    let draining = ENTRY.replace("ready", "draining");
    let record = GrowersPlatform::decode_target("i-1", draining.as_bytes()).expect("an entry");
    assert_eq!(record.state, TargetState::Draining);
}

#[rstest]
#[case(ENTRY.replace("\"slots\":8,", ""))]
#[case(ENTRY.replace("\"slots\":8", "\"slots\":\"8\""))]
#[case(ENTRY.replace("ready", "asleep"))]
#[case(ENTRY.replace("10.128.0.9:8080", "nowhere"))]
#[case(ENTRY.replace("\"zone\":\"fraser-a\"", "\"zone\":7"))]
#[case("not even close".to_owned())]
fn entries_of_other_writers_name_none(#[case] text: String) {
    assert!(GrowersPlatform::decode_target("i-1", text.as_bytes()).is_err());
}

#[test]
fn bytes_that_are_no_text_name_none() {
    assert!(GrowersPlatform::decode_target("i-1", &[0xff, 0x00, 0x7b]).is_err());
}

//! Settings and configurations are checked as a whole, with the place of each finding.

use cv_settings::ServerSettings;
use cv_settings::check_fleet_document;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;

/// Settings of a sidecar with four faults.
const FAULTY: &str = "role: sidecar
name: assist-1
zone: fraser-a
listen: localhost:80
control_listen: 127.0.0.1:81
drain_limit_ms: soon
sidecar:
  service: assist-llm
  kind: modell
  targt: 127.0.0.1:9000
";

#[test]
fn all_findings_come_in_one_report_with_line_and_hint() {
    let findings = ServerSettings::parse("sidecar.yaml", FAULTY).expect_err("findings").0;
    let places: Vec<usize> = findings.iter().map(|finding| finding.line).collect();
    assert_eq!(places, [4, 6, 8, 9, 10], "{findings:#?}");
    assert!(findings[4].hint.contains("target"), "{:?}", findings[4]);
    assert!(findings.iter().all(|finding| !finding.hint.is_empty()));
}

#[test]
fn sound_settings_have_no_finding() {
    let text = FAULTY
        .replace("localhost:80", "127.0.0.1:80")
        .replace("soon", "5000")
        .replace("modell", "model")
        .replace("targt", "target");
    assert!(ServerSettings::parse("sidecar.yaml", &text).is_ok());
}

#[test]
fn an_exception_needs_a_reason_and_a_service_that_exists() {
    let text = "services:
  - name: assist-llm
    kind: model
exceptions:
  - service: orders-app
    author: ops
    deadline_ms: 500
";
    let findings = check_fleet_document("configuration", text).expect_err("findings").0;
    let messages: Vec<&str> = findings.iter().map(|finding| finding.message.as_str()).collect();
    assert!(messages.contains(&"`reason` is missing"), "{messages:?}");
    assert!(messages.contains(&"no such service"), "{messages:?}");
}

proptest! {
    #[test]
    fn any_text_is_settings_or_findings(text in prop::collection::vec(any::<char>(), 0..200)) {
        let text: String = text.into_iter().collect();
        let _ = ServerSettings::parse("any", &text);
        let _ = check_fleet_document("any", &text);
    }
}

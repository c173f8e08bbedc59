//! Settings and configurations report all findings at once, each with its line and a hint.

use cv_settings::ServerSettings;
use cv_settings::parse_fleet_config;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;

/// Sidecar settings with an invalid `listen`, `drain_limit_ms` and `kind`, and with `targt` in
/// place of `target`.
const INVALID: &str = "role: sidecar
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
fn all_findings_are_reported_at_once_with_line_and_hint() {
    let findings =
        ServerSettings::parse("sidecar.yaml", INVALID).expect_err("the text is invalid").0;
    let lines: Vec<usize> = findings.iter().map(|finding| finding.line).collect();
    assert_eq!(lines, [4, 6, 8, 9, 10], "{findings:#?}");
    assert!(findings[4].hint.contains("target"), "{:?}", findings[4]);
    assert!(findings.iter().all(|finding| !finding.hint.is_empty()));
}

#[test]
fn valid_settings_have_no_findings() {
    let text = INVALID
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
    let findings = parse_fleet_config("configuration", text).expect_err("the text is invalid").0;
    let messages: Vec<&str> = findings.iter().map(|finding| finding.message.as_str()).collect();
    assert!(messages.contains(&"`reason` is missing"), "{messages:?}");
    assert!(messages.contains(&"no such service"), "{messages:?}");
}

proptest! {
    #[test]
    fn arbitrary_text_is_parsed_or_reported(text in prop::collection::vec(any::<char>(), 0..200)) {
        let text: String = text.into_iter().collect();
        let _ = ServerSettings::parse("any", &text);
        let _ = parse_fleet_config("any", &text);
    }
}

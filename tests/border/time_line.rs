//! The time line orders causes before effects even if the wall clocks disagree.

use cv_bench::deployment::SmallDeployment;
use cv_policy::HybridClock;
use cv_tests::SmallFleet;
use cv_timeline::EventKind;
use cv_timeline::MergedTimeline;
use cv_timeline::render_html;
use tempfile::TempDir;

#[test]
fn a_hybrid_clock_stays_monotonic_when_the_wall_clock_is_set_back() {
    let mut clock = HybridClock::default();
    let first = clock.tick(1_000);
    assert!(clock.tick(400) > first);
}

#[test]
fn events_after_a_received_timestamp_are_later_than_it() {
    let mut sender = HybridClock::default();
    let mut receiver = HybridClock::default();
    let sent = sender.tick(5_000);
    assert!(receiver.observe(3_000, sent) > sent);
    assert!(receiver.tick(3_001) > sent);
}

#[test]
fn events_of_a_request_are_in_causal_order() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut spec = SmallFleet::proxied_spec();
    spec.events = Some(folder.path().to_owned());
    let deployment = SmallDeployment::start(spec);
    let _ = SmallFleet::send_order(
        deployment.entry_addresses()[0],
        SmallFleet::order_call("order-seen"),
    );
    drop(deployment);
    let files = std::fs::read_dir(folder.path()).expect("the folder is readable");
    let texts: Vec<String> =
        files.filter_map(|file| std::fs::read_to_string(file.ok()?.path()).ok()).collect();
    let timeline =
        MergedTimeline::from_texts(texts.iter().map(String::as_str)).for_subject("order-seen");
    let kinds: Vec<EventKind> = timeline.events().iter().map(|event| event.kind).collect();
    let expected = [
        EventKind::RequestReceived,
        EventKind::AttemptSent,
        EventKind::AttemptQueued,
        EventKind::HandedOver,
        EventKind::RequestConcluded,
    ];
    assert_eq!(kinds, expected);
    assert!(render_html(&timeline).contains("<svg"));
}

#[test]
fn an_explanation_includes_the_subject_and_related_directory_changes() {
    let line = |millis: u64, kind: &str, process: &str, subject: &str, detail: &str| {
        let clock = millis << 16;
        format!(
            "{{\"clock\":{clock},\"kind\":\"{kind}\",\"process\":\"{process}\",\
             \"subject\":\"{subject}\",\"detail\":\"{detail}\"}}\n"
        )
    };
    let text = [
        // Log collectors prepend their own text to a line.
        format!("12.5 entry-1 {}", line(10_000, "refused", "entry-1", "r1", "reason=all_busy")),
        line(9_000, "directory_changed", "entry-1", "t1", "state=gone"),
        line(1_000, "directory_changed", "entry-1", "t0", "state=gone"),
        line(10_000, "directory_changed", "entry-2", "t1", "state=gone"),
        line(10_001, "refused", "entry-1", "r2", "reason=all_busy"),
        line(10_002, "item_started", "keeper-1", "i1", "job=r1 target=t2"),
    ]
    .concat();
    let timeline = cv_timeline::MergedTimeline::from_texts([text.as_str()]).explain("r1");
    let subjects: Vec<&str> = timeline.events().iter().map(|event| &*event.subject).collect();
    assert_eq!(subjects, ["t1", "r1", "i1"]);
}

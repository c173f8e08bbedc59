//! Quarantine of prompt parts that end engines.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use cv_dispatch::ArrivalDelay;
use cv_dispatch::EngineLoss;
use cv_dispatch::PromptPart;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::QuarantineTable;
use cv_dispatch::RequestDigest;
use cv_dispatch::RunWatch;
use cv_dispatch::ThawDetector;
use cv_policy::MonotonicTime;
use rstest::rstest;

use crate::crash_simulation::CrashSimulation;

/// The part that ends engines.
pub(crate) const CRASHING: QuarantineSubject = part(0xbad);

/// A part that crashing and sound prompts have in common.
pub(crate) const COMMON: QuarantineSubject = part(0xc0);

/// A part of a prompt.
pub(crate) const fn part(id: u64) -> QuarantineSubject {
    QuarantineSubject::Part(PromptPart(id))
}

/// A time in milliseconds; processes have been running for an hour at its origin.
pub(crate) fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(3_600_000 + millis)
}

/// A loss of the engine with a number at a time.
pub(crate) fn loss(engine: u8, millis: u64) -> EngineLoss {
    EngineLoss { at: at(millis), engine: IpAddr::V4(Ipv4Addr::new(10, 0, 0, engine)) }
}

/// Records the loss of an engine with the runs that may be the cause.
fn lose(table: &mut QuarantineTable, engine: u8, millis: u64, suspects: &[&[QuarantineSubject]]) {
    table.record_loss(loss(engine, millis), suspects.iter().copied());
}

/// A table in which engines have ended each 200 ms under prompts with [`CRASHING`].
fn convicted_table() -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for engine in 1..=4 {
        let prompt = [COMMON, CRASHING];
        lose(&mut table, engine, 200 * u64::from(engine), &[&prompt]);
    }
    table
}

/// Returns whether requests with the parts are served.
fn is_admitted(table: &QuarantineTable, parts: &[QuarantineSubject], millis: u64) -> bool {
    table.decide(parts, at(millis)) == QuarantineDecision::Admit
}

#[test]
fn a_part_that_has_ended_four_engines_ends_no_fifth() {
    let table = convicted_table();
    let decision = table.decide(&[part(1), CRASHING], at(1_000));
    assert!(
        matches!(decision, QuarantineDecision::Refuse(CRASHING, left) if !left.is_zero()),
        "{decision:?}"
    );
}

#[test]
fn prompts_with_the_same_first_part_as_a_crashing_one_are_served() {
    let table = convicted_table();
    assert!(is_admitted(&table, &[COMMON], 1_000));
    assert!(is_admitted(&table, &[COMMON, part(7)], 1_000));
}

#[test]
fn a_crashing_first_part_is_found_among_varying_other_parts() {
    let mut table = QuarantineTable::default();
    for engine in 1..=4 {
        let prompt = [CRASHING, part(100 + u64::from(engine))];
        lose(&mut table, engine, 200 * u64::from(engine), &[&prompt]);
    }
    assert!(!is_admitted(&table, &[CRASHING, part(9)], 1_000));
    assert!(is_admitted(&table, &[part(101)], 1_000));
}

#[test]
fn a_prompt_that_only_shared_engines_with_a_crashing_one_is_served() {
    let (mut table, neighbour) = (QuarantineTable::default(), [part(5), part(6)]);
    for engine in 1..=8 {
        let prompts: [&[QuarantineSubject]; 2] = [&neighbour, &[COMMON, CRASHING]];
        // The neighbour was not at the first engine.
        let suspects = if engine == 1 { &prompts[1..] } else { &prompts[..] };
        lose(&mut table, engine, 200 * u64::from(engine), suspects);
    }
    assert!(!is_admitted(&table, &[CRASHING], 2_000));
    assert!(is_admitted(&table, &neighbour, 2_000));
}

#[test]
fn engines_that_are_lost_together_accuse_no_part() {
    let mut table = QuarantineTable::default();
    for round in 0..3 {
        for engine in 1..=9 {
            lose(&mut table, engine, 4_000 * round + u64::from(engine), &[&[COMMON]]);
        }
    }
    assert!(is_admitted(&table, &[COMMON], 9_000));
}

#[test]
fn losses_between_which_a_part_is_served_never_add_up() {
    let mut table = QuarantineTable::default();
    for engine in 1..=20 {
        lose(&mut table, engine, 300 * u64::from(engine), &[&[COMMON]]);
        table.record_served(&[COMMON], at(300 * u64::from(engine) + 100));
    }
    assert!(is_admitted(&table, &[COMMON], 6_200));
}

#[test]
fn a_part_that_was_served_before_needs_more_losses() {
    let mut table = QuarantineTable::default();
    table.record_served(&[COMMON], at(0));
    for engine in 1..=5 {
        lose(&mut table, engine, 200 * u64::from(engine), &[&[COMMON]]);
    }
    assert!(is_admitted(&table, &[COMMON], 1_100));
    lose(&mut table, 6, 1_200, &[&[COMMON]]);
    assert!(!is_admitted(&table, &[COMMON], 1_300));
}

#[test]
fn losses_long_ago_are_no_evidence() {
    let mut table = QuarantineTable::default();
    for engine in 1..=8 {
        table.expire(at(12_000 * u64::from(engine)));
        lose(&mut table, engine, 12_000 * u64::from(engine), &[&[COMMON]]);
    }
    assert!(is_admitted(&table, &[COMMON], 97_000));
}

#[test]
fn processes_that_each_saw_one_loss_convict_the_part_together() {
    let mut tables = vec![QuarantineTable::default(); 4];
    for (index, table) in tables.iter_mut().enumerate() {
        let prompt = [COMMON, CRASHING];
        lose(table, index as u8, 200 * index as u64, &[&prompt]);
    }
    let mut table = QuarantineTable::default();
    for (index, other) in tables.iter().enumerate() {
        table.merge(&other.records(at(700), false), at(700), at(700));
        // What is told twice counts once.
        table.merge(&other.records(at(720), false), at(720), at(720));
        assert_eq!(is_admitted(&table, &[CRASHING], 730), index < 3);
    }
    assert!(is_admitted(&table, &[COMMON], 730));
}

#[test]
fn one_loss_that_several_processes_report_counts_once() {
    let mut table = QuarantineTable::default();
    for observer in 0..6 {
        lose(&mut table, 1, 100 * observer, &[&[CRASHING]]);
    }
    assert!(is_admitted(&table, &[CRASHING], 700));
}

#[test]
fn a_loss_that_is_heard_of_late_and_often_counts_once() {
    let mut witness = QuarantineTable::default();
    lose(&mut witness, 1, 0, &[&[CRASHING]]);
    let mut frozen = QuarantineTable::default();
    let mut delay = ArrivalDelay::new(1, at(0), at(50));
    let told: Vec<_> = [0, 500, 1_000, 1_500, 1_900]
        .map(|sent| (sent, witness.records(at(sent), true)))
        .into_iter()
        .collect();
    // All messages are read at once, six seconds later.
    for (sent, records) in told {
        let delay = delay.record(1, at(sent), at(6_050));
        frozen.merge(&records, at(6_050).before(delay), at(6_050));
    }
    assert_eq!(frozen.losses(CRASHING), [loss(1, 50)]);
}

#[test]
fn messages_that_came_during_a_freeze_are_told_from_those_after_it() {
    let mut detector = ThawDetector::default();
    assert!(!detector.may_read_backlog(at(0)), "nothing is known yet");
    for tick in [0, 500, 1_000] {
        detector.tick(at(tick));
        assert!(!detector.may_read_backlog(at(tick + 400)));
    }
    // Thawed at 6 s; the socket may be read before or after the tick.
    assert!(detector.may_read_backlog(at(6_000)));
    detector.tick(at(6_001));
    assert!(detector.may_read_backlog(at(6_100)));
    assert!(!detector.may_read_backlog(at(6_300)));
}

#[test]
fn a_message_of_a_new_process_starts_a_new_estimate() {
    let mut delay = ArrivalDelay::new(1, at(0), at(10));
    assert_eq!(delay.record(1, at(100), at(310)), Duration::from_millis(200));
    assert_eq!(delay.record(1, at(200), at(205)), Duration::ZERO, "it was faster than the first");
    assert_eq!(delay.record(2, at(0), at(9_000)), Duration::ZERO);
    assert_eq!(delay.record(2, at(10), at(9_030)), Duration::from_millis(20));
}

#[test]
fn a_process_that_has_just_started_refuses_what_the_others_refuse() {
    let table = convicted_table();
    let mut started = QuarantineTable::default();
    let now = MonotonicTime::from_millis(90_000_000);
    started.merge(&table.records(at(9_000), true), now, now);
    let decision = started.decide(&[CRASHING], MonotonicTime::from_millis(90_000_100));
    assert_ne!(decision, QuarantineDecision::Admit);
}

#[test]
fn a_quarantine_is_tested_by_one_request_at_a_time_and_ever_more_rarely() {
    let mut table = convicted_table();
    assert_eq!(table.decide(&[CRASHING], at(6_000)), QuarantineDecision::Try(CRASHING));
    table.begin_trial(&[CRASHING], at(6_000));
    assert!(matches!(table.decide(&[CRASHING], at(6_001)), QuarantineDecision::Refuse(..)));
    lose(&mut table, 9, 6_100, &[&[CRASHING]]);
    assert!(matches!(table.decide(&[CRASHING], at(20_000)), QuarantineDecision::Refuse(..)));
    assert_eq!(table.decide(&[CRASHING], at(26_100)), QuarantineDecision::Try(CRASHING));
    // Other processes learn of the trial.
    table.begin_trial(&[CRASHING], at(26_100));
    let mut other = convicted_table();
    other.merge(&table.records(at(26_110), false), at(26_120), at(26_120));
    assert!(matches!(other.decide(&[CRASHING], at(26_130)), QuarantineDecision::Refuse(..)));
}

#[test]
fn a_trial_that_brings_no_verdict_is_soon_followed_by_another() {
    let mut table = convicted_table();
    let mut other = convicted_table();
    // The engine or the sidecar goes silent, or the keeper dies, again and again.
    for begun in [6_000, 10_000, 14_000, 18_000] {
        assert_eq!(table.decide(&[CRASHING], at(begun)), QuarantineDecision::Try(CRASHING));
        assert_eq!(other.decide(&[CRASHING], at(begun)), QuarantineDecision::Try(CRASHING));
        table.begin_trial(&[CRASHING], at(begun));
        other.merge(&table.records(at(begun + 10), false), at(begun + 20), at(begun + 20));
        for table in [&table, &other] {
            let decision = table.decide(&[CRASHING], at(begun + 2_000));
            assert!(matches!(decision, QuarantineDecision::Refuse(..)), "two trials at once");
        }
    }
}

#[test]
fn trials_move_on_from_a_target_that_does_not_begin_or_not_answer_them() {
    let mut table = convicted_table();
    let mut other = convicted_table();
    // Due at 5.8 s; the first target does not begin it.
    for (now, turn) in [(5_900, 0), (8_700, 0), (8_900, 1), (11_700, 1), (11_900, 2)] {
        assert_eq!(table.trial_turn(CRASHING, at(now)), turn, "at {now} ms");
    }
    table.begin_trial(&[CRASHING], at(5_900));
    other.merge(&table.records(at(5_910), false), at(5_910), at(5_920));
    for table in [&table, &other] {
        assert_eq!(table.trial_turn(CRASHING, at(5_950)), 1);
        assert_eq!(table.trial_turn(CRASHING, at(9_000)), 1);
    }
}

#[test]
fn trials_that_brought_no_verdict_do_not_prolong_the_quarantine_after_one_that_did() {
    let mut table = convicted_table();
    for begun in [6_000, 10_000, 14_000] {
        table.begin_trial(&[CRASHING], at(begun));
    }
    lose(&mut table, 9, 14_100, &[&[CRASHING]]);
    for waiting in [18_000, 33_900] {
        let decision = table.decide(&[CRASHING], at(waiting));
        assert!(matches!(decision, QuarantineDecision::Refuse(..)), "an engine ended");
    }
    assert_eq!(table.decide(&[CRASHING], at(34_000)), QuarantineDecision::Try(CRASHING));
}

#[test]
fn a_part_that_ends_the_engine_of_each_trial_is_tried_ever_more_rarely() {
    let mut table = convicted_table();
    let mut trials = Vec::new();
    for now in (1_000..600_000).step_by(100) {
        if table.decide(&[CRASHING], at(now)) == QuarantineDecision::Try(CRASHING) {
            trials.push(now);
            table.begin_trial(&[CRASHING], at(now));
            let engine = 10 + trials.len() as u8;
            lose(&mut table, engine, now + 100, &[&[CRASHING]]);
        }
    }
    assert!(trials.len() <= 7, "{trials:?}");
}

#[test]
fn a_quarantine_ends_everywhere_once_an_engine_has_survived_the_part() {
    let mut table = convicted_table();
    let mut other = convicted_table();
    table.begin_trial(&[CRASHING], at(6_000));
    let changes = table.record_served(&[COMMON, CRASHING], at(6_800));
    assert_eq!(changes.lifted, [CRASHING]);
    assert!(is_admitted(&table, &[CRASHING], 6_810));
    other.merge(&table.records(at(6_900), false), at(6_910), at(6_910));
    assert!(is_admitted(&other, &[CRASHING], 6_920));
    // A process that missed the news cannot bring the quarantine back.
    table.merge(&convicted_table().records(at(7_000), true), at(7_010), at(7_010));
    assert!(is_admitted(&table, &[CRASHING], 7_020));
}

#[test]
fn a_quarantine_that_was_stored_long_ago_does_not_undo_its_end() {
    let mut others = convicted_table();
    others.record_served(&[COMMON, CRASHING], at(6_800));
    // A process starts after that and reads the store, from which the part is not removed yet.
    let mut started = QuarantineTable::default();
    started.restore(CRASHING, at(800), at(7_000));
    assert!(!is_admitted(&started, &[CRASHING], 7_010));
    others.merge(&started.records(at(7_000), true), at(7_010), at(7_010));
    assert!(is_admitted(&others, &[CRASHING], 7_020), "an old quarantine came back");
    started.merge(&others.records(at(7_020), false), at(7_030), at(7_030));
    assert!(is_admitted(&started, &[CRASHING], 7_040));
}

#[test]
fn runs_that_began_long_ago_are_not_blamed_for_the_loss_of_their_engine() {
    let mut watch = RunWatch::default();
    let old = watch.begin("old", &[part(1)], at(0));
    let done = watch.begin("done", &[part(2)], at(0));
    watch.answer(old, at(50));
    watch.answer(done, at(350));
    watch.end(done, at(380), true);
    let fresh = watch.begin("fresh", &[part(3)], at(390));
    watch.begin("waiting", &[part(4)], at(0));
    watch.answer(fresh, at(450));
    let suspects = watch.suspects(at(500));
    let ids: Vec<&str> = suspects.iter().map(|run| run.request_id.as_str()).collect();
    assert_eq!(ids, ["fresh", "waiting", "done"]);
    // The engine has survived the complete run only after a while.
    assert!(watch.take_survived(at(600)).is_empty());
    let survived = watch.take_survived(at(700));
    assert_eq!(survived.iter().map(|run| run.request_id.as_str()).collect::<Vec<_>>(), ["done"]);
}

#[test]
fn the_loss_of_an_engine_that_ends_again_at_its_first_request_is_noticed() {
    let mut watch = RunWatch::default();
    let first = watch.begin("first", &[CRASHING], at(0));
    let neighbour = watch.begin("neighbour", &[COMMON], at(10));
    assert!(watch.may_have_lost_engine(first));
    watch.record_loss(at(100));
    assert!(!watch.may_have_lost_engine(neighbour), "it was lost together with the first");
    assert!(watch.is_engine_lost());
    // The engine is back, and ends before it responds.
    let second = watch.begin("second", &[CRASHING], at(3_500));
    assert!(watch.may_have_lost_engine(second));
    assert!(watch.suspects(at(3_600)).iter().any(|run| run.request_id == "second"));
    watch.answer(second, at(3_600));
    assert!(!watch.is_engine_lost());
}

#[rstest]
fn a_part_does_not_end_engine_after_engine(
    #[values(80, 300, 1_500, 4_000)] crashing_ms: u64,
    #[values(0, 2_000)] random_loss_ms: u64,
) {
    for seed in 1..=20 {
        let mut simulation = CrashSimulation::new(seed);
        simulation.run(65_000, crashing_ms, random_loss_ms);
        let Some(fifth) = simulation.crashes.get(4) else {
            continue;
        };
        let late = simulation.crashing_runs.iter().filter(|at| **at > fifth + 3_000).count();
        assert!(late <= 3, "seed {seed}: {late} requests ran after the fifth crash");
        let (came, refused) = simulation.sound;
        assert!(refused * 100 <= came, "seed {seed}: {refused} of {came} sound requests refused");
    }
}

#[rstest]
fn engines_lost_for_other_reasons_accuse_no_part(#[values(400, 1_000, 4_000)] mean_ms: u64) {
    for seed in 1..=20 {
        let mut simulation = CrashSimulation::new(seed);
        simulation.run(65_000, 0, mean_ms);
        let refused = simulation.sound.1 + simulation.lost_thrice;
        assert_eq!(refused, 0, "seed {seed}: sound requests were refused");
    }
}

#[test]
fn a_quarantine_names_the_longest_wait_of_a_prompts_parts() {
    let mut table = convicted_table();
    for engine in 1..=4 {
        lose(&mut table, engine, 3_000 + 200 * u64::from(engine), &[&[part(3)]]);
    }
    let decision = table.decide(&[CRASHING, part(3)], at(4_000));
    assert!(
        matches!(decision, QuarantineDecision::Refuse(subject, left)
            if subject == part(3) && left > Duration::from_secs(4)),
        "{decision:?}"
    );
}

/// A part of the prompts of items.
const fn item_part(id: u64) -> QuarantineSubject {
    QuarantineSubject::ItemPart(PromptPart(id))
}

// Guards against items that wait ever longer in calm, since engines ended under each of their trials.
#[test]
fn an_item_waits_for_no_more_than_one_trial() {
    /// Times at which engines end in three bursts, in milliseconds.
    const BURSTS: [u64; 3] = [5_000, 11_000, 17_000];
    let (mut table, prompt) = (QuarantineTable::default(), [item_part(1), item_part(2)]);
    let crashes = BURSTS.iter().flat_map(|burst| (0..5).map(move |crash| burst + 400 * crash));
    let mut last = 0;
    for (engine, crash) in (1..).zip(crashes) {
        // A run that is allowed begins in time to be a suspect.
        match table.decide(&prompt, at(crash - 100)) {
            QuarantineDecision::Admit => {}
            QuarantineDecision::Try(_) => table.begin_trial(&prompt, at(crash - 100)),
            QuarantineDecision::Refuse(..) => continue,
        }
        lose(&mut table, engine, crash, &[&prompt]);
        last = crash;
    }
    assert!(!is_admitted(&table, &prompt, last), "engines have ended under the item");
    let decision = table.decide(&prompt, at(last + 3_000));
    assert!(matches!(decision, QuarantineDecision::Try(_)), "{decision:?}");
}

#[test]
fn items_and_online_requests_are_judged_apart() {
    let mut table = QuarantineTable::default();
    for engine in 1..=8 {
        lose(&mut table, engine, 200 * u64::from(engine), &[&[item_part(0xbad)]]);
    }
    assert!(!is_admitted(&table, &[item_part(0xbad)], 2_000));
    assert!(is_admitted(&table, &[CRASHING], 2_000), "items accuse online requests");
    let mut table = convicted_table();
    assert!(is_admitted(&table, &[item_part(0xbad)], 1_000), "an item is refused for others");
    table.record_served(&[item_part(0xbad)], at(1_500));
    assert!(!is_admitted(&table, &[CRASHING], 1_600), "an item ends the quarantine of others");
}

#[test]
fn items_beside_a_crashing_prompt_neither_excuse_it_nor_are_refused() {
    let (mut table, neighbour) = (QuarantineTable::default(), [item_part(5), item_part(6)]);
    for engine in 1..=4 {
        let prompts: [&[QuarantineSubject]; 2] = [&neighbour, &[COMMON, CRASHING]];
        lose(&mut table, engine, 200 * u64::from(engine), &prompts);
    }
    assert!(!is_admitted(&table, &[CRASHING], 900));
    assert!(is_admitted(&table, &neighbour, 900));
}

#[test]
fn a_subject_is_read_from_its_displayed_form() {
    let request = QuarantineSubject::Request(RequestDigest(7));
    for subject in [CRASHING, item_part(0xbad), request] {
        assert_eq!(QuarantineSubject::parse(&subject.to_string()), subject);
    }
}

#[test]
fn an_engine_survives_an_item_before_its_run_is_complete() {
    let mut watch = RunWatch::default();
    let item = watch.begin("item", &[item_part(1)], at(0));
    let online = watch.begin("online", &[part(1)], at(0));
    watch.begin("waiting", &[item_part(2)], at(0));
    watch.answer(item, at(50));
    watch.answer(online, at(50));
    assert!(watch.take_outlasted_items(at(600)).is_empty());
    let taken = watch.take_outlasted_items(at(700));
    let ids: Vec<&str> = taken.iter().map(|run| run.request_id.as_str()).collect();
    assert_eq!(ids, ["item"]);
    assert!(watch.take_outlasted_items(at(800)).is_empty(), "a run is taken twice");
}

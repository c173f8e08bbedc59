//! Quarantine of requests that end engines by themselves and come again.

use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::QuarantineTable;
use cv_dispatch::RequestDigest;
use cv_dispatch::RequestIdentity;
use cv_policy::SeededRandom;
use rstest::rstest;

use crate::crash_simulation::CrashSimulation;
use crate::crash_simulation::CrashingRequest;
use crate::quarantine::COMMON;
use crate::quarantine::CRASHING;
use crate::quarantine::at;
use crate::quarantine::loss;
use crate::quarantine::part;

/// A request that ends engines.
const REQUEST: QuarantineSubject = request(0xbad);

/// A request with a digest.
const fn request(digest: u64) -> QuarantineSubject {
    QuarantineSubject::Request(RequestDigest(digest))
}

/// Records the loss of an engine with one run that may be the cause.
fn lose(table: &mut QuarantineTable, engine: u8, millis: u64, suspect: &[QuarantineSubject]) {
    table.record_loss(loss(engine, millis), [suspect]);
}

/// A table in which engines have ended each 200 ms under the request, the last one at 600 ms.
fn convicted_table() -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for engine in 1..=3 {
        lose(&mut table, engine, 200 * u64::from(engine), &[REQUEST]);
    }
    table
}

/// Returns whether requests with the subjects are served.
fn is_admitted(table: &QuarantineTable, subjects: &[QuarantineSubject], millis: u64) -> bool {
    table.decide(subjects, at(millis)) == QuarantineDecision::Admit
}

/// Returns how often the request is handed over until a time, if it comes each 500 ms and ends
/// each engine.
fn count_runs(table: &mut QuarantineTable, begin: u64, end: u64) -> usize {
    let mut runs = 0;
    for now in (begin..end).step_by(500) {
        table.expire(at(now));
        match table.decide(&[REQUEST], at(now)) {
            QuarantineDecision::Refuse(..) => continue,
            QuarantineDecision::Try(_) => table.begin_trial(&[REQUEST], at(now)),
            QuarantineDecision::Admit => {}
        }
        runs += 1;
        lose(table, 100 + runs as u8, now + 50, &[REQUEST]);
    }
    runs
}

#[test]
fn a_request_that_has_ended_three_engines_ends_no_fourth() {
    let mut table = QuarantineTable::default();
    for engine in 1..=3 {
        assert!(is_admitted(&table, &[REQUEST], 200 * u64::from(engine)));
        lose(&mut table, engine, 200 * u64::from(engine) + 50, &[REQUEST]);
    }
    let decision = table.decide(&[COMMON, REQUEST], at(700));
    assert!(matches!(decision, QuarantineDecision::Refuse(REQUEST, left) if !left.is_zero()));
    assert!(is_admitted(&table, &[COMMON, request(7)], 700));
}

#[test]
fn losses_at_different_engines_count_each_however_close() {
    let mut table = QuarantineTable::default();
    for engine in 1..=3 {
        lose(&mut table, engine, u64::from(engine), &[REQUEST]);
    }
    assert!(!is_admitted(&table, &[REQUEST], 10));
}

#[test]
fn one_loss_that_several_processes_report_counts_once() {
    let mut table = QuarantineTable::default();
    for observer in 0..6 {
        lose(&mut table, 1, 100 * observer, &[REQUEST]);
    }
    assert!(is_admitted(&table, &[REQUEST], 700));
}

#[rstest]
fn a_request_that_comes_rarely_is_found(#[values(20_000, 40_000, 600_000)] interval: u64) {
    let mut table = QuarantineTable::default();
    for engine in 1..=3 {
        let now = interval * u64::from(engine);
        assert!(is_admitted(&table, &[REQUEST], now));
        lose(&mut table, engine, now, &[REQUEST]);
        table.expire(at(now + interval / 2));
    }
    assert!(!is_admitted(&table, &[REQUEST], 4 * interval));
}

#[test]
fn processes_that_each_saw_one_loss_convict_the_request_together() {
    let mut table = QuarantineTable::default();
    for process in 0..3 {
        let mut other = QuarantineTable::default();
        lose(&mut other, process, 200 * u64::from(process), &[REQUEST]);
        for _ in 0..2 {
            table.merge(&other.records(at(700), false), at(700), at(700));
        }
        assert_eq!(is_admitted(&table, &[REQUEST], 730), process < 2);
    }
}

#[test]
fn a_response_that_an_engine_survives_clears_a_request() {
    let mut table = QuarantineTable::default();
    for engine in 1..=20 {
        lose(&mut table, engine, 300 * u64::from(engine), &[REQUEST]);
        if engine.is_multiple_of(2) {
            table.record_served(&[REQUEST], at(300 * u64::from(engine) + 100));
        }
    }
    assert!(is_admitted(&table, &[REQUEST], 6_200));
}

#[test]
fn a_request_that_ends_its_trial_is_tried_no_more() {
    let mut table = convicted_table();
    assert!(count_runs(&mut table, 1_000, 10 * 3_600_000) <= 1);
}

#[test]
fn a_request_whose_trial_brings_no_verdict_is_tried_no_more() {
    let mut table = convicted_table();
    let mut trials = 0;
    for now in (1_000..1_200_000).step_by(500) {
        if !matches!(table.decide(&[REQUEST], at(now)), QuarantineDecision::Refuse(..)) {
            trials += 1;
            table.begin_trial(&[REQUEST], at(now));
        }
    }
    assert!(trials <= 1, "{trials} trials");
}

#[test]
fn a_request_is_not_tried_again_after_a_restart() {
    let mut started = QuarantineTable::default();
    started.restore(REQUEST, at(600), at(10_000));
    assert_eq!(count_runs(&mut started, 10_000, 3_600_000), 0);
}

#[test]
fn a_request_that_survives_its_trial_is_served_and_convicted_anew_by_one_loss() {
    let (mut table, mut other) = (convicted_table(), convicted_table());
    assert_eq!(table.decide(&[REQUEST], at(6_000)), QuarantineDecision::Try(REQUEST));
    table.begin_trial(&[REQUEST], at(6_000));
    assert_eq!(table.record_served(&[REQUEST], at(6_800)).lifted, [REQUEST]);
    other.merge(&table.records(at(6_900), false), at(6_900), at(6_910));
    for table in [&mut table, &mut other] {
        table.expire(at(100_000));
        assert!(is_admitted(table, &[REQUEST], 100_000));
        lose(table, 9, 100_100, &[REQUEST]);
        assert_eq!(count_runs(table, 100_200, 3_600_000), 0);
    }
}

#[test]
fn a_request_that_was_forgotten_is_convicted_anew_by_one_loss() {
    let mut table = convicted_table();
    let day = 24 * 3_600_000;
    table.expire(at(day));
    assert!(count_runs(&mut table, day, day + 3_600_000) <= 1);
}

#[test]
fn a_request_in_quarantine_does_not_accuse_its_parts() {
    let mut table = QuarantineTable::default();
    for engine in 1..=4 {
        lose(&mut table, engine, 200 * u64::from(engine), &[COMMON, part(5), REQUEST]);
    }
    assert!(!is_admitted(&table, &[REQUEST], 1_000));
    assert!(is_admitted(&table, &[COMMON, part(5), request(7)], 1_000));
}

#[test]
fn a_request_does_not_accuse_its_parts_at_processes_that_hear_of_it_in_pieces() {
    let (mut witness, mut table) = (QuarantineTable::default(), QuarantineTable::default());
    for engine in 1..=4 {
        let neighbours = (0..12).map(|number| [part(0x100 + number), request(0x100 + number)]);
        let neighbours: Vec<[QuarantineSubject; 2]> = neighbours.collect();
        let cause = [COMMON, part(5), REQUEST];
        let suspects = neighbours.iter().map(<[QuarantineSubject; 2]>::as_slice);
        let now = 200 * u64::from(engine);
        witness.record_loss(loss(engine, now), suspects.chain([cause.as_slice()]));
        for (index, neighbour) in neighbours.iter().enumerate() {
            if index % 4 != usize::from(engine) % 4 {
                witness.record_served(neighbour, at(now + 10));
            }
        }
        for records in witness.records(at(now + 20), false).chunks(8) {
            table.merge(records, at(now + 20), at(now + 20));
        }
    }
    for table in [&witness, &table] {
        assert!(!is_admitted(table, &[REQUEST], 1_000));
        assert!(is_admitted(table, &[COMMON, part(5), request(7)], 1_000));
    }
}

#[test]
fn requests_in_quarantine_do_not_accuse_the_parts_of_others() {
    let (mut table, neighbour) = (QuarantineTable::default(), [part(5), request(7)]);
    for engine in 1..=8 {
        let cause = [request(0xbad + u64::from(engine) / 4)];
        let is_beside = engine != 1 && engine != 7;
        let suspects: [&[QuarantineSubject]; 2] = [&cause, &neighbour[..1]];
        let suspects = if is_beside { &suspects[..] } else { &suspects[..1] };
        table.record_loss(loss(engine, 200 * u64::from(engine)), suspects.iter().copied());
    }
    assert!(is_admitted(&table, &[part(5), request(8)], 2_000));
}

#[test]
fn a_part_is_found_at_its_fourth_loss_among_requests_that_are_repeated() {
    let mut table = QuarantineTable::default();
    for engine in 1..=3 {
        lose(&mut table, engine, 200 * u64::from(engine), &[COMMON, CRASHING, request(1)]);
    }
    assert!(is_admitted(&table, &[CRASHING, request(2)], 700));
    lose(&mut table, 4, 800, &[COMMON, CRASHING, request(2)]);
    assert!(!is_admitted(&table, &[CRASHING, request(3)], 900));
    assert!(is_admitted(&table, &[COMMON, request(4)], 900));
}

#[test]
fn many_suspects_push_out_no_quarantine_and_no_part() {
    let mut table = convicted_table();
    lose(&mut table, 1, 700, &[CRASHING]);
    for number in 0..5_000 {
        lose(&mut table, (number % 200) as u8, 1_000 + number, &[request(0x1_0000 + number)]);
    }
    assert!(!is_admitted(&table, &[REQUEST], 6_100));
    assert!(!table.losses(CRASHING).is_empty());
    let known = (0..5_000).filter(|number| !table.losses(request(0x1_0000 + number)).is_empty());
    assert!(known.count() <= 1_000, "the evidence has no bound");
}

#[test]
fn all_quarantines_are_told_in_turn() {
    let mut table = QuarantineTable::default();
    for number in 0..100 {
        for engine in 1..=3 {
            lose(&mut table, engine, 10 * u64::from(engine), &[request(number)]);
        }
    }
    let mut started = QuarantineTable::default();
    for now in (10_000..30_000).step_by(2_000) {
        let records = table.records(at(now), true);
        assert!(records.len() <= 100, "{} records", records.len());
        started.merge(&records, at(now), at(now));
    }
    let known = (0..100).filter(|number| !is_admitted(&started, &[request(*number)], 30_000));
    assert_eq!(known.count(), 100);
}

#[test]
fn a_digest_depends_on_path_caller_and_body() {
    let identity =
        RequestIdentity { body: b"{}", caller: "a", host: "h", method: "POST", path: "/x?y=1" };
    let digest = RequestDigest::new(&identity);
    assert_eq!(digest, RequestDigest::new(&identity.clone()));
    for other in [
        RequestIdentity { body: b"[]", ..identity },
        RequestIdentity { caller: "b", ..identity },
        RequestIdentity { host: "i", ..identity },
        RequestIdentity { method: "PUT", ..identity },
        RequestIdentity { path: "/x?y=2", ..identity },
        RequestIdentity { caller: "a{}", body: b"", ..identity },
    ] {
        assert_ne!(digest, RequestDigest::new(&other), "{other:?}");
    }
}

#[test]
fn subjects_are_read_from_their_names() {
    for subject in [REQUEST, request(u64::MAX), COMMON, part(0), part(u64::MAX)] {
        assert_eq!(QuarantineSubject::parse(&subject.to_string()), subject);
    }
}

#[rstest]
fn requests_that_end_engines_are_handed_over_within_the_budget(
    #[values(200, 500, 3_000)] interval: u64,
    #[values(1, 4, 12)] requests: u64,
    #[values(0, 2_000)] random_loss_ms: u64,
) {
    for seed in 1..=10 {
        let mut simulation = CrashSimulation::new(seed);
        for number in 0..requests {
            let parts = if number.is_multiple_of(2) { vec![] } else { vec![COMMON, part(0x1001)] };
            let request = CrashingRequest::new(1 << 40 | number, &parts, interval);
            simulation.crashing_requests.push(request);
        }
        simulation.run(65_000, 0, random_loss_ms);
        for request in &simulation.crashing_requests {
            let late = request.late_runs();
            assert!(late <= 3, "seed {seed}: {late} late runs, {} losses", request.crashes.len());
        }
        let (came, refused) = simulation.sound;
        let refused = refused + simulation.lost_thrice;
        assert!(refused * 50 <= came, "seed {seed}: {refused} of {came} sound requests refused");
    }
}

#[rstest]
fn a_part_does_not_hide_behind_the_requests_that_repeat_it(
    #[values(300, 1_500, 4_000)] crashing_ms: u64,
    #[values(0, 2_000)] random_loss_ms: u64,
) {
    for seed in 1..=10 {
        let mut simulation = CrashSimulation::new(seed);
        simulation.repetitions = 4;
        simulation.run(65_000, crashing_ms, random_loss_ms);
        let Some(fifth) = simulation.crashes.get(4) else {
            continue;
        };
        let late = simulation.crashing_runs.iter().filter(|at| **at > fifth + 3_000).count();
        assert!(late <= 3, "seed {seed}: {late} requests ran after the fifth crash");
        let (came, refused) = simulation.sound;
        let refused = refused + simulation.lost_thrice;
        assert!(refused * 100 <= came, "seed {seed}: {refused} of {came} sound requests refused");
    }
}

#[rstest]
fn a_quarantine_does_not_flap_between_processes(
    #[values(0, 1, 3)] drift: u64,
    #[values(false, true)] is_served_in_trial: bool,
) {
    /// Number of processes, each of which passes changes on at once.
    const PROCESSES: usize = 8;
    for seed in 1..=200 {
        let mut random = SeededRandom::new(seed);
        for subject in [REQUEST, CRASHING] {
            let mut tables = vec![QuarantineTable::default(); PROCESSES];
            let mut pending: Vec<usize> = Vec::new();
            let mut flips = [0; PROCESSES];
            let mut now = 0;
            let mut last_event = 0;
            for step in 0..600 {
                now += 1 + random.below(3) as u64;
                // Losses, responses and a trial that fails, as three of the processes see them.
                if step < 120 && step % 6 == 0 {
                    let witness = random.below(3);
                    if random.below(4) == 0 {
                        tables[witness].record_served(&[subject], at(now));
                    } else {
                        lose(&mut tables[witness], step as u8, now, &[subject]);
                    }
                    pending.insert(0, witness);
                    last_event = step;
                }
                if step == 120 && is_served_in_trial {
                    tables[0].record_served(&[subject], at(now));
                    lose(&mut tables[1], 200, now + 1, &[subject]);
                    pending.extend([0, 1]);
                    last_event = step;
                }
                let Some(sender) = pending.pop() else {
                    continue;
                };
                let records = tables[sender].records(at(now), false);
                for other in (0..PROCESSES).filter(|other| *other != sender) {
                    // The time under way is estimated too low by up to `drift`.
                    let delay = random.below(drift as usize + 1) as u64;
                    let changes = tables[other].merge(&records, at(now + delay), at(now + delay));
                    let changed = changes.lifted.len() + changes.quarantined.len();
                    if changed > 0 {
                        pending.insert(0, other);
                        if step > last_event + 40 {
                            flips[other] += changed;
                        }
                    }
                }
            }
            let most = flips.iter().max().expect("there are processes");
            assert!(*most <= 2, "seed {seed} {subject}: {flips:?} changes, {} left", pending.len());
        }
    }
}

#[test]
fn a_sound_request_is_not_shut_out_by_one_loss_after_an_outage() {
    // All engines of the service end at once under a request that many callers send.
    let mut table = QuarantineTable::default();
    for engine in 1..=3 {
        lose(&mut table, engine, 600, &[REQUEST]);
    }
    assert_eq!(table.decide(&[REQUEST], at(6_000)), QuarantineDecision::Try(REQUEST));
    table.begin_trial(&[REQUEST], at(6_000));
    table.record_served(&[REQUEST], at(6_800));
    // Engines survive it for an hour. Then a machine with one engine is lost.
    for now in (7_000..3_600_000).step_by(1_000) {
        assert!(is_admitted(&table, &[REQUEST], now));
        table.record_served(&[REQUEST], at(now + 500));
        table.expire(at(now + 500));
    }
    lose(&mut table, 2, 3_600_000, &[REQUEST]);
    let is_refused =
        |now: &u64| matches!(table.decide(&[REQUEST], at(*now)), QuarantineDecision::Refuse(..));
    let refused = (3_600_000..3_720_000).step_by(1_000).filter(is_refused).count();
    assert!(refused <= 30, "refused for {refused} s after one loss");
}

#[test]
fn losses_before_a_response_do_not_count_at_a_process_that_was_cut_off_from_it() {
    let (mut seeing, mut cut_off) = (QuarantineTable::default(), QuarantineTable::default());
    for engine in 1..=2 {
        lose(&mut seeing, engine, 200 * u64::from(engine), &[REQUEST]);
    }
    cut_off.merge(&seeing.records(at(500), false), at(500), at(500));
    seeing.record_served(&[REQUEST], at(1_000));
    // The cut lasts for longer than news is told.
    for now in (4_000..600_000).step_by(500) {
        for table in [&mut seeing, &mut cut_off] {
            table.expire(at(now));
        }
        let is_full = now % 2_000 == 0;
        cut_off.merge(&seeing.records(at(now), is_full), at(now), at(now));
        seeing.merge(&cut_off.records(at(now), is_full), at(now), at(now));
    }
    lose(&mut cut_off, 3, 600_000, &[REQUEST]);
    seeing.merge(&cut_off.records(at(600_010), false), at(600_010), at(600_010));
    assert!(is_admitted(&cut_off, &[REQUEST], 600_100), "one loss since the response");
    assert!(is_admitted(&seeing, &[REQUEST], 600_100), "one loss since the response");
}

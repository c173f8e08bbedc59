//! Accepted jobs complete although their owner is killed or frozen, or the store is down.

use std::time::Duration;

use cv_bench::load::BatchAudit;
use cv_bench::load::BatchClient;
use cv_bench::load::GuaranteeCounts;
use cv_tests::ProcessFleet;
use cv_tests::Signal;

use crate::BINARY;

/// Maximum time until a job is accepted, and until it is finished.
const JOB_TIMEOUT: Duration = Duration::from_mins(1);

/// Duration of a freeze or outage; longer than the owner's lease of 2 s, so that a peer takes over.
const FREEZE_DURATION: Duration = Duration::from_secs(4);

/// A submitted job and the index of its owner.
struct RunningJob {
    audit: BatchAudit,
    id: String,
    owner: usize,
}

impl RunningJob {
    /// Submits a job and waits until it has an owner and a completed item.
    fn start(fleet: &ProcessFleet, key: &str) -> Self {
        let audit = BatchAudit::completions(key, "assist-llm", 1_500, 16);
        let client = BatchClient::new(fleet.entry_address(), "members");
        let file = client.upload(audit.input()).expect("the file is accepted");
        let id = client.create(&file, Some(key), JOB_TIMEOUT).expect("the job is accepted");
        loop {
            let job = client.fetch(&id);
            let owner = job["owner"].as_str().and_then(|name| name.strip_prefix("entry-"));
            let completed = job["request_counts"]["completed"].as_u64().unwrap_or(0);
            if let Some(owner) = owner.and_then(|index| index.parse().ok())
                && completed > 0
            {
                return Self { audit, id, owner };
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until the job is finished and checks that every item has exactly one correct result.
    fn finish(&self, fleet: &ProcessFleet) {
        let client = BatchClient::new(fleet.entry_address(), "members");
        let job = client.wait(&self.id, JOB_TIMEOUT);
        assert_eq!(job["status"], "completed", "{job}");
        let output = client.results(&self.id, "output").expect("the output is readable");
        let errors = client.results(&self.id, "errors").expect("the errors are readable");
        assert_eq!(self.audit.check(&output, &errors), GuaranteeCounts::default());
    }
}

#[test]
fn no_item_is_lost_or_duplicated_when_the_owner_is_killed() {
    let mut fleet = ProcessFleet::start(BINARY);
    let job = RunningJob::start(&fleet, "killed");
    fleet.entries[job.owner] = None;
    job.finish(&fleet);
}

#[test]
fn a_job_survives_a_kill_right_after_its_acknowledgement() {
    let mut fleet = ProcessFleet::start(BINARY);
    let audit = BatchAudit::completions("acknowledged", "assist-llm", 300, 8);
    let client = BatchClient::new(fleet.entry_address(), "members");
    let file = client.upload(audit.input()).expect("the file is accepted");
    let id = client.create(&file, Some("acknowledged"), JOB_TIMEOUT).expect("the job is accepted");
    fleet.entries[0] = None;
    let job = RunningJob { audit, id, owner: 0 };
    job.finish(&fleet);
}

#[test]
fn a_frozen_owner_is_fenced_when_it_continues() {
    let fleet = ProcessFleet::start(BINARY);
    let job = RunningJob::start(&fleet, "paused");
    let owner = fleet.entries[job.owner].as_ref().expect("the owner runs");
    owner.signal(Signal::STOP);
    std::thread::sleep(FREEZE_DURATION);
    owner.signal(Signal::CONT);
    job.finish(&fleet);
}

#[test]
fn a_job_survives_an_outage_of_the_key_value_store() {
    let fleet = ProcessFleet::start(BINARY);
    let job = RunningJob::start(&fleet, "outage");
    fleet.key_value.update_faults(|faults| faults.down = true);
    std::thread::sleep(FREEZE_DURATION);
    fleet.key_value.update_faults(|faults| {
        faults.down = false;
        faults.lost_write_responses = 3;
    });
    job.finish(&fleet);
}

//! Reviews what the items of all jobs wait for, in metrics and log lines.

use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::ItemState;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::StallChange;
use cv_dispatch::StallTable;
use cv_dispatch::WaitCause;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use cv_timer::TimerService;

use crate::PlatformAdapter;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::tracked_job::TrackedJob;
use crate::platform_adapter::item_subjects;

/// Time between two reviews.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Number of items by what they wait for, in the order of [`WaitCause::ALL`].
type CauseCounts = [usize; WaitCause::ALL.len()];

/// Starts the task that reviews the jobs for as long as the process runs.
pub(crate) fn start_wait_review<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    timers: &TimerService,
) {
    let ticks = timers.subscribe(REVIEW_INTERVAL);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        let mut stalls = StallTable::default();
        loop {
            ticks.next().await;
            review_waits(&state, &mut stalls);
        }
    });
}

/// Counts the items by what they wait for, and logs the jobs that stall or go on.
fn review_waits<P: PlatformAdapter>(state: &KeeperState<P>, stalls: &mut StallTable) {
    let now = state.view.clock.now();
    let mut totals = CauseCounts::default();
    for job in state.jobs.all() {
        if job.is_over() {
            continue;
        }
        let counts = count_waits(state, &job);
        for (total, count) in totals.iter_mut().zip(counts) {
            *total += count;
        }
        let Some(first) = counts.iter().position(|count| *count > 0) else {
            continue;
        };
        let cause = WaitCause::ALL[first];
        // Only the owner learns of a job's progress.
        if cause == WaitCause::OwnedElsewhere {
            continue;
        }
        let tracker = job.tracker.borrow();
        let job_id = &tracker.spec().id;
        if let Some(change) = stalls.observe(job_id, now, tracker.total_progress(), cause) {
            log_change(state, job_id, change, &counts);
        }
    }
    for (cause, total) in WaitCause::ALL.iter().zip(totals) {
        let gauge = state.metrics.items_by_cause.with_label_values(&[cause.name()]);
        gauge.set(i64::try_from(total).unwrap_or(i64::MAX));
    }
    let longest = stalls.finish_review(now);
    state.metrics.longest_stall.set(i64::try_from(longest.as_millis()).unwrap_or(i64::MAX));
}

/// Counts the items of a job that is not over by what they wait for.
fn count_waits<P: PlatformAdapter>(state: &KeeperState<P>, job: &TrackedJob) -> CauseCounts {
    let mut counts = CauseCounts::default();
    let mut add = |cause: WaitCause, count: usize| counts[cause as usize] += count;
    let tracker = job.tracker.borrow();
    let unlisted = tracker.spec().items.len() - tracker.count_items(ItemState::Listed);
    if !job.is_owned.get() {
        let should_own = state.view.keepers().is_owner(&state.identity.name, &tracker.spec().id);
        let cause =
            if should_own { WaitCause::OwnerNotEligible } else { WaitCause::OwnedElsewhere };
        add(cause, unlisted);
        return counts;
    }
    if !job.results.get().is_loaded() {
        add(WaitCause::ResultsNotLoaded, unlisted);
        return counts;
    }
    add(WaitCause::Running, tracker.count_items(ItemState::Running));
    add(WaitCause::CommitPending, tracker.count_items(ItemState::Ended));
    let has_quarantines = !state.view.quarantine.quarantined().is_empty();
    for item in tracker.waiting_items() {
        let cause = if !state.closes.get().is_known() && !state.is_outage_confirmed.get() {
            WaitCause::ClosesUnknown
        } else if state.with_route(job, |route| route.in_force().is_none()) {
            WaitCause::RouteMissing
        } else if has_quarantines && is_quarantined(state, job, item) {
            WaitCause::Quarantined
        } else {
            WaitCause::NoRoom
        };
        add(cause, 1);
    }
    counts
}

/// Returns whether a part of an item's prompt is in quarantine.
fn is_quarantined<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job: &TrackedJob,
    item: usize,
) -> bool {
    let tracker = job.tracker.borrow();
    let headers = P::item_headers(&tracker.spec().host, &tracker.spec().items[item]);
    let decision = state.view.quarantine.decide(&item_subjects::<P>(&headers));
    decision != QuarantineDecision::Admit
}

/// Logs that a job has stalled, with all that decides whether its items run, or that it goes on.
fn log_change<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job_id: &str,
    change: StallChange,
    counts: &CauseCounts,
) {
    state.view.log.record(LinePriority::Essential, EventKind::JobStalled, job_id, || {
        let (cause, time) = match change {
            StallChange::Resumed(time) => return format!("resumed after_ms={}", time.as_millis()),
            StallChange::Stalled(cause, time) => (cause, time),
        };
        let counted = WaitCause::ALL.iter().zip(counts).filter(|(_, count)| **count > 0);
        let items: Vec<String> =
            counted.map(|(cause, count)| format!("{}:{count}", cause.name())).collect();
        let keeper_set = state.view.keepers();
        let names: Vec<&str> =
            keeper_set.ranking_for(job_id).iter().map(|keeper| keeper.name.as_str()).collect();
        let now = state.view.clock.now();
        format!(
            "cause={} stalled_ms={} items={} ranking={} lease={} known_to_peers={} isolated={} \
             draining={} store_contact={}",
            cause.name(),
            time.as_millis(),
            items.join(","),
            names.join(","),
            state.lease.get().is_some_and(|lease| lease.holds(now)),
            state.is_known_to_peers.get(),
            state.is_isolated.get(),
            state.is_draining.get(),
            state.has_store_contact(),
        )
    });
}

//! Generates open load at a given rate, or closed load with a fixed number of callers.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use cv_http::ConnectionPool;
use cv_http::HttpLimits;
use cv_policy::SeededRandom;
use futures::StreamExt;
use futures::channel::mpsc::unbounded;

use super::AddressBook;
use super::CallRecord;
use super::LoadReport;

/// Addresses, rate and duration of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The entries, called in round-robin order.
    pub addresses: AddressBook,
    /// Deadline for a call to count as in time.
    pub deadline: Duration,
    /// Time for which counted calls are started.
    pub duration: Duration,
    /// Calls per second.
    pub rate: f64,
    /// Seed of the random gaps between calls.
    pub seed: u64,
    /// Time before `duration` in which calls are made but not counted.
    pub warm_up: Duration,
}

/// Starts calls at exponentially distributed intervals, whether or not earlier ones have finished.
pub async fn run_open_load<M, F>(plan: &LoadPlan, mut make_call: M) -> LoadReport
where
    M: FnMut(u64, Rc<ConnectionPool>, SocketAddr) -> F,
    F: Future<Output = CallRecord> + 'static,
{
    let pool = Rc::new(ConnectionPool::new(HttpLimits::default()));
    let (sender, mut receiver) = unbounded();
    let mut random = SeededRandom::new(plan.seed);
    let started_at = Instant::now();
    let mut due = started_at;
    let mut count = 0;
    let mut report = LoadReport::new();
    let total_duration = plan.warm_up + plan.duration;
    while started_at.elapsed() < total_duration {
        let gap = -(1.0 - random.fraction()).ln() / plan.rate;
        due += Duration::from_secs_f64(gap);
        let delay = due.saturating_duration_since(Instant::now());
        // Timers have a resolution of one millisecond; calls due within one start together.
        if delay >= Duration::from_millis(1) {
            monoio::time::sleep(delay).await;
        }
        let address = plan.addresses.address_for(count);
        let call = make_call(count, Rc::clone(&pool), address);
        let counted = started_at.elapsed() >= plan.warm_up;
        let (sender, warm_up) = (sender.clone(), plan.warm_up);
        monoio::spawn(async move {
            let record = call.await;
            let ended_at = started_at.elapsed();
            let in_window = ended_at >= warm_up && ended_at < total_duration;
            let _ = sender.unbounded_send((record, counted, in_window));
        });
        count += 1;
    }
    report.duration = plan.duration;
    drop(sender);
    while let Some((record, counted, in_window)) = receiver.next().await {
        if counted {
            report.record(&record, plan.deadline);
        }
        // A call counts towards goodput only if it ends while the load runs, so that work still
        // queued at the end does not count.
        if in_window && record.is_in_time(plan.deadline) {
            report.goodput_calls += 1;
        }
    }
    report
}

/// Keeps `callers` calls in progress for the plan's duration; ignores its rate and warm-up.
pub async fn run_closed_load<M, F>(plan: &LoadPlan, callers: usize, make_call: M) -> LoadReport
where
    M: Fn(u64, Rc<ConnectionPool>, SocketAddr) -> F + 'static,
    F: Future<Output = CallRecord> + 'static,
{
    let pool = Rc::new(ConnectionPool::new(HttpLimits::default()));
    let report = Rc::new(RefCell::new(LoadReport::new()));
    let make_call = Rc::new(make_call);
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for caller in 0..callers as u64 {
        let (pool, report, make_call) =
            (Rc::clone(&pool), Rc::clone(&report), Rc::clone(&make_call));
        let address = plan.addresses.address_for(caller);
        let (duration, deadline) = (plan.duration, plan.deadline);
        tasks.push(monoio::spawn(async move {
            let mut count = caller << 32;
            while started_at.elapsed() < duration {
                let record = make_call(count, Rc::clone(&pool), address).await;
                let mut report = report.borrow_mut();
                report.record(&record, deadline);
                let in_time = record.is_in_time(deadline) && started_at.elapsed() < duration;
                report.goodput_calls += u64::from(in_time);
                count += 1;
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    let mut report = report.borrow().clone();
    report.duration = plan.duration;
    report
}

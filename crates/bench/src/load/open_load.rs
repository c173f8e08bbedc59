//! Drives calls at a rate, or as fast as answers come.

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

/// How a load is spread over time.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The entries, called in turn.
    pub addresses: AddressBook,
    /// Deadline that `in_time` is counted by.
    pub deadline: Duration,
    /// Time for which calls are started.
    pub duration: Duration,
    /// Calls a second.
    pub rate: f64,
    /// Seed of the gaps between calls.
    pub seed: u64,
    /// Time at the beginning whose calls are made but not counted.
    pub warm_up: Duration,
}

/// Starts calls with random gaps, whether or not earlier ones have been answered.
pub async fn run_open_load<M, F>(plan: &LoadPlan, mut make: M) -> LoadReport
where
    M: FnMut(u64, Rc<ConnectionPool>, SocketAddr) -> F,
    F: Future<Output = CallRecord> + 'static,
{
    let pool = Rc::new(ConnectionPool::new(HttpLimits::default()));
    let (sender, mut receiver) = unbounded();
    let mut random = SeededRandom::new(plan.seed);
    let begin = Instant::now();
    let mut due = begin;
    let mut count = 0;
    let mut report = LoadReport::new();
    let whole = plan.warm_up + plan.duration;
    while begin.elapsed() < whole {
        let gap = -(1.0 - random.fraction()).ln() / plan.rate;
        due += Duration::from_secs_f64(gap);
        let pause = due.saturating_duration_since(Instant::now());
        // The timers' grain is a millisecond; calls that fall into one start together.
        if pause >= Duration::from_millis(1) {
            monoio::time::sleep(pause).await;
        }
        let address = plan.addresses.pick(count);
        let call = make(count, Rc::clone(&pool), address);
        let counted = begin.elapsed() >= plan.warm_up;
        let (sender, warm_up) = (sender.clone(), plan.warm_up);
        monoio::spawn(async move {
            let record = call.await;
            let ended = begin.elapsed();
            let in_window = ended >= warm_up && ended < whole;
            let _ = sender.unbounded_send((record, counted, in_window));
        });
        count += 1;
    }
    report.wall = plan.duration;
    drop(sender);
    while let Some((record, counted, in_window)) = receiver.next().await {
        if counted {
            report.record(&record, plan.deadline);
        }
        // An answer counts where it ends, so that no phase gains from the queue it leaves behind.
        if in_window && record.is_in_time(plan.deadline) {
            report.goodput_calls += 1;
        }
    }
    report
}

/// Keeps so many calls under way for the plan's duration; the plan's rate and warm-up are not used.
pub async fn run_closed_load<M, F>(plan: &LoadPlan, callers: usize, make: M) -> LoadReport
where
    M: Fn(u64, Rc<ConnectionPool>, SocketAddr) -> F + 'static,
    F: Future<Output = CallRecord> + 'static,
{
    let pool = Rc::new(ConnectionPool::new(HttpLimits::default()));
    let report = Rc::new(RefCell::new(LoadReport::new()));
    let make = Rc::new(make);
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for caller in 0..callers as u64 {
        let (pool, report, make) = (Rc::clone(&pool), Rc::clone(&report), Rc::clone(&make));
        let address = plan.addresses.pick(caller);
        let (duration, deadline) = (plan.duration, plan.deadline);
        tasks.push(monoio::spawn(async move {
            let mut count = caller << 32;
            while begin.elapsed() < duration {
                let record = make(count, Rc::clone(&pool), address).await;
                let mut report = report.borrow_mut();
                report.record(&record, deadline);
                let in_time = record.is_in_time(deadline) && begin.elapsed() < duration;
                report.goodput_calls += u64::from(in_time);
                count += 1;
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    let mut report = report.borrow().clone();
    report.wall = plan.duration;
    report
}

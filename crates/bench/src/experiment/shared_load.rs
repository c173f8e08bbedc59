//! Loads shared by several experiments.

use std::rc::Rc;
use std::time::Duration;

use cv_runtime::block_on_with_tarpc;

use crate::deployment::SmallDeployment;
use crate::load::AddressBook;
use crate::load::CompletionCall;
use crate::load::LoadPlan;
use crate::load::LoadReport;
use crate::load::PromptSource;
use crate::load::ServiceCall;
use crate::load::run_closed_load;
use crate::load::run_open_load;

/// A load of completions.
#[derive(Clone, Debug)]
pub(crate) struct CompletionLoad {
    /// Deadline of each response.
    pub deadline: Duration,
    /// Name of the model.
    pub model: &'static str,
    /// Number of organisations that send calls in round-robin order.
    pub organisations: u64,
    /// Source of the prompts.
    pub prompts: PromptSource,
    /// Length of each response, in tokens.
    pub tokens: usize,
}

impl CompletionLoad {
    /// Creates a load of short prompts.
    pub fn short(model: &'static str, seed: u64, tokens: usize) -> Self {
        Self {
            deadline: Duration::from_secs(10),
            model,
            organisations: 8,
            prompts: PromptSource::new(seed, 8, 32, 16),
            tokens,
        }
    }

    /// Creates the next call.
    fn next_call(&mut self, count: u64) -> CompletionCall {
        CompletionCall {
            deadline: self.deadline,
            model: self.model.to_owned(),
            organisation: format!("org-{}", count % self.organisations),
            prompt: self.prompts.next_prompt(),
            tokens: self.tokens,
        }
    }

    /// Runs open load at the plan's rate on its own thread.
    pub fn spawn(mut self, plan: LoadPlan) -> LoadHandle {
        LoadHandle::spawn(move || {
            block_on_with_tarpc(run_open_load(&plan, |count, pool: Rc<_>, address| {
                let call = self.next_call(count);
                async move { call.run(&pool, address).await }
            }))
        })
    }

    /// Runs closed load with `callers` calls in progress on its own thread.
    pub fn spawn_closed(self, plan: LoadPlan, callers: usize) -> LoadHandle {
        LoadHandle::spawn(move || {
            let load = std::cell::RefCell::new(self);
            block_on_with_tarpc(run_closed_load(
                &plan,
                callers,
                move |count, pool: Rc<_>, address| {
                    let call = load.borrow_mut().next_call(count);
                    async move { call.run(&pool, address).await }
                },
            ))
        })
    }
}

/// A load of calls to a plain service, each with a unique idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct ServiceLoad {
    /// Deadline of each response.
    pub deadline: Duration,
    /// Prefix of the idempotency keys.
    pub name: String,
    /// Request path, which names the service.
    pub path: &'static str,
}

impl ServiceLoad {
    /// Creates the next call.
    fn next_call(&self, count: u64) -> ServiceCall {
        ServiceCall {
            body: format!("{{\"note\":{count}}}"),
            deadline: self.deadline,
            key: format!("{}-{count}", self.name),
            path: self.path.to_owned(),
        }
    }

    /// Runs open load at the plan's rate on its own thread.
    pub fn spawn(self, plan: LoadPlan) -> LoadHandle {
        LoadHandle::spawn(move || {
            block_on_with_tarpc(run_open_load(&plan, |count, pool: Rc<_>, address| {
                let call = self.next_call(count);
                async move { call.run(&pool, address).await }
            }))
        })
    }

    /// Runs closed load with `callers` calls in progress on its own thread.
    pub fn spawn_closed(self, plan: LoadPlan, callers: usize) -> LoadHandle {
        LoadHandle::spawn(move || {
            block_on_with_tarpc(run_closed_load(
                &plan,
                callers,
                move |count, pool: Rc<_>, address| {
                    let call = self.next_call(count);
                    async move { call.run(&pool, address).await }
                },
            ))
        })
    }
}

/// A load that runs on its own thread.
pub(crate) struct LoadHandle {
    thread: std::thread::JoinHandle<LoadReport>,
}

impl LoadHandle {
    /// Runs a load on a new thread.
    fn spawn<L>(load: L) -> Self
    where
        L: FnOnce() -> Result<LoadReport, cv_runtime::RuntimeFault> + Send + 'static,
    {
        Self { thread: std::thread::spawn(move || load().expect("the load's runtime starts")) }
    }

    /// Waits for the load's report.
    pub fn join(self) -> LoadReport {
        self.thread.join().expect("the load thread does not panic")
    }
}

/// Returns a load plan for all entries of a deployment.
pub(crate) fn plan_for(
    deployment: &SmallDeployment,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> LoadPlan {
    LoadPlan {
        addresses: AddressBook::new(&deployment.entry_addresses()),
        deadline: Duration::from_secs(10),
        duration,
        rate,
        seed,
        warm_up: Duration::from_millis(500),
    }
}

/// Waits for several loads and merges their reports.
pub(crate) fn join_all(handles: Vec<LoadHandle>) -> LoadReport {
    let mut report = LoadReport::new();
    for handle in handles {
        report.merge(&handle.join());
    }
    report
}

/// Returns the CPU time that this process has used so far, in seconds.
pub(crate) fn cpu_seconds() -> f64 {
    /// Clock ticks per second in `/proc`, the same on all platforms of Linux.
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Fields are counted after the program's name, which may contain spaces.
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

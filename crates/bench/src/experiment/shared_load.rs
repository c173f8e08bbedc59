//! Loads that several experiments use.

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

/// A stream of completions.
#[derive(Clone, Debug)]
pub(crate) struct CompletionLoad {
    /// Time for each answer.
    pub deadline: Duration,
    /// The model.
    pub model: &'static str,
    /// Number of organisations that take turns.
    pub organisations: u64,
    /// The prompts.
    pub prompts: PromptSource,
    /// Length of each answer, in tokens.
    pub tokens: usize,
}

impl CompletionLoad {
    /// Creates a load of short questions.
    pub fn short(model: &'static str, seed: u64, tokens: usize) -> Self {
        Self {
            deadline: Duration::from_secs(10),
            model,
            organisations: 8,
            prompts: PromptSource::new(seed, 8, 32, 16),
            tokens,
        }
    }

    /// Returns the next call.
    fn next_call(&mut self, count: u64) -> CompletionCall {
        CompletionCall {
            deadline: self.deadline,
            model: self.model.to_owned(),
            organisation: format!("org-{}", count % self.organisations),
            prompt: self.prompts.next_prompt(),
            tokens: self.tokens,
        }
    }

    /// Runs the load at the plan's rate on a thread of its own.
    pub fn spawn(mut self, plan: LoadPlan) -> LoadHandle {
        LoadHandle::spawn(move || {
            block_on_with_tarpc(run_open_load(&plan, |count, pool: Rc<_>, address| {
                let call = self.next_call(count);
                async move { call.run(&pool, address).await }
            }))
        })
    }

    /// Keeps so many calls under way on a thread of its own.
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

/// A stream of calls to a plain service, each with a key of its own.
#[derive(Clone, Debug)]
pub(crate) struct ServiceLoad {
    /// Time for each answer.
    pub deadline: Duration,
    /// What the keys begin with.
    pub name: String,
    /// Path with the service.
    pub path: &'static str,
}

impl ServiceLoad {
    /// Returns the next call.
    fn next_call(&self, count: u64) -> ServiceCall {
        ServiceCall {
            body: format!("{{\"note\":{count}}}"),
            deadline: self.deadline,
            key: format!("{}-{count}", self.name),
            path: self.path.to_owned(),
        }
    }

    /// Runs the load at the plan's rate on a thread of its own.
    pub fn spawn(self, plan: LoadPlan) -> LoadHandle {
        LoadHandle::spawn(move || {
            block_on_with_tarpc(run_open_load(&plan, |count, pool: Rc<_>, address| {
                let call = self.next_call(count);
                async move { call.run(&pool, address).await }
            }))
        })
    }

    /// Keeps so many calls under way on a thread of its own.
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

/// A load that runs on a thread.
pub(crate) struct LoadHandle {
    thread: std::thread::JoinHandle<LoadReport>,
}

impl LoadHandle {
    /// Starts a load.
    fn spawn<L>(load: L) -> Self
    where
        L: FnOnce() -> Result<LoadReport, cv_runtime::RuntimeFault> + Send + 'static,
    {
        Self { thread: std::thread::spawn(move || load().expect("the load's runtime starts")) }
    }

    /// Waits for the load's report.
    pub fn join(self) -> LoadReport {
        self.thread.join().expect("the load ends")
    }
}

/// Returns a plan against all entries of a deployment.
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

/// Waits for several loads and puts their reports together.
pub(crate) fn join_all(handles: Vec<LoadHandle>) -> LoadReport {
    let mut report = LoadReport::new();
    for handle in handles {
        report.merge(&handle.join());
    }
    report
}

/// Returns the processor time that this process has used so far, in seconds.
pub(crate) fn processor_seconds() -> f64 {
    /// Clock ticks a second in the kernel's interface, on every platform that Linux runs on.
    const TICKS: f64 = 100.0;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The fields are counted behind the program's name, which may hold spaces.
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS
}

//! Injects random, overlapping faults into a fleet.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cv_adapter_standin::RepeatPlan;
use cv_adapter_standin::StoreMode;
use cv_policy::SeededRandom;
use cv_standin::FaultMode;
use cv_standin::FaultProxy;
use cv_tests::NodeFleet;
use cv_tests::Signal;
use cv_tests::engine_id;
use serde_json::json;

use crate::guarantee_check::GuaranteeCheck;

/// Upper bound of the time between two faults, in milliseconds.
const MAX_FAULT_INTERVAL_MS: usize = 700;

/// Upper bound of the duration of a fault, in milliseconds.
const MAX_FAULT_DURATION_MS: usize = 2_500;

/// Upper bound of the duration of a freeze, in milliseconds; a freeze outlasts a keeper's lease.
const MAX_FREEZE_MS: usize = 7_000;

/// Time that a process needs after its start to install its signal handlers.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(100);

/// Maximum time for which a process that is stopped again and again stops and runs, in milliseconds.
const STOP_AND_RUN_MS: (usize, usize) = (3_000, 800);

/// Least time of such a stop, in milliseconds.
const MIN_STOP_MS: usize = 1_000;

/// Number of such stops.
const REPEATED_STOPS: usize = 3;

/// Prefixes whose reads are slow or refused while the others work.
const READ_PREFIXES: [&str; 5] =
    ["cv/work/", "cv/work/end/", "cv/result/", "cv/keeper/", "servers/"];

/// Delays of slow reads, in milliseconds: longer than most calls wait, and than any call.
const READ_DELAYS_MS: [u64; 2] = [900, 10_000];

/// Mean number of faults of the first kinds between two of a part of the system.
const FAULTS_PER_PARTIAL_FAULT: usize = 2;

/// Sets the random numbers of these faults apart from those of the other faults.
const PARTIAL_SALT: u64 = 0x7061_7274;

/// Upper bound of the time until the keepers that were killed at the end start again, in
/// milliseconds.
const MAX_LAST_OUTAGE_MS: usize = 1_000;

/// Time before the end from which on the keepers hear nothing over their connections to the store, if
/// the last fault is the loss of a keeper.
const SILENT_TIME: Duration = Duration::from_secs(3);

/// Sets the random numbers of the last fault apart from those of the other faults.
const LAST_FAULT_SALT: u64 = 0x6c61_7374;

/// Mean number of faults of the first kinds between two that disturb keepers.
const FAULTS_PER_KEEPER_FAULT: usize = 3;

/// Sets the random numbers of the faults of keepers apart from those of the other faults.
const KEEPER_SALT: u64 = 0x6b65_6570;

/// Sets the random numbers of refusals and repeated answers apart from those of the faults.
const REPEAT_SALT: u64 = 0x7265_7065;

/// Maximum time until a terminated process has exited; longer than its grace period of 4 s.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// Action that ends a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultUndo {
    /// Continue a stopped process.
    Continue(usize),
    /// Register a draining engine as ready again.
    Register(u8),
    /// Start a process that has exited.
    Start(usize),
    /// Let the store respond normally.
    StoreUp,
    /// Restore the connection between a process and the store.
    StoreConnection(usize),
    /// Count a process as undisturbed again.
    Settle(usize),
    /// Restore the connections of the other processes to one.
    NodeConnection(usize),
    /// Serve the reads of all prefixes.
    Reads,
    /// Stop a process again.
    Stop(usize),
    /// Serve all calls of the store.
    StoreShare,
    /// Restore the connections of callers to an entry.
    CallerConnection(usize),
    /// Restore the connection between a sidecar and its engine.
    TargetConnection(usize),
}

impl FaultUndo {
    /// Returns the process that the fault disturbs, if it disturbs one itself.
    fn disturbed_node(self) -> Option<usize> {
        match self {
            Self::Continue(node)
            | Self::Start(node)
            | Self::Stop(node)
            | Self::Settle(node)
            | Self::NodeConnection(node)
            | Self::CallerConnection(node)
            | Self::TargetConnection(node) => Some(node),
            Self::Reads
            | Self::Register(_)
            | Self::StoreConnection(_)
            | Self::StoreShare
            | Self::StoreUp => None,
        }
    }
}

/// Generates faults from a seed, injects them and undoes them when they are due.
#[derive(Debug)]
pub struct FaultSchedule {
    random: SeededRandom,
    /// Draws the faults of keepers, apart from the others, so that older seeds keep theirs.
    keeper_random: SeededRandom,
    /// Draws the last fault, apart from the others.
    last_random: SeededRandom,
    /// Draws the faults of a part of the system, apart from the others.
    partial_random: SeededRandom,
    /// Draws when targets refuse requests and repeat answers, apart from the faults.
    repeat_random: SeededRandom,
    /// Names of the keepers that the operator retires.
    retired: Vec<String>,
    /// Draws the targets' ways of responding, apart from the faults, so that older seeds keep theirs.
    response_random: SeededRandom,
    /// Actions to run, each with its due time.
    undos: Vec<(Instant, FaultUndo)>,
    /// Version of the latest configuration.
    version: u64,
}

impl FaultSchedule {
    /// Creates a schedule from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SeededRandom::new(seed),
            keeper_random: SeededRandom::new(seed ^ KEEPER_SALT),
            last_random: SeededRandom::new(seed ^ LAST_FAULT_SALT),
            partial_random: SeededRandom::new(seed ^ PARTIAL_SALT),
            repeat_random: SeededRandom::new(seed ^ REPEAT_SALT),
            retired: Vec::new(),
            response_random: SeededRandom::new(!seed),
            undos: Vec::new(),
            version: 1,
        }
    }

    /// Injects faults for the given duration, then undoes all.
    pub fn run(&mut self, fleet: &mut NodeFleet, duration: Duration, check: &GuaranteeCheck) {
        let end = Instant::now() + duration;
        let restarts_keepers = self.last_random.below(2) == 0;
        let mut has_silenced = restarts_keepers;
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(
                self.random.below(MAX_FAULT_INTERVAL_MS) as u64
            ));
            self.undo_due(fleet, Instant::now(), check);
            report_crashes(fleet, check);
            self.inject(fleet, check);
            self.change_responses(fleet);
            self.change_repetitions(fleet);
            self.replace_retired(fleet, check);
            if self.keeper_random.below(FAULTS_PER_KEEPER_FAULT) == 0 {
                self.disturb_keeper(fleet, check);
            }
            if self.partial_random.below(FAULTS_PER_PARTIAL_FAULT) == 0 {
                self.disturb_part(fleet, check);
            }
            if !has_silenced && Instant::now() + SILENT_TIME >= end {
                has_silenced = true;
                for node in keeper_indexes(fleet) {
                    fleet.nodes[node].store_proxy.silence_connections();
                }
            }
        }
        fleet.repeat_rule.set_plan(RepeatPlan::default(), 0);
        fleet.request_limit.store(0, Ordering::Relaxed);
        fleet.has_unframed_streams.store(false, Ordering::Relaxed);
        let last_due = self.undos.iter().map(|(due, _)| *due).max();
        self.undo_due(fleet, last_due.unwrap_or(end), check);
        self.replace_retired(fleet, check);
        if restarts_keepers {
            self.restart_keepers(fleet, check);
        } else {
            let keepers = keeper_indexes(fleet);
            fleet.replace_keeper(keepers[self.last_random.below(keepers.len())]);
        }
    }

    /// Kills all keepers at once and starts them again within a second.
    fn restart_keepers(&mut self, fleet: &mut NodeFleet, check: &GuaranteeCheck) {
        let keepers = keeper_indexes(fleet);
        for node in &keepers {
            check.disturbances.begin(*node);
            fleet.nodes[*node].kill();
        }
        let outage = self.last_random.below(MAX_LAST_OUTAGE_MS) as u64;
        std::thread::sleep(Duration::from_millis(outage));
        for node in keepers {
            fleet.nodes[node].start();
            check.disturbances.end(node);
        }
    }

    /// Kills, freezes, terminates or retires a random keeper.
    fn disturb_keeper(&mut self, fleet: &mut NodeFleet, check: &GuaranteeCheck) {
        let keepers = keeper_indexes(fleet);
        let node = keepers[self.keeper_random.below(keepers.len())];
        let random = &mut self.keeper_random;
        let fault_end =
            Instant::now() + Duration::from_millis(random.below(MAX_FAULT_DURATION_MS) as u64);
        match random.below(4) {
            0 => self.kill(fleet, node, fault_end, check),
            1 => {
                let freeze = Duration::from_millis(random.below(MAX_FREEZE_MS) as u64);
                self.freeze(fleet, node, Instant::now() + freeze, check);
            }
            2 => self.terminate(fleet, node, fault_end, check),
            _ => {
                let name = fleet.nodes[node].name.clone();
                fleet.store.write(&format!("op/retire/{name}"), &json!({ "finishByS": 10 }));
                self.retired.push(name);
            }
        }
    }

    /// Injects a fault that leaves other connections, reads or calls as they are, or stops a process
    /// again and again.
    fn disturb_part(&mut self, fleet: &NodeFleet, check: &GuaranteeCheck) {
        let random = &mut self.partial_random;
        let node = random.below(fleet.nodes.len());
        let end =
            Instant::now() + Duration::from_millis(random.below(MAX_FAULT_DURATION_MS) as u64);
        match random.below(6) {
            0 => fleet.nodes[node].store_proxy.silence_connections(),
            1 | 2 => {
                let process = &fleet.nodes[node];
                let proxies = [&process.node_proxy, &process.target_proxy];
                check.disturbances.begin(node);
                proxies.into_iter().flatten().for_each(FaultProxy::silence_connections);
                self.undos.push((end, FaultUndo::Settle(node)));
            }
            3 => {
                let prefix = READ_PREFIXES[random.below(READ_PREFIXES.len())];
                let choice = random.below(READ_DELAYS_MS.len() + 1);
                match READ_DELAYS_MS.get(choice) {
                    Some(delay) => {
                        fleet.store.set_read_delay(prefix, Duration::from_millis(*delay));
                    }
                    None => fleet.store.refuse_reads(prefix),
                }
                self.undos.push((end, FaultUndo::Reads));
            }
            4 => {
                fleet.store.refuse_share(10 + random.below(70));
                self.undos.push((end, FaultUndo::StoreShare));
            }
            _ => {
                let mut until = Instant::now();
                for _ in 0..REPEATED_STOPS {
                    self.undos.push((until, FaultUndo::Stop(node)));
                    let stop = MIN_STOP_MS + random.below(STOP_AND_RUN_MS.0 - MIN_STOP_MS);
                    until += Duration::from_millis(stop as u64);
                    self.undos.push((until, FaultUndo::Continue(node)));
                    until += Duration::from_millis(random.below(STOP_AND_RUN_MS.1) as u64);
                }
            }
        }
    }

    /// Replaces the retired keepers that say that they are empty.
    fn replace_retired(&mut self, fleet: &mut NodeFleet, check: &GuaranteeCheck) {
        let is_empty = |fleet: &NodeFleet, name: &str| {
            let status = fleet.store.read(&format!("status/retire/{name}"));
            status.is_some_and(|status| status["state"] == "completed")
        };
        for name in std::mem::take(&mut self.retired) {
            let index = fleet.nodes.iter().position(|node| node.name == name);
            let Some(index) = index.filter(|_| is_empty(fleet, &name)) else {
                self.retired.push(name);
                continue;
            };
            check.disturbances.end(index);
            self.undos.retain(|(_, undo)| undo.disturbed_node() != Some(index));
            fleet.replace_keeper(index);
            fleet.store.delete(&format!("op/retire/{name}"));
            self.retired.retain(|other| *other != name);
        }
    }

    /// Kills a process until a later time.
    fn kill(&mut self, fleet: &mut NodeFleet, node: usize, until: Instant, check: &GuaranteeCheck) {
        check.disturbances.begin(node);
        fleet.nodes[node].kill();
        self.undos.push((until, FaultUndo::Start(node)));
    }

    /// Stops a process until a later time.
    fn freeze(&mut self, fleet: &NodeFleet, node: usize, until: Instant, check: &GuaranteeCheck) {
        check.disturbances.begin(node);
        fleet.nodes[node].signal(Signal::STOP);
        self.undos.push((until, FaultUndo::Continue(node)));
    }

    /// Terminates a process, unless it has just started, until a later time.
    fn terminate(
        &mut self,
        fleet: &mut NodeFleet,
        node: usize,
        until: Instant,
        check: &GuaranteeCheck,
    ) {
        if fleet.nodes[node].age() <= SIGNAL_SETUP_TIME {
            return;
        }
        check.disturbances.begin(node);
        // A stopped process does not handle SIGTERM.
        fleet.nodes[node].signal(Signal::CONT);
        if let Err(detail) = fleet.nodes[node].terminate(EXIT_TIMEOUT) {
            check.report(format!(
                "{} did not exit cleanly after SIGTERM: {detail}",
                fleet.nodes[node].name
            ));
        }
        self.undos.push((until, FaultUndo::Start(node)));
    }

    /// Changes whether the targets name a limit, and whether their streams end with their
    /// connections.
    fn change_responses(&mut self, fleet: &NodeFleet) {
        match self.response_random.below(6) {
            0 => {
                let limit = 200 + self.response_random.below(2_000) as u32;
                fleet.request_limit.store(limit, Ordering::Relaxed);
            }
            1 => fleet.request_limit.store(0, Ordering::Relaxed),
            2 => fleet.has_unframed_streams.store(true, Ordering::Relaxed),
            3 => fleet.has_unframed_streams.store(false, Ordering::Relaxed),
            _ => {}
        }
    }

    /// Changes how often the targets refuse requests, fail and repeat answers.
    fn change_repetitions(&mut self, fleet: &NodeFleet) {
        let random = &mut self.repeat_random;
        match random.below(5) {
            0 | 1 => {
                let plan = RepeatPlan {
                    errors: random.below(3),
                    late_repeats: 60 + random.below(41),
                    nameless_refusals: random.below(30),
                    refusals: 10 + random.below(40),
                    repeats: 50 + random.below(51),
                };
                fleet.repeat_rule.set_plan(plan, random.number());
            }
            2 => fleet.repeat_rule.set_plan(RepeatPlan::default(), 0),
            _ => {}
        }
    }

    /// Injects one random fault and schedules its end.
    fn inject(&mut self, fleet: &mut NodeFleet, check: &GuaranteeCheck) {
        // The schedules of older seeds name two keepers for each two entries.
        let entry_count = fleet.entry_addresses().len();
        let older_count = usize::from(fleet.engine_count()) + 2 * entry_count;
        let node = self.random.below(older_count);
        let fault_end =
            Instant::now() + Duration::from_millis(self.random.below(MAX_FAULT_DURATION_MS) as u64);
        match self.random.below(16) {
            0 | 1 => self.kill(fleet, node, fault_end, check),
            2 | 3 => {
                let freeze = Duration::from_millis(self.random.below(MAX_FREEZE_MS) as u64);
                self.freeze(fleet, node, Instant::now() + freeze, check);
            }
            4 => self.terminate(fleet, node, fault_end, check),
            // A signal ends a process that has not yet installed its handlers. Seeds 21, 51, 103,
            // 107 and 109 sent one right after the start.
            5 if fleet.nodes[node].age() > SIGNAL_SETUP_TIME => {
                fleet.nodes[node].signal(Signal::HUP);
            }
            5 => {}
            6 => {
                let modes = [StoreMode::Busy, StoreMode::LosesResponses, StoreMode::Silent];
                fleet.store.set_mode(modes[self.random.below(modes.len())]);
                self.undos.push((fault_end, FaultUndo::StoreUp));
            }
            7 | 8 => {
                let mode = self.random_proxy_mode();
                fleet.nodes[node].store_proxy.set_mode(mode);
                self.undos.push((fault_end, FaultUndo::StoreConnection(node)));
            }
            9 => {
                let mode = self.random_proxy_mode();
                if let Some(proxy) = &fleet.nodes[node].target_proxy {
                    check.disturbances.begin(node);
                    proxy.set_mode(mode);
                    self.undos.push((fault_end, FaultUndo::TargetConnection(node)));
                }
            }
            10 => {
                let engine = self.random.below(usize::from(fleet.engine_count())) as u8;
                fleet.register(&engine_id(engine), "draining");
                self.undos.push((fault_end, FaultUndo::Register(engine)));
            }
            11 => {
                let mode = self.random_proxy_mode();
                if let Some(proxy) = &fleet.nodes[node].node_proxy {
                    check.disturbances.begin(node);
                    proxy.set_mode(mode);
                    self.undos.push((fault_end, FaultUndo::NodeConnection(node)));
                }
            }
            12 => {
                let mode = self.random_proxy_mode();
                if let Some(proxy) = &fleet.nodes[node].caller_proxy {
                    check.disturbances.begin(node);
                    proxy.set_mode(mode);
                    self.undos.push((fault_end, FaultUndo::CallerConnection(node)));
                }
            }
            13 => {
                let engine = self.random.below(usize::from(fleet.engine_count()));
                check.disturbances.begin(engine);
                fleet.restart_target(engine);
                self.undos.push((fault_end, FaultUndo::Settle(engine)));
            }
            _ => {
                self.version += 3;
                fleet.store.compact();
                fleet.write_config(self.version, 2);
            }
        }
    }

    /// Returns a random fault mode for a proxy.
    fn random_proxy_mode(&mut self) -> FaultMode {
        match self.random.below(5) {
            4 => FaultMode::TurnAway,
            0 => FaultMode::Disconnect,
            1 => FaultMode::Delay(Duration::from_millis(60)),
            2 => FaultMode::HalfOpen,
            _ => FaultMode::LoseResponse,
        }
    }

    /// Undoes the faults that are due at `now`.
    fn undo_due(&mut self, fleet: &mut NodeFleet, now: Instant, check: &GuaranteeCheck) {
        let (due, later) = self.undos.drain(..).partition(|(time, _)| *time <= now);
        self.undos = later;
        let due: Vec<(Instant, FaultUndo)> = due;
        for (_, undo) in due {
            if let Some(node) = undo.disturbed_node()
                && !self.undos.iter().any(|(_, later)| later.disturbed_node() == Some(node))
            {
                check.disturbances.end(node);
            }
            match undo {
                FaultUndo::Stop(node) => {
                    check.disturbances.begin(node);
                    fleet.nodes[node].signal(Signal::STOP);
                }
                FaultUndo::Reads => {
                    fleet.store.set_read_delay("", Duration::ZERO);
                    fleet.store.refuse_reads("");
                }
                FaultUndo::StoreShare => fleet.store.refuse_share(0),
                FaultUndo::Continue(node) => fleet.nodes[node].signal(Signal::CONT),
                FaultUndo::Register(engine) => fleet.register(&engine_id(engine), "ready"),
                FaultUndo::Start(node) => fleet.nodes[node].start(),
                FaultUndo::StoreUp => fleet.store.set_mode(StoreMode::Up),
                FaultUndo::StoreConnection(node) => {
                    fleet.nodes[node].store_proxy.set_mode(FaultMode::Pass);
                }
                FaultUndo::NodeConnection(node) => {
                    if let Some(proxy) = &fleet.nodes[node].node_proxy {
                        proxy.set_mode(FaultMode::Pass);
                    }
                }
                FaultUndo::CallerConnection(node) => {
                    if let Some(proxy) = &fleet.nodes[node].caller_proxy {
                        proxy.set_mode(FaultMode::Pass);
                    }
                }
                FaultUndo::Settle(_) => {}
                FaultUndo::TargetConnection(node) => {
                    if let Some(proxy) = &fleet.nodes[node].target_proxy {
                        proxy.set_mode(FaultMode::Pass);
                    }
                }
            }
        }
    }
}

/// Returns the positions of the keepers in the fleet's nodes.
fn keeper_indexes(fleet: &NodeFleet) -> Vec<usize> {
    let first = usize::from(fleet.engine_count()) + fleet.entry_addresses().len();
    (first..fleet.nodes.len()).collect()
}

/// Reports processes that have exited by themselves and restarts them.
fn report_crashes(fleet: &mut NodeFleet, check: &GuaranteeCheck) {
    for node in &mut fleet.nodes {
        if let Some(status) = node.unexpected_exit() {
            let output = node.output();
            let last_lines: Vec<&str> = output.lines().rev().take(3).collect();
            check.report(format!(
                "{} exited by itself: {status}; last lines of its log: {last_lines:?}",
                node.name
            ));
            node.kill();
            node.start();
        }
    }
}

//! Simulates entries, sidecars and engines under requests of which some end their engine.

use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::QuarantineTable;
use cv_dispatch::RequestDigest;
use cv_dispatch::RunWatch;
use cv_dispatch::WatchedRunId;
use cv_policy::SeededRandom;

use crate::quarantine::COMMON;
use crate::quarantine::CRASHING;
use crate::quarantine::at;
use crate::quarantine::loss;
use crate::quarantine::part;

/// A request under way.
#[derive(Clone, Debug)]
struct SimulatedRun {
    attempts_left: u32,
    begun: u64,
    engine: usize,
    entry: usize,
    id: WatchedRunId,
    parts: Vec<QuarantineSubject>,
}

/// Engines, sidecars and entries under requests of which some end their engine.
pub(crate) struct CrashSimulation {
    /// Tables of the entries, then of the sidecars.
    tables: Vec<QuarantineTable>,
    /// When each engine is up again.
    down_until: Vec<u64>,
    runs: Vec<SimulatedRun>,
    /// Times at which engines ended of a prompt.
    pub crashes: Vec<u64>,
    /// Times at which crashing requests began to run.
    pub crashing_runs: Vec<u64>,
    /// Requests that end each engine by themselves, and how they are repeated.
    pub crashing_requests: Vec<CrashingRequest>,
    /// Sound requests refused by their digests after three engines ended under them.
    pub lost_thrice: u32,
    /// The request of each run that an engine took with it.
    lost_requests: Vec<QuarantineSubject>,
    /// Number of requests that came, each of which has a digest of its own.
    came: u64,
    /// Times that each caller repeats a request with [`CRASHING`].
    pub repetitions: u32,
    repeated: Vec<(u64, u32, Vec<QuarantineSubject>)>,
    random: SeededRandom,
    /// Sound requests that came, and those refused because of their prompt.
    pub sound: (u32, u32),
    /// The runs of each engine, as its sidecar knows them.
    watches: Vec<RunWatch>,
}

/// A request that ends each engine that begins to run it, and comes again and again.
#[derive(Clone, Debug)]
pub(crate) struct CrashingRequest {
    /// Times at which engines ended of it.
    pub crashes: Vec<u64>,
    /// Time between two attempts of its caller, in milliseconds.
    pub interval: u64,
    /// Times at which its caller's attempts reached engines.
    pub runs: Vec<u64>,
    pub subjects: Vec<QuarantineSubject>,
}

impl CrashingRequest {
    /// Creates a request with a digest and the parts of its prompt.
    pub fn new(digest: u64, parts: &[QuarantineSubject], interval: u64) -> Self {
        let mut subjects = parts.to_vec();
        subjects.push(QuarantineSubject::Request(RequestDigest(digest)));
        Self { crashes: Vec::new(), interval, runs: Vec::new(), subjects }
    }

    /// Counts the attempts that reached engines later than three seconds after the third loss.
    pub fn late_runs(&self) -> usize {
        let third = self.crashes.get(2).copied();
        third.map_or(0, |third| self.runs.iter().filter(|at| **at > third + 3_000).count())
    }
}

/// Number of entries of the simulation.
const ENTRIES: usize = 5;

/// Number of engines of the simulation, each with a sidecar.
const ENGINES: usize = 12;

/// Time from the start of a run to the head of its response, in milliseconds.
const HEAD_MS: u64 = 60;

/// Time from the start of a crashing run to the end of its engine, in milliseconds.
const CRASH_MS: u64 = 140;

/// Time from the start of a run to the end of its response, in milliseconds.
const RUN_MS: u64 = 500;

/// Time after which an engine is back, in milliseconds.
const DOWN_MS: u64 = 3_400;

/// Time between two exchanges of what processes know, in milliseconds.
const EXCHANGE_MS: u64 = 500;

/// Time after which a caller repeats a request, in milliseconds.
const REPETITION_MS: u64 = 900;

/// Attempts of a sound request.
const SOUND_ATTEMPTS: u32 = 4;

/// Exchanges after which processes tell all that they know.
const FULL_EXCHANGES: u64 = 4;

impl CrashSimulation {
    /// Creates a simulation in which no request has come yet.
    pub fn new(seed: u64) -> Self {
        Self {
            tables: vec![QuarantineTable::default(); ENTRIES + ENGINES],
            down_until: vec![0; ENGINES],
            runs: Vec::new(),
            crashes: Vec::new(),
            crashing_runs: Vec::new(),
            crashing_requests: Vec::new(),
            lost_thrice: 0,
            lost_requests: Vec::new(),
            came: 0,
            repetitions: 0,
            repeated: Vec::new(),
            random: SeededRandom::new(seed),
            sound: (0, 0),
            watches: vec![RunWatch::default(); ENGINES],
        }
    }

    /// Returns the digest of a request that has not come before.
    fn next_request(&mut self) -> QuarantineSubject {
        self.came += 1;
        QuarantineSubject::Request(RequestDigest(self.came))
    }

    /// Tells the other side what a process knows; a tenth of the messages is lost.
    fn tell(&mut self, from: usize, now: u64, is_full: bool) {
        let records = self.tables[from].records(at(now), is_full);
        let others = if from < ENTRIES { ENTRIES..ENTRIES + ENGINES } else { 0..ENTRIES };
        for other in others {
            if self.random.fraction() > 0.1 {
                self.tables[other].merge(&records, at(now), at(now + 2));
            }
        }
    }

    /// Sends a request from an entry to an engine; the first sidecar runs the trials.
    fn request(&mut self, now: u64, entry: usize, parts: &[QuarantineSubject], attempts: u32) {
        let is_crashing = parts.contains(&CRASHING);
        let repeated = self.crashing_requests.iter().position(|request| request.subjects == parts);
        let is_sound = !is_crashing && repeated.is_none();
        let up: Vec<usize> =
            (0..ENGINES).filter(|engine| self.down_until[*engine] <= now).collect();
        if up.is_empty() {
            return;
        }
        let engine = match self.tables[entry].decide(parts, at(now)) {
            QuarantineDecision::Admit => up[self.random.below(up.len())],
            QuarantineDecision::Try(_) if up[0] == 0 => 0,
            decision => {
                if is_sound {
                    self.record_refusal(decision);
                }
                return;
            }
        };
        match self.tables[ENTRIES + engine].decide(parts, at(now)) {
            QuarantineDecision::Admit => {}
            QuarantineDecision::Try(_) if engine == 0 => {
                self.tables[ENTRIES].begin_trial(parts, at(now));
                self.tell(ENTRIES, now, false);
            }
            decision => {
                if is_sound {
                    self.record_refusal(decision);
                }
                return;
            }
        }
        if is_crashing {
            self.crashing_runs.push(now);
        }
        if let Some(index) = repeated {
            self.crashing_requests[index].runs.push(now);
        }
        let id = self.watches[engine].begin("", parts, at(now));
        let (attempts_left, parts) = (attempts - 1, parts.to_vec());
        self.runs.push(SimulatedRun { attempts_left, begun: now, engine, entry, id, parts });
    }

    /// Records the refusal of a sound request.
    fn record_refusal(&mut self, decision: QuarantineDecision) {
        let losses = match decision {
            QuarantineDecision::Refuse(subject, _) | QuarantineDecision::Try(subject) => {
                self.lost_requests.iter().filter(|lost| **lost == subject).count()
            }
            QuarantineDecision::Admit => 0,
        };
        if losses >= 3 {
            self.lost_thrice += 1;
        } else {
            self.sound.1 += 1;
        }
    }

    /// Ends engines and runs that are due.
    fn step(&mut self, now: u64) {
        for run in self.runs.iter().filter(|run| now == run.begun + HEAD_MS) {
            self.watches[run.engine].answer(run.id, at(now));
        }
        loop {
            let is_cause = |parts: &[QuarantineSubject]| {
                let mut requests = self.crashing_requests.iter();
                parts.contains(&CRASHING) || requests.any(|request| request.subjects == parts)
            };
            let is_crash =
                |run: &&SimulatedRun| now >= run.begun + CRASH_MS && is_cause(&run.parts);
            let Some(run) = self.runs.iter().find(is_crash) else {
                break;
            };
            let engine = run.engine;
            let mut requests = self.crashing_requests.iter_mut();
            match requests.find(|request| request.subjects == run.parts) {
                Some(request) => request.crashes.push(now),
                None => self.crashes.push(now),
            }
            self.lose_engine(engine, now);
        }
        let ended: Vec<_> = self.runs.extract_if(.., |run| now >= run.begun + RUN_MS).collect();
        for run in ended {
            self.watches[run.engine].end(run.id, at(now), true);
            self.tables[run.entry].record_response(&run.parts, at(now));
        }
        for engine in 0..ENGINES {
            for run in self.watches[engine].take_survived(at(now)) {
                self.tables[ENTRIES + engine].record_served(&run.subjects, at(now));
            }
        }
        if now.is_multiple_of(EXCHANGE_MS) {
            for process in 0..self.tables.len() {
                self.tables[process].expire(at(now));
                self.tell(process, now, now.is_multiple_of(FULL_EXCHANGES * EXCHANGE_MS));
            }
        }
    }

    /// Ends an engine with its runs, of which those with attempts left go elsewhere.
    fn lose_engine(&mut self, engine: usize, now: u64) {
        self.down_until[engine] = now + DOWN_MS;
        let suspects = self.watches[engine].suspects(at(now));
        self.watches[engine] = RunWatch::default();
        let suspects = suspects.iter().map(|run| run.subjects.as_slice());
        self.tables[ENTRIES + engine].record_loss(loss(engine as u8, now), suspects);
        self.tell(ENTRIES + engine, now, false);
        let lost: Vec<_> = self.runs.extract_if(.., |run| run.engine == engine).collect();
        let requests =
            lost.iter().flat_map(|run| &run.parts).filter(|subject| subject.is_request());
        self.lost_requests.extend(requests);
        for run in lost.into_iter().filter(|run| run.attempts_left > 0) {
            self.request(now, run.entry, &run.parts, run.attempts_left);
        }
    }

    /// Sends requests for a time; `crashing_ms` is the mean time between two crashing ones, and
    /// `random_loss_ms` that between two engines that are lost for another reason.
    pub fn run(&mut self, duration: u64, crashing_ms: u64, random_loss_ms: u64) {
        for now in (0..duration).step_by(10) {
            let draw = |random: &mut SeededRandom, mean: u64| {
                mean > 0 && random.fraction() < 10.0 / mean as f64
            };
            let entry = self.random.below(ENTRIES);
            if draw(&mut self.random, 25) {
                let first = part(0xc0 + self.random.below(40) as u64);
                let second = part(0x1000 + self.random.below(800) as u64);
                self.sound.0 += 1;
                let subjects = [first, second, self.next_request()];
                self.request(now, entry, &subjects, SOUND_ATTEMPTS);
            }
            // Some seconds without trouble come first.
            if now > 5_000 && draw(&mut self.random, crashing_ms) {
                let subjects = [COMMON, CRASHING, self.next_request()];
                self.request(now, entry, &subjects, 2);
                self.repeated.push((now + REPETITION_MS, self.repetitions, subjects.to_vec()));
            }
            for (_, left, subjects) in
                self.repeated.extract_if(.., |row| row.0 <= now).collect::<Vec<_>>()
            {
                if left > 0 {
                    let entry = self.random.below(ENTRIES);
                    self.request(now, entry, &subjects, 2);
                    self.repeated.push((now + REPETITION_MS, left - 1, subjects));
                }
            }
            for index in 0..self.crashing_requests.len() {
                let request = &self.crashing_requests[index];
                if now > 5_000 && now.is_multiple_of(request.interval) {
                    let subjects = request.subjects.clone();
                    let entry = self.random.below(ENTRIES);
                    self.request(now, entry, &subjects, 2);
                }
            }
            if now > 5_000 && draw(&mut self.random, random_loss_ms) {
                let engine = self.random.below(ENGINES);
                if self.down_until[engine] <= now {
                    self.lose_engine(engine, now);
                }
            }
            self.step(now);
        }
    }
}

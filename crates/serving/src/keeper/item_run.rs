//! One run of a batch item on a target.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::DispatchPass;
use cv_dispatch::EventParser;
use cv_dispatch::ItemTurn;
use cv_dispatch::PlacementPolicy;
use cv_dispatch::PlacementRequest;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::RunId;
use cv_dispatch::TargetChoice;
use cv_dispatch::TargetRow;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_policy::MonotonicTime;
use cv_policy::WorkClass;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use http::Method;
use http::StatusCode;
use http::response::Parts as ResponseHead;
use monoio::time::timeout;
use tokio::sync::Notify;

use crate::AttemptOptions;
use crate::PlatformAdapter;
use crate::QueueOptions;
use crate::SidecarVerdict;
use crate::internal_headers::WAITING_COMMENT;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::placed_run::PlacedRun;
use crate::keeper::result_commits::start_commits;
use crate::keeper::run_outcome::RunOutcome;
use crate::keeper::tracked_job::TrackedJob;
use crate::platform_adapter::item_subjects;
use crate::target_call::HeadWait;
use crate::target_call::TargetCall;
use crate::target_call::TargetFault;

/// Maximum time to connect to a target or its sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time without any byte on a connection. A sidecar sends signs of life while an item waits,
/// and abandons a run without output after 2.5 s; a target without one may only be frozen.
const MAX_SILENCE: Duration = Duration::from_secs(4);

/// Time between two checks of whether a run is lost while it waits for output.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Longest output of an item, in bytes; with its id it fits into a value of the store.
const MAX_OUTPUT_BYTES: usize = 1_000_000;

/// Time for which a target that refused an item gets no other item.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

/// A run of an item in progress.
pub(crate) struct ItemRun<P: PlatformAdapter> {
    job: Rc<TrackedJob>,
    /// The target, and whether its sidecar is used.
    target: TargetChoice,
    /// Index of the item in its job.
    item: usize,
    id: RunId,
    /// Whether the run is the trial of a part in quarantine.
    is_trial: bool,
    /// Most events that the output can have, if the item limits it.
    max_events: Option<u64>,
    state: Rc<KeeperState<P>>,
    /// The shared parts of the item's prompt.
    subjects: Vec<QuarantineSubject>,
    /// The due time of the item, and what the start has cost its customer.
    turn: ItemTurn,
    /// Notified when the run should restart on another target.
    withdrawn: Rc<Notify>,
}

impl<P: PlatformAdapter> ItemRun<P> {
    /// Starts a run if any target of the item's service has room, and records in the pass if none
    /// has; returns whether it starts. An item whose job has no route or service, or whose prompt ends engines, is skipped.
    pub fn start(
        state: &Rc<KeeperState<P>>,
        job: &Rc<TrackedJob>,
        item: usize,
        turn: &ItemTurn,
        pass: &mut DispatchPass,
    ) -> bool {
        let random = state.view.random_number();
        let picked = state
            .with_route(job, |route| route.in_force()?.pick_service(random).map(str::to_owned));
        let Some(service) = picked.filter(|service| pass.may_have_room(service)) else {
            return false;
        };
        let headers = {
            let tracker = job.tracker.borrow();
            P::item_headers(&tracker.spec().host, &tracker.spec().items[item])
        };
        let (subjects, max_events) =
            (item_subjects::<P>(&headers), P::request_options(&headers).max_events);
        let now = state.view.clock.now();
        let zone = &state.identity.zone;
        let seed = state.view.random_number();
        let request =
            PlacementRequest { may_fail: true, seed, service: &service, tried: &[], zone };
        let decision = state.view.quarantine.decide(&subjects);
        let target = state.view.with_targets(|targets| {
            let choice = match decision {
                QuarantineDecision::Admit => {
                    state.schedule.borrow().choose_target(targets, now, &request)?
                }
                QuarantineDecision::Try(subject) => {
                    let turn = state.view.quarantine.trial_turn(subject);
                    // Without any sidecar, the keeper runs the trial at any target.
                    PlacementPolicy
                        .choose_for_trial(targets, now, &service, subject, turn)
                        .or_else(|| state.schedule.borrow().choose_target(targets, now, &request))?
                }
                QuarantineDecision::Refuse(..) => return None,
            };
            targets.begin_item(&choice.id);
            Some(choice)
        });
        let Some(target) = target else {
            if decision == QuarantineDecision::Admit {
                pass.record_full(&service);
            }
            return false;
        };
        let is_trial = decision != QuarantineDecision::Admit;
        // Otherwise the sidecar begins the trial, once the item has a slot.
        if is_trial && !target.through_sidecar {
            state.view.quarantine.begin_trial(&subjects);
        }
        let id = if target.through_sidecar {
            state.schedule.borrow_mut().begin_run(&target.id, turn.due_ms, now)
        } else {
            state.schedule.borrow_mut().begin_direct_run(&target.id, turn.due_ms, now)
        };
        job.tracker.borrow_mut().start(item);
        let withdrawn = Rc::new(Notify::new());
        // Run ids increase, so pushing at the end keeps the list sorted.
        state.placed_runs.borrow_mut().push(PlacedRun {
            id,
            job: Rc::clone(job),
            service,
            withdrawn: Rc::clone(&withdrawn),
        });
        let (job, state) = (Rc::clone(job), Rc::clone(state));
        let run = Self {
            job,
            target,
            item,
            id,
            is_trial,
            max_events,
            state,
            subjects,
            turn: *turn,
            withdrawn,
        };
        monoio::spawn(async move { run.run().await });
        true
    }

    /// Runs the item until it ends, is stopped or is withdrawn, and applies the outcome.
    async fn run(self) {
        self.log(EventKind::ItemStarted, LinePriority::Routine, || {
            let tracker = self.job.tracker.borrow();
            let last_event = tracker.progress(self.item).last_event;
            let tokens = tracker.spec().items[self.item].tokens;
            let expected_run = self.state.estimate.get().remaining(tokens, last_event.unwrap_or(0));
            let left_ms = self.turn.due_ms.saturating_sub(self.state.view.clock.wall_millis());
            format!("after={last_event:?} run_ms={} left_ms={left_ms}", expected_run.as_millis())
        });
        let sidecar = self.state.identity.sidecar_address(self.target.address);
        if self.target.through_sidecar {
            self.state.view.begin_item_at(sidecar);
        }
        let outcome = monoio::select! {
            outcome = self.run_once() => outcome,
            () = self.job.wait_until(|job| !job.is_active()) => {
                RunOutcome::Interrupted("stopped".to_owned())
            }
            () = self.withdrawn.notified() => RunOutcome::Withdrawn,
        };
        if self.target.through_sidecar {
            self.state.view.end_item_at(sidecar);
        }
        self.state.schedule.borrow_mut().end_run(self.id);
        self.state.view.with_targets(|targets| targets.end_item(&self.target.id));
        self.state.placed_runs.borrow_mut().retain(|run| run.id != self.id);
        self.apply_outcome(&outcome);
        if outcome.has_not_run() {
            self.state.item_order.borrow_mut().refund(&self.turn);
        }
        self.state.work_available.notify_one();
    }

    /// Updates the job's tracker and the target by the run's outcome, and commits a final result.
    fn apply_outcome(&self, outcome: &RunOutcome) {
        let now = self.state.view.clock.now();
        let max_attempts = self
            .state
            .with_route(&self.job, |route| route.in_force().map(|rule| rule.max_attempts));
        match outcome {
            RunOutcome::Completed => {
                self.record_completion();
                self.job.tracker.borrow_mut().complete(self.item);
                self.update_target(TargetRow::record_success);
                self.record_response(now, false);
            }
            RunOutcome::Impossible => self.job.tracker.borrow_mut().dead_letter(self.item),
            RunOutcome::Failed => {
                self.update_target(|row| row.record_failure(now));
                self.record_response(now, true);
                let failures = self.job.tracker.borrow_mut().record_failure(self.item);
                if max_attempts.is_some_and(|limit| failures >= limit) {
                    self.job.tracker.borrow_mut().dead_letter(self.item);
                } else {
                    self.job.tracker.borrow_mut().release(self.item);
                }
            }
            RunOutcome::Refused => {
                self.job.tracker.borrow_mut().release(self.item);
                self.update_target(|row| row.eject(now, REFUSAL_BACKOFF));
            }
            RunOutcome::Quarantined | RunOutcome::Withdrawn => {
                self.job.tracker.borrow_mut().release(self.item);
            }
            RunOutcome::Interrupted(_) => {
                self.job.tracker.borrow_mut().release(self.item);
                if self.job.is_active() {
                    self.update_target(|row| row.record_failure(now));
                }
            }
        }
        if !self.target.through_sidecar {
            let desk = &self.state.view.quarantine;
            match outcome {
                RunOutcome::Completed => desk.judge_response(self.target.address, &self.subjects),
                RunOutcome::Interrupted(_) => {
                    drop(desk.investigate(self.target.address, &self.subjects));
                }
                _ => {}
            }
        }
        let (kind, priority, detail) = outcome.log_line();
        self.log(kind, priority, || detail.clone());
        if matches!(outcome, RunOutcome::Completed | RunOutcome::Impossible | RunOutcome::Failed) {
            start_commits(&self.state, &self.job);
        }
    }

    /// Sends the request and reads its response.
    async fn run_once(&self) -> RunOutcome {
        let address = if self.target.through_sidecar {
            self.state.identity.sidecar_address(self.target.address)
        } else {
            self.target.address
        };
        let call = TargetCall {
            address,
            is_sidecar: self.target.through_sidecar,
            log: &self.state.call_log,
            pool: &self.state.pool,
            request_id_of: |headers| P::response_metadata(headers).request_id,
        };
        let wait = if self.target.through_sidecar {
            HeadWait::Silence(MAX_SILENCE)
        } else {
            HeadWait::Total(MAX_SILENCE)
        };
        let (id, request) = self.request();
        let opened = monoio::select! {
            opened = call.open(&request, Some(&id), CONNECT_TIMEOUT, wait) => opened,
            () = self.wait_for_loss() => {
                return RunOutcome::Interrupted("target silent".to_owned());
            }
        };
        let (connection, head) = match opened {
            Ok(opened) => opened,
            Err(TargetFault::NotSent(_)) => return RunOutcome::Refused,
            Err(fault) => return RunOutcome::Interrupted(fault.to_string()),
        };
        self.read_response(&call, connection, &head).await
    }

    /// Reads the rest of a response by its head: the outcome or the output.
    async fn read_response(
        &self,
        call: &TargetCall<'_>,
        mut connection: ClientConnection,
        head: &ResponseHead,
    ) -> RunOutcome {
        let metadata = P::response_metadata(&head.headers);
        if let Some(limit) = metadata.named_limit() {
            self.update_target(|row| row.request_limit = limit);
        }
        let verdict = SidecarVerdict::read(&head.headers);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if metadata.not_run || is_misdirected || verdict == Some(SidecarVerdict::NotRun) {
            return RunOutcome::Refused;
        }
        if verdict == Some(SidecarVerdict::Quarantined) {
            return RunOutcome::Quarantined;
        }
        if verdict.is_some() || !metadata.is_signed && head.status.is_success() {
            return RunOutcome::Interrupted(format!("status={} unsigned", head.status));
        }
        match head.status {
            StatusCode::OK => {}
            StatusCode::UNPROCESSABLE_ENTITY => return RunOutcome::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return RunOutcome::Failed,
            status => return RunOutcome::Interrupted(format!("status={status}")),
        }
        let mut parser = EventParser::default();
        let mut last_output = Instant::now();
        // One wait for the whole run: bytes that complete no event must not begin it anew.
        let mut loss = std::pin::pin!(self.wait_for_loss());
        loop {
            let chunk = monoio::select! {
                chunk = self.read_piece(&mut connection) => chunk,
                () = &mut loss => {
                    return RunOutcome::Interrupted("target silent".to_owned());
                }
            };
            match chunk {
                Ok(Some(chunk)) => parser.push(&chunk),
                Ok(None) if parser.has_partial_event() => {
                    return RunOutcome::Interrupted("output ends within an event".to_owned());
                }
                Ok(None) => {
                    call.release(connection);
                    return RunOutcome::Completed;
                }
                Err(fault) => return RunOutcome::Interrupted(fault.to_string()),
            }
            match self.record_events(&mut parser) {
                Ok(0) => {}
                Ok(events) => {
                    let now = self.state.view.clock.now();
                    self.state.schedule.borrow_mut().record_output(self.id, now);
                    let mut estimate = self.state.estimate.get();
                    estimate.record_events(events, last_output.elapsed());
                    self.state.estimate.set(estimate);
                    last_output = Instant::now();
                }
                Err(detail) => return RunOutcome::Interrupted(detail),
            }
            if parser.is_oversized() {
                return RunOutcome::Interrupted("event too large".to_owned());
            }
        }
    }

    /// Reads the next piece of the response, which has to come within [`MAX_SILENCE`].
    async fn read_piece(
        &self,
        connection: &mut ClientConnection,
    ) -> Result<Option<Bytes>, HttpFault> {
        let read = timeout(MAX_SILENCE, connection.read_piece()).await;
        read.unwrap_or(Err(HttpFault::TimedOut("response piece")))
    }

    /// Adds all complete events to the item's output; returns how many there were.
    ///
    /// # Errors
    /// An event has no number, or its number does not follow that of the last event.
    fn record_events(&self, parser: &mut EventParser) -> Result<u32, String> {
        let mut events = 0;
        while let Some(event) = parser.next_event() {
            if self.target.through_sidecar && event.raw == WAITING_COMMENT {
                continue;
            }
            let mut tracker = self.job.tracker.borrow_mut();
            let last = tracker.progress(self.item).last_event;
            let Some(number) = event.id else {
                return Err("event without a number".to_owned());
            };
            if last.is_some_and(|last| number != last + 1) {
                return Err(format!("event {number} after {last:?}"));
            }
            let output_bytes = tracker.progress(self.item).output.len();
            if output_bytes + event.data.len() > MAX_OUTPUT_BYTES
                || self.max_events.is_some_and(|limit| number > limit)
            {
                return Err(format!("output too long: event {number}, {output_bytes} bytes"));
            }
            tracker.record_output(self.item, &event.data, number);
            events += 1;
        }
        Ok(events)
    }

    /// Returns when the run counts as lost, see [`RunSchedule::is_lost`].
    async fn wait_for_loss(&self) {
        loop {
            monoio::time::sleep(LOSS_CHECK_INTERVAL).await;
            let now = self.state.view.clock.now();
            let spare = self.spare_time();
            let is_lost = self.state.view.with_targets(|targets| {
                self.state.schedule.borrow().is_lost(self.id, targets, now, spare)
            });
            if is_lost {
                return;
            }
        }
    }

    /// Returns the time for which the run may pause and the item still be done when it is due.
    fn spare_time(&self) -> Duration {
        let tracker = self.job.tracker.borrow();
        let last_event = tracker.progress(self.item).last_event.unwrap_or(0);
        let tokens = tracker.spec().items[self.item].tokens;
        let run = self.state.estimate.get().remaining(tokens, last_event);
        let left = self.turn.due_ms.saturating_sub(self.state.view.clock.wall_millis());
        Duration::from_millis(left).saturating_sub(run)
    }

    /// Builds the run's request; returns it with the request id that the response must carry.
    fn request(&self) -> (String, ClientRequest) {
        let tracker = self.job.tracker.borrow();
        let spec = &tracker.spec().items[self.item];
        let options = AttemptOptions {
            caller: Some(&tracker.spec().caller),
            deadline: None,
            expected_target: Some(&self.target.id),
            resume_after: tracker.progress(self.item).last_event,
        };
        let mut headers =
            P::attempt_headers(&P::item_headers(&tracker.spec().host, spec), &options);
        if self.target.through_sidecar {
            let left = self.turn.due_ms.saturating_sub(self.state.view.clock.wall_millis());
            let wait_budget = Duration::from_millis(left);
            let slots = self.target.slots;
            let last_event = tracker.progress(self.item).last_event.unwrap_or(0);
            let expected_run = self.state.estimate.get().remaining(spec.tokens, last_event);
            let options = QueueOptions {
                class: WorkClass::Batch,
                digest: None,
                wait_budget,
                expected_run,
                keeper: Some(self.state.identity.internal_address()),
                objective_left: Duration::ZERO,
                slots,
                queue_timeout: Duration::ZERO,
                reservation: None,
                share: self.state.share_key(&self.job),
                is_trial: self.is_trial,
            };
            options.write(&mut headers);
        }
        let body = Bytes::from(spec.body.clone());
        let request =
            ClientRequest { body, headers, method: Method::POST, path: spec.path.clone() };
        (spec.id.clone(), request)
    }

    /// Adds the number of events of a completed item to the run estimate.
    fn record_completion(&self) {
        let tracker = self.job.tracker.borrow();
        if let Some(events) = tracker.progress(self.item).last_event {
            let mut estimate = self.state.estimate.get();
            estimate.record_completion(tracker.spec().items[self.item].tokens, events);
            self.state.estimate.set(estimate);
        }
    }

    /// Records a response that came without a sidecar, whole or a failure of the target.
    fn record_response(&self, now: MonotonicTime, is_failure: bool) {
        if !self.target.through_sidecar {
            self.update_target(|row| row.record_response(now, is_failure));
        }
    }

    /// Updates the target's row, if the target is still known.
    fn update_target(&self, update: impl FnOnce(&mut TargetRow)) {
        self.state.view.with_targets(|targets| {
            if let Some(row) = targets.get_mut(&self.target.id) {
                update(row);
            }
        });
    }

    /// Records an event of the run.
    fn log(&self, kind: EventKind, priority: LinePriority, describe: impl Fn() -> String) {
        let tracker = self.job.tracker.borrow();
        let spec = tracker.spec();
        let item = &spec.items[self.item].id;
        self.state.view.log.record(priority, kind, item, || {
            format!("job={} target={} {}", spec.id, self.target.id, describe())
        });
    }
}

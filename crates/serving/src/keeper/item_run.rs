//! One run of one batch item.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::EventParser;
use cv_dispatch::RunId;
use cv_dispatch::TargetChoice;
use cv_dispatch::TargetRow;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_policy::WorkClass;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;
use http::Method;
use http::StatusCode;
use http::response::Parts as ResponseHead;
use tokio::sync::Notify;

use crate::AttemptOptions;
use crate::PlatformAdapter;
use crate::QueueOptions;
use crate::SidecarVerdict;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::result_commits::start_commits;
use crate::keeper::tracked_job::TrackedJob;
use crate::target_call::TargetCall;
use crate::target_call::TargetFault;

/// Longest time to connect to a target or its sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the first output; an item may wait long for a slot.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Time between two looks at a run that gives no output.
const SIDECAR_CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which a target that turned an item away gets no other.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

/// A run under way.
pub(crate) struct ItemRun<P: PlatformAdapter> {
    cell: Rc<TrackedJob>,
    target: TargetChoice,
    item: usize,
    /// When the item is due, in milliseconds since the Unix epoch.
    due_ms: u64,
    id: RunId,
    state: Rc<KeeperState<P>>,
    /// Told when the run is better made elsewhere.
    withdrawn: Rc<Notify>,
}

/// How a run ended.
#[derive(Debug)]
enum RunOutcome {
    /// With the whole output.
    Completed,
    /// The target says that the item can never be done.
    Impossible,
    /// The target failed on the item.
    Failed,
    /// The target did not run the item.
    Refused,
    /// The run broke off or was stopped.
    Interrupted(String),
    /// Another target has room for the run.
    Withdrawn,
}

impl<P: PlatformAdapter> ItemRun<P> {
    /// Starts a run if any target has room; tells whether one has.
    pub fn start(
        state: &Rc<KeeperState<P>>,
        cell: &Rc<TrackedJob>,
        item: usize,
        due_ms: u64,
    ) -> bool {
        let draw = state.view.random_number();
        let picked = state.with_route(cell, |route| route.pick_service(draw).map(str::to_owned));
        let Some(service) = picked.flatten() else {
            return true;
        };
        let now = state.view.clock.now();
        let zone = &state.identity.zone;
        let choice = state.view.with_targets(|roster| {
            state.schedule.borrow().choose_target(roster, now, &service, zone)
        });
        let Some(choice) = choice else {
            return false;
        };
        let id = state.schedule.borrow_mut().begin_run(&choice.id, due_ms, now);
        cell.book.borrow_mut().start(item);
        let withdrawn = Rc::new(Notify::new());
        // Runs grow, so the end is the place in order.
        state.withdrawals.borrow_mut().push((id, Rc::clone(&withdrawn)));
        let (cell, state) = (Rc::clone(cell), Rc::clone(state));
        let run = Self { cell, target: choice, item, due_ms, id, state, withdrawn };
        monoio::spawn(async move { run.run().await });
        true
    }

    /// Runs the item and notes how that ended.
    async fn run(self) {
        self.log(EventKind::ItemStarted, LineWeight::Routine, || {
            let book = self.cell.book.borrow();
            let done = book.progress(self.item).last_event;
            let tokens = book.spec().items[self.item].tokens;
            let run = self.state.estimate.get().remaining(tokens, done.unwrap_or(0));
            let left_ms = self.due_ms.saturating_sub(self.state.view.clock.wall_millis());
            format!("after={done:?} run_ms={} left_ms={left_ms}", run.as_millis())
        });
        let end = monoio::select! {
            end = self.run_once() => end,
            () = self.cell.wait_until(|cell| !cell.is_running()) => RunOutcome::Interrupted("stopped".to_owned()),
            () = self.withdrawn.notified() => RunOutcome::Withdrawn,
        };
        self.state.schedule.borrow_mut().end(self.id);
        self.state.withdrawals.borrow_mut().retain(|(id, _)| *id != self.id);
        self.apply_outcome(&end);
        self.state.work_available.notify_one();
    }

    /// Takes the end of a run into the book.
    fn apply_outcome(&self, end: &RunOutcome) {
        let now = self.state.view.clock.now();
        let max_attempts = self.state.with_route(&self.cell, |route| route.max_attempts);
        match end {
            RunOutcome::Completed => {
                self.record_length();
                self.cell.book.borrow_mut().complete(self.item);
                self.update_target(TargetRow::record_success);
            }
            RunOutcome::Impossible => self.cell.book.borrow_mut().dead_letter(self.item),
            RunOutcome::Failed => {
                let failures = self.cell.book.borrow_mut().record_failure(self.item);
                if max_attempts.is_some_and(|most| failures >= most) {
                    self.cell.book.borrow_mut().dead_letter(self.item);
                } else {
                    self.cell.book.borrow_mut().release(self.item);
                }
            }
            RunOutcome::Refused => {
                self.cell.book.borrow_mut().release(self.item);
                self.update_target(|row| row.eject(now, REFUSAL_BACKOFF));
            }
            RunOutcome::Withdrawn => self.cell.book.borrow_mut().release(self.item),
            RunOutcome::Interrupted(_) => {
                self.cell.book.borrow_mut().release(self.item);
                if self.cell.is_running() {
                    self.update_target(|row| row.record_failure(now));
                }
            }
        }
        match end {
            RunOutcome::Completed => {
                self.log(EventKind::ItemEnded, LineWeight::Routine, || "whole".into());
            }
            RunOutcome::Impossible | RunOutcome::Failed => {
                self.log(EventKind::ItemEnded, LineWeight::Essential, || format!("{end:?}"));
            }
            RunOutcome::Refused => {
                self.log(EventKind::ItemReleased, LineWeight::Essential, || "refused".into());
            }
            RunOutcome::Withdrawn => {
                self.log(EventKind::ItemReleased, LineWeight::Routine, || "withdrawn".into());
            }
            RunOutcome::Interrupted(detail) => {
                self.log(EventKind::ItemReleased, LineWeight::Essential, || detail.clone());
            }
        }
        if matches!(end, RunOutcome::Completed | RunOutcome::Impossible | RunOutcome::Failed) {
            start_commits(&self.state, &self.cell);
        }
    }

    /// Sends the item and reads its output.
    async fn run_once(&self) -> RunOutcome {
        let address = if self.target.through_sidecar {
            self.state.identity.sidecar_address(self.target.address)
        } else {
            self.target.address
        };
        let call = TargetCall {
            address,
            is_sidecar: self.target.through_sidecar,
            pool: &self.state.pool,
            request_id_of: |headers| P::response_metadata(headers).request_id,
        };
        let (id, request) = self.request();
        let opened = monoio::select! {
            opened = call.open(&request, Some(&id), CONNECT_TIMEOUT, HEAD_TIMEOUT) => opened,
            () = self.wait_for_sidecar_loss() => return RunOutcome::Interrupted("sidecar silent".to_owned()),
        };
        let (connection, head) = match opened {
            Ok(opened) => opened,
            Err(TargetFault::NotSent(_)) => return RunOutcome::Refused,
            Err(fault) => return RunOutcome::Interrupted(fault.to_string()),
        };
        self.read_response(&call, connection, &head).await
    }

    /// Takes an answer whose head has arrived.
    async fn read_response(
        &self,
        call: &TargetCall<'_>,
        mut connection: ClientConnection,
        head: &ResponseHead,
    ) -> RunOutcome {
        let marks = P::response_metadata(&head.headers);
        let verdict = SidecarVerdict::read(&head.headers);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if marks.not_run || is_misdirected || verdict == Some(SidecarVerdict::NotRun) {
            return RunOutcome::Refused;
        }
        if verdict.is_some() || !marks.is_signed && head.status.is_success() {
            return RunOutcome::Interrupted(format!("status={} unsigned", head.status));
        }
        match head.status {
            StatusCode::OK => {}
            StatusCode::UNPROCESSABLE_ENTITY => return RunOutcome::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return RunOutcome::Failed,
            status => return RunOutcome::Interrupted(format!("status={status}")),
        }
        let mut splitter = EventParser::default();
        let mut last_output = Instant::now();
        loop {
            let piece = monoio::select! {
                piece = connection.read_piece() => piece,
                () = self.wait_for_sidecar_loss() => return RunOutcome::Interrupted("sidecar silent".to_owned()),
            };
            self.state.schedule.borrow_mut().record_output(self.id, self.state.view.clock.now());
            match piece {
                Ok(Some(piece)) => splitter.push(&piece),
                Ok(None) if splitter.has_partial_event() => {
                    return RunOutcome::Interrupted("output ends within an event".to_owned());
                }
                Ok(None) => {
                    call.release(connection);
                    return RunOutcome::Completed;
                }
                Err(fault) => return RunOutcome::Interrupted(fault.to_string()),
            }
            match self.record_events(&mut splitter) {
                Ok(events) => {
                    let mut estimate = self.state.estimate.get();
                    estimate.record_events(events, last_output.elapsed());
                    self.state.estimate.set(estimate);
                    last_output = Instant::now();
                }
                Err(detail) => return RunOutcome::Interrupted(detail),
            }
        }
    }

    /// Takes whole events into the book, each of which has to follow the one before; returns their
    /// number.
    fn record_events(&self, splitter: &mut EventParser) -> Result<u32, String> {
        let mut events = 0;
        while let Some(event) = splitter.next_event() {
            let mut book = self.cell.book.borrow_mut();
            let last = book.progress(self.item).last_event;
            let Some(number) = event.id else {
                return Err("event without a number".to_owned());
            };
            if last.is_some_and(|last| number != last + 1) {
                return Err(format!("event {number} after {last:?}"));
            }
            book.record_output(self.item, &event.data, number);
            events += 1;
        }
        Ok(events)
    }

    /// Resolves when the target's sidecar has fallen silent although the run goes through it.
    async fn wait_for_sidecar_loss(&self) {
        loop {
            monoio::time::sleep(SIDECAR_CHECK_INTERVAL).await;
            let now = self.state.view.clock.now();
            let is_lost = self.state.view.with_targets(|roster| {
                roster.get(&self.target.id).is_none_or(|row| !row.has_sidecar(now))
            });
            if is_lost && self.target.through_sidecar {
                return;
            }
        }
    }

    /// Makes the request of the run, with the id that the answer has to bear.
    fn request(&self) -> (String, ClientRequest) {
        let book = self.cell.book.borrow();
        let spec = &book.spec().items[self.item];
        let terms = AttemptOptions {
            deadline: None,
            expected_target: Some(&self.target.id),
            resume_after: book.progress(self.item).last_event,
        };
        let mut headers = P::attempt_headers(&P::item_headers(&book.spec().host, spec), &terms);
        if self.target.through_sidecar {
            let left = self.due_ms.saturating_sub(self.state.view.clock.wall_millis());
            let patience = Duration::from_millis(left);
            let slots = self.target.slots;
            let done = book.progress(self.item).last_event.unwrap_or(0);
            let run = self.state.estimate.get().remaining(spec.tokens, done);
            let (class, stay) = (WorkClass::Batch, Duration::ZERO);
            QueueOptions {
                class,
                wait_budget: patience,
                expected_run: run,
                slots,
                queue_timeout: stay,
            }
            .write(&mut headers);
        }
        let body = Bytes::from(spec.body.clone());
        let request =
            ClientRequest { body, headers, method: Method::POST, path: spec.path.clone() };
        (spec.id.clone(), request)
    }

    /// Takes the length of a whole output into the estimate.
    fn record_length(&self) {
        let book = self.cell.book.borrow();
        if let Some(events) = book.progress(self.item).last_event {
            let mut estimate = self.state.estimate.get();
            estimate.record_completion(book.spec().items[self.item].tokens, events);
            self.state.estimate.set(estimate);
        }
    }

    /// Notes something about the target.
    fn update_target(&self, note: impl FnOnce(&mut TargetRow)) {
        self.state.view.with_targets(|roster| {
            if let Some(row) = roster.get_mut(&self.target.id) {
                note(row);
            }
        });
    }

    /// Writes a line about the run.
    fn log(&self, kind: EventKind, weight: LineWeight, describe: impl Fn() -> String) {
        let book = self.cell.book.borrow();
        let spec = book.spec();
        let item = &spec.items[self.item].id;
        self.state.view.log.record(weight, kind, item, || {
            format!("job={} target={} {}", spec.id, self.target.id, describe())
        });
    }
}

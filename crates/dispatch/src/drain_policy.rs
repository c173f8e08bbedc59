//! Decides which requests a process that shuts down still takes.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time for which the longest run of a route is remembered at least.
const RUN_TIME_WINDOW: Duration = Duration::from_secs(30);

/// Factor by which a run may be longer than the longest one of late.
const RUN_TIME_MARGIN: u32 = 2;

/// How long the requests of each route took of late.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    /// Sorted by route.
    rows: Vec<RunTimeRow>,
}

/// The longest runs of one route.
#[derive(Clone, Debug)]
struct RunTimeRow {
    /// The longest run since `since`.
    current: Duration,
    /// The longest run of the window before.
    previous: Duration,
    route: String,
    /// Start of the current window.
    since: MonotonicTime,
}

/// What is known when a request is about to be handed over by a process that shuts down.
#[derive(Clone, Copy, Debug)]
pub struct DrainTerms {
    /// Time until the process exits.
    pub grace_left: Duration,
    /// Whether no further connections are accepted, so that a caller who is refused goes elsewhere.
    pub is_draining: bool,
    /// The longest run of the request's route of late, if there was one.
    pub longest_run: Option<Duration>,
    /// Time that the request may still take.
    pub time_left: Duration,
}

impl RunTimes {
    /// Records how long a request of a route took.
    pub fn record(&mut self, now: MonotonicTime, route: &str, duration: Duration) {
        let position = match self.position(route) {
            Ok(position) => position,
            Err(position) => {
                let route = route.to_owned();
                let (current, previous) = (Duration::ZERO, Duration::ZERO);
                self.rows.insert(position, RunTimeRow { current, previous, route, since: now });
                position
            }
        };
        let row = &mut self.rows[position];
        if now.since(row.since) >= RUN_TIME_WINDOW {
            row.previous = std::mem::take(&mut row.current);
            row.since = now;
        }
        row.current = row.current.max(duration);
    }

    /// Returns the longest run of a route of late, if there was one.
    #[must_use]
    pub fn longest(&self, route: &str) -> Option<Duration> {
        let row = &self.rows[self.position(route).ok()?];
        Some(row.current.max(row.previous))
    }

    /// Returns the position of a route, or where it belongs.
    fn position(&self, route: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.route.as_str().cmp(route))
    }
}

impl DrainTerms {
    /// Returns whether the request will end before the process does.
    ///
    /// A request may take all of its time. While callers are still sent here, one is taken all the same
    /// if the runs of its route are far shorter than what is left, since a refusal costs its caller a
    /// new attempt.
    #[must_use]
    pub fn ends_in_time(&self) -> bool {
        if self.time_left <= self.grace_left {
            return true;
        }
        let expected = self.longest_run.map(|longest| longest * RUN_TIME_MARGIN);
        !self.is_draining && expected.is_some_and(|expected| expected <= self.grace_left)
    }
}

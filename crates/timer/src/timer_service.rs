//! The timer task and its subscribers.

use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use cv_policy::MonotonicTime;
use tokio::sync::Notify;

use crate::ProcessClock;

/// Minimum delay between two checks of the subscribers, the resolution of the runtime's timers.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Maximum delay, after which the task of an unused service ends.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Wakes subscribers periodically; clones share one timer task.
#[derive(Clone, Debug)]
pub struct TimerService {
    clock: ProcessClock,
    /// Notifies the timer task of a new subscriber, which may be due before all others.
    subscribed: Rc<Notify>,
    subscribers: Rc<RefCell<Vec<Weak<TimerSubscriber>>>>,
}

/// One subscriber.
#[derive(Debug)]
struct TimerSubscriber {
    due: std::cell::Cell<MonotonicTime>,
    period: Duration,
    wake: Notify,
}

impl TimerService {
    /// Starts the timer task on the current runtime.
    #[must_use]
    pub fn start(clock: ProcessClock) -> Self {
        let service = Self { clock, subscribed: Rc::default(), subscribers: Rc::default() };
        let timer_task = service.clone();
        monoio::spawn(async move { timer_task.run().await });
        service
    }

    /// Returns the clock of the service.
    #[must_use]
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Subscribes to a tick once per period.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> TimerSubscription {
        let due = std::cell::Cell::new(self.clock.now() + period);
        let subscriber = Rc::new(TimerSubscriber { due, period, wake: Notify::new() });
        self.subscribers.borrow_mut().push(Rc::downgrade(&subscriber));
        self.subscribed.notify_one();
        TimerSubscription { clock: self.clock, subscriber }
    }

    /// Wakes due subscribers while the service has another owner or a subscriber.
    async fn run(self) {
        while Rc::strong_count(&self.subscribers) > 1 || !self.subscribers.borrow().is_empty() {
            monoio::select! {
                () = monoio::time::sleep(self.next_delay()) => {}
                () = self.subscribed.notified() => {}
            }
            self.wake_due();
        }
    }

    /// Returns the time until the next subscriber is due, within the limits on delays.
    fn next_delay(&self) -> Duration {
        let now = self.clock.now();
        let subscribers = self.subscribers.borrow();
        let due_times =
            subscribers.iter().filter_map(Weak::upgrade).map(|subscriber| subscriber.due.get());
        let delay = due_times.min().map_or(MAX_DELAY, |due| now.until(due));
        delay.clamp(MIN_DELAY, MAX_DELAY)
    }

    /// Wakes the subscribers that are due and removes those that were dropped.
    fn wake_due(&self) {
        let now = self.clock.now();
        self.subscribers.borrow_mut().retain(|subscriber| {
            let Some(subscriber) = subscriber.upgrade() else {
                return false;
            };
            if subscriber.due.get() <= now {
                // Missed ticks are skipped: the next one is due a whole period from now.
                subscriber.due.set(now + subscriber.period);
                subscriber.wake.notify_one();
            }
            true
        });
    }
}

/// The handle of a subscriber; dropping it ends the subscription.
#[derive(Debug)]
pub struct TimerSubscription {
    clock: ProcessClock,
    subscriber: Rc<TimerSubscriber>,
}

impl TimerSubscription {
    /// Waits for the next tick and returns its time.
    pub async fn next(&self) -> MonotonicTime {
        self.subscriber.wake.notified().await;
        self.clock.now()
    }
}

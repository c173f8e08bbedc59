//! Gives other tasks of the thread a turn.

use std::future::poll_fn;
use std::task::Poll;

/// Resolves after the other tasks that are ready, and due timers, have had a turn.
pub(crate) async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|context| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

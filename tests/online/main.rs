//! Online requests through the whole path, with faults between the processes.

mod at_most_once;
mod stream_continuation;

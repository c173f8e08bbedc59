//! Online requests through the whole path, with faults between the processes.

mod api_examples;
mod at_most_once;
mod stream_continuation;

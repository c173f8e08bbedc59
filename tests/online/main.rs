//! End-to-end tests of online requests, with faults on the connections between the processes.

mod api_examples;
mod at_most_once;
mod stream_continuation;

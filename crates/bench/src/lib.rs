//! Small complete deployments, load generators, and named experiments.
//!
//! All of them run the real servers over loopback sockets, on threads of one process.

pub mod capacity;
pub mod deployment;
pub mod experiment;
pub mod load;

mod demo;

pub use crate::demo::DemoOptions;
pub use crate::demo::run_demo;

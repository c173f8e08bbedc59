//! Whole small deployments, load against them, and named experiments.
//!
//! Everything runs the real servers over loopback sockets, on threads of one process.

pub mod capacity;
pub mod deployment;
pub mod experiment;
pub mod load;

mod demo;

pub use crate::demo::DemoOptions;
pub use crate::demo::run_demo;

//! The end of an engine.

use std::net::IpAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;

/// Losses of one engine within this time are one loss that several processes have observed. An
/// engine takes longer to start again.
const SAME_LOSS_TIME: Duration = Duration::from_secs(1);

/// An engine that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLoss {
    /// When it ended.
    pub at: MonotonicTime,
    /// Address of its instance.
    pub engine: IpAddr,
}

impl EngineLoss {
    /// Returns whether two observations are of the same loss.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.engine == other.engine && self.at.abs_diff(other.at) < SAME_LOSS_TIME
    }
}

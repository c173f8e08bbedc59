//! What processes tell each other about a suspected subject.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::QuarantineSubject;

/// A process's knowledge of a suspected subject.
///
/// Times are ages in milliseconds, since the clocks of two processes have no common origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// Engines that ended while they began a response to a request with the subject, with the age of
    /// each loss.
    pub losses: Vec<(IpAddr, u32)>,
    /// The subject.
    pub subject: QuarantineSubject,
    /// Number of subjects before it in the prompt.
    pub position: u8,
    /// Age of the quarantine, if the subject is or was in quarantine.
    pub quarantined: Option<u32>,
    /// Age of the last response to a request with the subject that its engine survived.
    pub served: Option<u32>,
    /// Age of the last trial.
    pub tried: Option<u32>,
    /// Trials since the subject came into quarantine.
    pub trials: u8,
    /// Those of the trials that no engine began to run.
    pub withdrawn: u8,
}

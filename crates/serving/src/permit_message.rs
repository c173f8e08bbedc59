//! Datagrams by which entries ask other processes for permits to send requests to targets with a limit.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::stable_hash;

/// First byte of a datagram that asks for a permit.
const REQUEST_TAG: u8 = 8;

/// First byte of a reply.
const REPLY_TAG: u8 = 9;

/// Identifies a target to all processes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PermitTarget(u64);

impl PermitTarget {
    /// Returns the target at an address.
    #[must_use]
    pub fn at(address: SocketAddr) -> Self {
        Self(stable_hash(&[&address.to_string()]))
    }

    /// Returns the processes in the order in which they are asked for permits for the target, the
    /// same for all that know the same processes. Each target has another order.
    #[must_use]
    pub fn rank(self, processes: &[SocketAddr]) -> Vec<SocketAddr> {
        let target = self.0.to_string();
        let hash = |process: &SocketAddr| stable_hash(&[&target, &process.to_string()]);
        let mut ranked: Vec<(u64, SocketAddr)> =
            processes.iter().map(|process| (hash(process), *process)).collect();
        ranked.sort_unstable();
        ranked.dedup();
        ranked.into_iter().map(|(_, process)| process).collect()
    }
}

/// Asks for a permit to send one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitRequest {
    /// Identifies the request to its sender.
    pub id: u64,
    /// Requests a second that the target takes, as it last named to the sender.
    pub limit: f32,
    /// The target.
    pub target: PermitTarget,
}

/// The reply to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitReply {
    /// Id of the request.
    pub id: u64,
    /// `None` if the request may be sent, or the time until the next one may.
    pub wait: Option<Duration>,
}

impl PermitRequest {
    /// Writes the request as one datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut datagram = vec![REQUEST_TAG];
        datagram.extend_from_slice(&self.id.to_le_bytes());
        datagram.extend_from_slice(&self.target.0.to_le_bytes());
        datagram.extend_from_slice(&self.limit.to_le_bytes());
        datagram
    }

    /// Reads a request from a datagram; `None` if it holds none.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let (id, rest) = split_id(datagram, REQUEST_TAG)?;
        let (target, rest) = rest.split_first_chunk::<8>()?;
        let limit = f32::from_le_bytes(rest.try_into().ok()?);
        let target = PermitTarget(u64::from_le_bytes(*target));
        limit.is_finite().then_some(Self { id, limit, target })
    }
}

impl PermitReply {
    /// Writes the reply as one datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut datagram = vec![REPLY_TAG];
        datagram.extend_from_slice(&self.id.to_le_bytes());
        if let Some(wait) = self.wait {
            let millis = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            datagram.extend_from_slice(&millis.to_le_bytes());
        }
        datagram
    }

    /// Reads a reply from a datagram; `None` if it holds none.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let (id, rest) = split_id(datagram, REPLY_TAG)?;
        if rest.is_empty() {
            return Some(Self { id, wait: None });
        }
        let millis = u32::from_le_bytes(rest.try_into().ok()?);
        Some(Self { id, wait: Some(Duration::from_millis(millis.into())) })
    }
}

/// Splits a datagram with the given tag into its id and the rest.
fn split_id(datagram: &[u8], tag: u8) -> Option<(u64, &[u8])> {
    let (first, rest) = datagram.split_first()?;
    let (id, rest) = rest.split_first_chunk::<8>()?;
    (*first == tag).then(|| (u64::from_le_bytes(*id), rest))
}

//! Datagrams by which entries reserve slots at sidecars.

use std::time::Duration;

use cv_dispatch::CustomerId;
use cv_dispatch::RequestRank;
use cv_dispatch::ReservationId;
use cv_dispatch::ReservationReply;
use cv_dispatch::ShareKey;

/// First byte of a datagram that places or renews a reservation.
const PLACE_TAG: u8 = 2;

/// First byte of a datagram that releases a reservation.
const RELEASE_TAG: u8 = 3;

/// First byte of a reply that grants a slot.
const GRANTED_TAG: u8 = 4;

/// First byte of a reply to a reservation that waits.
const WAITING_TAG: u8 = 5;

/// First byte of a reply that denies a reservation.
const DENIED_TAG: u8 = 6;

/// Bytes of the rank and customer at the end of a datagram that places a reservation.
const SHARE_BYTES: usize = 16;

/// Terms on which a reservation waits in a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReservationTerms {
    /// Longest expected wait with which the reservation enters the queue.
    pub max_expected_wait: Duration,
    /// Time in which the request has to start to meet its latency objective.
    pub objective_left: Duration,
    /// Longest time for which it stays there.
    pub queue_timeout: Duration,
    /// Number of queues in which the request waits.
    pub queues: u8,
    /// Rank and customer of the request.
    pub share: ShareKey,
}

/// A message of an entry to a sidecar.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReservationMessage {
    /// Places a reservation or renews it.
    Place(ReservationId, ReservationTerms),
    /// Releases a reservation and its slot.
    Release(ReservationId),
}

impl ReservationMessage {
    /// Writes the message as one datagram.
    #[must_use]
    pub fn encode(self) -> Vec<u8> {
        match self {
            Self::Place(id, terms) => {
                let mut datagram = tagged_id(PLACE_TAG, id);
                datagram.extend_from_slice(&encode_millis(terms.max_expected_wait));
                datagram.extend_from_slice(&encode_millis(terms.objective_left));
                datagram.extend_from_slice(&encode_millis(terms.queue_timeout));
                datagram.push(terms.queues);
                // Sidecars that know no shares read the message without one.
                if terms.share != ShareKey::default() {
                    datagram.extend_from_slice(&encode_share(terms.share));
                }
                datagram
            }
            Self::Release(id) => tagged_id(RELEASE_TAG, id),
        }
    }

    /// Reads a message from a datagram; `None` if it holds none.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let (tag, id, rest) = split_id(datagram)?;
        match (tag, rest) {
            (
                PLACE_TAG,
                [wait0, wait1, objective0, objective1, stay0, stay1, queues, share @ ..],
            ) => {
                let terms = ReservationTerms {
                    max_expected_wait: decode_millis([*wait0, *wait1]),
                    objective_left: decode_millis([*objective0, *objective1]),
                    queue_timeout: decode_millis([*stay0, *stay1]),
                    queues: *queues,
                    share: decode_share(share)?,
                };
                Some(Self::Place(id, terms))
            }
            (RELEASE_TAG, []) => Some(Self::Release(id)),
            _ => None,
        }
    }
}

/// Writes a sidecar's reply as one datagram.
#[must_use]
pub fn encode_reply(id: ReservationId, reply: ReservationReply) -> Vec<u8> {
    let tag = match reply {
        ReservationReply::Granted => GRANTED_TAG,
        ReservationReply::Waiting => WAITING_TAG,
        ReservationReply::Denied => DENIED_TAG,
    };
    tagged_id(tag, id)
}

/// Reads a sidecar's reply from a datagram; `None` if it holds none.
#[must_use]
pub fn decode_reply(datagram: &[u8]) -> Option<(ReservationId, ReservationReply)> {
    let (tag, id, []) = split_id(datagram)? else {
        return None;
    };
    let reply = match tag {
        GRANTED_TAG => ReservationReply::Granted,
        WAITING_TAG => ReservationReply::Waiting,
        DENIED_TAG => ReservationReply::Denied,
        _ => return None,
    };
    Some((id, reply))
}

/// Writes a tag and an id.
fn tagged_id(tag: u8, id: ReservationId) -> Vec<u8> {
    let mut datagram = vec![tag];
    datagram.extend_from_slice(&id.0.to_le_bytes());
    datagram
}

/// Splits a datagram into its tag, its id and the rest.
fn split_id(datagram: &[u8]) -> Option<(u8, ReservationId, &[u8])> {
    let (tag, rest) = datagram.split_first()?;
    let (id, rest) = rest.split_first_chunk::<8>()?;
    Some((*tag, ReservationId(u64::from_le_bytes(*id)), rest))
}

/// Writes a duration in milliseconds; longer ones than fit become the longest that fits.
fn encode_millis(duration: Duration) -> [u8; 2] {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX).to_le_bytes()
}

/// Reads a duration in milliseconds.
fn decode_millis(bytes: [u8; 2]) -> Duration {
    Duration::from_millis(u16::from_le_bytes(bytes).into())
}

/// Writes a rank and a customer; the id 0 stands for none.
fn encode_share(share: ShareKey) -> [u8; SHARE_BYTES] {
    let mut bytes = [0; SHARE_BYTES];
    bytes[..4].copy_from_slice(&share.rank.customer.to_le_bytes());
    bytes[4..8].copy_from_slice(&share.rank.route.to_le_bytes());
    let customer = share.customer.map_or(0, |CustomerId(id)| id);
    bytes[8..].copy_from_slice(&customer.to_le_bytes());
    bytes
}

/// Reads a rank and a customer, which entries leave out if they identify no callers.
fn decode_share(bytes: &[u8]) -> Option<ShareKey> {
    if bytes.is_empty() {
        return Some(ShareKey::default());
    }
    let (customer_rank, rest) = bytes.split_first_chunk::<4>()?;
    let (route_rank, rest) = rest.split_first_chunk::<4>()?;
    let customer = u64::from_le_bytes(rest.try_into().ok()?);
    let rank = RequestRank {
        customer: u32::from_le_bytes(*customer_rank),
        route: u32::from_le_bytes(*route_rank),
    };
    Some(ShareKey { rank, customer: (customer != 0).then_some(CustomerId(customer)) })
}

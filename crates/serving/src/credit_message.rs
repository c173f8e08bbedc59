//! Datagrams by which entries ask keepers for credit of a customer's quota.

use std::time::Duration;

use cv_dispatch::CreditGrant;
use cv_dispatch::CreditTerms;
use cv_dispatch::CustomerId;

/// First byte of a datagram that asks for credit.
const REQUEST_TAG: u8 = 10;

/// First byte of a reply.
const REPLY_TAG: u8 = 11;

/// Asks for credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditRequest {
    /// The customer.
    pub customer: CustomerId,
    /// Identifies the request to its sender.
    pub id: u64,
    /// Unspent credit that the sender returns, in requests.
    pub returned: u32,
    /// The keeper's part of the customer's quota, as the sender knows it.
    pub terms: CreditTerms,
    /// Requests for which credit is wanted.
    pub wanted: u32,
}

/// The reply to a request for credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CreditReply {
    /// What is granted; the wait in whole milliseconds.
    pub grant: CreditGrant,
    /// Id of the request.
    pub id: u64,
}

impl CreditRequest {
    /// Writes the request as one datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut datagram = vec![REQUEST_TAG];
        datagram.extend_from_slice(&self.id.to_le_bytes());
        datagram.extend_from_slice(&self.customer.0.to_le_bytes());
        datagram.extend_from_slice(&self.terms.version.to_le_bytes());
        datagram.extend_from_slice(&self.terms.rate_per_s.to_le_bytes());
        datagram.extend_from_slice(&self.terms.burst.to_le_bytes());
        datagram.extend_from_slice(&self.terms.steady_s.to_le_bytes());
        datagram.extend_from_slice(&self.wanted.to_le_bytes());
        datagram.extend_from_slice(&self.returned.to_le_bytes());
        datagram
    }

    /// Reads a request from a datagram; `None` if it holds none.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let rest = datagram.strip_prefix(&[REQUEST_TAG])?;
        let (id, rest) = rest.split_first_chunk::<8>()?;
        let (customer, rest) = rest.split_first_chunk::<8>()?;
        let (version, rest) = rest.split_first_chunk::<8>()?;
        let (rate, rest) = rest.split_first_chunk::<8>()?;
        let (burst, rest) = rest.split_first_chunk::<8>()?;
        let (steady, rest) = rest.split_first_chunk::<8>()?;
        let (wanted, rest) = rest.split_first_chunk::<4>()?;
        let returned = u32::from_le_bytes(rest.try_into().ok()?);
        let terms = CreditTerms {
            burst: f64::from_le_bytes(*burst),
            rate_per_s: f64::from_le_bytes(*rate),
            steady_s: f64::from_le_bytes(*steady),
            version: u64::from_le_bytes(*version),
        };
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        let numbers = [terms.burst, terms.rate_per_s, terms.steady_s];
        numbers.into_iter().all(is_valid).then_some(Self {
            customer: CustomerId(u64::from_le_bytes(*customer)),
            id: u64::from_le_bytes(*id),
            returned,
            terms,
            wanted: u32::from_le_bytes(*wanted),
        })
    }
}

impl CreditReply {
    /// Writes the reply as one datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut datagram = vec![REPLY_TAG];
        datagram.extend_from_slice(&self.id.to_le_bytes());
        datagram.extend_from_slice(&self.grant.granted.to_le_bytes());
        let millis = u32::try_from(self.grant.wait.as_millis()).unwrap_or(u32::MAX);
        datagram.extend_from_slice(&millis.to_le_bytes());
        datagram
    }

    /// Reads a reply from a datagram; `None` if it holds none.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let rest = datagram.strip_prefix(&[REPLY_TAG])?;
        let (id, rest) = rest.split_first_chunk::<8>()?;
        let (granted, rest) = rest.split_first_chunk::<4>()?;
        let millis = u32::from_le_bytes(rest.try_into().ok()?);
        let grant = CreditGrant {
            granted: u32::from_le_bytes(*granted),
            wait: Duration::from_millis(millis.into()),
        };
        Some(Self { grant, id: u64::from_le_bytes(*id) })
    }
}

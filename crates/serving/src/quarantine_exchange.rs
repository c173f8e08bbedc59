//! Exchanges the knowledge of crashing prompt parts with other processes, by datagrams.
//!
//! Entries and keepers tell sidecars and keepers, which tell all from which they hear. Datagrams may
//! be lost or repeated: each holds records that merge in any order, news is repeated for some
//! seconds, and all quarantines are told from time to time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::QuarantineRecord;
use cv_policy::MonotonicTime;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;

use crate::quarantine_desk::QuarantineDesk;

/// First byte of a datagram with records.
const RECORDS_TAG: u8 = 7;

/// Most records in one datagram, which has about a hundred bytes for each.
const MAX_RECORDS: usize = 8;

/// Largest datagram that is received between processes, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Time between two rounds in which peers are told what is new.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Rounds after which peers are told of all quarantines.
const FULL_EXCHANGE_ROUNDS: u32 = 4;

/// Time after which a peer is told nothing more if it sends nothing.
const PEER_TTL: Duration = Duration::from_millis(3_500);

/// The addresses of peers in this process's directory.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirectoryPeers {
    /// Keepers, which learn by a datagram without records that this process wants to be told.
    pub keepers: Vec<SocketAddr>,
    /// Sidecars, which know that already.
    pub sidecars: Vec<SocketAddr>,
}

/// Exchanges records over one socket.
pub(crate) struct QuarantineExchange {
    clock: ProcessClock,
    desk: Rc<QuarantineDesk>,
    /// Peers that have sent something, sorted by address, with the time of the last datagram.
    heard: RefCell<Vec<(SocketAddr, MonotonicTime)>>,
    socket: Rc<UdpSocket>,
}

impl QuarantineExchange {
    /// Starts the task that tells peers; `directory` returns those that this process knows of.
    pub fn start(
        clock: ProcessClock,
        desk: Rc<QuarantineDesk>,
        socket: Rc<UdpSocket>,
        timers: &TimerService,
        directory: impl Fn() -> DirectoryPeers + 'static,
    ) -> Rc<Self> {
        let exchange = Rc::new(Self { clock, desk, heard: RefCell::default(), socket });
        let telling = Rc::clone(&exchange);
        let ticks = timers.subscribe(EXCHANGE_INTERVAL);
        monoio::spawn(async move {
            let mut rounds = 0_u32;
            loop {
                let is_round = monoio::select! {
                    _ = ticks.next() => true,
                    () = telling.desk.news() => false,
                };
                if is_round {
                    rounds = rounds.wrapping_add(1);
                    telling.desk.expire();
                }
                let is_full = is_round && rounds.is_multiple_of(FULL_EXCHANGE_ROUNDS);
                telling.tell_all(&directory(), is_full).await;
            }
        });
        exchange
    }

    /// Handles a datagram of a peer; returns whether it held records.
    pub async fn handle(&self, peer: SocketAddr, datagram: &[u8]) -> bool {
        let Some((&RECORDS_TAG, encoded)) = datagram.split_first() else {
            return false;
        };
        match postcard::from_bytes::<Vec<QuarantineRecord>>(encoded) {
            Ok(records) if records.is_empty() => {}
            Ok(records) => self.desk.merge(&records),
            Err(fault) => log::warn!("cannot decode records of {peer}, ignoring them: {fault}"),
        }
        self.note_peer(peer).await;
        true
    }

    /// Notes that a peer wants to be told; one that is new is told all at once.
    pub async fn note_peer(&self, peer: SocketAddr) {
        let now = self.clock.now();
        let is_new = {
            let mut heard = self.heard.borrow_mut();
            match heard.binary_search_by_key(&peer, |(address, _)| *address) {
                Ok(position) => {
                    let last = std::mem::replace(&mut heard[position].1, now);
                    now.since(last) >= PEER_TTL
                }
                Err(position) => {
                    heard.insert(position, (peer, now));
                    true
                }
            }
        };
        if is_new {
            for datagram in encode(&self.desk.records(true)) {
                self.send(datagram, peer).await;
            }
        }
    }

    /// Tells all peers what is new, or all quarantines if `is_full`.
    async fn tell_all(&self, directory: &DirectoryPeers, is_full: bool) {
        let now = self.clock.now();
        self.heard.borrow_mut().retain(|(_, last)| now.since(*last) < PEER_TTL);
        let datagrams = encode(&self.desk.records(is_full));
        let mut peers: Vec<SocketAddr> =
            self.heard.borrow().iter().map(|(peer, _)| *peer).collect();
        peers.extend(directory.sidecars.iter().chain(&directory.keepers));
        peers.sort_unstable();
        peers.dedup();
        for datagram in &datagrams {
            for peer in &peers {
                self.send(datagram.clone(), *peer).await;
            }
        }
        if datagrams.is_empty() {
            for keeper in &directory.keepers {
                self.send(encode_records(&[]), *keeper).await;
            }
        }
    }

    /// Sends a datagram; a lost one needs no retry, since a later one replaces it.
    async fn send(&self, datagram: Vec<u8>, peer: SocketAddr) {
        let _ = self.socket.send_to(datagram, peer).await;
    }
}

/// Encodes records into datagrams.
fn encode(records: &[QuarantineRecord]) -> Vec<Vec<u8>> {
    records.chunks(MAX_RECORDS).map(encode_records).collect()
}

/// Encodes a few records into one datagram.
fn encode_records(records: &[QuarantineRecord]) -> Vec<u8> {
    let mut datagram = vec![RECORDS_TAG];
    match postcard::to_stdvec(records) {
        Ok(encoded) => datagram.extend_from_slice(&encoded),
        Err(fault) => log::error!("cannot encode records, sending none: {fault}"),
    }
    datagram
}

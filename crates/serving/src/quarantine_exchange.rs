//! Exchanges the knowledge of what ends engines with other processes, by datagrams.
//!
//! Entries and keepers tell sidecars and keepers, which tell all from which they hear. Datagrams may
//! be lost or repeated: each holds records that merge in any order, news is repeated for some
//! seconds, and all quarantines are told from time to time.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::ArrivalDelay;
use cv_dispatch::QuarantineRecord;
use cv_dispatch::ThawDetector;
use cv_policy::MonotonicTime;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;

use crate::quarantine_desk::QuarantineDesk;

/// First byte of a datagram with records.
const RECORDS_TAG: u8 = 7;

/// Size of the sender's incarnation and time behind the tag, in bytes.
const HEAD_BYTES: usize = 12;

/// Most records in one datagram, which has about a hundred bytes for each.
const MAX_RECORDS: usize = 8;

/// Largest datagram that is received between processes, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Datagrams received before other tasks and timers get a turn.
pub(crate) const DATAGRAMS_PER_TURN: u32 = 64;

/// Time between two rounds in which peers are told what is new.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Rounds after which peers are told of all quarantines.
const FULL_EXCHANGE_ROUNDS: u32 = 4;

/// Time after which a peer is told nothing more if it sends nothing.
const PEER_TTL: Duration = Duration::from_millis(3_500);

/// Time for which the delay of a silent peer's datagrams is known.
const DELAY_LIFETIME: Duration = Duration::from_mins(2);

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
    /// Peers that have sent something, sorted by address.
    heard: RefCell<Vec<HeardPeer>>,
    /// Distinguishes this process from those before it at the same address.
    incarnation: u32,
    socket: Rc<UdpSocket>,
    thaw: Cell<ThawDetector>,
}

/// A peer that has sent something.
#[derive(Clone, Copy, Debug)]
struct HeardPeer {
    address: SocketAddr,
    /// Delay of its datagrams with records, once one has come.
    delay: Option<ArrivalDelay>,
    /// When the last datagram came.
    last: MonotonicTime,
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
        // Processes that start one after the other at an address do so at different times.
        let incarnation = clock.wall_millis() as u32;
        let heard = RefCell::default();
        let exchange =
            Rc::new(Self { clock, desk, heard, incarnation, socket, thaw: Cell::default() });
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
                    telling.record_tick();
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
        let Some((&RECORDS_TAG, rest)) = datagram.split_first() else {
            return false;
        };
        self.note_peer(peer).await;
        let Some((sender, encoded)) = rest.split_first_chunk::<HEAD_BYTES>() else {
            log::warn!("ignoring records of {peer}: the datagram ends within its head");
            return true;
        };
        if self.thaw.get().may_read_backlog(self.clock.now()) {
            // Peers repeat what still holds.
            return true;
        }
        let delay = self.record_delay(peer, sender);
        match postcard::from_bytes::<Vec<QuarantineRecord>>(encoded) {
            Ok(records) if records.is_empty() => {}
            Ok(records) => self.desk.merge(&records, delay),
            Err(fault) => log::warn!("cannot decode records of {peer}, ignoring them: {fault}"),
        }
        true
    }

    /// Records that a round is due, which a freeze of this process delays.
    fn record_tick(&self) {
        let mut thaw = self.thaw.get();
        thaw.tick(self.clock.now());
        self.thaw.set(thaw);
    }

    /// Returns how long a datagram was under way, by the sender's incarnation and time in it.
    fn record_delay(&self, peer: SocketAddr, sender: &[u8; HEAD_BYTES]) -> Duration {
        let [i0, i1, i2, i3, time @ ..] = sender;
        let incarnation = u32::from_le_bytes([*i0, *i1, *i2, *i3]);
        let sent_at = MonotonicTime::from_micros(u64::from_le_bytes(*time));
        let now = self.clock.now();
        let mut heard = self.heard.borrow_mut();
        let Ok(position) = heard.binary_search_by_key(&peer, |row| row.address) else {
            return Duration::ZERO;
        };
        let new = || ArrivalDelay::new(incarnation, sent_at, now);
        heard[position].delay.get_or_insert_with(new).record(incarnation, sent_at, now)
    }

    /// Notes that a peer wants to be told; one that is new is told all at once.
    pub async fn note_peer(&self, peer: SocketAddr) {
        let now = self.clock.now();
        let is_new = {
            let mut heard = self.heard.borrow_mut();
            match heard.binary_search_by_key(&peer, |row| row.address) {
                Ok(position) => {
                    let last = std::mem::replace(&mut heard[position].last, now);
                    now.since(last) >= PEER_TTL
                }
                Err(position) => {
                    heard.insert(position, HeardPeer { address: peer, delay: None, last: now });
                    true
                }
            }
        };
        if is_new {
            for datagram in self.encode(&self.desk.records(true)) {
                self.send(datagram, peer).await;
            }
        }
    }

    /// Tells all peers what is new, or all quarantines if `is_full`.
    async fn tell_all(&self, directory: &DirectoryPeers, is_full: bool) {
        let now = self.clock.now();
        // The delays of silent peers are kept for a while: a frozen process hears nothing, either.
        self.heard.borrow_mut().retain(|row| now.since(row.last) < DELAY_LIFETIME);
        let datagrams = self.encode(&self.desk.records(is_full));
        let is_current = |row: &&HeardPeer| now.since(row.last) < PEER_TTL;
        let mut peers: Vec<SocketAddr> =
            self.heard.borrow().iter().filter(is_current).map(|row| row.address).collect();
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
                self.send(self.encode_records(&[]), *keeper).await;
            }
        }
    }

    /// Sends a datagram; a lost one needs no retry, since a later one replaces it.
    async fn send(&self, datagram: Vec<u8>, peer: SocketAddr) {
        let _ = self.socket.send_to(datagram, peer).await;
    }

    /// Encodes records into datagrams. Those of items get datagrams of their own, since versions that do
    /// not know them cannot decode any record of a datagram with one.
    fn encode(&self, records: &[QuarantineRecord]) -> Vec<Vec<u8>> {
        let is_item = |record: &QuarantineRecord| record.subject.is_item_part();
        let groups = records.chunk_by(|left, right| is_item(left) == is_item(right));
        let datagrams = groups.flat_map(|records| records.chunks(MAX_RECORDS));
        datagrams.map(|records| self.encode_records(records)).collect()
    }

    /// Encodes a few records into one datagram.
    fn encode_records(&self, records: &[QuarantineRecord]) -> Vec<u8> {
        let mut datagram = vec![RECORDS_TAG];
        datagram.extend_from_slice(&self.incarnation.to_le_bytes());
        datagram.extend_from_slice(&self.clock.now().as_micros().to_le_bytes());
        match postcard::to_stdvec(records) {
            Ok(encoded) => datagram.extend_from_slice(&encoded),
            Err(fault) => log::error!("cannot encode records, sending none: {fault}"),
        }
        datagram
    }
}

//! Which target an online request goes to.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::SeededRandom;

use crate::TargetRow;
use crate::TargetTable;

/// Age at which a queue's reading no longer tells anything.
const READING_AGE: Duration = Duration::from_millis(1_500);

/// Targets that one choice compares.
const COMPARED: usize = 3;

/// Load in slots that a target of another availability zone has to be better by.
const ZONE_PENALTY: f64 = 0.6;

/// A request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Any number; parts targets that are equally good.
    pub seed: u64,
    /// Name of the service.
    pub service: &'a str,
    /// Targets that have already been tried.
    pub tried: &'a [String],
    /// Availability zone of this instance.
    pub zone: &'a str,
}

/// A chosen target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its identity.
    pub id: String,
    /// Whether its slots are believed to be taken by other online requests.
    pub is_full: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether the request goes through its sidecar.
    pub through_sidecar: bool,
}

/// Chooses the target with the least online load of a few, near ones first.
///
/// Readings are a tenth of a second old, so entries that all took the least loaded target of the
/// fleet would meet there. Each compares a few targets drawn by lot.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementPolicy;

impl PlacementPolicy {
    /// Chooses a target, or returns `None` if none is usable.
    #[must_use]
    pub fn choose(
        self,
        roster: &TargetTable,
        now: MonotonicTime,
        request: &PlacementRequest<'_>,
    ) -> Option<TargetChoice> {
        let usable = roster
            .rows()
            .iter()
            .filter(|row| row.record.service == request.service && row.is_usable(now));
        let mut usable: Vec<&TargetRow> = usable.collect();
        let usual = usual_load(&usable, now);
        usable.retain(|row| !request.tried.contains(&row.record.id));
        let mut random = SeededRandom::new(request.seed ^ request.tried.len() as u64);
        let mut best: Option<(f64, &TargetRow)> = None;
        for index in sample_indices(usable.len(), &mut random) {
            let row = usable[index];
            let cost = cost_of(row, now, usual, request);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, row));
            }
        }
        best.map(|(_, row)| TargetChoice {
            address: row.record.address,
            id: row.record.id.clone(),
            is_full: load_of(row, now, usual) >= f64::from(row.record.slots.max(1)),
            slots: row.record.slots,
            through_sidecar: row.has_sidecar(now),
        })
    }
}

/// Returns the mean online load of the targets that report theirs.
fn usual_load(rows: &[&TargetRow], now: MonotonicTime) -> f64 {
    let reporting = rows.iter().filter(|row| row.fresh_report(now, READING_AGE).is_some());
    let (mut count, mut total) = (0, 0);
    for row in reporting {
        count += 1;
        total += row.online_load(now, READING_AGE);
    }
    f64::from(total) / f64::from(count.max(1))
}

/// Estimates the online load of a target, in requests.
///
/// Of one without a sidecar, each entry sees only its own requests; the others send it as many as
/// they send elsewhere.
fn load_of(row: &TargetRow, now: MonotonicTime, usual: f64) -> f64 {
    let load = f64::from(row.online_load(now, READING_AGE));
    let is_known = row.fresh_report(now, READING_AGE).is_some() || row.has_sidecar(now);
    if is_known { load } else { load.max(usual) }
}

/// Returns the load of a target in slots, worse for one of another availability zone.
fn cost_of(row: &TargetRow, now: MonotonicTime, usual: f64, request: &PlacementRequest<'_>) -> f64 {
    let load = load_of(row, now, usual);
    let share = load / f64::from(row.record.slots.max(1)) * 8.0;
    if row.record.zone == request.zone { share } else { share + ZONE_PENALTY }
}

/// Draws the targets to compare, in the order of the lot.
fn sample_indices(count: usize, random: &mut SeededRandom) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..count).collect();
    let drawn = count.min(COMPARED);
    for place in 0..drawn {
        indices.swap(place, place + random.below(count - place));
    }
    indices.truncate(drawn);
    indices
}

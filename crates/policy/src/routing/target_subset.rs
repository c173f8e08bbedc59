//! Which targets an entry talks to.

use super::TargetListing;
use crate::stable_hash;

/// Targets of one service that an entry talks to at the least, where there are so many.
const MIN_TARGETS: usize = 40;

/// Entries that talk to each target on average, so that hardly any target is left out by chance.
const COVERAGE: usize = 16;

/// Status calls a second that an entry makes however many targets it has.
const MIN_STATUS_CALLS: f64 = 7.0;

/// Status calls a second times targets: few targets are asked often, many in turn.
const STATUS_CALLS_TIMES_TARGETS: f64 = 1_500.0;

/// Returns the status calls a second that an entry with so many targets makes at the most.
#[must_use]
pub fn status_calls_per_second(targets: usize) -> f64 {
    (STATUS_CALLS_TIMES_TARGETS / targets.max(1) as f64).max(MIN_STATUS_CALLS)
}

/// Returns the number of targets of a service that each of so many entries talks to.
#[must_use]
pub fn subset_size(targets: usize, entries: usize) -> usize {
    let covering = (targets * COVERAGE).div_ceil(entries.max(1));
    covering.max(MIN_TARGETS).min(targets)
}

/// Picks the targets that one of so many entries talks to, service by service.
///
/// The subset depends on names alone, so it is the same after a restart, and a target that joins or
/// leaves changes few others. Half of it comes from the entry's own zone as far as that has enough.
#[must_use]
pub fn pick_subset(
    entry: &str,
    zone: &str,
    entries: usize,
    listings: &[TargetListing],
) -> Vec<TargetListing> {
    let mut services: Vec<&str> = listings.iter().map(|row| row.service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    let mut picked = Vec::new();
    for service in services {
        let of_service: Vec<&TargetListing> =
            listings.iter().filter(|row| row.service == service).collect();
        picked.extend(pick_of_service(entry, zone, entries, of_service).into_iter().cloned());
    }
    picked
}

/// Picks among the targets of one service.
fn pick_of_service<'l>(
    entry: &str,
    zone: &str,
    entries: usize,
    mut listings: Vec<&'l TargetListing>,
) -> Vec<&'l TargetListing> {
    let size = subset_size(listings.len(), entries);
    if listings.len() <= size {
        return listings;
    }
    listings.sort_by_cached_key(|row| stable_hash(&[entry, &row.name]));
    let near = listings.iter().copied().filter(|row| row.zone == zone);
    let mut picked: Vec<&TargetListing> = near.take(size / 2).collect();
    for row in listings {
        if picked.len() == size {
            break;
        }
        if !picked.iter().any(|known| known.name == row.name) {
            picked.push(row);
        }
    }
    picked
}

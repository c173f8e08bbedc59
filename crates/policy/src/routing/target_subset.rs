//! Subsetting: the targets to which an entry connects.

use super::TargetListing;
use crate::stable_hash;

/// Minimum number of targets of a service in a subset, if the service has as many.
const MIN_TARGETS: usize = 40;

/// Average number of entries per target, high enough that a target without any is unlikely.
const ENTRIES_PER_TARGET: usize = 16;

/// Status polls per second of an entry with a large number of targets.
const MIN_STATUS_POLLS: f64 = 7.0;

/// Product of an entry's status polls per second and its number of targets. Few targets are polled
/// often, many in turn.
const STATUS_POLLS_TIMES_TARGETS: f64 = 1_500.0;

/// Returns the maximum number of status polls per second of an entry with `targets` targets.
#[must_use]
pub fn status_polls_per_second(targets: usize) -> f64 {
    (STATUS_POLLS_TIMES_TARGETS / targets.max(1) as f64).max(MIN_STATUS_POLLS)
}

/// Returns the size of each entry's subset of a service's targets.
#[must_use]
pub fn subset_size(targets: usize, entries: usize) -> usize {
    let covering = (targets * ENTRIES_PER_TARGET).div_ceil(entries.max(1));
    covering.max(MIN_TARGETS).min(targets)
}

/// Returns the subset of targets for one of `entries` entries, service by service.
///
/// The subset depends on names only, so it is the same after a restart, and a target that joins or
/// leaves changes few others. Up to half of it comes from the entry's own zone.
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

/// Returns the subset of the targets of one service.
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
    let local = listings.iter().copied().filter(|row| row.zone == zone);
    let mut picked: Vec<&TargetListing> = local.take(size / 2).collect();
    for row in listings {
        if picked.len() == size {
            break;
        }
        if !picked.iter().any(|other| other.name == row.name) {
            picked.push(row);
        }
    }
    picked
}

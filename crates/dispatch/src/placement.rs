//! Choice of the target for an online request.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::SeededRandom;
use cv_policy::stable_hash;

use crate::QuarantineSubject;
use crate::TargetHold;
use crate::TargetRow;
use crate::TargetTable;
use crate::TargetValue;

/// Age above which a load report is ignored.
pub(crate) const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Number of random candidates that one choice compares.
const CANDIDATES: usize = 3;

/// Cost of a target in another availability zone, in requests on a target of eight slots.
const ZONE_PENALTY: f64 = 0.6;

/// Cost of a target all of whose responses fail, in requests on a target of eight slots.
const FAILURE_COST: f64 = 16.0;

/// Cost of such a target for a request that is lost if it fails.
const LOSS_COST: f64 = 64.0;

/// Probability that a request which may be repeated goes to a target that is held back, if that
/// waits for a trial. An entry does not know how many others there are; the trials are limited by
/// the responses that the target's sidecar reports.
const TRIAL_PROBABILITY: f64 = 0.2;

/// Recent responses of a target that is held back below which it gets a trial.
const MIN_TRIED_RESPONSES: f64 = 2.5;

/// An online request for which a target is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Whether the request goes on to another target if this attempt fails.
    pub may_fail: bool,
    /// Seed of the random choice of candidates.
    pub seed: u64,
    /// Name of the service.
    pub service: &'a str,
    /// Ids of the targets that have already been tried.
    pub tried: &'a [String],
    /// Availability zone of this instance.
    pub zone: &'a str,
}

/// A chosen target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its id.
    pub id: String,
    /// Whether other online requests probably take all its slots.
    pub is_full: bool,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether the request goes through its sidecar.
    pub through_sidecar: bool,
}

/// Chooses the least loaded of a few random targets, preferring this instance's availability zone.
///
/// Load reports are up to a tenth of a second old, so entries that all chose the least loaded
/// target of the fleet would overload it together. Each entry compares a few random candidates
/// instead.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementPolicy;

impl PlacementPolicy {
    /// Chooses a target, or returns `None` if none is usable.
    #[must_use]
    pub fn choose(
        self,
        targets: &TargetTable,
        now: MonotonicTime,
        request: &PlacementRequest<'_>,
    ) -> Option<TargetChoice> {
        let usable = targets
            .rows()
            .iter()
            .filter(|row| row.record.service == request.service && row.is_usable(now));
        let mut usable: Vec<&TargetRow> = usable.collect();
        let mean_load = mean_reported_load(&usable, now);
        let weight = targets.pace_weight(request.service);
        let value = TargetValue::new(&usable, now).with_weight(weight);
        usable.retain(|row| !request.tried.contains(&row.record.id));
        let mut random = SeededRandom::new(request.seed ^ request.tried.len() as u64);
        let hold = TargetHold::new(targets, request.service, now);
        if !hold.is_empty() {
            if let Some(row) = trial_target(&usable, &hold, now, request, &mut random) {
                return Some(target_choice(row, now, mean_load));
            }
            leave_held(&mut usable, &hold, request);
        }
        if let Some(share) = targets.away_share(request.service) {
            let goes_away = random.fraction() < share;
            leave_other_zones(&mut usable, goes_away, request);
        }
        let mut best: Option<(f64, &TargetRow)> = None;
        for index in candidate_indices(usable.len(), CANDIDATES, &mut random) {
            let row = usable[index];
            let cost = placement_cost(row, now, mean_load, value, request);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, row));
            }
        }
        best.map(|(_, row)| target_choice(row, now, mean_load))
    }

    /// Chooses up to `count` targets with sidecars at which the request places reservations: the
    /// least loaded of twice as many random ones, so that the other entries choose others.
    #[must_use]
    pub fn choose_for_reservations(
        self,
        targets: &TargetTable,
        now: MonotonicTime,
        request: &PlacementRequest<'_>,
        count: usize,
    ) -> Vec<TargetChoice> {
        let usable = targets.rows().iter().filter(|row| {
            row.record.service == request.service
                && row.is_usable(now)
                && row.has_sidecar(now)
                && !request.tried.contains(&row.record.id)
        });
        let mut usable: Vec<&TargetRow> = usable.collect();
        let mean_load = mean_reported_load(&usable, now);
        let weight = targets.pace_weight(request.service);
        let value = TargetValue::new(&usable, now).with_weight(weight);
        let hold = TargetHold::new(targets, request.service, now);
        leave_held(&mut usable, &hold, request);
        let mut random = SeededRandom::new(request.seed ^ request.tried.len() as u64);
        let indices = candidate_indices(usable.len(), 2 * count, &mut random);
        let mut candidates: Vec<(f64, &TargetRow)> = indices
            .into_iter()
            .map(|index| {
                (placement_cost(usable[index], now, mean_load, value, request), usable[index])
            })
            .collect();
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut chosen: Vec<TargetChoice> = Vec::new();
        for (_, row) in candidates {
            // A target that is gone may still be listed at the address of a new one.
            let address = row.record.address;
            if chosen.len() < count && chosen.iter().all(|choice| choice.address != address) {
                chosen.push(target_choice(row, now, mean_load));
            }
        }
        chosen
    }

    /// Chooses the target whose sidecar runs the next trial of a subject in quarantine, the same for all
    /// processes that know the same targets. With each turn another one does, since a target that
    /// looks usable may still answer nothing.
    #[must_use]
    pub fn choose_for_trial(
        self,
        targets: &TargetTable,
        now: MonotonicTime,
        service: &str,
        subject: QuarantineSubject,
        turn: usize,
    ) -> Option<TargetChoice> {
        let usable = targets.rows().iter().filter(|row| {
            row.record.service == service && row.is_usable(now) && row.has_sidecar(now)
        });
        let mut usable: Vec<&TargetRow> = usable.collect();
        usable.sort_by_cached_key(|row| {
            let address = row.record.address.to_string();
            stable_hash(&[&subject.to_string(), &address])
        });
        let position = turn.checked_rem(usable.len())?;
        Some(target_choice(usable[position], now, 0.0))
    }
}

/// Returns the target that is held back and gets the request as a trial, if one is due.
fn trial_target<'a>(
    usable: &[&'a TargetRow],
    hold: &TargetHold<'_>,
    now: MonotonicTime,
    request: &PlacementRequest<'_>,
    random: &mut SeededRandom,
) -> Option<&'a TargetRow> {
    if !request.may_fail || random.fraction() >= TRIAL_PROBABILITY {
        return None;
    }
    let due = usable.iter().filter(|row| {
        hold.contains(row) && row.in_flight == 0 && row.recent_responses(now) < MIN_TRIED_RESPONSES
    });
    let due: Vec<&&TargetRow> = due.collect();
    (!due.is_empty()).then(|| *due[random.below(due.len())])
}

/// Removes the targets that are held back. A request that may be repeated gets one of them if there
/// is no other; one that may run only once is refused instead, since another target that is busy
/// now serves it later.
fn leave_held(usable: &mut Vec<&TargetRow>, hold: &TargetHold<'_>, request: &PlacementRequest<'_>) {
    let is_other_left = usable.iter().any(|row| !hold.contains(row));
    if is_other_left || !request.may_fail {
        usable.retain(|row| !hold.contains(row));
    }
}

/// Removes the targets of the other zones, or of this instance's zone for a request that goes away,
/// unless no target would be left.
fn leave_other_zones(
    usable: &mut Vec<&TargetRow>,
    goes_away: bool,
    request: &PlacementRequest<'_>,
) {
    let is_kept = |row: &&TargetRow| (row.record.zone == request.zone) != goes_away;
    if usable.iter().any(is_kept) {
        usable.retain(is_kept);
    }
}

/// Describes a target as the choice for a request.
fn target_choice(row: &TargetRow, now: MonotonicTime, mean_load: f64) -> TargetChoice {
    TargetChoice {
        address: row.record.address,
        id: row.record.id.clone(),
        is_full: estimated_load(row, now, mean_load) >= f64::from(row.record.slots.max(1)),
        slots: row.record.slots,
        through_sidecar: row.has_sidecar(now),
    }
}

/// Returns the mean online load of the targets with a fresh load report, in requests.
fn mean_reported_load(rows: &[&TargetRow], now: MonotonicTime) -> f64 {
    let reporting = rows.iter().filter(|row| row.fresh_report(now, MAX_REPORT_AGE).is_some());
    let (mut count, mut total) = (0, 0);
    for row in reporting {
        count += 1;
        total += row.online_load(now, MAX_REPORT_AGE);
    }
    f64::from(total) / f64::from(count.max(1))
}

/// Estimates the online load of a target, in requests.
///
/// An entry sees only its own requests to a target without load reports. Since other entries send
/// requests there too, the load counts as at least the mean of the other targets.
fn estimated_load(row: &TargetRow, now: MonotonicTime, mean_load: f64) -> f64 {
    let load = f64::from(row.online_load(now, MAX_REPORT_AGE));
    let is_known = row.fresh_report(now, MAX_REPORT_AGE).is_some() || row.has_sidecar(now);
    if is_known { load } else { load.max(mean_load) }
}

/// Returns the expected time at a target, see [`TargetValue::expected_time`], plus the penalties for
/// failed responses and for another zone.
fn placement_cost(
    row: &TargetRow,
    now: MonotonicTime,
    mean_load: f64,
    value: TargetValue,
    request: &PlacementRequest<'_>,
) -> f64 {
    let load = estimated_load(row, now, mean_load);
    let failure_cost = if request.may_fail { FAILURE_COST } else { LOSS_COST };
    let scaled_load = load / f64::from(row.record.slots.max(1)) * 8.0;
    let time = value.expected_time(row, now, scaled_load);
    let cost = time + failure_cost * row.failure_share(now);
    if row.record.zone == request.zone { cost } else { cost + ZONE_PENALTY }
}

/// Draws up to `wanted` distinct random indices below `count` by a partial Fisher-Yates shuffle.
fn candidate_indices(count: usize, wanted: usize, random: &mut SeededRandom) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..count).collect();
    let chosen = count.min(wanted);
    for index in 0..chosen {
        indices.swap(index, index + random.below(count - index));
    }
    indices.truncate(chosen);
    indices
}

//! The shares of requests that an entry sends to other zones, by service.

use cv_policy::MonotonicTime;

use crate::TargetRow;
use crate::TargetValue;
use crate::ZoneChoice;
use crate::ZoneLoad;
use crate::ZoneTerms;
use crate::placement::MAX_REPORT_AGE;

/// Share from which on a service is reported as one whose requests go to other zones.
const MIN_REPORTED_SHARE: f64 = 0.05;

/// The choices of one entry between its zone and the others.
#[derive(Clone, Debug)]
pub struct ZoneShares {
    /// Sorted by service.
    choices: Vec<(String, ZoneChoice)>,
    /// Services whose requests are known to go to other zones, sorted.
    leaving: Vec<String>,
    terms: ZoneTerms,
    /// The entry's zone.
    zone: String,
}

impl ZoneShares {
    /// Creates the choices of an entry in a zone.
    #[must_use]
    pub fn new(zone: &str, terms: ZoneTerms) -> Self {
        Self { choices: Vec::new(), leaving: Vec::new(), terms, zone: zone.to_owned() }
    }

    /// Returns the share of a service's requests that goes to other zones, from 0 to 1.
    #[must_use]
    pub fn share(&self, service: &str) -> f64 {
        self.position(service).map_or(0.0, |position| self.choices[position].1.share())
    }

    /// Moves the share of a service by the loads of its targets.
    pub fn step(&mut self, rows: &[TargetRow], service: &str, now: MonotonicTime) {
        // Reports come much more often than the share moves.
        if self.position(service).is_ok_and(|position| !self.choices[position].1.is_due(now)) {
            return;
        }
        let usable = rows.iter().filter(|row| {
            row.record.service == service
                && row.is_usable(now)
                && row.fresh_report(now, MAX_REPORT_AGE).is_some()
        });
        let usable: Vec<&TargetRow> = usable.collect();
        let value = TargetValue::new(&usable, now);
        let (mut home, mut away) = (ZoneLoad::default(), ZoneLoad::default());
        for row in usable {
            let zone = if row.record.zone == self.zone { &mut home } else { &mut away };
            zone.load += f64::from(row.online_load(now, MAX_REPORT_AGE));
            zone.slots += f64::from(row.record.slots) / value.pace(row, now);
            zone.run_ms = value.mean_run_ms();
        }
        if home.slots <= 0.0 || away.slots <= 0.0 {
            return;
        }
        let position = self.position(service).unwrap_or_else(|position| {
            self.choices.insert(position, (service.to_owned(), ZoneChoice::new(self.terms)));
            position
        });
        self.choices[position].1.step(now, &home, &away);
    }

    /// Returns the services whose requests have begun to go to other zones since the last call, or no
    /// longer do, with their shares.
    pub fn take_changes(&mut self) -> Vec<(String, f64)> {
        let mut changes = Vec::new();
        for (service, choice) in &self.choices {
            match self.leaving.binary_search(service) {
                Err(position) if choice.share() >= MIN_REPORTED_SHARE => {
                    self.leaving.insert(position, service.clone());
                }
                Ok(position) if choice.share() <= 0.0 => drop(self.leaving.remove(position)),
                _ => continue,
            }
            changes.push((service.clone(), choice.share()));
        }
        changes
    }

    /// Returns the index of a service, or the index at which to insert it.
    fn position(&self, service: &str) -> Result<usize, usize> {
        self.choices.binary_search_by(|(other, _)| other.as_str().cmp(service))
    }
}

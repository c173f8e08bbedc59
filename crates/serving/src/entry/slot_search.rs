//! Waits for the first free slot of a few targets.

use std::time::Duration;
use std::time::Instant;

use cv_dispatch::PlacementPolicy;
use cv_dispatch::PlacementRequest;
use cv_dispatch::TargetChoice;
use cv_dispatch::WaitPolicy;
use cv_http::ServerExchange;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;

use crate::PlatformAdapter;
use crate::ReservationTerms;
use crate::entry::placed_reservations::PlacedReservations;
use crate::entry::request_conclusion::RequestConclusion;
use crate::entry::request_context::RequestContext;

/// Sidecars at which a request that finds no free slot places reservations.
const RESERVATIONS: usize = 4;

/// A request that finds no free slot and places reservations.
pub(crate) struct SlotSearch<'c, 'a, P> {
    /// The request.
    pub context: &'c mut RequestContext<'a, P>,
    /// Seed of the choice of targets.
    pub random: u64,
    /// Name of the service.
    pub service: &'c str,
}

/// How the reservations of a request ended.
pub(crate) enum ReservationOutcome {
    /// A sidecar keeps a slot of this target free.
    Granted(TargetChoice, PlacedReservations),
    /// No sidecar will have a slot in time.
    Denied,
    /// The caller has gone away.
    CallerGone,
    /// No target has a sidecar.
    Unavailable,
}

impl<P: PlatformAdapter> SlotSearch<'_, '_, P> {
    /// Places reservations at a few sidecars and waits for the first slot that is granted.
    pub async fn reserve(&mut self, exchange: &mut ServerExchange<'_>) -> ReservationOutcome {
        let candidates = self.choose_for_reservations();
        if candidates.is_empty() {
            return ReservationOutcome::Unavailable;
        }
        let placed_at = Instant::now();
        let mut placed = self.place_reservations(&candidates).await;
        let granted = monoio::select! {
            granted = placed.granted() => granted,
            () = exchange.closed() => {
                RequestConclusion { context: self.context }.record_abandoned();
                return ReservationOutcome::CallerGone;
            }
        };
        self.record_reservations(&candidates, granted, placed_at.elapsed());
        let Some(index) = granted else {
            self.context.tried_targets.extend(candidates.into_iter().map(|choice| choice.id));
            return ReservationOutcome::Denied;
        };
        placed.release_others().await;
        ReservationOutcome::Granted(candidates[index].clone(), placed)
    }

    /// Records where the request waited for a slot, for how long, and which target granted one.
    fn record_reservations(
        &self,
        candidates: &[TargetChoice],
        granted: Option<usize>,
        waited: Duration,
    ) {
        let handler = self.context.handler;
        let outcomes = &handler.metrics;
        match granted {
            Some(_) => outcomes.reservations_granted.inc(),
            None => outcomes.reservations_denied.inc(),
        }
        let subject = self.context.subject();
        handler.view.log.record(LinePriority::Routine, EventKind::AttemptQueued, subject, || {
            let target = granted.map_or("none", |index| candidates[index].id.as_str());
            let ids: Vec<&str> = candidates.iter().map(|choice| choice.id.as_str()).collect();
            let waited_ms = waited.as_millis();
            format!("granted={target} at={} waited_ms={waited_ms}", ids.join(","))
        });
    }

    /// Chooses the targets at which the request places reservations.
    fn choose_for_reservations(&self) -> Vec<TargetChoice> {
        let view = &self.context.handler.view;
        let zone = &self.context.handler.identity.zone;
        let request = PlacementRequest {
            may_fail: self.context.may_fail(),
            seed: self.random,
            service: self.service,
            tried: &self.context.tried_targets,
            zone,
        };
        let now = view.clock.now();
        view.with_targets(|targets| {
            PlacementPolicy.choose_for_reservations(targets, now, &request, RESERVATIONS)
        })
    }

    /// Places reservations at the sidecars of the given targets.
    async fn place_reservations(&self, choices: &[TargetChoice]) -> PlacedReservations {
        let identity = &self.context.handler.identity;
        let sidecars = choices.iter().map(|choice| identity.sidecar_address(choice.address));
        let terms = ReservationTerms {
            max_expected_wait: self.context.max_expected_wait(),
            objective_left: self.context.objective_left(),
            queue_timeout: WaitPolicy.queue_timeout(self.context.time_left()),
            queues: choices.len() as u8,
            share: self.context.share_key(),
        };
        self.context.handler.reservations.place(sidecars.collect(), terms).await
    }
}

//! Paces of engines and models: exchanges observations and estimates paces.
//!
//! As with limits, each gateway computes estimates for itself if all gateways
//! exchange heartbeats, and with hubs each hub computes them for its group.

use std::sync::Arc;

use valehold_core::{
    Millis,
    fleet::paces::{
        AdvertisedPaces, PaceEstimator, PaceObservation, PaceUpdate,
    },
};

use super::Control;

/// Estimated and advertised paces of engines and models.
#[derive(Debug, Default)]
pub(super) struct PaceState {
    estimator: PaceEstimator,
    advertised: AdvertisedPaces,
}

impl Control {
    /// Updates the estimates from observations of gateways.
    pub(super) fn learn_paces(
        &mut self,
        observations: &[PaceObservation],
        now: Millis,
    ) {
        self.paces.estimator.learn(observations, now);
    }

    /// Returns the observations of this gateway for its heartbeat. With hubs
    /// the list is empty: load reports between heartbeats carry the
    /// observations.
    pub(super) fn paces_for_heartbeat(&self) -> Vec<PaceObservation> {
        match self.roster.has_hubs() {
            true => Vec::new(),
            false => self.shared.pace_observations(),
        }
    }

    /// Updates the estimates with the observations of this gateway, applies
    /// changes to traffic and returns them. Called on gateways that receive
    /// the observations of all others of the group.
    pub(super) fn update_paces(&mut self, now: Millis) -> PaceUpdate {
        let own = self.shared.take_pace_observations();
        self.learn_paces(&own, now);
        self.paces.estimator.prune(now);
        let paces = self.paces.estimator.paces(now);
        let update = self.paces.advertised.next_update(paces, now);
        self.apply_paces(&update, now);
        update
    }

    /// Applies a hub's estimates to traffic.
    pub(super) fn apply_paces(&mut self, update: &PaceUpdate, now: Millis) {
        let mut paces = (*self.shared.paces.load_full()).clone();
        paces.apply(update);
        // Keeps the estimates in case this gateway becomes a hub.
        self.paces.estimator.adopt(&paces, now);
        self.shared.paces.store(Arc::new(paces));
    }
}

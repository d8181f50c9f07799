//! How fast engines and models are: what is told of it, and what is learned.
//!
//! As with limits, each gateway learns for itself where all hear all, and the
//! hubs learn for their groups where these sum up.

use std::sync::Arc;

use valehold_core::{
    Millis,
    fleet::paces::{
        AdvertisedPaces, PaceEstimator, PaceObservation, PaceUpdate,
    },
};

use super::Control;

/// What control keeps of engines' and models' paces.
#[derive(Debug, Default)]
pub(super) struct PaceDuty {
    book: PaceEstimator,
    told: AdvertisedPaces,
}

impl Control {
    /// Learns from what gateways saw.
    pub(super) fn learn_paces(
        &mut self,
        seen: &[PaceObservation],
        now: Millis,
    ) {
        self.paces.book.learn(seen, now);
    }

    /// Returns what this gateway saw, for its heartbeat: where hubs sum up they
    /// hear it in between.
    pub(super) fn paces_to_tell(&self) -> Vec<PaceObservation> {
        match self.roster.has_hubs() {
            true => Vec::new(),
            false => self.shared.pace_observations(),
        }
    }

    /// As one that hears all others of its group, returns what is new of what
    /// was learned, and lets traffic go by it.
    pub(super) fn pace_news(&mut self, now: Millis) -> PaceUpdate {
        let own = self.shared.take_pace_observations();
        self.learn_paces(&own, now);
        self.paces.book.prune(now);
        let paces = self.paces.book.paces(now);
        let news = self.paces.told.next_update(paces, now);
        self.hear_paces(&news, now);
        news
    }

    /// Lets traffic go by what a hub learned.
    pub(super) fn hear_paces(&mut self, news: &PaceUpdate, now: Millis) {
        let mut paces = (*self.shared.paces.load_full()).clone();
        paces.apply(news);
        // This gateway may be a hub later.
        self.paces.book.adopt(&paces, now);
        self.shared.paces.store(Arc::new(paces));
    }
}

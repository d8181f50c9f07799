//! Taking in what is said of upstreams.

use valehold_core::{
    Millis,
    fleet::{Listing, ListingDelta},
};
use valehold_ports::port::fleet::ListingNews;

use super::Control;
use crate::{events::Event, peers::message::Message};

impl Control {
    /// Takes in a whole list.
    pub(super) fn list(&mut self, listing: Listing, now: Millis) {
        let after_outage = self.store_presence.has_just_recovered(now);
        let words = self.words_of_cold(&listing);
        let (version, known) = (listing.version, self.upstreams.version());
        if version < known {
            Event::ListLeftOut { version, known }.log();
        }
        if self.upstreams.replace(listing, after_outage, now) {
            self.hear_cold(&words, now);
            self.list_changed();
            self.live();
        }
    }

    /// Takes in what the store's watch brought, and passes it on.
    pub(super) fn list_changes(&mut self, news: ListingNews, now: Millis) {
        let ListingNews::Changed { version, changed, gone, .. } = news else {
            return;
        };
        let Some(version) = version else { return };
        let changed = self.without_cooling(changed, now);
        let before = self.upstreams.version();
        let after_outage = self.store_presence.has_just_recovered(now);
        let delta = ListingDelta {
            base_version: before,
            version,
            changed,
            removed: gone,
            after_outage,
        };
        if self.take_delta(&delta, now) {
            self.send_all(&Message::Listed(delta));
        }
    }

    /// Takes in changes of the list; tells whether they were new.
    pub(super) fn take_delta(
        &mut self,
        delta: &ListingDelta,
        now: Millis,
    ) -> bool {
        let is_new = self.upstreams.apply(delta, now);
        if is_new {
            self.hear_cold(&delta.changed, now);
            self.list_changed();
        }
        is_new
    }

    fn list_changed(&mut self) {
        self.watch_orders.known.set(self.upstreams.version());
    }

    /// Tells what engines hold since orders at once, but where gateways are
    /// very many: orders end there a hundred times a second, and all that have
    /// ended are told together when time passes next.
    pub(super) fn spread_news_if_few(&mut self, now: Millis) {
        if !self.roster.has_many_groups() {
            self.spread_news(now);
        }
    }

    /// Tells peers, and traffic here, what engines hold since orders.
    pub(super) fn spread_news(&mut self, now: Millis) {
        if self.lease.borrow().held_epoch(now).is_none() {
            return;
        }
        let news = self.placer.holdings_unknown_to(&self.upstreams, now);
        if news.is_empty() {
            return;
        }
        let message = Message::Holdings(news.clone());
        self.send_all(&message);
        self.upstreams.receive_holdings(news, now);
    }
}

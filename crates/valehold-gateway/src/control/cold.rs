//! Which upstreams are cold, and who may send to them and to those in need.

use std::{net::SocketAddr, sync::Arc};

use valehold_core::{
    Millis,
    fleet::{
        Listing, Upstream,
        catalog::ColdSpec,
        cold::{PermitReply, PermitRequest},
        upstream_limit::LimitReport,
    },
    id::{DataCentreId, UpstreamId},
};

use super::Control;
use crate::peers::message::Message;

/// In how many ms to ask again for an upstream that this gateway does not know
/// yet, or of which it does not know what it bears while it is cold.
const NOT_KNOWN_MS: u32 = 200;

impl Control {
    /// Takes in what entries say of whether upstreams are cold.
    pub(super) fn hear_cold(
        &mut self,
        entries: &[Arc<Upstream>],
        now: Millis,
    ) {
        let mut book = self.shared.cold();
        for entry in entries {
            let spec = self.cold_spec(entry);
            let lasts_ms = spec.map_or(0, |spec| spec.lasts_ms);
            book.estimate.update(entry, lasts_ms, now);
        }
    }

    /// Returns the entries of a whole list that say something else of whether
    /// upstreams are cold than what is known: the list may be a peer's, and
    /// what it says as old as the last change.
    pub(super) fn words_of_cold(
        &self,
        listing: &Listing,
    ) -> Vec<Arc<Upstream>> {
        let known = &self.upstreams.listing().upstreams;
        let differs = |entry: &&Arc<Upstream>| {
            known.get(&entry.id).is_none_or(|known| {
                (known.cold_for_ms, known.started_at_ms)
                    != (entry.cold_for_ms, entry.started_at_ms)
            })
        };
        listing.upstreams.values().filter(differs).cloned().collect()
    }

    /// Notes that the upstreams of a data centre may have become cold, since it
    /// was evacuated until just now.
    pub(super) fn may_have_cooled(
        &self,
        data_centre: &DataCentreId,
        now: Millis,
    ) {
        let mut book = self.shared.cold();
        let all = self.upstreams.listing().upstreams.values();
        for upstream in all.filter(|one| one.data_centre == *data_centre) {
            let lasts_ms = self.cold_spec(upstream).map_or(0, |s| s.lasts_ms);
            book.estimate.mark_possibly_cold(&upstream.id, lasts_ms, 0, now);
        }
    }

    /// Leaves out entries in which nothing changed but that an upstream is
    /// cold for less time than before, as everybody expects.
    ///
    /// Cold upstreams change their entries with each heartbeat. Passed on, a
    /// data centre of 100 that comes back would be some 30 KB to each gateway
    /// a heartbeat.
    pub(super) fn without_cooling(
        &self,
        mut changed: Vec<Arc<Upstream>>,
        now: Millis,
    ) -> Vec<Arc<Upstream>> {
        let book = self.shared.cold();
        changed.retain(|entry| {
            let known = self.upstreams.listed(&entry.id);
            let is_expected = |known: &Arc<Upstream>| {
                book.estimate.is_expected(known, entry, now)
            };
            !known.is_some_and(is_expected)
        });
        changed
    }

    fn cold_spec(&self, upstream: &Upstream) -> Option<&ColdSpec> {
        let services = &self.catalog.as_ref()?.services;
        services.get(&upstream.service)?.cold.as_ref()
    }

    /// Takes in which gateways are there.
    pub(super) fn hear_members(&mut self, now: Millis) {
        let staying = self.roster.staying();
        let are_most = self.limits.hears_most();
        self.grantor.update_members(&staying, are_most, now);
        self.grantor.prune(now);
    }

    /// Asks for the right to send to an upstream that is cold or in need.
    pub(super) fn ask_right(&mut self, ask: PermitRequest) {
        let now = self.now();
        let own = self.shared.settings.peers.heartbeats;
        let is_cold = self.shared.cold().estimate.is_cold(&ask.upstream, now);
        let limit = self.limit_of(&ask.upstream);
        match self.grantor.grantor_of(&ask.upstream) {
            Some(grantor) if grantor != own => {
                let ask =
                    Message::PermitRequest { request: ask, is_cold, limit };
                self.send([grantor], &ask);
            }
            _ => {
                let answer = self.right(&ask.upstream, is_cold, now);
                let mut book = self.shared.cold();
                book.permits.on_reply(ask.number, answer, now);
            }
        }
    }

    /// Answers a gateway that asks for the right to send to an upstream.
    pub(super) fn answer_right(
        &mut self,
        from: SocketAddr,
        ask: &PermitRequest,
        is_cold: bool,
        known: Option<&LimitReport>,
        now: Millis,
    ) {
        let answer = self.right(&ask.upstream, is_cold, now);
        let limit = self.limit_of(&ask.upstream);
        let limit = limit.filter(|limit| known != Some(limit));
        let number = ask.number;
        self.send(
            [from],
            &Message::PermitReply { number, reply: answer, limit },
        );
    }

    /// Returns whether a request may be sent to an upstream: one that is
    /// neither cold nor in need takes what comes.
    fn right(
        &mut self,
        id: &UpstreamId,
        is_cold: bool,
        now: Millis,
    ) -> PermitReply {
        let known = self.upstreams.listing().upstreams.get(id);
        let Some(known) = known.cloned() else {
            return PermitReply::Denied { retry_after_ms: NOT_KNOWN_MS };
        };
        if is_cold {
            let bound = self.shared.settings.cold.bound();
            let Some(spec) = self.cold_spec(&known) else {
                return PermitReply::Denied { retry_after_ms: NOT_KNOWN_MS };
            };
            let most = bound.permits_per_window(spec);
            let answer = self.grantor.answer(id, most, now);
            if answer != PermitReply::Granted {
                return answer;
            }
        }
        let rate = self.shared.upstream_limits().rate(&known.start());
        match rate {
            Some(rate) => self.grantor.answer_limited(id, rate, now),
            None => PermitReply::Granted,
        }
    }

    /// Returns what this gateway knows of the limit of an upstream.
    fn limit_of(&self, id: &UpstreamId) -> Option<LimitReport> {
        let known = self.upstreams.listing().upstreams.get(id)?;
        self.shared.upstream_limits().report(&known.start()).cloned()
    }
}

//! Tracks which upstreams are cold, and grants permits to send to cold or
//! limited upstreams.

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

/// The retry delay in a denied permit, in ms, if this gateway does not know
/// the upstream yet or does not know how many requests the upstream takes
/// while cold.
const UNKNOWN_RETRY_MS: u32 = 200;

impl Control {
    /// Updates the estimates of which upstreams are cold from their entries.
    pub(super) fn update_cold_estimates(
        &mut self,
        entries: &[Arc<Upstream>],
        now: Millis,
    ) {
        let mut cold = self.shared.cold();
        for entry in entries {
            let spec = self.cold_spec(entry);
            let lasts_ms = spec.map_or(0, |spec| spec.lasts_ms);
            cold.estimate.update(entry, lasts_ms, now);
        }
    }

    /// Returns the entries of a whole list whose cold state differs from the
    /// known one. A list may come from a peer, and its cold states are then as
    /// old as the last change of each entry.
    pub(super) fn entries_with_other_cold_state(
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

    /// Records that the upstreams of a data centre may have become cold,
    /// because the data centre was evacuated until now.
    pub(super) fn mark_data_centre_possibly_cold(
        &self,
        data_centre: &DataCentreId,
        now: Millis,
    ) {
        let mut cold = self.shared.cold();
        let all = self.upstreams.listing().upstreams.values();
        for upstream in all.filter(|one| one.data_centre == *data_centre) {
            let lasts_ms = self.cold_spec(upstream).map_or(0, |s| s.lasts_ms);
            cold.estimate.mark_possibly_cold(&upstream.id, lasts_ms, 0, now);
        }
    }

    /// Drops entries whose only change is the remaining cold time, where it
    /// decreased as expected.
    ///
    /// Cold upstreams change their entries with each heartbeat. If these
    /// changes were broadcast, a data centre of 100 upstreams that comes back
    /// would cost some 30 KB per gateway and heartbeat.
    pub(super) fn without_expected_cooling(
        &self,
        mut changed: Vec<Arc<Upstream>>,
        now: Millis,
    ) -> Vec<Arc<Upstream>> {
        let cold = self.shared.cold();
        changed.retain(|entry| {
            let known = self.upstreams.listed(&entry.id);
            let is_expected = |known: &Arc<Upstream>| {
                cold.estimate.is_expected(known, entry, now)
            };
            !known.is_some_and(is_expected)
        });
        changed
    }

    fn cold_spec(&self, upstream: &Upstream) -> Option<&ColdSpec> {
        let services = &self.catalog.as_ref()?.services;
        services.get(&upstream.service)?.cold.as_ref()
    }

    /// Updates the permit grantor with the present gateways.
    pub(super) fn update_grantor(&mut self, now: Millis) {
        let members = self.roster.staying();
        let is_majority = self.limits.receives_from_majority();
        self.grantor.update_members(&members, is_majority, now);
        self.grantor.prune(now);
    }

    /// Requests a permit to send to a cold or limited upstream.
    pub(super) fn request_permit(&mut self, request: PermitRequest) {
        let now = self.now();
        let own = self.shared.settings.peers.heartbeats;
        let is_cold =
            self.shared.cold().estimate.is_cold(&request.upstream, now);
        let limit = self.limit_report(&request.upstream);
        match self.grantor.grantor_of(&request.upstream) {
            Some(grantor) if grantor != own => {
                let request =
                    Message::PermitRequest { request, is_cold, limit };
                self.send([grantor], &request);
            }
            _ => {
                let reply =
                    self.decide_permit(&request.upstream, is_cold, now);
                let mut cold = self.shared.cold();
                cold.permits.on_reply(request.number, reply, now);
            }
        }
    }

    /// Answers a gateway that requests a permit to send to an upstream.
    pub(super) fn answer_permit_request(
        &mut self,
        from: SocketAddr,
        request: &PermitRequest,
        is_cold: bool,
        known: Option<&LimitReport>,
        now: Millis,
    ) {
        let reply = self.decide_permit(&request.upstream, is_cold, now);
        let limit = self.limit_report(&request.upstream);
        let limit = limit.filter(|limit| known != Some(limit));
        let number = request.number;
        self.send([from], &Message::PermitReply { number, reply, limit });
    }

    /// Decides whether a request may be sent to an upstream. An upstream that
    /// is neither cold nor limited takes any number of requests.
    fn decide_permit(
        &mut self,
        id: &UpstreamId,
        is_cold: bool,
        now: Millis,
    ) -> PermitReply {
        let known = self.upstreams.listing().upstreams.get(id);
        let Some(known) = known.cloned() else {
            return PermitReply::Denied { retry_after_ms: UNKNOWN_RETRY_MS };
        };
        if is_cold {
            let bound = self.shared.settings.cold.bound();
            let Some(spec) = self.cold_spec(&known) else {
                return PermitReply::Denied {
                    retry_after_ms: UNKNOWN_RETRY_MS,
                };
            };
            let max_permits = bound.permits_per_window(spec);
            let reply = self.grantor.answer(id, max_permits, now);
            if reply != PermitReply::Granted {
                return reply;
            }
        }
        let rate = self.shared.upstream_limits().rate(&known.start());
        match rate {
            Some(rate) => self.grantor.answer_limited(id, rate, now),
            None => PermitReply::Granted,
        }
    }

    /// Returns the known limit of an upstream, or `None` if this gateway knows
    /// no limit.
    fn limit_report(&self, id: &UpstreamId) -> Option<LimitReport> {
        let known = self.upstreams.listing().upstreams.get(id)?;
        self.shared.upstream_limits().report(&known.start()).cloned()
    }
}

//! Reports the origins of streams to other gateways, and finds the origins of
//! streams that began at other gateways.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use tokio::sync::oneshot;
use valehold_core::{
    Millis,
    fleet::{
        software::MAX_CERTAIN_AGE_MS,
        stream_origin::{OriginReport, StreamId, reports_of},
    },
    id::{ServiceName, SoftwareVersion},
};

use super::{Control, SETTLE_MS, seeds};
use crate::{
    peers::message::Message,
    shared::{OriginFinding, OriginLookup},
};

/// The time after which gateways that did not report an origin are asked once
/// more, in ms. A datagram may be lost, and the gateway that began the stream
/// may just be reporting it.
const REPEAT_AFTER_MS: u64 = 60;

/// The time after which a lookup ends without an answer, in ms: two round
/// trips across regions and the delay of busy machines.
const LOOKUP_TIMEOUT_MS: u64 = 180;

/// The time without a tick from which this gateway may have missed messages,
/// in ms.
const STALL_MS: u64 = 500;

/// How long after a stall this gateway relies on others, in ms: until it has
/// handled the messages that arrived meanwhile.
const STALL_RECOVERY_MS: u64 = 1_000;

/// How long a gateway counts as just started, in ms. It may not know the others
/// yet, and these may still read the store's record of streams.
const START_MS: u64 = 3_000;

/// The same times as above for a gateway that has just started, in ms.
const START_REPEAT_AFTER_MS: u64 = 200;
const START_LOOKUP_TIMEOUT_MS: u64 = 1_000;

/// How long it counts that all other gateways know of no newer list, in ms:
/// until some ticks later.
const CURRENT_MS: u64 = 400;

/// A stream whose origin other gateways were asked for.
#[derive(Debug)]
struct PendingLookup {
    began: Millis,
    /// When others were asked last.
    asked: Millis,
    is_repeated: bool,
    service: ServiceName,
    /// The gateways that have not replied since they were asked last.
    unanswered: BTreeSet<SocketAddr>,
    /// The versions that are the only ones of the service, as others replied.
    only_versions: BTreeSet<SoftwareVersion>,
    replies: Vec<oneshot::Sender<OriginFinding>>,
}

impl PendingLookup {
    /// Ends the lookup without a report: other gateways may be certain of the
    /// only version of the service.
    fn finish_unreported(mut self) {
        let only = self.only_versions.pop_first();
        let only = only.filter(|_| self.only_versions.is_empty());
        self.finish(
            &only.map_or(OriginFinding::Unknown, OriginFinding::OnlyVersion),
        );
    }

    fn finish(self, finding: &OriginFinding) {
        for reply in self.replies {
            // A caller that has left needs no reply.
            let _ = reply.send(finding.clone());
        }
    }
}

/// Lookups of origins, and whether this gateway may have missed messages.
#[derive(Debug, Default)]
pub(super) struct OriginState {
    lookups: BTreeMap<StreamId, PendingLookup>,
    /// Until when this gateway relies on others, as it stalled.
    stalled_until: Millis,
}

impl Control {
    /// Records until when this gateway knows all software versions that other
    /// gateways know.
    ///
    /// Knowledge of the list that the store has confirmed lately is certain: no
    /// gateway prefers a version that joined since. Where the store confirms
    /// nothing, the gateways know it from one another that none has learned of
    /// a change.
    pub(super) fn update_software_knowledge(&mut self, now: Millis) {
        if now < self.origins.stalled_until {
            return;
        }
        let confirmed = self.listing_confirmed();
        let by_store = confirmed.map(|at| at + MAX_CERTAIN_AGE_MS);
        let by_others = self.knows_newest_list(now).then(|| now + CURRENT_MS);
        let until = by_store.max(by_others).unwrap_or_default();
        self.shared.set_software_known_until(until);
    }

    /// Returns whether this gateway hears of all others and none of them has a
    /// newer list of upstreams.
    fn knows_newest_list(&self, now: Millis) -> bool {
        let own = self.upstreams.version();
        let newer = self.roster.newer_listing_address(own, None, now);
        newer.is_none() && self.limits.receives_from_all()
    }

    /// Distrusts all knowledge of software versions for a while if this gateway
    /// has stood still: messages that waited meanwhile look new.
    pub(super) fn notice_stall(&mut self, now: Millis) {
        let (_, last_tick) = self.last_tick;
        if now.since(last_tick) >= STALL_MS {
            self.origins.stalled_until = now + STALL_RECOVERY_MS;
            self.shared.set_software_known_until(Millis::default());
            // Others answer at once, with the versions of their state.
            self.last_heartbeat = None;
        }
    }

    /// Returns whether this gateway may lack what others know: it stood still,
    /// or hears of no changes.
    pub(super) fn is_out_of_step(&self, now: Millis) -> bool {
        !self.shared.is_software_known(now)
    }

    /// Returns the version that all upstreams of a service run, if this is
    /// certain.
    pub(super) fn only_version(
        &self,
        service: &ServiceName,
        now: Millis,
    ) -> Option<SoftwareVersion> {
        if !self.shared.is_software_known(now) {
            return None;
        }
        self.upstreams.software().only_version(service, now)
    }

    /// Reports the streams that began here to their keepers, except those of
    /// services whose only version every gateway knows.
    pub(super) fn report_origins(&mut self, now: Millis) {
        // A gateway that has just started reports once it knows others.
        if !self.roster.has_others() {
            return;
        }
        let unreported = self.shared.origins().take_unreported(
            |service| self.only_version(service, now).is_some(),
            now,
        );
        if unreported.is_empty() {
            return;
        }
        let own = self.shared.settings.peers.heartbeats;
        let mut others = self.roster.staying();
        others.retain(|address| *address != own);
        // Nothing is written to the store while it confirms nothing.
        let is_first = self.roster.observer_place().position == 0;
        let first_observer = match is_first || self.is_out_of_step(now) {
            true => None,
            false => self.roster.observers().first().copied(),
        };
        let mut by_keeper: BTreeMap<SocketAddr, Vec<_>> = BTreeMap::new();
        for (reported, origin) in unreported {
            let keepers = reported.stream.keepers(&others).into_iter();
            // The first observer writes the store's record for all.
            let receivers: BTreeSet<SocketAddr> =
                keepers.chain(first_observer).collect();
            for keeper in receivers {
                let streams = by_keeper.entry(keeper).or_default();
                streams.push((reported, origin.clone()));
            }
        }
        for (keeper, streams) in by_keeper {
            let reports = reports_of(streams);
            self.send([keeper], &Message::StreamOrigins(reports));
        }
    }

    /// Records origins that another gateway reported.
    pub(super) fn receive_origins(
        &mut self,
        reports: &[OriginReport],
        now: Millis,
    ) {
        self.shared.origins().receive(reports, now);
        let streams = reports.iter().flat_map(|report| &report.streams);
        for reported in streams {
            let stream = reported.stream;
            let Some(lookup) = self.origins.lookups.remove(&stream) else {
                continue;
            };
            match self.shared.origins().get(stream, now).cloned() {
                Some(origin) => {
                    lookup.finish(&OriginFinding::Reported(origin));
                }
                None => lookup.finish_unreported(),
            }
        }
    }

    /// Asks other gateways for the origin of a stream.
    pub(super) fn look_up_origin(&mut self, lookup: OriginLookup) {
        let OriginLookup { stream, service, reply } = lookup;
        if let Some(pending) = self.origins.lookups.get_mut(&stream) {
            pending.replies.push(reply);
            return;
        }
        let now = self.now();
        let lookup = PendingLookup {
            began: now,
            asked: now,
            is_repeated: false,
            service,
            unanswered: BTreeSet::new(),
            only_versions: BTreeSet::new(),
            replies: vec![reply],
        };
        let knows_others = now.since(self.started) >= SETTLE_MS;
        if knows_others && self.gateways_to_ask(stream).is_empty() {
            lookup.finish_unreported();
            return;
        }
        self.origins.lookups.insert(stream, lookup);
        self.ask_for_origin(stream);
    }

    /// Asks the gateways that may know the origin of a pending lookup.
    fn ask_for_origin(&mut self, stream: StreamId) {
        let asked = self.gateways_to_ask(stream);
        let Some(lookup) = self.origins.lookups.get_mut(&stream) else {
            return;
        };
        lookup.unanswered = asked.clone();
        let service = lookup.service.clone();
        self.send(asked, &Message::OriginRequest { stream, service });
    }

    /// Returns the other gateways that may know the origin of a stream: its
    /// keepers, and the observers, which know the store's record.
    fn gateways_to_ask(&self, stream: StreamId) -> BTreeSet<SocketAddr> {
        let own = self.shared.settings.peers.heartbeats;
        let mut members = self.roster.staying();
        members.extend(self.roster.leaving());
        let keepers = stream.possible_keepers(&members);
        let mut asked: BTreeSet<SocketAddr> = keepers.into_iter().collect();
        asked.extend(self.roster.observers());
        let now = self.now();
        if self.is_out_of_step(now) {
            // The roster lacks gateways that this one has not heard lately.
            let known = self.roster.known_others();
            asked.extend(stream.possible_keepers(&known));
        }
        if self.has_just_started(now) || self.is_out_of_step(now) {
            asked.extend(seeds(own, &self.shared.settings.peers.seeds));
        }
        asked.remove(&own);
        asked
    }

    fn has_just_started(&self, now: Millis) -> bool {
        now.since(self.started) < START_MS
    }

    /// Answers a gateway that asks for the origin of a stream.
    pub(super) fn answer_origin_request(
        &self,
        from: SocketAddr,
        stream: StreamId,
        service: &ServiceName,
        now: Millis,
    ) {
        let report = self.shared.origins().report(stream, now);
        if report.is_none() && self.waits_for_stream_record(now) {
            // The other gateway asks again.
            return;
        }
        let message = match report {
            Some(report) => Message::StreamOrigins(vec![report]),
            None => Message::OriginUnknown {
                stream,
                only_version: self.only_version(service, now),
            },
        };
        self.send([from], &message);
    }

    /// Records that another gateway does not know the origin of a stream.
    pub(super) fn on_origin_unknown(
        &mut self,
        from: SocketAddr,
        stream: StreamId,
        only_version: Option<SoftwareVersion>,
        now: Millis,
    ) {
        let Some(lookup) = self.origins.lookups.get_mut(&stream) else {
            return;
        };
        // A version that differs from those known here is not the only one.
        let history = self.upstreams.software();
        let is_only = |version: &SoftwareVersion| {
            !history.has_other_version(&lookup.service, version, now)
        };
        lookup.only_versions.extend(only_version.filter(is_only));
        lookup.unanswered.remove(&from);
        let is_certain = !lookup.only_versions.is_empty();
        if self.waits_for_stream_record(now) {
            return;
        }
        let Some(lookup) = self.origins.lookups.get(&stream) else { return };
        let is_over = is_certain || lookup.is_repeated;
        if lookup.unanswered.is_empty()
            && is_over
            && let Some(lookup) = self.origins.lookups.remove(&stream)
        {
            lookup.finish_unreported();
        }
    }

    /// Ends lookups of streams whose origin this gateway has learned.
    pub(super) fn finish_known_lookups(&mut self, now: Millis) {
        let origins = self.shared.origins();
        let mut known = BTreeMap::new();
        for stream in self.origins.lookups.keys() {
            if let Some(origin) = origins.get(*stream, now) {
                known.insert(*stream, origin.clone());
            }
        }
        drop(origins);
        for (stream, origin) in known {
            if let Some(lookup) = self.origins.lookups.remove(&stream) {
                lookup.finish(&OriginFinding::Reported(origin));
            }
        }
    }

    /// Repeats requests for origins that were not reported, and ends lookups
    /// that take too long.
    pub(super) fn continue_lookups(&mut self, now: Millis) {
        let is_starting = self.has_just_started(now);
        let (repeat_after_ms, give_up_after_ms) = match is_starting {
            true => (START_REPEAT_AFTER_MS, START_LOOKUP_TIMEOUT_MS),
            false => (REPEAT_AFTER_MS, LOOKUP_TIMEOUT_MS),
        };
        let lookups = &mut self.origins.lookups;
        let over = lookups.extract_if(.., |_, lookup| {
            now.since(lookup.began) >= give_up_after_ms
        });
        over.for_each(|(_, lookup)| lookup.finish_unreported());
        let mut repeated = Vec::new();
        for (stream, lookup) in lookups.iter_mut() {
            let is_due = now.since(lookup.asked) >= repeat_after_ms;
            if is_due && (is_starting || !lookup.is_repeated) {
                lookup.is_repeated = true;
                lookup.asked = now;
                repeated.push(*stream);
            }
        }
        for stream in repeated {
            self.ask_for_origin(stream);
        }
    }
}

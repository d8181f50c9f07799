//! Sends reports of this gateway to other gateways, and handles their
//! messages.

use std::{collections::BTreeSet, io::ErrorKind, net::SocketAddr};

use bytes::Bytes;
use valehold_core::Millis;

use super::{Control, rank};
use crate::{
    events::{CatalogSource, Event, ReportSource},
    peers::{
        Heartbeat, Message,
        fragments::Fragment,
        message::{
            BoundDemand, GroupLoads, LeaseClaim, LeaseReport, LoadReport,
        },
        outbox::{Datagram, SendOutcome, Urgency},
        roster::{members::max_changes, sums::loads_by_upstream},
    },
    view::Life,
};

/// The maximum heartbeat interval of a gateway without state, in ms, and how
/// long after the start it applies. Each recipient answers with the versions
/// of its state.
const STARTUP_HEARTBEAT_INTERVAL_MS: u64 = 100;
const STARTUP_PHASE_MS: u64 = 1_000;

/// The factor by which the heartbeat interval grows with hubs that aggregate
/// heartbeats.
const HUB_INTERVAL_FACTOR: u64 = 2;

impl Control {
    /// Returns the heartbeat interval in ms.
    pub(super) fn heartbeat_interval_ms(&self, now: Millis) -> u64 {
        let interval_ms = self.shared.settings.peers.every_ms;
        let is_new = now.since(self.started) < STARTUP_PHASE_MS;
        if is_new && self.life == Life::Starting {
            return interval_ms.min(STARTUP_HEARTBEAT_INTERVAL_MS);
        }
        match self.roster.has_hubs() {
            true => interval_ms * HUB_INTERVAL_FACTOR,
            false => interval_ms,
        }
    }

    fn heartbeat(&mut self, now: Millis) -> Heartbeat {
        self.sequence += 1;
        let settings = &self.shared.settings;
        let lease = self.lease.borrow().claim(now);
        let holds_lease = matches!(lease, Some(LeaseClaim::Holds { .. }));
        let loads = self.own_loads();
        self.advertised_loads = loads_by_upstream(&loads);
        Heartbeat {
            instance: settings.instance.clone(),
            start: self.start,
            sequence: self.sequence,
            data_centre: settings.data_centre.clone(),
            life: self.life,
            rank: rank(settings),
            requests: settings.callers.requests,
            state: settings.peers.state,
            catalog: self.catalog.as_ref().map_or(0, |c| c.version),
            listing: self.upstreams.version(),
            evacuations: self.evacuation_report(now),
            crash_digest: self.crash_digest(now),
            lease,
            store: self.store,
            known_addresses: self.roster.advertised_addresses(now),
            loads,
            demand: self.demand.by_bound(&self.shared.running()),
            usage: self.changed_usage(now),
            paces: self.paces_for_heartbeat(),
            gateways_seen: self.limits.gateways_seen(),
            // With many groups only hubs receive heartbeats, and holdings are
            // sent in messages of their own.
            holdings: match holds_lease && !self.roster.has_many_groups() {
                true => self.placer.holdings_to_advertise(now),
                false => Vec::new(),
            },
        }
    }

    /// Sends heartbeats; a hub also sends what it aggregated.
    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        let heartbeat = self.heartbeat(now);
        if self.roster.is_hub() {
            self.send_summary(&heartbeat, now);
        }
        if self.roster.is_primary_hub() {
            self.send_digests(&heartbeat, now);
        }
        let message = Message::Heartbeat(Box::new(heartbeat));
        let targets = self.roster.heartbeat_targets(now);
        self.send(targets.iter().copied(), &message);
        self.send_held_evacuations(targets, now);
    }

    /// Sends a summary of all gateways to the group of this hub.
    fn send_summary(&mut self, own: &Heartbeat, now: Millis) {
        let throttles = self.compute_throttles(now);
        let targets = self.roster.summary_targets();
        let known_members = self.roster.members_to_advertise(own, now);
        let max_sent = self.max_member_changes(targets.len(), now);
        let members =
            self.advertised_members.next_update(&known_members, max_sent);
        let mut summary = self.roster.summary(own, members, throttles, now);
        let mechanisms = self.shared.settings.mechanisms;
        let sends_load_updates = mechanisms.loads_between_heartbeats;
        if sends_load_updates {
            // The primary hub sends loads in separate messages and more often.
            summary.loads.clear();
        }
        self.send(
            targets.iter().copied(),
            &Message::Summary(Box::new(summary)),
        );
        self.send_held_evacuations(targets, now);
        // A link with capacity for this many changes per group member can
        // carry the full list to the same number of recipients.
        let all = self.advertised_members.len();
        self.advertised_members
            .set_reply_budget(self.max_member_changes(all, now));
        self.send_requested_members();
    }

    fn max_member_changes(&self, group: usize, now: Millis) -> usize {
        let link_mbps = self.shared.settings.peers.link_mbps;
        max_changes(link_mbps, self.heartbeat_interval_ms(now), group)
    }

    /// Sends the list of all gateways to group members that missed a change:
    /// to as many as the link of this hub can carry, and to the others after
    /// the next heartbeat.
    fn send_requested_members(&mut self) {
        let requesters = self.advertised_members.take_full_list_requests();
        if requesters.is_empty() {
            return;
        }
        for part in self.advertised_members.parts(self.start) {
            self.send(requesters.iter().copied(), &Message::Members(part));
        }
    }

    /// As the primary hub of a group, sends a digest of the group to the hubs
    /// of other groups. The digest for the lease holder also contains the
    /// group's demand.
    fn send_digests(&self, own: &Heartbeat, now: Millis) {
        let remote_hubs = self.roster.remote_hubs();
        if remote_hubs.is_empty() {
            return;
        }
        let digest = |demand: Vec<BoundDemand>| {
            let digest = self.roster.digest(own, demand, now);
            Message::Digest(Box::new(digest))
        };
        let holder = self.roster.lease_holder(now);
        let others = remote_hubs.iter().copied();
        let others = others.filter(|hub| Some(*hub) != holder);
        self.send(others, &digest(Vec::new()));
        let demand = self.roster.group_demand(&own.demand, now);
        self.send(holder, &digest(demand));
    }

    /// Sends a heartbeat to some gateways outside the usual interval.
    pub(super) fn send_heartbeat_to(
        &mut self,
        targets: impl IntoIterator<Item = SocketAddr>,
        now: Millis,
    ) {
        let heartbeat = Message::Heartbeat(Box::new(self.heartbeat(now)));
        let targets: Vec<SocketAddr> = targets.into_iter().collect();
        self.send(targets.iter().copied(), &heartbeat);
        self.send_held_evacuations(targets, now);
    }

    /// Repeats to all peers which engines are unloading a model, if not all
    /// peers receive this gateway's heartbeats.
    pub(super) fn send_unloading(&mut self, now: Millis) {
        let holds_lease = self.lease.borrow().held_epoch(now).is_some();
        if !holds_lease || !self.roster.has_hubs() {
            return;
        }
        let unloading = self.placer.unloading_holdings();
        if !unloading.is_empty() {
            self.send_all(&Message::Holdings(unloading));
        }
    }

    /// Sends a message to every live gateway, first to the hubs that relay it.
    pub(super) fn send_all(&self, message: &Message) {
        let targets = self.roster.broadcast_targets();
        for bytes in self.encode(message) {
            if !targets.hubs.is_empty() {
                let relay = Message::Relay(bytes.to_vec());
                self.send(targets.hubs.iter().copied(), &relay);
            }
            let direct = targets.direct.iter().copied();
            self.send_bytes(direct, &bytes, message.label(), Urgency::Once);
        }
    }

    /// Sends a message and returns its length in bytes.
    pub(super) fn send(
        &self,
        targets: impl IntoIterator<Item = SocketAddr>,
        message: &Message,
    ) -> u64 {
        let targets: Vec<SocketAddr> = targets.into_iter().collect();
        let mut length = 0;
        for bytes in self.encode(message) {
            length += bytes.len() as u64;
            let (label, urgency) = (message.label(), message.urgency());
            self.send_bytes(targets.iter().copied(), &bytes, label, urgency);
        }
        length
    }

    /// Encodes a message as one or more datagrams.
    fn encode(&self, message: &Message) -> Vec<Bytes> {
        match message.encode_in_fragments(rand::random()) {
            Ok(written) => written.into_iter().map(Bytes::from).collect(),
            Err(error) => {
                let label = message.label();
                self.shared.metrics.dropped_datagrams(label, 1);
                log::error!("encoding a message ({label}) failed: {error}");
                Vec::new()
            }
        }
    }

    fn send_bytes(
        &self,
        targets: impl IntoIterator<Item = SocketAddr>,
        bytes: &Bytes,
        label: &'static str,
        urgency: Urgency,
    ) {
        let mut outbox = self.outbox.borrow_mut();
        let mut dropped = 0;
        for to in targets {
            let datagram = Datagram { to, bytes: bytes.clone(), label };
            let sent = |one: &Datagram| self.send_datagram(one);
            if !outbox.send(datagram, urgency, sent) {
                dropped += 1;
            }
        }
        if dropped > 0 {
            self.shared.metrics.dropped_datagrams(label, dropped);
            log::debug!(
                "{dropped} datagrams ({label}) were dropped: outbox full"
            );
        }
    }

    /// Sends datagrams that wait until the socket accepts more.
    pub(super) fn flush_outbox(&self) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.flush(|datagram| self.send_datagram(datagram));
    }

    /// Passes a datagram to the socket. Datagrams may be lost anyway, so a
    /// failure is only logged.
    fn send_datagram(&self, datagram: &Datagram) -> SendOutcome {
        let Datagram { to, bytes, label } = datagram;
        if self.link.is_cut() {
            return SendOutcome::Accepted;
        }
        match self.socket.try_send_to(bytes, *to) {
            Ok(_) => {
                self.shared.metrics.sent_to_peer(label, bytes.len() as u64);
                SendOutcome::Accepted
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                SendOutcome::WouldBlock
            }
            Err(error) => {
                log::debug!(
                    "sending a datagram ({label}) to {to} failed: {error}"
                );
                SendOutcome::Failed
            }
        }
    }

    /// Decodes and handles a datagram.
    pub(super) fn on_datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Millis,
    ) {
        match Message::decode(bytes) {
            Ok(Message::Relay(bytes)) => self.relay(from, &bytes, now),
            Ok(message) => self.on_message(from, message, now),
            Err(error) => {
                log::debug!("cannot decode a datagram from {from}: {error}")
            }
        }
    }

    /// Relays a broadcast to the group of this hub, and handles the message.
    fn relay(&mut self, from: SocketAddr, bytes: &[u8], now: Millis) {
        let mut targets: BTreeSet<SocketAddr> = self.roster.relay_targets();
        targets.remove(&from);
        let relayed = Bytes::copy_from_slice(bytes);
        self.send_bytes(targets, &relayed, "relay", Urgency::Once);
        match Message::decode(bytes) {
            Ok(Message::Relay(_)) => {
                log::debug!("nested relay in a datagram from {from}");
            }
            Ok(message) => self.on_message(from, message, now),
            Err(error) => {
                log::debug!("cannot decode a datagram from {from}: {error}")
            }
        }
    }

    fn on_message(&mut self, from: SocketAddr, message: Message, now: Millis) {
        if let Some(number) = message.number()
            && !self.roster.accept_number(from, number, now)
        {
            log::debug!(
                "ignored an out-of-order {} message from {from}",
                message.label()
            );
            return;
        }
        match message {
            Message::Heartbeat(heartbeat) => {
                self.on_heartbeat(from, *heartbeat, now);
            }
            Message::LoadRequest(variant) => {
                self.placer.on_load_request(variant, now);
                self.request_placement();
            }
            Message::Holdings(holdings) => {
                self.upstreams.receive_holdings(holdings, now);
            }
            Message::ListingChanged(delta) => {
                self.apply_delta(&delta, now);
            }
            Message::Summary(mut summary) => {
                self.compare_crash_digest(from, summary.crash_digest, now);
                let evacuations = summary.evacuations.take();
                self.receive_evacuations(
                    evacuations,
                    CatalogSource::Peer,
                    now,
                );
                self.apply_throttles(summary.throttles.as_ref(), now);
                let is_missing = self.roster.on_summary(from, *summary, now);
                if is_missing {
                    self.send([from], &Message::MembersRequest);
                }
                self.publish_loads(now);
                self.apply_lease_reports(now);
            }
            Message::MembersRequest => {
                self.advertised_members.request_full_list(from);
                self.send_requested_members();
            }
            Message::Members(part) => {
                self.roster.on_member_part(from, &part, now);
            }
            Message::Digest(mut digest) => {
                self.compare_crash_digest(from, digest.crash_digest, now);
                let evacuations = digest.evacuations.take();
                self.receive_evacuations(
                    evacuations,
                    CatalogSource::Peer,
                    now,
                );
                self.roster.on_digest(from, *digest, now);
                self.apply_lease_reports(now);
            }
            Message::Loads(report) => {
                let LoadReport { instance, start, usage, paces, .. } = &report;
                self.receive_usage(instance, *start, usage, now);
                self.learn_paces(paces, now);
                self.roster.on_load_report(report, now);
            }
            Message::HubUpdate(news) => {
                self.apply_throttles(news.throttles.as_ref(), now);
                self.apply_paces(&news.paces, now);
                self.roster.on_load_update(news.loads, now);
                self.publish_loads(now);
            }
            Message::GroupLoads(group) => {
                let GroupLoads { instance, number, usage, .. } = &group;
                self.receive_group_usage(instance, number.start, usage, now);
                self.roster.on_group_loads(group, now);
            }
            Message::Catalog(catalog) => {
                self.apply_catalog(*catalog, CatalogSource::Push, now);
            }
            Message::Evacuations(report) => {
                self.receive_evacuations(
                    Some(report),
                    CatalogSource::Push,
                    now,
                );
            }
            Message::HeldEvacuations(held) => {
                self.receive_held_evacuations(&held, now);
            }
            Message::Crashes(reports) => self.receive_crashes(&reports, now),
            Message::CrashParts(reports) => {
                self.receive_crash_parts(&reports, now);
            }
            Message::Brittle(reports) => {
                let gateways = self.shared.view.load().ready.len();
                let mut brittle = self.shared.brittle();
                for report in &reports {
                    if report.is_rejection {
                        let source = ReportSource::Peer;
                        self.shared.metrics.brittle_rejection(source);
                    }
                    let spread = rand::random();
                    brittle.on_report(report, gateways, spread, now);
                }
            }
            Message::Leaving(starts) => {
                self.on_leaving(&starts, ReportSource::Peer, now);
            }
            Message::UpstreamLimits(reports) => {
                self.receive_limits(&reports, now);
            }
            Message::PermitRequest { request: ask, is_cold, limit } => {
                self.receive_limits(limit.as_slice(), now);
                self.answer_permit_request(
                    from,
                    &ask,
                    is_cold,
                    limit.as_ref(),
                    now,
                );
            }
            Message::PermitReply { number, reply: answer, limit } => {
                self.receive_limits(limit.as_slice(), now);
                self.shared.cold().permits.on_reply(number, answer, now);
            }
            Message::StreamOrigins(reports) => {
                self.receive_origins(&reports, now);
            }
            Message::OriginRequest { stream, service } => {
                self.answer_origin_request(from, stream, &service, now);
            }
            Message::OriginUnknown { stream, only_version } => {
                self.on_origin_unknown(from, stream, only_version, now);
            }
            Message::Confirmed(told) => {
                self.receive_confirmation(&told, now);
            }
            Message::Fragment(fragment) => {
                self.on_fragment(from, fragment, now);
            }
            // Relays are not nested: only the first recipient relays a
            // message.
            Message::Relay(_) => {}
        }
    }

    /// Adds a fragment, and handles the message once all its fragments have
    /// arrived.
    fn on_fragment(
        &mut self,
        from: SocketAddr,
        fragment: Fragment,
        now: Millis,
    ) {
        let Some(bytes) = self.fragments.push(fragment) else { return };
        match Message::decode(&bytes) {
            Ok(Message::Fragment(_) | Message::Relay(_)) => {
                log::debug!(
                    "nested fragments or a relay in a message from {from}"
                );
            }
            Ok(message) => self.on_message(from, message, now),
            Err(error) => {
                log::debug!("cannot decode a message from {from}: {error}")
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        mut heartbeat: Heartbeat,
        now: Millis,
    ) {
        let holdings = std::mem::take(&mut heartbeat.holdings);
        self.compare_crash_digest(from, heartbeat.crash_digest, now);
        let evacuations = heartbeat.evacuations.take();
        self.receive_evacuations(evacuations, CatalogSource::Peer, now);
        self.receive_heartbeat_usage(&heartbeat, now);
        self.learn_paces(&heartbeat.paces, now);
        if let Some(claim) = heartbeat.lease {
            let report = LeaseReport { from, claim, age_ms: 0 };
            self.lease.borrow_mut().on_lease_report(report, now);
        }
        let is_new = self.roster.on_heartbeat(from, heartbeat, now);
        self.upstreams.receive_holdings(holdings, now);
        if !self.roster.has_hubs() {
            self.publish_loads(now);
        }
        if is_new {
            Event::PeerFound { address: from }.log();
            // A peer that has just started learns of this gateway at once.
            self.send_heartbeat_to([from], now);
            self.send_leaving_to(from);
        }
    }

    fn apply_lease_reports(&mut self, now: Millis) {
        for report in self.roster.lease_reports(now) {
            self.lease.borrow_mut().on_lease_report(report, now);
        }
    }
}

//! Telling other gateways what this one does and knows, and hearing them.

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
            BoundDemand, GroupLoads, LeaseRumour, LeaseWord, LoadReport,
        },
        outbox::{Datagram, Sent, Urgency},
        roster::{members::max_changes, sums::loads_by_upstream},
    },
    view::Life,
};

/// How often a gateway that knows nothing yet sends heartbeats at the most, in
/// ms, and for how long after its start: whoever hears it answers with what
/// there is to read.
const BEAT_AT_START_MS: u64 = 100;
const STARTS_FOR_MS: u64 = 1_000;

/// How many times rarer heartbeats are where hubs sum them up.
const BEATS_WITH_HUBS: u64 = 2;

impl Control {
    /// Returns how often heartbeats are sent, in ms.
    pub(super) fn beat_ms(&self, now: Millis) -> u64 {
        let every_ms = self.shared.settings.peers.every_ms;
        let is_new = now.since(self.started) < STARTS_FOR_MS;
        if is_new && self.life == Life::Starting {
            return every_ms.min(BEAT_AT_START_MS);
        }
        match self.roster.has_hubs() {
            true => every_ms * BEATS_WITH_HUBS,
            false => every_ms,
        }
    }

    fn heartbeat(&mut self, now: Millis) -> Heartbeat {
        self.sequence += 1;
        let settings = &self.shared.settings;
        let lease = self.lease.borrow().claim(now);
        let holds = matches!(lease, Some(LeaseWord::Holds { .. }));
        let loads = self.own_loads();
        self.told_loads = loads_by_upstream(&loads);
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
            evacuations: self.evacuation_word(now),
            crashes: self.crash_digest(now),
            lease,
            store: self.store,
            known: self.roster.advertised_addresses(now),
            loads,
            demand: self.demand.list(&self.shared.running()),
            usage: self.usage_news(now),
            paces: self.paces_to_tell(),
            seen: self.limits.seen(),
            // Where hubs alone hear it, all is told by itself.
            holdings: match holds && !self.roster.has_many_groups() {
                true => self.placer.holdings_to_advertise(now),
                false => Vec::new(),
            },
        }
    }

    /// Tells others of this gateway; as a hub, also what it hears.
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
        self.send(targets, &message);
    }

    /// As a hub, tells its group of all gateways.
    fn send_summary(&mut self, own: &Heartbeat, now: Millis) {
        let rulings = self.rule_limits(now);
        let targets = self.roster.summary_targets();
        let heard = self.roster.members_to_advertise(own, now);
        let most = self.most_changes(targets.len(), now);
        let members = self.told_members.next_update(&heard, most);
        let mut summary = self.roster.summary(own, members, rulings, now);
        let mechanisms = self.shared.settings.mechanisms;
        let tells_loads = mechanisms.loads_between_heartbeats;
        if tells_loads {
            // The foremost tells them by themselves, and more often.
            summary.loads.clear();
        }
        self.send(targets, &Message::Summary(Box::new(summary)));
        // What bears so many changes for a group bears all for so many.
        let all = self.told_members.len();
        self.told_members.set_reply_budget(self.most_changes(all, now));
        self.answer_asked();
    }

    fn most_changes(&self, group: usize, now: Millis) -> usize {
        let link_mbps = self.shared.settings.peers.link_mbps;
        max_changes(link_mbps, self.beat_ms(now), group)
    }

    /// As a hub, tells all gateways to those that missed something: to as many
    /// as its link bears, the others after the next beat.
    fn answer_asked(&mut self) {
        let asked = self.told_members.take_full_list_requests();
        if asked.is_empty() {
            return;
        }
        for part in self.told_members.parts(self.start) {
            self.send(asked.iter().copied(), &Message::Members(part));
        }
    }

    /// As the foremost hub of a group, tells the hubs of the others of its
    /// own, and the holder of the lease also of its demand.
    fn send_digests(&self, own: &Heartbeat, now: Millis) {
        let elsewhere = self.roster.remote_hubs();
        if elsewhere.is_empty() {
            return;
        }
        let digest = |demand: Vec<BoundDemand>| {
            let digest = self.roster.digest(own, demand, now);
            Message::Digest(Box::new(digest))
        };
        let holder = self.roster.lease_holder(now);
        let others = elsewhere.iter().copied();
        let others = others.filter(|hub| Some(*hub) != holder);
        self.send(others, &digest(Vec::new()));
        let demand = self.roster.group_demand(&own.demand, now);
        self.send(holder, &digest(demand));
    }

    /// Tells some gateways of this one, beside the usual beat.
    pub(super) fn send_heartbeat_to(
        &mut self,
        targets: impl IntoIterator<Item = SocketAddr>,
        now: Millis,
    ) {
        let heartbeat = self.heartbeat(now);
        self.send(targets, &Message::Heartbeat(Box::new(heartbeat)));
    }

    /// Tells all peers again which engines give a model up, where not all
    /// hear this gateway's heartbeats.
    pub(super) fn tell_unloading(&mut self, now: Millis) {
        let holds = self.lease.borrow().held_epoch(now).is_some();
        if !holds || !self.roster.has_hubs() {
            return;
        }
        let unloading = self.placer.unloading_holdings();
        if !unloading.is_empty() {
            self.send_all(&Message::Holdings(unloading));
        }
    }

    /// Sends a message to every gateway that is there; those that pass it on
    /// come first.
    pub(super) fn send_all(&self, message: &Message) {
        let spread = self.roster.broadcast_targets();
        for bytes in self.encode(message) {
            if !spread.hubs.is_empty() {
                let relay = Message::Relay(bytes.to_vec());
                self.send(spread.hubs.iter().copied(), &relay);
            }
            let direct = spread.direct.iter().copied();
            self.send_bytes(direct, &bytes, message.label(), Urgency::Once);
        }
    }

    /// Sends a message; returns how many bytes it has.
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

    /// Writes the datagrams of a message.
    fn encode(&self, message: &Message) -> Vec<Bytes> {
        match message.encode_in_fragments(rand::random()) {
            Ok(written) => written.into_iter().map(Bytes::from).collect(),
            Err(error) => {
                let label = message.label();
                self.shared.metrics.dropped_datagrams(label, 1);
                log::error!("a message ({label}) was not sent: {error}");
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
            log::debug!("{dropped} datagrams ({label}) found no room");
        }
    }

    /// Sends what waits for room in the socket.
    pub(super) fn flush_outbox(&self) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.flush(|datagram| self.send_datagram(datagram));
    }

    /// Gives the socket a datagram. Those may be lost, so one that the socket
    /// refuses may be too.
    fn send_datagram(&self, datagram: &Datagram) -> Sent {
        let Datagram { to, bytes, label } = datagram;
        match self.socket.try_send_to(bytes, *to) {
            Ok(_) => {
                self.shared.metrics.told_peers(label, bytes.len() as u64);
                Sent::Taken
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                Sent::NoRoom
            }
            Err(error) => {
                log::debug!("a datagram ({label}) to {to}: {error}");
                Sent::Failed
            }
        }
    }

    /// Takes in a datagram.
    pub(super) fn datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Millis,
    ) {
        match Message::decode(bytes) {
            Ok(Message::Relay(bytes)) => self.pass_on(from, &bytes, now),
            Ok(message) => self.hear(from, message, now),
            Err(error) => log::debug!("a datagram of {from}: {error}"),
        }
    }

    /// Passes on to its group what is for all, and takes it in.
    fn pass_on(&mut self, from: SocketAddr, bytes: &[u8], now: Millis) {
        let mut targets: BTreeSet<SocketAddr> = self.roster.relay_targets();
        targets.remove(&from);
        let passed_on = Bytes::copy_from_slice(bytes);
        self.send_bytes(targets, &passed_on, "relay", Urgency::Once);
        match Message::decode(bytes) {
            Ok(Message::Relay(_)) => {
                log::debug!("a datagram of {from} is to be passed on twice");
            }
            Ok(message) => self.hear(from, message, now),
            Err(error) => log::debug!("a datagram of {from}: {error}"),
        }
    }

    fn hear(&mut self, from: SocketAddr, message: Message, now: Millis) {
        if let Some(number) = message.number()
            && !self.roster.accept_number(from, number, now)
        {
            log::debug!("{} of {from} was overtaken", message.label());
            return;
        }
        match message {
            Message::Heartbeat(heartbeat) => {
                self.hear_heartbeat(from, *heartbeat, now);
            }
            Message::Wish(asked) => {
                self.placer.on_load_request(asked, now);
                self.request_placement();
            }
            Message::Holdings(holdings) => {
                self.upstreams.receive_holdings(holdings, now);
            }
            Message::Listed(delta) => {
                self.take_delta(&delta, now);
            }
            Message::Summary(mut summary) => {
                self.compare_crashes(from, summary.crashes, now);
                let evacuations = summary.evacuations.take();
                self.hear_evacuations(evacuations, CatalogSource::Peer, now);
                self.keep_to(summary.rulings.as_ref(), now);
                let is_missing = self.roster.on_summary(from, *summary, now);
                if is_missing {
                    self.send([from], &Message::AskMembers);
                }
                self.publish_loads(now);
                self.hear_rumours(now);
            }
            Message::AskMembers => {
                self.told_members.request_full_list(from);
                self.answer_asked();
            }
            Message::Members(part) => {
                self.roster.on_member_part(from, &part, now);
            }
            Message::Digest(mut digest) => {
                self.compare_crashes(from, digest.crashes, now);
                let evacuations = digest.evacuations.take();
                self.hear_evacuations(evacuations, CatalogSource::Peer, now);
                self.roster.on_digest(from, *digest, now);
                self.hear_rumours(now);
            }
            Message::Loads(report) => {
                let LoadReport { instance, start, usage, paces, .. } = &report;
                self.hear_usage(instance, *start, usage, now);
                self.learn_paces(paces, now);
                self.roster.on_load_report(report, now);
            }
            Message::HubNews(news) => {
                self.keep_to(news.rulings.as_ref(), now);
                self.hear_paces(&news.paces, now);
                self.roster.on_load_update(news.loads, now);
                self.publish_loads(now);
            }
            Message::GroupLoads(group) => {
                let GroupLoads { instance, number, usage, .. } = &group;
                self.hear_group_usage(instance, number.start, usage, now);
                self.roster.on_group_loads(group, now);
            }
            Message::Catalog(catalog) => {
                self.configure(*catalog, CatalogSource::Push, now);
            }
            Message::Evacuations(word) => {
                self.hear_evacuations(Some(word), CatalogSource::Push, now);
            }
            Message::Crashes(words) => self.hear_crashes(&words, now),
            Message::Leaving(starts) => {
                self.hear_leaving(&starts, ReportSource::Peer, now);
            }
            Message::UpstreamLimits(words) => {
                self.hear_limits(&words, now);
            }
            Message::AskRight { ask, is_cold, limit } => {
                self.hear_limits(limit.as_slice(), now);
                self.answer_right(from, &ask, is_cold, limit.as_ref(), now);
            }
            Message::Right { number, answer, limit } => {
                self.hear_limits(limit.as_slice(), now);
                self.shared.cold().permits.on_reply(number, answer, now);
            }
            Message::Fragment(fragment) => {
                self.hear_fragment(from, fragment, now);
            }
            // Only its first receiver passes a message on.
            Message::Relay(_) => {}
        }
    }

    /// Takes in a fragment of a message, and the message with its last one.
    fn hear_fragment(
        &mut self,
        from: SocketAddr,
        fragment: Fragment,
        now: Millis,
    ) {
        let Some(bytes) = self.fragments.take(fragment) else { return };
        match Message::decode(&bytes) {
            Ok(Message::Fragment(_) | Message::Relay(_)) => {
                log::debug!("a message of {from} is in fragments twice");
            }
            Ok(message) => self.hear(from, message, now),
            Err(error) => log::debug!("a message of {from}: {error}"),
        }
    }

    fn hear_heartbeat(
        &mut self,
        from: SocketAddr,
        mut heartbeat: Heartbeat,
        now: Millis,
    ) {
        let holdings = std::mem::take(&mut heartbeat.holdings);
        self.compare_crashes(from, heartbeat.crashes, now);
        let evacuations = heartbeat.evacuations.take();
        self.hear_evacuations(evacuations, CatalogSource::Peer, now);
        self.hear_usage_of(&heartbeat, now);
        self.learn_paces(&heartbeat.paces, now);
        if let Some(word) = heartbeat.lease {
            let rumour = LeaseRumour { from, word, age_ms: 0 };
            self.lease.borrow_mut().on_lease_report(rumour, now);
        }
        let is_new = self.roster.on_heartbeat(from, heartbeat, now);
        self.upstreams.receive_holdings(holdings, now);
        if !self.roster.has_hubs() {
            self.publish_loads(now);
        }
        if is_new {
            Event::PeerFound { address: from }.log();
            // Who just came learns of this gateway at once.
            self.send_heartbeat_to([from], now);
        }
    }

    fn hear_rumours(&mut self, now: Millis) {
        for rumour in self.roster.lease_reports(now) {
            self.lease.borrow_mut().on_lease_report(rumour, now);
        }
    }
}

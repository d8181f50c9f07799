//! The summaries and digests that hubs send, and the reports on the lease.

use std::{collections::BTreeMap, net::SocketAddr};

use valehold_core::{Millis, fleet::usage::Throttles};

use super::{
    HUB_REPORT_TTL_FACTOR, HubReport, Roster,
    hierarchy::{Member, members_of},
    members::MemberTable,
};
use crate::peers::message::{
    BoundDemand, Digest, Heartbeat, LeaseRumour, LeaseWord, MemberList,
    MemberNews, Newest, Summary,
};

impl Roster {
    /// Returns the longest member list that a live hub of this gateway's group
    /// advertised, or `None` if no hub advertised a sufficient one.
    ///
    /// A gateway that has just become a hub has not received all reports yet,
    /// and a hub removes members whose reports no longer reach it. The longest
    /// list is therefore the most complete one.
    pub(super) fn longest_hub_table(
        &self,
        now: Millis,
    ) -> Option<&MemberTable> {
        let keep_ms = self.silent_ms * HUB_REPORT_TTL_FACTOR;
        let live = self
            .summaries
            .iter()
            .filter(|(_, summary)| now.since(summary.received_at) < keep_ms);
        let tables = live.filter_map(|(hub, summary)| {
            Some((
                self.members_by_hub.get(hub)?.sufficient()?,
                summary.received_at,
            ))
        });
        let longest = tables.max_by_key(|(table, at)| (table.len(), *at));
        longest.map(|(table, _)| table)
    }

    fn live_summaries(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = &HubReport<Summary>> {
        let keep_ms = self.silent_ms * HUB_REPORT_TTL_FACTOR;
        let all = self.summaries.values();
        all.filter(move |summary| now.since(summary.received_at) < keep_ms)
    }

    /// Returns one live digest of each data centre: the one with the most
    /// members, and of equally long ones the newest.
    pub(super) fn live_digests(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = &Digest> {
        let keep_ms = self.silent_ms * HUB_REPORT_TTL_FACTOR;
        let live: Vec<&HubReport<Digest>> = self
            .digests
            .values()
            .filter(|digest| now.since(digest.received_at) < keep_ms)
            .collect();
        let size =
            |digest: &HubReport<Digest>| digest.report.members.members.len();
        let is_longest =
            |digest: &HubReport<Digest>, all: &[&HubReport<Digest>]| {
                !all.iter().any(|other| {
                    other.report.data_centre == digest.report.data_centre
                        && (size(other), other.received_at)
                            > (size(digest), digest.received_at)
                })
            };
        let best = live.iter().filter(|digest| is_longest(digest, &live));
        let best: Vec<&Digest> = best.map(|digest| &digest.report).collect();
        best.into_iter()
    }

    /// Returns the newest configurations that hubs report.
    pub(super) fn hub_catalogs(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = Newest> {
        let summaries =
            self.live_summaries(now).map(|summary| summary.report.catalog);
        summaries.chain(self.live_digests(now).map(|digest| digest.catalog))
    }

    /// Returns the newest lists of upstreams that hubs report.
    pub(super) fn hub_listings(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = Newest> {
        let summaries =
            self.live_summaries(now).map(|summary| summary.report.listing);
        summaries.chain(self.live_digests(now).map(|digest| digest.listing))
    }

    /// Returns the heartbeat address of the lease holder, to which load
    /// requests are sent, or `None` if no holder is known. Of several reported
    /// holders, the one with the highest epoch is returned.
    pub fn lease_holder(&self, now: Millis) -> Option<SocketAddr> {
        let lease_reports = self.lease_reports(now);
        let held =
            lease_reports.into_iter().filter_map(|report| match report.word {
                LeaseWord::Holds { epoch, .. } => Some((epoch, report.from)),
                LeaseWord::GaveUp { .. } => None,
            });
        held.max().map(|(_, holder)| holder)
    }

    /// Returns the lease reports of other gateways, received directly or from
    /// hubs.
    pub fn lease_reports(&self, now: Millis) -> Vec<LeaseRumour> {
        let direct = self.live_peers(now).filter_map(|peer| {
            Some(LeaseRumour {
                from: peer.address,
                word: peer.heartbeat.lease?,
                age_ms: now.since(peer.received_at),
            })
        });
        let mut all: Vec<LeaseRumour> = direct.collect();
        for summary in self.live_summaries(now) {
            self.add_lease_reports(
                &mut all,
                &summary.report.lease,
                summary.received_at,
                now,
            );
        }
        for digest in self.digests.values() {
            self.add_lease_reports(
                &mut all,
                &digest.report.lease,
                digest.received_at,
                now,
            );
        }
        all
    }

    fn add_lease_reports(
        &self,
        all: &mut Vec<LeaseRumour>,
        received: &[LeaseRumour],
        at: Millis,
        now: Millis,
    ) {
        let keep_ms = match self.hierarchy.has_many_groups() {
            true => self.silent_ms * HUB_REPORT_TTL_FACTOR,
            false => self.silent_ms,
        };
        let elapsed_ms = now.since(at);
        let aged = received.iter().map(|report| LeaseRumour {
            age_ms: report.age_ms.saturating_add(elapsed_ms),
            ..*report
        });
        all.extend(aged.filter(|report| {
            report.age_ms < keep_ms && report.from != self.own.heartbeats
        }));
    }

    /// Returns the newest lease report of each gateway, including this one.
    fn lease_reports_to_advertise(
        &self,
        own: &Heartbeat,
        now: Millis,
    ) -> Vec<LeaseRumour> {
        let from = self.own.heartbeats;
        let own = own.lease.map(|word| LeaseRumour { from, word, age_ms: 0 });
        let mut all = self.lease_reports(now);
        all.extend(own);
        all.sort_by_key(|report| (report.from, report.age_ms));
        all.dedup_by_key(|report| report.from);
        all
    }

    /// Returns every member that a hub advertises to its group. `own` is the
    /// heartbeat of this gateway.
    pub fn members_to_advertise(
        &self,
        own: &Heartbeat,
        now: Millis,
    ) -> BTreeMap<SocketAddr, Member> {
        let remote_digests = self
            .live_digests(now)
            .filter(|digest| digest.data_centre != self.own.data_centre);
        let mut members: BTreeMap<SocketAddr, Member> = remote_digests
            .flat_map(|digest| members_of(&digest.members))
            .collect();
        for peer in self.live_peers_in_group(now) {
            members.insert(peer.address, Member::of(&peer.heartbeat));
        }
        members.insert(self.own.heartbeats, Member::of(own));
        members
    }

    /// Returns the summary that this gateway sends as a hub. `own` is the
    /// heartbeat of this gateway.
    pub fn summary(
        &self,
        own: &Heartbeat,
        members: MemberNews,
        rulings: Option<Throttles>,
        now: Millis,
    ) -> Summary {
        // Leaves out the summaries of other hubs of the group: two hubs would
        // keep reporting a version to each other after its only holder is
        // gone.
        let digests = || self.live_digests(now);
        let catalogs = digests().map(|digest| digest.catalog);
        let listings = digests().map(|digest| digest.listing);
        Summary {
            number: own.number(),
            members,
            loads: self.sum_loads(&own.loads, now),
            lease: self.lease_reports_to_advertise(own, now),
            catalog: newer(
                self.newest_direct_catalog(own, now),
                newest(catalogs),
            ),
            listing: newer(
                self.newest_direct_listing(own, now),
                newest(listings),
            ),
            evacuations: own.evacuations.clone(),
            crashes: own.crashes,
            rulings,
        }
    }

    /// Returns the digest of the group that this gateway sends as primary hub.
    /// `own` is the heartbeat of this gateway. `demand` is the demand of the
    /// group, empty if the recipient does not need the demand.
    pub fn digest(
        &self,
        own: &Heartbeat,
        demand: Vec<BoundDemand>,
        now: Millis,
    ) -> Digest {
        Digest {
            number: own.number(),
            data_centre: self.own.data_centre.clone(),
            members: MemberList::of(&self.group_members(own, now)),
            lease: self.lease_reports_to_advertise(own, now),
            catalog: self.newest_direct_catalog(own, now),
            listing: self.newest_direct_listing(own, now),
            evacuations: own.evacuations.clone(),
            crashes: own.crashes,
            demand,
        }
    }

    /// Returns the largest number of recently seen gateways that any peer or
    /// hub reports, or 0 without reports.
    pub fn max_reported_gateways(&self, now: Millis) -> usize {
        let peers = self.live_peers(now).map(|peer| peer.heartbeat.seen);
        let hubs = self.live_summaries(now);
        let hubs = hubs
            .filter_map(|summary| Some(summary.report.rulings.as_ref()?.seen));
        let largest = peers.chain(hubs).max().unwrap_or(0);
        usize::try_from(largest).unwrap_or(usize::MAX)
    }

    /// Returns this gateway and the members of its group whose heartbeats it
    /// receives.
    fn group_members(
        &self,
        own: &Heartbeat,
        now: Millis,
    ) -> BTreeMap<SocketAddr, Member> {
        let peers = self.live_peers_in_group(now);
        let mut members: BTreeMap<SocketAddr, Member> = peers
            .map(|peer| (peer.address, Member::of(&peer.heartbeat)))
            .collect();
        members.insert(self.own.heartbeats, Member::of(own));
        members
    }

    /// Returns the newest version of the configuration among this gateway and
    /// the peers whose heartbeats it receives.
    fn newest_direct_catalog(&self, own: &Heartbeat, now: Millis) -> Newest {
        let here = Newest { version: own.catalog, state: own.state };
        newer(
            here,
            newest(self.peer_versions(now, |peer| peer.heartbeat.catalog)),
        )
    }

    /// Returns the newest version of the list of upstreams among this gateway
    /// and the peers whose heartbeats it receives.
    fn newest_direct_listing(&self, own: &Heartbeat, now: Millis) -> Newest {
        let here = Newest { version: own.listing, state: own.state };
        newer(
            here,
            newest(self.peer_versions(now, |peer| peer.heartbeat.listing)),
        )
    }
}

fn newest(all: impl Iterator<Item = Newest>) -> Option<Newest> {
    all.max_by_key(|newest| newest.version)
}

fn newer(current: Newest, candidate: Option<Newest>) -> Newest {
    candidate
        .filter(|newest| newest.version > current.version)
        .unwrap_or(current)
}

//! What hubs say, and what is said of the lease.

use std::{collections::BTreeMap, net::SocketAddr};

use valehold_core::{Millis, fleet::usage::Throttles};

use super::{
    HUBS_KEEP, Heard, Roster,
    members::MemberTable,
    standing::{Member, members_of},
};
use crate::peers::message::{
    BoundDemand, Digest, Heartbeat, LeaseRumour, LeaseWord, MemberList,
    MemberNews, Newest, Summary,
};

impl Roster {
    /// Returns the gateways that a hub of this one's group told of: the hub
    /// that tells of the most.
    ///
    /// A hub that has just become one has not heard all yet, and a hub drops
    /// whoever it does not hear any more: so the longest list is the best.
    pub(super) fn told_members(&self, now: Millis) -> Option<&MemberTable> {
        let keep_ms = self.silent_ms * HUBS_KEEP;
        let live = self
            .summaries
            .iter()
            .filter(|(_, one)| now.since(one.at) < keep_ms);
        let tables = live.filter_map(|(hub, one)| {
            Some((self.told_by.get(hub)?.enough()?, one.at))
        });
        let longest = tables.max_by_key(|(table, at)| (table.len(), *at));
        longest.map(|(table, _)| table)
    }

    fn live_summaries(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = &Heard<Summary>> {
        let keep_ms = self.silent_ms * HUBS_KEEP;
        let all = self.summaries.values();
        all.filter(move |one| now.since(one.at) < keep_ms)
    }

    /// Returns what the hub of each data centre says: the one that lists the
    /// most, if there are two.
    pub(super) fn live_digests(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = &Digest> {
        let keep_ms = self.silent_ms * HUBS_KEEP;
        let live: Vec<&Heard<Digest>> = self
            .digests
            .values()
            .filter(|one| now.since(one.at) < keep_ms)
            .collect();
        let size = |one: &Heard<Digest>| one.word.members.members.len();
        let is_best = |one: &Heard<Digest>, all: &[&Heard<Digest>]| {
            !all.iter().any(|other| {
                other.word.data_centre == one.word.data_centre
                    && (size(other), other.at) > (size(one), one.at)
            })
        };
        let best = live.iter().filter(|one| is_best(one, &live));
        let best: Vec<&Digest> = best.map(|one| &one.word).collect();
        best.into_iter()
    }

    /// Returns the newest configurations that hubs know.
    pub(super) fn hub_catalogs(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = Newest> {
        let summaries = self.live_summaries(now).map(|one| one.word.catalog);
        summaries.chain(self.live_digests(now).map(|digest| digest.catalog))
    }

    /// Returns the newest lists of upstreams that hubs know.
    pub(super) fn hub_listings(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = Newest> {
        let summaries = self.live_summaries(now).map(|one| one.word.listing);
        summaries.chain(self.live_digests(now).map(|digest| digest.listing))
    }

    /// Returns where the holder of the lease takes wishes, if there is one.
    pub fn holder(&self, now: Millis) -> Option<SocketAddr> {
        let rumours = self.rumours(now);
        let held = rumours.into_iter().filter_map(|one| match one.word {
            LeaseWord::Holds { epoch, .. } => Some((epoch, one.from)),
            LeaseWord::GaveUp { .. } => None,
        });
        held.max().map(|(_, holder)| holder)
    }

    /// Returns what is said of the lease, directly or by hubs.
    pub fn rumours(&self, now: Millis) -> Vec<LeaseRumour> {
        let direct = self.live(now).filter_map(|peer| {
            Some(LeaseRumour {
                from: peer.address,
                word: peer.heartbeat.lease?,
                age_ms: now.since(peer.heard),
            })
        });
        let mut all: Vec<LeaseRumour> = direct.collect();
        for one in self.live_summaries(now) {
            self.add_rumours(&mut all, &one.word.lease, one.at, now);
        }
        for one in self.digests.values() {
            self.add_rumours(&mut all, &one.word.lease, one.at, now);
        }
        all
    }

    fn add_rumours(
        &self,
        all: &mut Vec<LeaseRumour>,
        heard: &[LeaseRumour],
        at: Millis,
        now: Millis,
    ) {
        let keep_ms = match self.standing.has_many_groups() {
            true => self.silent_ms * HUBS_KEEP,
            false => self.silent_ms,
        };
        let since = now.since(at);
        let later = heard.iter().map(|rumour| LeaseRumour {
            age_ms: rumour.age_ms.saturating_add(since),
            ..*rumour
        });
        all.extend(later.filter(|rumour| {
            rumour.age_ms < keep_ms && rumour.from != self.own.heartbeats
        }));
    }

    /// Returns the newest rumour of each gateway, and this one's own word.
    fn rumours_to_tell(
        &self,
        own: &Heartbeat,
        now: Millis,
    ) -> Vec<LeaseRumour> {
        let from = self.own.heartbeats;
        let own = own.lease.map(|word| LeaseRumour { from, word, age_ms: 0 });
        let mut all = self.rumours(now);
        all.extend(own);
        all.sort_by_key(|one| (one.from, one.age_ms));
        all.dedup_by_key(|one| one.from);
        all
    }

    /// Returns every gateway that a hub tells its group of; `own` is this
    /// gateway's own heartbeat.
    pub fn hub_members(
        &self,
        own: &Heartbeat,
        now: Millis,
    ) -> BTreeMap<SocketAddr, Member> {
        let elsewhere = self
            .live_digests(now)
            .filter(|digest| digest.data_centre != self.own.data_centre);
        let mut members: BTreeMap<SocketAddr, Member> =
            elsewhere.flat_map(|digest| members_of(&digest.members)).collect();
        for peer in self.live_in_group(now) {
            members.insert(peer.address, Member::of(&peer.heartbeat));
        }
        members.insert(self.own.heartbeats, Member::of(own));
        members
    }

    /// Makes a hub's summary; `own` is this gateway's own heartbeat.
    pub fn sum_up(
        &self,
        own: &Heartbeat,
        members: MemberNews,
        rulings: Option<Throttles>,
        now: Millis,
    ) -> Summary {
        // Not of what other hubs of the group say: two hubs would tell each
        // other for ever of a version whose only holder is gone.
        let digests = || self.live_digests(now);
        let catalogs = digests().map(|digest| digest.catalog);
        let listings = digests().map(|digest| digest.listing);
        Summary {
            number: own.number(),
            members,
            loads: self.sum_loads(&own.loads, now),
            lease: self.rumours_to_tell(own, now),
            catalog: newer(self.own_catalog(own, now), newest(catalogs)),
            listing: newer(self.own_listing(own, now), newest(listings)),
            evacuations: own.evacuations.clone(),
            crashes: own.crashes,
            rulings,
        }
    }

    /// Makes a foremost hub's digest of its group; `own` is this gateway's
    /// own heartbeat, `demand` that of the group for whom it concerns.
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
            lease: self.rumours_to_tell(own, now),
            catalog: self.own_catalog(own, now),
            listing: self.own_listing(own, now),
            evacuations: own.evacuations.clone(),
            crashes: own.crashes,
            demand,
        }
    }

    /// Returns how many gateways there were lately, by the word of the one
    /// that has seen the most; 0 if none is heard.
    pub fn most_seen(&self, now: Millis) -> usize {
        let peers = self.live(now).map(|peer| peer.heartbeat.seen);
        let hubs = self.live_summaries(now);
        let hubs =
            hubs.filter_map(|one| Some(one.word.rulings.as_ref()?.seen));
        let most = peers.chain(hubs).max().unwrap_or(0);
        usize::try_from(most).unwrap_or(usize::MAX)
    }

    /// Returns this gateway and those of its group that it hears itself.
    fn group_members(
        &self,
        own: &Heartbeat,
        now: Millis,
    ) -> BTreeMap<SocketAddr, Member> {
        let peers = self.live_in_group(now);
        let mut members: BTreeMap<SocketAddr, Member> = peers
            .map(|peer| (peer.address, Member::of(&peer.heartbeat)))
            .collect();
        members.insert(self.own.heartbeats, Member::of(own));
        members
    }

    /// Returns the newest configuration here and at those heard directly.
    fn own_catalog(&self, own: &Heartbeat, now: Millis) -> Newest {
        let here = Newest { version: own.catalog, state: own.state };
        newer(here, newest(self.versions(now, |peer| peer.heartbeat.catalog)))
    }

    /// Returns the newest list of upstreams here and at those heard directly.
    fn own_listing(&self, own: &Heartbeat, now: Millis) -> Newest {
        let here = Newest { version: own.listing, state: own.state };
        newer(here, newest(self.versions(now, |peer| peer.heartbeat.listing)))
    }
}

fn newest(all: impl Iterator<Item = Newest>) -> Option<Newest> {
    all.max_by_key(|one| one.version)
}

fn newer(one: Newest, other: Option<Newest>) -> Newest {
    other.filter(|other| other.version > one.version).unwrap_or(one)
}

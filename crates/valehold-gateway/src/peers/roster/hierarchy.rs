//! The hierarchy of gateways: the members of the fleet, their groups, and the
//! hubs of each group.
//!
//! The hierarchy follows from received reports by rules that are the same at
//! every gateway, so that gateways that received the same reports agree
//! without asking one another. It is recomputed a few times a second and read
//! much more often.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use serde::Serialize;
use valehold_core::{Millis, id::DataCentreId};

use super::LocalMember;
use crate::{
    peers::message::{
        Duty, Heartbeat, MemberList, MemberReport, Rank, StoreStatus,
    },
    view::Life,
};

/// The largest number of gateways that all exchange heartbeats directly,
/// without hubs.
const MAX_WITHOUT_HUBS: usize = 14;

/// The number of hubs where all gateways form one group.
const HUBS_OF_SINGLE_GROUP: usize = 3;

/// The number of hubs of each group where each data centre is a group.
const HUBS_PER_GROUP: usize = 2;

/// The largest number of gateways that still form one group; with more, each
/// data centre becomes a group. A hub receives from and sends to every gateway
/// of its group a few times a second: for 128 gateways, with the figures of
/// the largest deployment so far, this takes a twentieth of the weakest
/// machine that becomes a hub.
const MAX_IN_SINGLE_GROUP: usize = 128;

/// The smallest number of gateways that stay divided into several groups; with
/// fewer, they form one group again.
const MIN_FOR_MANY_GROUPS: usize = 96;

/// The interval between recomputations of the hierarchy where there are hubs,
/// in ms.
const RECOMPUTE_INTERVAL_MS: u64 = 200;

/// How long a gateway that should be a hub and stays silent is excluded from
/// being a hub, in ms.
const HUB_EXCLUSION_MS: u64 = 5_000;

/// The state of one gateway, as last reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// The rank that decides which duties the gateway has for the fleet.
    pub rank: Rank,
    /// The address at which the gateway takes requests.
    pub requests: SocketAddr,
    /// The data centre of the gateway.
    pub data_centre: DataCentreId,
    /// The stage of the gateway's life.
    pub life: Life,
    /// Whether the platform's store answers the gateway.
    pub store: StoreStatus,
}

impl Member {
    /// Returns the state that a heartbeat reports of its sender.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            rank: heartbeat.rank,
            requests: heartbeat.requests,
            data_centre: heartbeat.data_centre.clone(),
            life: heartbeat.life,
            store: heartbeat.store,
        }
    }

    /// Returns whether the gateway is starting or serving, and so not leaving.
    pub(super) fn stays(&self) -> bool {
        matches!(self.life, Life::Starting | Life::Serving)
    }
}

/// Returns the members of a list, by heartbeat address. Leaves out members
/// whose data centre is missing from the list.
pub fn members_of(
    list: &MemberList,
) -> impl Iterator<Item = (SocketAddr, Member)> {
    list.members.iter().filter_map(|record| {
        let index = usize::from(record.data_centre);
        let member = Member {
            rank: record.rank,
            requests: record.requests,
            data_centre: list.data_centres.get(index)?.clone(),
            life: record.life,
            store: record.store,
        };
        Some((record.heartbeats, member))
    })
}

impl MemberList {
    /// Creates the list of the given members, by heartbeat address.
    pub fn of<'a>(
        members: impl IntoIterator<Item = (&'a SocketAddr, &'a Member)>,
    ) -> Self {
        let mut list = Self::default();
        for (heartbeats, member) in members {
            list.push(*heartbeats, member);
        }
        list
    }

    /// Adds a member, and its data centre if the list does not contain it yet.
    fn push(&mut self, heartbeats: SocketAddr, member: &Member) {
        let listed_data_centres = self.data_centres.iter();
        let index = listed_data_centres
            .clone()
            .position(|listed| *listed == member.data_centre);
        let index = index.unwrap_or_else(|| {
            self.data_centres.push(member.data_centre.clone());
            self.data_centres.len() - 1
        });
        self.members.push(MemberReport {
            rank: member.rank,
            heartbeats,
            requests: member.requests,
            data_centre: u8::try_from(index).unwrap_or(u8::MAX),
            life: member.life,
            store: member.store,
        });
    }
}

/// The inputs from which the hierarchy is computed.
pub(super) struct HierarchyInputs<'a> {
    pub(super) members: BTreeMap<SocketAddr, Member>,
    pub(super) own: &'a LocalMember,
    pub(super) silent_ms: u64,
    pub(super) now: Millis,
}

/// The members of the fleet, and the hubs among them.
#[derive(Debug)]
pub struct Hierarchy {
    own: SocketAddr,
    own_data_centre: DataCentreId,
    members: BTreeMap<SocketAddr, Member>,
    many_groups: bool,
    /// The hubs of this gateway's group, in descending order of rank.
    local_hubs: Vec<SocketAddr>,
    remote_hubs: Vec<SocketAddr>,
    /// The primary hub of each other group.
    remote_primary_hubs: Vec<SocketAddr>,
    /// Hubs from which reports must arrive, and since when.
    expected_hubs: BTreeMap<SocketAddr, Millis>,
    /// When the last report of each gateway was received.
    last_received: BTreeMap<SocketAddr, Millis>,
    /// Gateways that are excluded from being hubs, and until when.
    excluded: BTreeMap<SocketAddr, Millis>,
    computed_at: Option<Millis>,
}

impl Hierarchy {
    /// Creates the hierarchy of a gateway that knows no other gateway yet.
    pub(super) fn new(own: &LocalMember) -> Self {
        Self {
            own: own.heartbeats,
            own_data_centre: own.data_centre.clone(),
            members: BTreeMap::new(),
            many_groups: false,
            local_hubs: Vec::new(),
            remote_hubs: Vec::new(),
            remote_primary_hubs: Vec::new(),
            expected_hubs: BTreeMap::new(),
            last_received: BTreeMap::new(),
            excluded: BTreeMap::new(),
            computed_at: None,
        }
    }

    /// Records that a report of a gateway was received.
    pub(super) fn record_receipt(&mut self, from: SocketAddr, now: Millis) {
        self.last_received.insert(from, now);
    }

    /// Returns whether the hierarchy must be recomputed: always where there
    /// are no hubs, otherwise once per interval.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        let every_ms = match self.local_hubs.is_empty() {
            true => 0,
            false => RECOMPUTE_INTERVAL_MS,
        };
        self.computed_at.is_none_or(|at| now.since(at) >= every_ms)
    }

    /// Replaces the members and chooses the hubs again.
    pub(super) fn recompute(&mut self, inputs: HierarchyInputs<'_>) {
        let HierarchyInputs { members, own, silent_ms, now } = inputs;
        self.computed_at = Some(now);
        self.members = members;
        self.last_received.retain(|_, at| now.since(*at) < HUB_EXCLUSION_MS);
        self.exclude_silent_hubs(silent_ms, now);
        let count = self.staying().count();
        self.many_groups = match self.many_groups {
            true => count >= MIN_FOR_MANY_GROUPS,
            false => count > MAX_IN_SINGLE_GROUP,
        };
        self.choose_hubs(count, own);
        self.expect_hubs(now);
    }

    /// Excludes gateways that should report as hubs and have been silent for
    /// `silent_ms`.
    fn exclude_silent_hubs(&mut self, silent_ms: u64, now: Millis) {
        self.excluded.retain(|_, until| now < *until);
        let is_silent = |address: &SocketAddr| {
            let received_at = self.last_received.get(address);
            received_at.is_none_or(|at| now.since(*at) >= silent_ms)
        };
        for (address, since) in &self.expected_hubs {
            if now.since(*since) >= silent_ms && is_silent(address) {
                self.excluded.insert(*address, now + HUB_EXCLUSION_MS);
            }
        }
    }

    fn choose_hubs(&mut self, count: usize, own: &LocalMember) {
        self.local_hubs.clear();
        self.remote_hubs.clear();
        self.remote_primary_hubs.clear();
        if count <= MAX_WITHOUT_HUBS {
            return;
        }
        if !self.many_groups {
            self.local_hubs =
                self.highest_ranked(HUBS_OF_SINGLE_GROUP, |_| true);
            return;
        }
        let mut groups: Vec<&DataCentreId> =
            self.members.values().map(|member| &member.data_centre).collect();
        groups.sort_unstable();
        groups.dedup();
        let (mut remote_hubs, mut remote_primary_hubs) =
            (Vec::new(), Vec::new());
        for group in groups {
            let hubs = self.highest_ranked(HUBS_PER_GROUP, |member| {
                member.data_centre == *group
            });
            match *group == own.data_centre {
                true => self.local_hubs = hubs,
                false => {
                    remote_primary_hubs.extend(hubs.first());
                    remote_hubs.extend(hubs);
                }
            }
        }
        self.remote_hubs = remote_hubs;
        self.remote_primary_hubs = remote_primary_hubs;
    }

    /// Returns up to `count` gateways of highest rank that match the
    /// predicate, in descending order of rank. Gateways that are leaving or
    /// excluded are not eligible.
    fn highest_ranked(
        &self,
        count: usize,
        predicate: impl Fn(&Member) -> bool,
    ) -> Vec<SocketAddr> {
        let eligible = self.members.iter().filter(|(address, member)| {
            member.stays()
                && predicate(member)
                && !self.excluded.contains_key(address)
        });
        let mut eligible: Vec<(Rank, SocketAddr)> = eligible
            .map(|(address, member)| {
                (member.rank.for_duty(Duty::Hub), *address)
            })
            .collect();
        eligible.sort_unstable_by_key(|entry| Reverse(*entry));
        eligible.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Updates the hubs from which reports must arrive: the other hubs of this
    /// gateway's group and, if this gateway is a hub, the primary hub of each
    /// other group.
    fn expect_hubs(&mut self, now: Millis) {
        let own = self.own;
        let mut expected_hubs: Vec<SocketAddr> = self.local_hubs.clone();
        if self.local_hubs.contains(&own) {
            expected_hubs.extend(&self.remote_primary_hubs);
        }
        expected_hubs.retain(|address| *address != own);
        self.expected_hubs
            .retain(|address, _| expected_hubs.contains(address));
        for address in expected_hubs {
            self.expected_hubs.entry(address).or_insert(now);
        }
    }

    /// Returns whether each data centre is a group of its own.
    pub fn has_many_groups(&self) -> bool {
        self.many_groups
    }

    /// Returns the hubs of this gateway's group, in descending order of rank.
    pub fn local_hubs(&self) -> &[SocketAddr] {
        &self.local_hubs
    }

    /// Returns the hubs of other groups.
    pub fn remote_hubs(&self) -> &[SocketAddr] {
        &self.remote_hubs
    }

    /// Returns the hubs of all groups.
    pub fn all_hubs(&self) -> impl Iterator<Item = SocketAddr> {
        self.local_hubs.iter().chain(&self.remote_hubs).copied()
    }

    /// Returns whether a gateway, given by its heartbeat address, is a member.
    pub fn contains(&self, heartbeats: &SocketAddr) -> bool {
        self.members.contains_key(heartbeats)
    }

    /// Returns the heartbeat addresses of all members, including this gateway.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.keys().copied()
    }

    /// Returns the gateways of this gateway's group, including itself.
    pub fn group(&self) -> impl Iterator<Item = SocketAddr> {
        let is_in_group = |(_, member): &(&SocketAddr, &Member)| {
            !self.many_groups || member.data_centre == self.own_data_centre
        };
        self.members.iter().filter(is_in_group).map(|(address, _)| *address)
    }

    /// Returns the gateways of this gateway's group that are not hubs.
    pub fn group_without_hubs(&self) -> impl Iterator<Item = SocketAddr> {
        self.group().filter(|address| !self.local_hubs.contains(address))
    }

    /// Returns every gateway that is not leaving.
    pub fn staying(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.stays())
    }

    /// Returns every gateway with its heartbeat address.
    pub fn all(&self) -> impl Iterator<Item = (SocketAddr, &Member)> {
        self.members.iter().map(|(address, member)| (*address, member))
    }

    /// Returns every serving gateway, including this one, with its heartbeat
    /// address.
    pub fn serving(&self) -> impl Iterator<Item = (SocketAddr, &Member)> {
        let all = self.members.iter();
        all.filter(|(_, member)| member.life == Life::Serving)
            .map(|(address, member)| (*address, member))
    }

    /// Returns every other serving gateway with its heartbeat address.
    pub fn serving_others(
        &self,
    ) -> impl Iterator<Item = (SocketAddr, &Member)> + Clone {
        let own = self.own;
        let all = self.members.iter();
        all.filter(move |(address, member)| {
            **address != own && member.life == Life::Serving
        })
        .map(|(address, member)| (*address, member))
    }
}

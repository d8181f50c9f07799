//! Which gateways there are, and who of them does what for the others.
//!
//! All of it follows from what is heard, by rules that are the same at every
//! gateway: gateways that hear the same agree without asking one another.
//! It is worked out a few times a second and read much more often.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use serde::Serialize;
use valehold_core::{Millis, id::DataCentreId};

use super::LocalMember;
use crate::{
    peers::message::{
        Duty, Heartbeat, MemberList, MemberWord, Rank, StoreSight,
    },
    view::Life,
};

/// Up to how many gateways each hears every other.
const MAX_WITHOUT_HUBS: usize = 14;

/// How many hubs there are where all gateways are one group.
const HUBS_OF_SINGLE_GROUP: usize = 3;

/// How many hubs a group has where there are many.
const HUBS_PER_GROUP: usize = 2;

/// Above how many gateways each data centre is a group of its own. A hub
/// hears every gateway of its group a few times a second and tells each as
/// often: at 128, with the figures of the largest deployment so far, this is
/// a twentieth of the weakest machine that comes to be a hub.
const MAX_IN_SINGLE_GROUP: usize = 128;

/// Below how many gateways they are one group again.
const MIN_FOR_MANY_GROUPS: usize = 96;

/// How often all this is worked out where gateways are many, in ms.
const RECOMPUTE_INTERVAL_MS: u64 = 200;

/// For how long a gateway that was expected to be a hub and said nothing is
/// passed over, in ms.
const HUB_EXCLUSION_MS: u64 = 5_000;

/// What is known of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// How suited it is to work for the others.
    pub rank: Rank,
    /// Where it takes requests.
    pub requests: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// How far its life has come.
    pub life: Life,
    /// Whether the platform's store answers it.
    pub store: StoreSight,
}

impl Member {
    /// Takes from a heartbeat what it says of its sender.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            rank: heartbeat.rank,
            requests: heartbeat.requests,
            data_centre: heartbeat.data_centre.clone(),
            life: heartbeat.life,
            store: heartbeat.store,
        }
    }

    /// Tells whether it does not leave.
    pub(super) fn stays(&self) -> bool {
        matches!(self.life, Life::Starting | Life::Serving)
    }
}

/// Returns the gateways of a list, by where they take heartbeats.
pub fn members_of(
    list: &MemberList,
) -> impl Iterator<Item = (SocketAddr, Member)> {
    list.members.iter().filter_map(|word| {
        let place = usize::from(word.data_centre);
        let member = Member {
            rank: word.rank,
            requests: word.requests,
            data_centre: list.data_centres.get(place)?.clone(),
            life: word.life,
            store: word.store,
        };
        Some((word.heartbeats, member))
    })
}

impl MemberList {
    /// Lists gateways.
    pub fn of<'a>(
        members: impl IntoIterator<Item = (&'a SocketAddr, &'a Member)>,
    ) -> Self {
        let mut list = Self::default();
        for (heartbeats, member) in members {
            list.push(*heartbeats, member);
        }
        list
    }

    /// Adds a gateway.
    fn push(&mut self, heartbeats: SocketAddr, member: &Member) {
        let known = self.data_centres.iter();
        let place = known.clone().position(|one| *one == member.data_centre);
        let place = place.unwrap_or_else(|| {
            self.data_centres.push(member.data_centre.clone());
            self.data_centres.len() - 1
        });
        self.members.push(MemberWord {
            rank: member.rank,
            heartbeats,
            requests: member.requests,
            data_centre: u8::try_from(place).unwrap_or(u8::MAX),
            life: member.life,
            store: member.store,
        });
    }
}

/// From what a standing is worked out.
pub(super) struct HierarchyInputs<'a> {
    pub(super) members: BTreeMap<SocketAddr, Member>,
    pub(super) own: &'a LocalMember,
    pub(super) silent_ms: u64,
    pub(super) now: Millis,
}

/// Which gateways there are, and who of them does what.
#[derive(Debug)]
pub struct Hierarchy {
    own: SocketAddr,
    own_data_centre: DataCentreId,
    members: BTreeMap<SocketAddr, Member>,
    many_groups: bool,
    /// The hubs of this gateway's group, the greatest first.
    local_hubs: Vec<SocketAddr>,
    remote_hubs: Vec<SocketAddr>,
    /// The greatest hub of each other group.
    remote_primary_hubs: Vec<SocketAddr>,
    /// Gateways that are to be heard as hubs, and since when.
    expected_hubs: BTreeMap<SocketAddr, Millis>,
    /// When each gateway was heard last.
    last_received: BTreeMap<SocketAddr, Millis>,
    /// Gateways that are passed over as hubs, and until when.
    excluded: BTreeMap<SocketAddr, Millis>,
    computed_at: Option<Millis>,
}

impl Hierarchy {
    /// Makes the standing of a gateway that has heard of nobody.
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

    /// Notes that a gateway was heard.
    pub(super) fn record_receipt(&mut self, from: SocketAddr, now: Millis) {
        self.last_received.insert(from, now);
    }

    /// Tells whether it is to be worked out anew.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        let every_ms = match self.local_hubs.is_empty() {
            true => 0,
            false => RECOMPUTE_INTERVAL_MS,
        };
        self.computed_at.is_none_or(|at| now.since(at) >= every_ms)
    }

    /// Works it out.
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

    /// Passes over who was to be heard as a hub and was not.
    fn exclude_silent_hubs(&mut self, silent_ms: u64, now: Millis) {
        self.excluded.retain(|_, until| now < *until);
        let is_silent = |address: &SocketAddr| {
            let heard = self.last_received.get(address);
            heard.is_none_or(|at| now.since(*at) >= silent_ms)
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
            let hubs = self.highest_ranked(HUBS_PER_GROUP, |one| {
                one.data_centre == *group
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

    /// Returns the greatest gateways of some, the greatest first.
    fn highest_ranked(
        &self,
        count: usize,
        which: impl Fn(&Member) -> bool,
    ) -> Vec<SocketAddr> {
        let eligible = self.members.iter().filter(|(address, member)| {
            member.stays()
                && which(member)
                && !self.excluded.contains_key(address)
        });
        let mut eligible: Vec<(Rank, SocketAddr)> = eligible
            .map(|(address, one)| (one.rank.for_duty(Duty::Hub), *address))
            .collect();
        eligible.sort_unstable_by_key(|one| Reverse(*one));
        eligible.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Notes which gateways are to be heard: the hubs of its own group, and,
    /// for a hub, the foremost of each other one.
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

    /// Tells whether each data centre is a group of its own.
    pub fn has_many_groups(&self) -> bool {
        self.many_groups
    }

    /// Returns the hubs of this gateway's group, the greatest first.
    pub fn local_hubs(&self) -> &[SocketAddr] {
        &self.local_hubs
    }

    /// Returns the hubs of other groups.
    pub fn remote_hubs(&self) -> &[SocketAddr] {
        &self.remote_hubs
    }

    /// Returns all hubs.
    pub fn all_hubs(&self) -> impl Iterator<Item = SocketAddr> {
        self.local_hubs.iter().chain(&self.remote_hubs).copied()
    }

    /// Tells whether a gateway is heard of.
    pub fn contains(&self, heartbeats: &SocketAddr) -> bool {
        self.members.contains_key(heartbeats)
    }

    /// Returns every gateway, this one among them.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.keys().copied()
    }

    /// Returns the gateways of this one's group, itself among them.
    pub fn group(&self) -> impl Iterator<Item = SocketAddr> {
        let is_near = |(_, member): &(&SocketAddr, &Member)| {
            !self.many_groups || member.data_centre == self.own_data_centre
        };
        self.members.iter().filter(is_near).map(|(address, _)| *address)
    }

    /// Returns the gateways of this one's group that are no hubs.
    pub fn group_without_hubs(&self) -> impl Iterator<Item = SocketAddr> {
        self.group().filter(|address| !self.local_hubs.contains(address))
    }

    /// Returns every gateway that does not leave.
    pub fn staying(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.stays())
    }

    /// Returns every gateway with its address.
    pub fn all(&self) -> impl Iterator<Item = (SocketAddr, &Member)> {
        self.members.iter().map(|(address, member)| (*address, member))
    }

    /// Returns every gateway that serves.
    pub fn serving(&self) -> impl Iterator<Item = (SocketAddr, &Member)> {
        let all = self.members.iter();
        all.filter(|(_, member)| member.life == Life::Serving)
            .map(|(address, member)| (*address, member))
    }

    /// Returns every other gateway that serves.
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

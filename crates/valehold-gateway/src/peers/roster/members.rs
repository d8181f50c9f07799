//! The member lists that hubs advertise to their groups, sent as changes.
//!
//! A hub sends the members that changed since its last update, and a digest of
//! the whole list that it has advertised. A gateway whose received list has
//! another digest lost an update or has just started, and requests the full
//! list. The cost of a change therefore does not grow with the number of
//! members that did not change.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Bound,
};

use xxhash_rust::xxh3::xxh3_64;

use super::hierarchy::{Member, members_of};
use crate::peers::message::{MemberChanges, MemberList, MemberPart};

/// The largest number of members in one datagram, at some 25 bytes each.
const MAX_PER_DATAGRAM: usize = 1_024;

/// The number of members that suffices to choose hubs and observers: members
/// of highest rank are sent first, and have these duties regardless of the
/// members that follow. The number is larger than a single group may be, so
/// that all gateways agree that there are several groups.
const SUFFICIENT_MEMBERS: usize = 256;

/// The bytes that each member takes in a datagram.
const BYTES_PER_MEMBER: f64 = 25.0;

/// The share of a hub's link that member changes may take.
const LINK_SHARE: f64 = 0.25;

/// Returns how many changed members a hub may send in one update, so that
/// updates to `group` gateways every `every_ms` stay within the share of its
/// link.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn max_changes(link_mbps: f64, every_ms: u64, group: usize) -> usize {
    let bytes_per_ms = link_mbps * 1_000.0 / 8.0 * LINK_SHARE;
    let bytes = bytes_per_ms * every_ms as f64;
    let limit = bytes / BYTES_PER_MEMBER / group.max(1) as f64;
    (limit as usize).clamp(1, MAX_PER_DATAGRAM)
}

/// Members by heartbeat address, with a digest of all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    digest: u64,
}

impl MemberTable {
    /// Returns the number of members.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns all members with their heartbeat addresses.
    pub(super) fn iter(
        &self,
    ) -> impl Iterator<Item = (SocketAddr, &Member)> + use<'_> {
        self.members.iter().map(|(address, member)| (*address, member))
    }

    fn insert(&mut self, address: SocketAddr, member: Member) {
        self.digest ^= digest_of(&address, &member);
        if let Some(previous) = self.members.insert(address, member) {
            self.digest ^= digest_of(&address, &previous);
        }
    }

    fn remove(&mut self, address: &SocketAddr) {
        if let Some(previous) = self.members.remove(address) {
            self.digest ^= digest_of(address, &previous);
        }
    }

    fn insert_all(&mut self, list: &MemberList) {
        for (address, member) in members_of(list) {
            self.insert(address, member);
        }
    }

    /// Removes and inserts the members that an update lists.
    fn apply(&mut self, update: &MemberChanges) {
        for address in &update.removed {
            self.remove(address);
        }
        self.insert_all(&update.changed);
    }

    /// Replaces the members in the address range of a part by the members of
    /// the part.
    fn replace(&mut self, part: &MemberPart) {
        let Some(range) = part.range() else { return };
        let within = self.members.range(range);
        let replaced: Vec<SocketAddr> =
            within.map(|(address, _)| *address).collect();
        for address in replaced {
            self.remove(&address);
        }
        self.insert_all(&part.members);
    }
}

impl MemberPart {
    /// Returns the range of addresses that the part covers completely, or
    /// `None` if the range is empty.
    fn range(&self) -> Option<(Bound<SocketAddr>, Bound<SocketAddr>)> {
        if let (Some(after), Some(until)) = (self.after, self.until)
            && after >= until
        {
            return None;
        }
        let from = self.after.map_or(Bound::Unbounded, Bound::Excluded);
        let to = self.until.map_or(Bound::Unbounded, Bound::Included);
        Some((from, to))
    }
}

/// Returns the digest of one member. The digests of several members are
/// combined by exclusive or, so that their order does not matter and one
/// member can be removed again.
fn digest_of(address: &SocketAddr, member: &Member) -> u64 {
    // Serialization of addresses and plain values cannot fail.
    let bytes = postcard::to_stdvec(&(address, member)).unwrap_or_default();
    xxh3_64(&bytes)
}

/// The members received from one hub.
#[derive(Debug, Clone, Default)]
pub(super) struct ReceivedMembers {
    /// The start of the hub that sent the members.
    start: u64,
    table: MemberTable,
    /// Whether the received members sufficed to choose hubs and observers, now
    /// or at an earlier time.
    is_sufficient: bool,
}

impl ReceivedMembers {
    /// Discards the members of another start of the hub, and applies an
    /// update. Returns whether an earlier update is missing.
    pub(super) fn apply_changes(
        &mut self,
        start: u64,
        update: &MemberChanges,
    ) -> bool {
        if self.start != start {
            *self = Self { start, ..Self::default() };
        }
        self.table.apply(update);
        let is_missing = self.table.digest != update.digest;
        self.is_sufficient |= update.is_sufficient && !is_missing;
        is_missing
    }

    /// Applies one part of the hub's full list. Ignores the part if it comes
    /// from another start of the hub.
    pub(super) fn apply_part(&mut self, part: &MemberPart) {
        if self.start != part.start {
            return;
        }
        self.table.replace(part);
        let is_missing = self.table.digest != part.digest;
        self.is_sufficient |= part.is_sufficient && !is_missing;
    }

    /// Returns the members once they suffice to choose hubs and observers, or
    /// `None` before that.
    pub(super) fn sufficient(&self) -> Option<&MemberTable> {
        self.is_sufficient.then_some(&self.table)
    }
}

/// The members that this gateway, as a hub, has advertised to its group.
#[derive(Debug, Default)]
pub struct AdvertisedMembers {
    advertised: MemberTable,
    /// Whether the advertised members suffice to choose hubs and observers.
    is_sufficient: bool,
    /// Gateways that requested the full list and did not receive it yet.
    full_list_requests: BTreeSet<SocketAddr>,
    /// The number of requests that may still be answered before the budget is
    /// set again.
    reply_budget: usize,
}

impl AdvertisedMembers {
    /// Returns the next update, given the current members, with at most
    /// `limit` changes. Removed members come first. If not all changed members
    /// fit, the ones of highest rank come first; later updates contain the
    /// rest.
    pub fn next_update(
        &mut self,
        current: &BTreeMap<SocketAddr, Member>,
        limit: usize,
    ) -> MemberChanges {
        let advertised = &self.advertised.members;
        let is_gone = |address: &&SocketAddr| !current.contains_key(address);
        let gone = advertised.keys().filter(is_gone).take(limit);
        let gone: Vec<SocketAddr> = gone.copied().collect();
        let is_changed = |(address, member): &(&SocketAddr, &Member)| {
            advertised.get(address) != Some(member)
        };
        let mut changed: Vec<_> = current.iter().filter(is_changed).collect();
        let remaining = limit - gone.len();
        if changed.len() > remaining {
            changed.sort_by_key(|(_, member)| Reverse(member.rank));
            changed.truncate(remaining);
        }
        let changed = MemberList::of(changed);
        let mut update = MemberChanges {
            changed,
            removed: gone,
            digest: 0,
            is_sufficient: false,
        };
        self.advertised.apply(&update);
        self.is_sufficient = self.advertised.len() >= SUFFICIENT_MEMBERS
            || self.advertised.members == *current;
        update.digest = self.advertised.digest;
        update.is_sufficient = self.is_sufficient;
        update
    }

    /// Records that a gateway requests the full list.
    pub fn request_full_list(&mut self, from: SocketAddr) {
        self.full_list_requests.insert(from);
    }

    /// Sets how many requests for the full list may be answered until the next
    /// call. At least one is always allowed.
    pub fn set_reply_budget(&mut self, limit: usize) {
        self.reply_budget = limit.max(1);
    }

    /// Removes and returns the requests for the full list that may be answered
    /// within the budget.
    pub fn take_full_list_requests(&mut self) -> Vec<SocketAddr> {
        let mut taken = Vec::new();
        while self.reply_budget > 0
            && let Some(request) = self.full_list_requests.pop_first()
        {
            self.reply_budget -= 1;
            taken.push(request);
        }
        taken
    }

    /// Returns the number of advertised members.
    pub fn len(&self) -> usize {
        self.advertised.len()
    }

    /// Returns whether no members were advertised.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the full advertised list in parts that each fit into a
    /// datagram. `start` is the start of this gateway.
    pub fn parts(&self, start: u64) -> Vec<MemberPart> {
        let advertised: Vec<(&SocketAddr, &Member)> =
            self.advertised.members.iter().collect();
        let mut parts: Vec<MemberPart> = Vec::new();
        for chunk in advertised.chunks(MAX_PER_DATAGRAM) {
            let members = MemberList::of(chunk.iter().copied());
            let after = parts.last().and_then(|part| part.until);
            let until = chunk.last().map(|(address, _)| **address);
            parts.push(MemberPart {
                start,
                after,
                until,
                members,
                digest: self.advertised.digest,
                is_sufficient: self.is_sufficient,
            });
        }
        if let Some(last) = parts.last_mut() {
            last.until = None;
        }
        parts
    }
}

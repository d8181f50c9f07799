//! The gateways that a hub tells its group of, as changes.
//!
//! A hub tells what changed since it told last, with a digest of all that it
//! told. Who finds another digest than that of what it heard has lost a change,
//! or has just come, and asks for all. So what a change costs does not grow
//! with the gateways that did not change.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Bound,
};

use xxhash_rust::xxh3::xxh3_64;

use super::hierarchy::{Member, members_of};
use crate::peers::message::{MemberList, MemberNews, MemberPart};

/// How many gateways one datagram tells of at the most: some 25 bytes each.
const MAX_PER_DATAGRAM: usize = 1_024;

/// Of how many gateways it is enough to know: the greatest by rank are told
/// first, and are hubs and observers whoever else there is. More than make one
/// group, so that all agree that there are several.
const SUFFICIENT_MEMBERS: usize = 256;

/// The bytes that a datagram takes for each gateway that it tells of.
const BYTES_PER_MEMBER: f64 = 25.0;

/// The part of a hub's link that changes of gateways may take.
const LINK_SHARE: f64 = 0.25;

/// Returns of how many changed gateways a hub tells at once: what its link
/// bears while it tells `group` gateways once in `every_ms`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn max_changes(link_mbps: f64, every_ms: u64, group: usize) -> usize {
    let bytes_per_ms = link_mbps * 1_000.0 / 8.0 * LINK_SHARE;
    let bytes = bytes_per_ms * every_ms as f64;
    let most = bytes / BYTES_PER_MEMBER / group.max(1) as f64;
    (most as usize).clamp(1, MAX_PER_DATAGRAM)
}

/// Gateways, by where they take heartbeats, with a digest of all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    digest: u64,
}

impl MemberTable {
    /// Returns how many there are.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns them all.
    pub(super) fn iter(
        &self,
    ) -> impl Iterator<Item = (SocketAddr, &Member)> + use<'_> {
        self.members.iter().map(|(address, member)| (*address, member))
    }

    fn insert(&mut self, address: SocketAddr, member: Member) {
        self.digest ^= digest_of(&address, &member);
        if let Some(before) = self.members.insert(address, member) {
            self.digest ^= digest_of(&address, &before);
        }
    }

    fn remove(&mut self, address: &SocketAddr) {
        if let Some(before) = self.members.remove(address) {
            self.digest ^= digest_of(address, &before);
        }
    }

    fn insert_all(&mut self, list: &MemberList) {
        for (address, member) in members_of(list) {
            self.insert(address, member);
        }
    }

    /// Takes in what changed.
    fn apply(&mut self, news: &MemberNews) {
        for address in &news.gone {
            self.remove(address);
        }
        self.insert_all(&news.changed);
    }

    /// Puts a part in the place of what is known of its range.
    fn replace(&mut self, part: &MemberPart) {
        let Some(range) = part.range() else { return };
        let within = self.members.range(range);
        let before: Vec<SocketAddr> = within.map(|(one, _)| *one).collect();
        for address in before {
            self.remove(&address);
        }
        self.insert_all(&part.members);
    }
}

impl MemberPart {
    /// Returns the range of addresses that it tells all of; `None` if there
    /// is no such range.
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

/// The digest of one gateway. Those of several are joined by exclusive or, so
/// that their order does not matter and one can be taken out again.
fn digest_of(address: &SocketAddr, member: &Member) -> u64 {
    // Addresses and plain values can always be written.
    let bytes = postcard::to_stdvec(&(address, member)).unwrap_or_default();
    xxh3_64(&bytes)
}

/// The gateways that one hub told of.
#[derive(Debug, Clone, Default)]
pub(super) struct ReceivedMembers {
    /// The start of the hub that told.
    start: u64,
    table: MemberTable,
    /// Whether enough of what the hub told was once known here.
    is_enough: bool,
}

impl ReceivedMembers {
    /// Takes in a hub's news; tells whether something of what it told before
    /// is missing.
    pub(super) fn apply_changes(
        &mut self,
        start: u64,
        news: &MemberNews,
    ) -> bool {
        if self.start != start {
            *self = Self { start, ..Self::default() };
        }
        self.table.apply(news);
        let is_missing = self.table.digest != news.digest;
        self.is_enough |= news.is_enough && !is_missing;
        is_missing
    }

    /// Takes in a part of all that the hub told.
    pub(super) fn apply_part(&mut self, part: &MemberPart) {
        if self.start != part.start {
            return;
        }
        self.table.replace(part);
        let is_missing = self.table.digest != part.digest;
        self.is_enough |= part.is_enough && !is_missing;
    }

    /// Returns the gateways, once they were enough to tell who stands for
    /// what.
    pub(super) fn sufficient(&self) -> Option<&MemberTable> {
        self.is_enough.then_some(&self.table)
    }
}

/// What this gateway told its group, as a hub, of who is there.
#[derive(Debug, Default)]
pub struct AdvertisedMembers {
    advertised: MemberTable,
    /// Whether these are enough to tell who stands for what.
    is_enough: bool,
    /// Gateways that asked for all and were not told yet.
    full_list_requests: BTreeSet<SocketAddr>,
    /// How many of them may be told until the next news.
    reply_budget: usize,
}

impl AdvertisedMembers {
    /// Returns what is to be told, given all that are heard of: up to `most`
    /// changes, the greatest gateways by rank first, what is left with the
    /// next news.
    pub fn next_update(
        &mut self,
        heard: &BTreeMap<SocketAddr, Member>,
        most: usize,
    ) -> MemberNews {
        let told = &self.advertised.members;
        let is_gone = |address: &&SocketAddr| !heard.contains_key(address);
        let gone = told.keys().filter(is_gone).take(most);
        let gone: Vec<SocketAddr> = gone.copied().collect();
        let is_changed = |(address, member): &(&SocketAddr, &Member)| {
            told.get(address) != Some(member)
        };
        let mut changed: Vec<_> = heard.iter().filter(is_changed).collect();
        let left = most - gone.len();
        if changed.len() > left {
            changed.sort_by_key(|(_, member)| Reverse(member.rank));
            changed.truncate(left);
        }
        let changed = MemberList::of(changed);
        let mut news =
            MemberNews { changed, gone, digest: 0, is_enough: false };
        self.advertised.apply(&news);
        self.is_enough = self.advertised.len() >= SUFFICIENT_MEMBERS
            || self.advertised.members == *heard;
        news.digest = self.advertised.digest;
        news.is_enough = self.is_enough;
        news
    }

    /// Notes that a gateway asks for all.
    pub fn request_full_list(&mut self, from: SocketAddr) {
        self.full_list_requests.insert(from);
    }

    /// Lets so many of those that ask be told until this is called again; at
    /// least one.
    pub fn set_reply_budget(&mut self, most: usize) {
        self.reply_budget = most.max(1);
    }

    /// Takes those of the gateways that asked for all that may be told now.
    pub fn take_full_list_requests(&mut self) -> Vec<SocketAddr> {
        let mut taken = Vec::new();
        while self.reply_budget > 0
            && let Some(one) = self.full_list_requests.pop_first()
        {
            self.reply_budget -= 1;
            taken.push(one);
        }
        taken
    }

    /// Returns how many gateways were told.
    pub fn len(&self) -> usize {
        self.advertised.len()
    }

    /// Tells whether none was told.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all that was told, in parts that fit into datagrams; `start` is
    /// that of this gateway.
    pub fn parts(&self, start: u64) -> Vec<MemberPart> {
        let all: Vec<(&SocketAddr, &Member)> =
            self.advertised.members.iter().collect();
        let mut parts: Vec<MemberPart> = Vec::new();
        for some in all.chunks(MAX_PER_DATAGRAM) {
            let members = MemberList::of(some.iter().copied());
            let after = parts.last().and_then(|part| part.until);
            let until = some.last().map(|(address, _)| **address);
            parts.push(MemberPart {
                start,
                after,
                until,
                members,
                digest: self.advertised.digest,
                is_enough: self.is_enough,
            });
        }
        if let Some(last) = parts.last_mut() {
            last.until = None;
        }
        parts
    }
}

//! Which upstreams and instances are there to work.
//!
//! Three sources speak: the platform's list, which lags; the member itself,
//! whose word that it leaves is final; and its silence. A member that the
//! list lacks is not thereby gone while it still answers.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    chart::library::{self, UpstreamEvent, UpstreamState},
    id::UpstreamId,
    time::Millis,
};

/// After how long a silent member is doubted, and given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Silence {
    /// After how long without a report it is suspect, in ms.
    pub suspect_ms: u64,
    /// After how long without a report it is dead, in ms.
    pub dead_ms: u64,
}

impl Default for Silence {
    fn default() -> Self {
        Self { suspect_ms: 2_500, dead_ms: 6_000 }
    }
}

/// How failing members are set aside.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ejection {
    /// After how many failures in a row.
    pub after_failures: u32,
    /// For how long, in ms.
    pub for_ms: u64,
    /// The greatest part of the members that may be set aside at once.
    pub most: f64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self { after_failures: 5, for_ms: 5_000, most: 0.5 }
    }
}

#[derive(Debug, Clone)]
struct Member {
    state: UpstreamState,
    last_heard: Millis,
    failures: u32,
    ejected_until: Millis,
}

/// What is known of the members of one kind.
#[derive(Debug, Clone)]
pub struct Membership {
    silence: Silence,
    ejection: Ejection,
    members: BTreeMap<UpstreamId, Member>,
}

impl Membership {
    /// Makes an empty membership.
    pub fn new(silence: Silence, ejection: Ejection) -> Self {
        Self { silence, ejection, members: BTreeMap::new() }
    }

    /// Sets which members there should be.
    ///
    /// New ones are unknown until heard of; the others are forgotten.
    pub fn set_members(
        &mut self,
        members: impl IntoIterator<Item = UpstreamId>,
        now: Millis,
    ) {
        let mut kept = BTreeMap::new();
        for id in members {
            let member = self.members.remove(&id).unwrap_or(Member {
                state: library::upstream().initial(),
                last_heard: now,
                failures: 0,
                ejected_until: Millis::default(),
            });
            kept.insert(id, member);
        }
        self.members = kept;
    }

    /// Notes a member's report.
    pub fn heard(&mut self, id: &UpstreamId, now: Millis) {
        self.follow(id, UpstreamEvent::Heard);
        if let Some(member) = self.members.get_mut(id) {
            member.last_heard = now;
        }
    }

    /// Notes that a member, or the list about it, said that it leaves.
    pub fn said_leaving(&mut self, id: &UpstreamId) {
        self.follow(id, UpstreamEvent::SaidLeaving);
    }

    /// Notes that the platform's list lacks a member.
    pub fn listed_gone(&mut self, id: &UpstreamId) {
        self.follow(id, UpstreamEvent::ListedGone);
    }

    /// Forgets a leaving member that came back as a new process.
    pub fn restarted(&mut self, id: &UpstreamId, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.state = library::upstream().initial();
            member.failures = 0;
            member.last_heard = now;
        }
        self.follow(id, UpstreamEvent::Heard);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        let silence = self.silence;
        for member in self.members.values_mut() {
            let silent_ms = now.since(member.last_heard);
            let event = if silent_ms >= silence.dead_ms {
                UpstreamEvent::Silent
            } else if silent_ms >= silence.suspect_ms {
                UpstreamEvent::Missed
            } else {
                continue;
            };
            member.state = library::upstream().next(member.state, event);
        }
    }

    /// Notes that a request to a member failed.
    pub fn failed(&mut self, id: &UpstreamId, now: Millis) {
        let may_eject = self.may_eject_one_more(now);
        let ejection = self.ejection;
        let Some(member) = self.members.get_mut(id) else { return };
        member.failures += 1;
        let is_due = member.failures >= ejection.after_failures;
        if is_due && now >= member.ejected_until && may_eject {
            member.ejected_until = now + ejection.for_ms;
            // One more failure after the pause ejects it again.
            member.failures = ejection.after_failures.saturating_sub(1);
        }
    }

    /// Notes that a request to a member succeeded.
    pub fn succeeded(&mut self, id: &UpstreamId) {
        if let Some(member) = self.members.get_mut(id) {
            member.failures = 0;
            member.ejected_until = Millis::default();
        }
    }

    /// Returns a member's state.
    pub fn state(&self, id: &UpstreamId) -> UpstreamState {
        let member = self.members.get(id);
        member.map_or(UpstreamState::Unknown, |member| member.state)
    }

    /// Tells whether a member may be given new work at `now`.
    ///
    /// Suspect members may: the caller of this function prefers live ones.
    pub fn takes_work(&self, id: &UpstreamId, now: Millis) -> bool {
        self.members.get(id).is_some_and(|member| {
            let state = member.state;
            let there =
                matches!(state, UpstreamState::Live | UpstreamState::Suspect);
            there && now >= member.ejected_until
        })
    }

    /// Returns every member with its state.
    pub fn states(
        &self,
    ) -> impl Iterator<Item = (&UpstreamId, UpstreamState)> {
        self.members.iter().map(|(id, member)| (id, member.state))
    }

    fn may_eject_one_more(&self, now: Millis) -> bool {
        let there = |m: &&Member| {
            matches!(m.state, UpstreamState::Live | UpstreamState::Suspect)
        };
        let all = self.members.values().filter(there).count();
        let out = self
            .members
            .values()
            .filter(there)
            .filter(|m| now < m.ejected_until)
            .count();
        #[allow(clippy::cast_precision_loss)]
        let allowed = all as f64 * self.ejection.most;
        #[allow(clippy::cast_precision_loss)]
        let then = (out + 1) as f64;
        then <= allowed && out + 1 < all
    }

    fn follow(&mut self, id: &UpstreamId, event: UpstreamEvent) {
        if let Some(member) = self.members.get_mut(id) {
            member.state = library::upstream().next(member.state, event);
        }
    }
}

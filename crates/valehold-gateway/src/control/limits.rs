//! Limits of workspaces: what is told of their use, and what is ruled by it.
//!
//! Where gateways are few, each hears what every other let through and rules
//! for itself. Where hubs sum up, each gateway tells the hubs of its group,
//! hubs of different groups tell one another their groups' sums, and every
//! hub rules for its group.

use valehold_core::{
    Millis,
    fleet::{
        usage::{
            LimitSettings, Presence, ReportScope, Throttles, UsageAggregator,
            UsageTotal,
        },
        workspace::Workspaces,
    },
    id::InstanceId,
};

use super::Control;
use crate::peers::message::Heartbeat;

/// For how long a gateway that has just started neither rules nor goes by how
/// many others it hears, in ms: it has not heard of all yet.
const SETTLE_MS: u64 = 1_000;

/// For how long a group's sum that changed is told again, in ms: the
/// datagrams that carry it may be lost.
const TELL_SUMS_FOR_MS: u64 = 1_200;

/// What control keeps of workspaces' limits.
#[derive(Debug)]
pub(super) struct LimitDuty {
    book: UsageAggregator,
    presence: Presence<std::net::SocketAddr>,
    /// Among how many gateways limits are divided at first.
    at_first: usize,
}

impl LimitDuty {
    /// Makes the state of a gateway that has heard of nobody; `is_alone` if
    /// nothing says that there are others.
    pub(super) fn new(
        settings: LimitSettings,
        is_alone: bool,
        now: Millis,
    ) -> Self {
        let others = usize::try_from(settings.instances).unwrap_or(1);
        let at_first = if is_alone { 1 } else { others };
        Self {
            book: UsageAggregator::new(settings, now),
            presence: Presence::new(at_first),
            at_first,
        }
    }

    /// Returns how many gateways there were lately, as far as this one saw.
    pub(super) fn seen(&self) -> u32 {
        u32::try_from(self.presence.seen()).unwrap_or(u32::MAX)
    }

    /// Tells whether this gateway hears most of those that were there lately.
    pub(super) fn hears_most(&self) -> bool {
        self.presence.is_majority()
    }

    fn rule(&mut self, workspaces: &Workspaces, now: Millis) -> Throttles {
        let part = self.presence.share(now);
        self.book.advance(workspaces, part, now);
        Throttles {
            seen: self.seen(),
            present: u32::try_from(self.presence.present())
                .unwrap_or(u32::MAX),
            workspaces: self.book.throttles(workspaces, part, now),
        }
    }
}

impl Control {
    /// Takes in which gateways are there.
    pub(super) fn presence_changed(&mut self, now: Millis) {
        let present = self.roster.staying();
        let has_heard = self.limits.presence.seen() > 1 || present.len() > 1;
        let told = match self.has_settled(now) && has_heard {
            true => self.roster.max_reported_gateways(now),
            false => self.limits.at_first,
        };
        let left = self.roster.leaving();
        let presence = &mut self.limits.presence;
        presence.update(present, left, told, now);
        self.shared.usage().set_own_share(presence.own_share(now));
    }

    /// Tells whether it started long enough ago to have heard of the others.
    fn has_settled(&self, now: Millis) -> bool {
        now.since(self.started) >= SETTLE_MS
    }

    /// Returns what this gateway let through, where it changed lately.
    pub(super) fn usage_news(&self, now: Millis) -> Vec<UsageTotal> {
        self.shared.usage().changed_totals(now)
    }

    /// Takes in what a gateway of this one's group let through.
    pub(super) fn hear_usage(
        &mut self,
        instance: &InstanceId,
        start: u64,
        usage: &[UsageTotal],
        now: Millis,
    ) {
        let book = &mut self.limits.book;
        book.receive(instance, start, usage, ReportScope::Member, now);
    }

    /// Takes in what a heartbeat says of what its gateway let through.
    pub(super) fn hear_usage_of(&mut self, peer: &Heartbeat, now: Millis) {
        let own = &self.shared.settings.data_centre;
        let is_in_group =
            !self.roster.has_many_groups() || peer.data_centre == *own;
        if is_in_group {
            self.hear_usage(&peer.instance, peer.start, &peer.usage, now);
        }
    }

    /// Takes in what another group let through.
    pub(super) fn hear_group_usage(
        &mut self,
        instance: &InstanceId,
        start: u64,
        usage: &[UsageTotal],
        now: Millis,
    ) {
        let book = &mut self.limits.book;
        book.receive(instance, start, usage, ReportScope::OtherGroup, now);
    }

    /// Returns what this gateway's group let through, where it changed
    /// lately.
    pub(super) fn group_usage(&mut self, now: Millis) -> Vec<UsageTotal> {
        self.limits.book.changed_group_totals(TELL_SUMS_FOR_MS, now)
    }

    /// Rules as one that hears all others of its group, and lets traffic go
    /// by it; `None` if it has not heard them for long enough,
    /// or they are few.
    pub(super) fn rule_limits(&mut self, now: Millis) -> Option<Throttles> {
        let catalog = self.catalog.clone();
        let workspaces = catalog.as_ref()?.workspaces.as_ref()?;
        let own = self.usage_news(now);
        let instance = self.shared.settings.instance.clone();
        self.hear_usage(&instance, self.start, &own, now);
        let rulings = self.limits.rule(workspaces, now);
        let may_rule = self.has_settled(now)
            && self.limits.presence.may_throttle()
            && !self.limits.book.is_catching_up(now);
        let rulings = Some(rulings).filter(|_| may_rule);
        self.keep_to(rulings.as_ref(), now);
        rulings
    }

    /// Lets traffic go by rulings.
    pub(super) fn keep_to(&self, rulings: Option<&Throttles>, now: Millis) {
        let Some(rulings) = rulings else { return };
        self.shared.usage().apply(rulings, now);
    }
}

//! Limits of workspaces: exchanges usage between gateways and computes
//! throttles.
//!
//! With few gateways, each gateway receives the usage of all others and
//! computes throttles for itself. With hubs, each gateway reports its usage to
//! the hubs of its group, hubs of different groups exchange their groups'
//! sums, and every hub computes throttles for its group.

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

/// How long a gateway that has just started neither throttles nor uses the
/// number of gateways that it receives heartbeats from, in ms: not all
/// gateways have reported yet.
const SETTLE_MS: u64 = 1_000;

/// How long a changed group sum is repeated, in ms, because the datagrams that
/// carry the sum may be lost.
const ADVERTISE_SUMS_FOR_MS: u64 = 1_200;

/// State for enforcing the limits of workspaces.
#[derive(Debug)]
pub(super) struct LimitState {
    aggregator: UsageAggregator,
    presence: Presence<std::net::SocketAddr>,
    /// The number of gateways that limits are divided among at first.
    initial_gateways: usize,
}

impl LimitState {
    /// Creates the state of a gateway that has no reports of others.
    /// `is_alone` says that the settings name no other gateway.
    pub(super) fn new(
        settings: LimitSettings,
        is_alone: bool,
        now: Millis,
    ) -> Self {
        let others = usize::try_from(settings.instances).unwrap_or(1);
        let initial_gateways = if is_alone { 1 } else { others };
        Self {
            aggregator: UsageAggregator::new(settings, now),
            presence: Presence::new(initial_gateways),
            initial_gateways,
        }
    }

    /// Returns the number of gateways that this gateway observed recently.
    pub(super) fn gateways_seen(&self) -> u32 {
        u32::try_from(self.presence.seen()).unwrap_or(u32::MAX)
    }

    /// Returns whether this gateway receives heartbeats from a majority of the
    /// recently present gateways.
    pub(super) fn receives_from_majority(&self) -> bool {
        self.presence.is_majority()
    }

    /// Returns whether this gateway receives heartbeats, its own hubs' or those
    /// of the gateways themselves, of all recently present gateways.
    pub(super) fn receives_from_all(&self) -> bool {
        self.presence.is_complete()
    }

    fn throttles(
        &mut self,
        workspaces: &Workspaces,
        now: Millis,
    ) -> Throttles {
        let share = self.presence.share(now);
        self.aggregator.advance(workspaces, share, now);
        Throttles {
            seen: self.gateways_seen(),
            present: u32::try_from(self.presence.present())
                .unwrap_or(u32::MAX),
            workspaces: self.aggregator.throttles(workspaces, share, now),
        }
    }
}

impl Control {
    /// Updates the set of present gateways from the roster.
    pub(super) fn update_presence(&mut self, now: Millis) {
        let present = self.roster.staying();
        let has_peers = self.limits.presence.seen() > 1 || present.len() > 1;
        let reported = match self.has_settled(now) && has_peers {
            true => self.roster.max_reported_gateways(now),
            false => self.limits.initial_gateways,
        };
        let left = self.roster.leaving();
        let presence = &mut self.limits.presence;
        presence.update(present, left, reported, now);
        self.shared.usage().set_own_share(presence.own_share(now));
    }

    /// Returns whether this gateway started long enough ago to have received
    /// reports from the other gateways.
    fn has_settled(&self, now: Millis) -> bool {
        now.since(self.started) >= SETTLE_MS
    }

    /// Returns the usage totals of this gateway that changed recently.
    pub(super) fn changed_usage(&self, now: Millis) -> Vec<UsageTotal> {
        self.shared.usage().changed_totals(now)
    }

    /// Merges the usage of a gateway of the same group.
    pub(super) fn receive_usage(
        &mut self,
        instance: &InstanceId,
        start: u64,
        usage: &[UsageTotal],
        now: Millis,
    ) {
        let aggregator = &mut self.limits.aggregator;
        aggregator.receive(instance, start, usage, ReportScope::Member, now);
    }

    /// Merges the usage in a heartbeat if its sender is in the same group.
    pub(super) fn receive_heartbeat_usage(
        &mut self,
        peer: &Heartbeat,
        now: Millis,
    ) {
        let own = &self.shared.settings.data_centre;
        let is_in_group =
            !self.roster.has_many_groups() || peer.data_centre == *own;
        if is_in_group {
            self.receive_usage(&peer.instance, peer.start, &peer.usage, now);
        }
    }

    /// Merges the usage of another group.
    pub(super) fn receive_group_usage(
        &mut self,
        instance: &InstanceId,
        start: u64,
        usage: &[UsageTotal],
        now: Millis,
    ) {
        let aggregator = &mut self.limits.aggregator;
        aggregator.receive(
            instance,
            start,
            usage,
            ReportScope::OtherGroup,
            now,
        );
    }

    /// Returns the usage totals of this gateway's group that changed recently.
    pub(super) fn changed_group_usage(
        &mut self,
        now: Millis,
    ) -> Vec<UsageTotal> {
        self.limits.aggregator.changed_group_totals(ADVERTISE_SUMS_FOR_MS, now)
    }

    /// Computes throttles from the usage of all gateways of the group and
    /// applies them to traffic. Returns `None` if this gateway has not
    /// received usage from the others for long enough, or receives from too
    /// few of them.
    pub(super) fn compute_throttles(
        &mut self,
        now: Millis,
    ) -> Option<Throttles> {
        let catalog = self.catalog.clone();
        let workspaces = catalog.as_ref()?.workspaces.as_ref()?;
        let own = self.changed_usage(now);
        let instance = self.shared.settings.instance.clone();
        self.receive_usage(&instance, self.start, &own, now);
        let throttles = self.limits.throttles(workspaces, now);
        let may_throttle = self.has_settled(now)
            && self.limits.presence.may_throttle()
            && !self.limits.aggregator.is_catching_up(now);
        let throttles = Some(throttles).filter(|_| may_throttle);
        self.apply_throttles(throttles.as_ref(), now);
        throttles
    }

    /// Applies throttles to traffic.
    pub(super) fn apply_throttles(
        &self,
        throttles: Option<&Throttles>,
        now: Millis,
    ) {
        let Some(throttles) = throttles else { return };
        self.shared.usage().apply(throttles, now);
    }
}

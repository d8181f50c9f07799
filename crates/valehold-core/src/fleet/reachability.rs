//! Whether this instance can connect to upstreams over its own links.
//!
//! A single upstream that refuses connections has failed. If connections to
//! several upstreams fail one after the other and none succeeds in between,
//! the links of this instance have failed: other instances may still reach
//! the upstreams.

use std::collections::BTreeMap;

use super::identity::UpstreamStart;
use crate::time::Millis;

/// The number of upstreams to which connections have to fail, without a
/// success in between, before the links count as lost. Two upstreams on one
/// machine may fail together.
const LOST_AFTER_UPSTREAMS: usize = 3;

/// A change of the state of the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// No upstream can be connected to.
    Lost {
        /// The number of upstreams to which connections failed.
        unreachable: usize,
    },
    /// An upstream accepted a connection.
    Regained {
        /// How long the links were lost, in ms.
        after_ms: u64,
    },
}

/// The results of an instance's own attempts to connect to upstreams.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    /// The last failed attempt for each upstream whose last attempt failed.
    failed: BTreeMap<UpstreamStart, Millis>,
    last_success: Option<Millis>,
    lost_since: Option<Millis>,
}

impl Reachability {
    /// Records that an upstream accepted a connection over this instance's own
    /// links.
    pub fn record_success(
        &mut self,
        upstream: &UpstreamStart,
        now: Millis,
    ) -> Option<LinkChange> {
        self.last_success = Some(now);
        self.failed.remove(upstream);
        let lost_since = self.lost_since.take()?;
        // The failures while the links were lost say nothing about upstreams.
        self.failed.clear();
        Some(LinkChange::Regained { after_ms: now.since(lost_since) })
    }

    /// Records that no connection to an upstream could be made. `listed` is
    /// the number of listed upstreams.
    pub fn record_failure(
        &mut self,
        upstream: &UpstreamStart,
        listed: usize,
        now: Millis,
    ) -> Option<LinkChange> {
        self.failed.insert(upstream.clone(), now);
        let since = self.last_success;
        let after_success = |at: &&Millis| since.is_none_or(|s| **at > s);
        let unreachable = self.failed.values().filter(after_success).count();
        let needed = LOST_AFTER_UPSTREAMS.min(listed).max(1);
        if self.lost_since.is_some() || unreachable < needed {
            return None;
        }
        self.lost_since = Some(now);
        Some(LinkChange::Lost { unreachable })
    }

    /// Returns whether no upstream can be connected to over this instance's
    /// own links.
    pub const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Removes the attempts for upstreams for which `known` returns `false`.
    pub fn prune(&mut self, known: impl Fn(&UpstreamStart) -> bool) {
        self.failed.retain(|upstream, _| known(upstream));
    }
}

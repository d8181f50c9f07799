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

/// How long a failed attempt to connect to an upstream counts, in ms.
const FAILURE_LIFETIME_MS: u64 = 3_000;

/// How long an upstream has to be silent before it is probed, in ms. The
/// answers of a slow upstream to other requests show that the link works.
const SILENT_MS: u64 = 400;

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

/// The way by which a connection to an upstream is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPath {
    /// Over this instance's own links.
    Direct,
    /// Through another instance that reaches the upstream.
    ViaPeer,
}

/// What is known of the link to one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    /// When the upstream last answered or accepted a connection.
    heard_at: Option<Millis>,
    /// When the last attempt to connect failed, if it did.
    failed_at: Option<Millis>,
    needs_probe: bool,
}

/// The results of an instance's own attempts to connect to upstreams.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    links: BTreeMap<UpstreamStart, Link>,
    /// When any upstream last accepted a connection.
    connected_at: Option<Millis>,
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
        self.connected_at = Some(now);
        let link = self.link(upstream);
        *link = Link { heard_at: Some(now), ..Link::default() };
        let lost_since = self.lost_since.take()?;
        // The failures while the links were lost say nothing about upstreams.
        for link in self.links.values_mut() {
            link.failed_at = None;
        }
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
        let link = self.link(upstream);
        link.failed_at = Some(now);
        link.needs_probe = false;
        let unreachable = self.unreachable(now);
        let needed = LOST_AFTER_UPSTREAMS.min(listed).max(1);
        if self.lost_since.is_some() || unreachable < needed {
            return None;
        }
        self.lost_since = Some(now);
        Some(LinkChange::Lost { unreachable })
    }

    /// Records that an upstream answered over this instance's own links. Open
    /// connections may work while no new ones can be made.
    pub fn record_answer(&mut self, upstream: &UpstreamStart, now: Millis) {
        self.link(upstream).heard_at = Some(now);
    }

    /// Records that an upstream did not answer in time, or that a connection
    /// to it is needed. The link is probed, unless the upstream was heard from
    /// meanwhile.
    pub fn request_probe(&mut self, upstream: &UpstreamStart, now: Millis) {
        let link = self.link(upstream);
        let is_silent =
            link.heard_at.is_none_or(|at| now.since(at) >= SILENT_MS);
        link.needs_probe |= is_silent;
    }

    /// Removes and returns some of the upstreams to probe. While the links are
    /// lost, at least one upstream is probed: other instances may ask for the
    /// links of this one, which may get no requests of its own.
    pub fn take_probes(&mut self, max: usize) -> Vec<UpstreamStart> {
        let needed = self.links.iter_mut().filter(|(_, l)| l.needs_probe);
        let mut probes: Vec<UpstreamStart> = needed
            .take(max)
            .map(|(upstream, link)| {
                link.needs_probe = false;
                upstream.clone()
            })
            .collect();
        if self.is_lost() && probes.is_empty() {
            let failed_first =
                self.links.iter().min_by_key(|(_, link)| link.failed_at);
            probes.extend(failed_first.map(|(upstream, _)| upstream.clone()));
        }
        probes
    }

    /// Returns the way by which to open the next connection to an upstream.
    pub fn path_to(
        &self,
        upstream: &UpstreamStart,
        now: Millis,
    ) -> ConnectionPath {
        let failed_at = self.links.get(upstream).and_then(|l| l.failed_at);
        let has_failed =
            failed_at.is_some_and(|at| now.since(at) < FAILURE_LIFETIME_MS);
        match has_failed || self.is_lost() {
            true => ConnectionPath::ViaPeer,
            false => ConnectionPath::Direct,
        }
    }

    /// Returns whether no upstream can be connected to over this instance's
    /// own links.
    pub const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Removes the links to upstreams for which `known` returns `false`.
    pub fn prune(&mut self, known: impl Fn(&UpstreamStart) -> bool) {
        self.links.retain(|upstream, _| known(upstream));
    }

    fn link(&mut self, upstream: &UpstreamStart) -> &mut Link {
        self.links.entry(upstream.clone()).or_default()
    }

    /// Returns the number of upstreams to which connections failed lately,
    /// and since any upstream accepted one.
    fn unreachable(&self, now: Millis) -> usize {
        let failures = self.links.values().filter_map(|link| link.failed_at);
        let is_recent = |at: &Millis| now.since(*at) < FAILURE_LIFETIME_MS;
        let after_success =
            |at: &Millis| self.connected_at.is_none_or(|since| *at > since);
        failures.filter(is_recent).filter(after_success).count()
    }
}

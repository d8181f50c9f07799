//! The software versions that the upstreams of each service run.
//!
//! What two versions write does not fit together, so a stream goes on only at
//! the version that began it. While all upstreams of a service run one
//! version, this version is known without any exchange between gateways.
//! [`SoftwareHistory`] tells when that is certain.

use imbl::{OrdMap, OrdSet};

use super::{
    listing::Upstream,
    stream_record::{ServiceVersions, VersionUse},
};
use crate::{
    id::{ServiceName, SoftwareVersion},
    time::Millis,
};

/// How long a version counts as in use after its last upstream was removed, in
/// ms: an upstream serves for some seconds after its entry is gone, and a
/// caller takes a broken stream up again within seconds.
const RETENTION_MS: u64 = 30_000;

/// How long the list must have been known before a version can be the only one,
/// in ms. Streams of a version that left the list before that have been taken
/// up or given up by then.
const MIN_KNOWN_MS: u64 = 10_000;

/// The age of the knowledge of the list up to which a gateway relies on it for
/// which versions there are, in ms: longer than from one confirmation of the
/// store to the next, also where a gateway is alone or one is lost.
pub const MAX_CERTAIN_AGE_MS: u64 = 2_000;

/// How long a version counts as new, in ms: until every gateway either has
/// learned of it or no longer relies on what it knows. The difference is the
/// time that answers and messages may take.
const NEW_MS: u64 = MAX_CERTAIN_AGE_MS + 1_000;

type ServiceVersion = (ServiceName, Option<SoftwareVersion>);

/// When one version of a service was in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Usage {
    /// The number of listed upstreams that run the version.
    upstreams: usize,
    /// When the first upstream of the version was listed.
    since: Millis,
    /// When the last upstream of the version was removed, if none is listed.
    until: Millis,
}

impl Usage {
    fn is_recent(&self, now: Millis) -> bool {
        self.upstreams > 0 || now.since(self.until) < RETENTION_MS
    }
}

/// The software versions of each service's upstreams, as known from the list.
///
/// A clone shares unchanged parts with the original.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SoftwareHistory {
    usages: OrdMap<ServiceVersion, Usage>,
    /// Since when the list is known.
    known_since: Option<Millis>,
    /// The services of which the store told which versions were in use before.
    recorded: OrdSet<ServiceName>,
}

impl SoftwareHistory {
    /// Returns the version that all upstreams of a service run, if no stream of
    /// another one can still be taken up.
    ///
    /// Returns `None` if another version was in use lately, or if the list has
    /// not been known for long enough to exclude this.
    pub fn only_version(
        &self,
        service: &ServiceName,
        now: Millis,
    ) -> Option<SoftwareVersion> {
        let known_ms = now.since(self.known_since?);
        if known_ms < MIN_KNOWN_MS && !self.recorded.contains(service) {
            return None;
        }
        self.only_known_version(service, now)
    }

    /// Returns the version that all upstreams of a service run, if no other one
    /// is known to have been in use lately. Right after a start of all
    /// gateways, another one may have been in use without any trace.
    pub fn only_known_version(
        &self,
        service: &ServiceName,
        now: Millis,
    ) -> Option<SoftwareVersion> {
        let mut recent = self.recent_versions(service, now);
        let only = recent.next()?;
        if recent.next().is_some() {
            return None;
        }
        only.clone()
    }

    /// Returns whether a version other than `version` is known to have been in
    /// use by a service.
    pub fn has_other_version(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now: Millis,
    ) -> bool {
        self.recent_versions(service, now)
            .any(|one| one.as_ref() != Some(version))
    }

    /// Returns whether an upstream runs a version that other gateways may not
    /// have learned of yet.
    pub fn is_new(&self, upstream: &Upstream, now: Millis) -> bool {
        let key = (upstream.service.clone(), upstream.software.clone());
        let Some(usage) = self.usages.get(&key) else { return true };
        let is_first = Some(usage.since) == self.known_since;
        !is_first && now.since(usage.since) < NEW_MS
    }

    /// Updates the history after the entry of one upstream changed. `before`
    /// is `None` if the upstream is new, and `after` is `None` if the upstream
    /// was removed.
    pub(super) fn update(
        &mut self,
        before: Option<&Upstream>,
        after: Option<&Upstream>,
        now: Millis,
    ) {
        let (before, after) = (before.map(key), after.map(key));
        if before == after {
            return;
        }
        self.known_since.get_or_insert(now);
        if let Some(before) = before
            && let Some(usage) = self.usages.get_mut(&before)
        {
            usage.upstreams = usage.upstreams.saturating_sub(1);
            usage.until = now;
        }
        if let Some(after) = after {
            let first = Usage { upstreams: 0, since: now, until: now };
            let usage = self.usages.entry(after).or_insert(first);
            usage.upstreams += 1;
        }
    }

    /// Adds the versions that were in use before the start of this gateway, as
    /// the store recorded them. `store_ms` is the clock of the store.
    pub(super) fn restore(
        &mut self,
        recorded: &[ServiceVersions],
        store_ms: u64,
        now: Millis,
    ) {
        for one in recorded {
            self.recorded.insert(one.service.clone());
            for version in &one.versions {
                let left_ms = version.left_ms.unwrap_or(store_ms);
                let ago_ms = store_ms.saturating_sub(left_ms);
                if ago_ms >= RETENTION_MS {
                    continue;
                }
                let until = Millis::new(now.get().saturating_sub(ago_ms));
                let key = (one.service.clone(), version.software.clone());
                let before = Usage { upstreams: 0, since: until, until };
                self.usages.entry(key).or_insert(before);
            }
        }
    }

    /// Returns which versions are and were in use, for the store to record.
    /// `store_ms` is the clock of the store.
    pub fn record(&self, store_ms: u64, now: Millis) -> Vec<ServiceVersions> {
        let mut services: Vec<ServiceVersions> = Vec::new();
        let recent = self.usages.iter().filter(|(_, one)| one.is_recent(now));
        for ((service, software), usage) in recent {
            let left_ago = now.since(usage.until);
            let left_ms = match usage.upstreams {
                0 => Some(store_ms.saturating_sub(left_ago)),
                _ => None,
            };
            let version = VersionUse { software: software.clone(), left_ms };
            match services.last_mut() {
                Some(last) if last.service == *service => {
                    last.versions.push(version);
                }
                _ => services.push(ServiceVersions {
                    service: service.clone(),
                    versions: vec![version],
                }),
            }
        }
        services
    }

    /// Removes versions that are no longer in use.
    pub(super) fn prune(&mut self, now: Millis) {
        let old = self.usages.iter().filter(|(_, one)| !one.is_recent(now));
        let old: Vec<ServiceVersion> =
            old.map(|(version, _)| version.clone()).collect();
        for version in &old {
            self.usages.remove(version);
        }
    }

    fn recent_versions<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Millis,
    ) -> impl Iterator<Item = &'a Option<SoftwareVersion>> {
        let first = (service.clone(), None);
        let from = self.usages.range(first..);
        from.take_while(move |((one, _), _)| one == service)
            .filter(move |(_, usage)| usage.is_recent(now))
            .map(|((_, version), _)| version)
    }
}

fn key(upstream: &Upstream) -> ServiceVersion {
    (upstream.service.clone(), upstream.software.clone())
}

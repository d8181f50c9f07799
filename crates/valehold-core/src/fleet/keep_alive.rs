//! How long connections of callers may rest, across changes of the
//! configuration.

use crate::{Millis, fleet::catalog::CallerLimits};

/// For how long after its replacement a configuration may still be the newest
/// that a caller knows, in ms.
const CALLER_LAG_MS: u64 = 10_000;

/// The most replaced limits that are kept.
const MAX_REPLACED: usize = 16;

/// A limit that was in force until a later one replaced it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReplacedLimit {
    rest_ms: u64,
    until: Millis,
}

/// The limits on the rest of connections: the one in force, and earlier ones
/// that callers may still follow.
///
/// A caller that uses a connection after a rest goes by the configuration that
/// it knows, which need not be the one under which the connection was opened or
/// began to rest. If the gateway closed the connection sooner, it could lose a
/// request that is on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeepAlive {
    current_ms: u64,
    /// Oldest first.
    replaced: Vec<ReplacedLimit>,
}

impl KeepAlive {
    /// Creates the limit for the time without a configuration.
    pub const fn new(rest_ms: u64) -> Self {
        Self { current_ms: rest_ms, replaced: Vec::new() }
    }

    /// Applies the limits of the configuration in force.
    ///
    /// After the longest rest, a caller may take as long for the head of a
    /// request as the configuration allows.
    pub fn update(&mut self, limits: &CallerLimits, now: Millis) {
        let rest_ms = limits
            .keep_alive_timeout_ms
            .saturating_add(limits.header_read_timeout_ms);
        if rest_ms == self.current_ms {
            return;
        }
        let replaced = ReplacedLimit { rest_ms: self.current_ms, until: now };
        self.replaced.push(replaced);
        self.current_ms = rest_ms;
        if self.replaced.len() > MAX_REPLACED {
            let oldest = self.replaced.remove(0);
            let next = &mut self.replaced[0];
            next.rest_ms = next.rest_ms.max(oldest.rest_ms);
        }
    }

    /// Returns until when a connection may rest that has rested since a
    /// moment: the longest of all limits that a caller may have known
    /// meanwhile.
    pub fn rests_until(&self, since: Millis) -> Millis {
        let known = self
            .replaced
            .iter()
            .filter(|one| one.until + CALLER_LAG_MS >= since)
            .map(|one| one.rest_ms);
        since + known.fold(self.current_ms, u64::max)
    }
}

//! The times of a planned stop.

use std::time::Duration;

use valehold_core::Millis;

use crate::settings::CallerSettings;

/// Some callers keep an address for up to this multiple of the advertised
/// time.
const ADDRESS_KEEP_FACTOR: u32 = 3;

/// How much earlier than the end of that multiple the gateway stops accepting
/// requests, so that the last requests have the time that a stop allows.
const LINGER_MARGIN: Duration = Duration::from_millis(100);

/// The largest fraction of the time for a stop in which requests are still
/// accepted.
const MAX_LINGER_FRACTION: f64 = 0.6;

/// The fraction of the time for a stop after which the gateway no longer waits
/// for open connections.
const DRAIN_FRACTION: f64 = 0.93;

/// The fraction of the time for a stop that requests have at least: only an
/// upstream that is still at work after it may have its request ended.
const MIN_REQUEST_FRACTION: f64 = 5.0 / 6.0;

/// How long before the gateway ends the last requests are refused or broken
/// off, so that callers receive the refusals.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// The times of a stop that began at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StopTimes {
    /// Until when connections are accepted.
    pub(super) accepts_until: Millis,
    /// When requests under way are refused or broken off.
    pub(super) requests_end: Millis,
    /// Until when the gateway waits for open connections.
    pub(super) end: Millis,
}

impl StopTimes {
    /// Returns the times of a stop that begins now.
    pub(super) fn new(began: Millis, callers: &CallerSettings) -> Self {
        let stop = Duration::from_secs_f64(callers.stop_s);
        let keep = Duration::from_secs(callers.address_keep_s);
        let linger = (keep * ADDRESS_KEEP_FACTOR)
            .saturating_sub(LINGER_MARGIN)
            .min(stop.mul_f64(MAX_LINGER_FRACTION));
        let drain = stop.mul_f64(DRAIN_FRACTION);
        let requests = drain
            .saturating_sub(WRITE_TIME)
            .max(stop.mul_f64(MIN_REQUEST_FRACTION));
        let at = |after: Duration| began + Millis::from(after).get();
        Self {
            accepts_until: at(linger),
            requests_end: at(requests),
            end: at(drain),
        }
    }
}

//! How old the knowledge of the configuration and of the list of upstreams is.
//!
//! A few gateways, the observers, watch the platform's store for all. A watch
//! that says nothing may wait for a change or may have been lost: only its
//! answer confirms what is known. The observers' watches therefore end in
//! turns, by the clock of the store, and observers tell the others of each
//! answer. A gateway whose knowledge was not confirmed for longer than turns
//! can take asks the store itself, however sure the observers are.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// The number of gateways that observe the store for all.
pub const OBSERVERS: usize = 3;

/// The time from the end of an observer's watch to the end of its next one, in
/// ms. An observer that misses a change because its watch was lost notices this
/// only at the end of the watch.
const PERIOD_MS: u64 = 1_650;

/// The time from the turn of one observer to the turn of the next, in ms.
const TURN_MS: u64 = PERIOD_MS / OBSERVERS as u64;

/// The shortest wait of a watch, in ms. An observer whose turn is sooner waits
/// for the turn after it: each call has a price.
const MIN_WAIT_MS: u64 = 100;

/// The longest wait of a watch that ends at a turn, in ms.
pub const MAX_TURN_WAIT_MS: u64 = PERIOD_MS + MIN_WAIT_MS;

/// The time by which knowledge may be older than the turns allow, in ms: one
/// confirmation may be lost.
const TOLERANCE_MS: u64 = MIN_WAIT_MS + TURN_MS;

/// The delay in ms by which each further gateway in the order of observers asks
/// the store later, so that one that is told by another need not ask.
const STEP_MS: u64 = 80;

/// Returns how long the watch that an observer begins waits, in ms. `store_ms`
/// is the clock of the store, and `turn` the observer's place among them.
///
/// # Example
///
/// ```
/// use valehold_core::fleet::freshness::wait_for_turn;
///
/// assert_eq!(wait_for_turn(0, 0), 1_650);
/// assert_eq!(wait_for_turn(0, 1), 550);
/// assert_eq!(wait_for_turn(500, 1), 1_700);
/// ```
pub const fn wait_for_turn(store_ms: u64, turn: usize) -> u64 {
    let offset = TURN_MS * (turn % OBSERVERS) as u64;
    let since_turn = (store_ms % PERIOD_MS + PERIOD_MS - offset) % PERIOD_MS;
    let wait_ms = PERIOD_MS - since_turn;
    match wait_ms < MIN_WAIT_MS {
        true => wait_ms + PERIOD_MS,
        false => wait_ms,
    }
}

/// The place of a gateway among those that can observe the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObserverPlace {
    /// The number of gateways that are to observe the store rather than this
    /// one.
    pub position: usize,
    /// The number of gateways that observe the store.
    pub observers: usize,
}

impl ObserverPlace {
    /// Returns the age of knowledge from which this gateway asks the store
    /// itself, in ms.
    pub const fn max_age_ms(self) -> u64 {
        let observers = match self.observers {
            0 => 1,
            1..OBSERVERS => self.observers,
            _ => OBSERVERS,
        };
        let longest_gap_ms = PERIOD_MS - TURN_MS * (observers as u64 - 1);
        let delay = self.position.saturating_sub(OBSERVERS - 1) as u64;
        longest_gap_ms + TOLERANCE_MS + delay * STEP_MS
    }
}

/// A version that was the newest some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedVersion {
    /// The version.
    pub version: u64,
    /// The time since the store confirmed it, in ms.
    pub age_ms: u32,
}

impl ConfirmedVersion {
    /// Returns when a gateway's own version was the newest, given that this one
    /// was; `None` if its own version is older.
    fn confirms(self, own_version: u64, now: Millis) -> Option<Millis> {
        let confirmed = now.get().saturating_sub(self.age_ms.into());
        (own_version >= self.version).then(|| Millis::new(confirmed))
    }
}

/// What an observer tells the others after an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateConfirmation {
    /// The version of the configuration.
    pub catalog: ConfirmedVersion,
    /// The version of the list of upstreams.
    pub listing: ConfirmedVersion,
}

/// When the knowledge of a gateway was last confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    catalog: Millis,
    listing: Millis,
    /// When the list was last confirmed; `None` if it never was.
    confirmed_listing: Option<Millis>,
}

impl Freshness {
    /// Creates the state of a gateway whose knowledge is of `now`.
    pub const fn new(now: Millis) -> Self {
        Self { catalog: now, listing: now, confirmed_listing: None }
    }

    /// Counts the age of the knowledge from now on.
    pub const fn restart(&mut self, now: Millis) {
        self.catalog = now;
        self.listing = now;
    }

    /// Records that the store answered about the configuration.
    pub fn confirm_catalog(&mut self, at: Millis) {
        self.catalog = self.catalog.max(at);
    }

    /// Records that the store answered about the list of upstreams.
    pub fn confirm_listing(&mut self, at: Millis) {
        self.listing = self.listing.max(at);
        self.confirmed_listing = self.confirmed_listing.max(Some(at));
    }

    /// Records what another gateway told, given the versions that this one
    /// has.
    pub fn receive(
        &mut self,
        told: &StateConfirmation,
        catalog_version: u64,
        listing_version: u64,
        now: Millis,
    ) {
        if let Some(at) = told.catalog.confirms(catalog_version, now) {
            self.confirm_catalog(at);
        }
        if let Some(at) = told.listing.confirms(listing_version, now) {
            self.confirm_listing(at);
        }
    }

    /// Returns what this gateway can tell others of the versions that it has.
    pub fn confirmation(
        &self,
        catalog_version: u64,
        listing_version: u64,
        now: Millis,
    ) -> StateConfirmation {
        let confirmed = |version, at| ConfirmedVersion {
            version,
            age_ms: u32::try_from(now.since(at)).unwrap_or(u32::MAX),
        };
        StateConfirmation {
            catalog: confirmed(catalog_version, self.catalog),
            listing: confirmed(listing_version, self.listing),
        }
    }

    /// Returns when the list of upstreams was last confirmed; `None` if it
    /// never was.
    pub const fn listing_confirmed(&self) -> Option<Millis> {
        self.confirmed_listing
    }

    /// Returns the age of the knowledge, in ms: of its older part.
    pub fn age_ms(&self, now: Millis) -> u64 {
        now.since(self.catalog.min(self.listing))
    }
}

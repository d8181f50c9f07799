//! Reads newer state from peers, and decides when a gateway without state
//! observes the store.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use valehold_core::{Millis, fleet::ListingDelta};
use valehold_ports::{PortError, PortErrorKind};

use super::{Control, input::Input};
use crate::{
    events::CatalogSource,
    peers::state::{PeerState, StateClient, StateVersions},
};

/// How long the store may take to deliver a configuration that a peer already
/// has, in ms.
const CATALOG_GRACE_MS: u64 = 250;

/// How long the store may take to deliver changes of upstreams that a peer
/// already has, in ms.
const LISTING_GRACE_MS: u64 = 600;

/// The minimum time that a gateway without state waits for peers with state,
/// in ms: a live peer answers the first heartbeat.
const MIN_FIRST_READ_DELAY_MS: u64 = 500;

/// The random addition to `MIN_FIRST_READ_DELAY_MS`, in ms, which spreads the
/// first store reads of gateways that start at the same time.
const FIRST_READ_JITTER_MS: u64 = 1_500;

/// The further delay of the first store read if peers have complete state, in
/// ms: gateways that read from peers can serve further readers. After all
/// gateways were killed, reads of the store's whole list by every gateway
/// would exceed the store's capacity.
const PEER_PREFERENCE_MS: u64 = 3_000;

/// The minimum delay after a failed read, in ms, and its random addition. A
/// peer with too many readers rejects further ones, which must not all retry
/// at once.
const MIN_RETRY_DELAY_MS: u64 = 60;
const RETRY_JITTER_MS: u64 = 240;

/// How long a gateway observes the store itself after a peer's state had an
/// unsupported format, in ms.
const FORMAT_MISMATCH_MS: u64 = 5_000;

/// State for reading newer configurations and listings from peers.
#[derive(Debug)]
pub(super) struct CatchUp {
    client: StateClient,
    is_seed: bool,
    is_reading: bool,
    /// Since when peers have had a newer configuration.
    newer_catalog_since: Option<Millis>,
    /// Since when peers have had a newer list of upstreams.
    newer_listing_since: Option<Millis>,
    /// The number of reads since this gateway fell behind.
    reads: u32,
    /// The peer of the last failed read. The peer may have stopped during the
    /// read, so other peers with newer state are preferred.
    failed_peer: Option<SocketAddr>,
    /// The earliest time of the next read.
    next_read: Millis,
    /// The time from which a gateway without state observes the store.
    first_store_read: Millis,
    /// The time until which this gateway observes the store instead of relying
    /// on peers.
    ignores_peers_until: Millis,
}

impl CatchUp {
    /// Creates the state of a gateway that has just started. Seeds read the
    /// store at once, because the other gateways learn from the seeds.
    pub(super) fn new(is_seed: bool, now: Millis) -> Self {
        let spread = rand::random_range(0..FIRST_READ_JITTER_MS);
        let wait_ms = match is_seed {
            true => 0,
            false => MIN_FIRST_READ_DELAY_MS + spread,
        };
        Self {
            client: StateClient::new(),
            is_seed,
            is_reading: false,
            newer_catalog_since: None,
            newer_listing_since: None,
            reads: 0,
            failed_peer: None,
            next_read: now,
            first_store_read: now + wait_ms,
            ignores_peers_until: Millis::default(),
        }
    }

    fn may_read(&self, now: Millis) -> bool {
        !self.is_reading && now >= self.next_read
    }

    /// Returns whether other gateways find one another through this gateway.
    pub(super) fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Returns whether this gateway must or must not observe the store
    /// regardless of its rank, or `None` if its rank among the gateways
    /// decides.
    pub(super) fn reads_store(
        &self,
        is_complete: bool,
        peers_are_complete: bool,
        now: Millis,
    ) -> Option<bool> {
        if now < self.ignores_peers_until {
            return Some(true);
        }
        if is_complete {
            return None;
        }
        let from = match peers_are_complete && !self.is_seed {
            true => self.first_store_read + PEER_PREFERENCE_MS,
            false => self.first_store_read,
        };
        Some(now >= from)
    }
}

impl Control {
    /// Reads the state of a peer if a peer has had newer state for longer than
    /// the grace period.
    pub(super) fn catch_up(&mut self, now: Millis) {
        let known = self.state_versions();
        let failed = self.catch_up.failed_peer;
        let catalog =
            self.roster.newer_catalog_address(known.catalog, failed, now);
        let listing =
            self.roster.newer_listing_address(known.listing, failed, now);
        let is_out_of_step = self.is_out_of_step(now);
        let catch_up = &mut self.catch_up;
        let wait = |known: u64, wait_ms| match known {
            0 => 0,
            _ if is_out_of_step => 0,
            _ => wait_ms,
        };
        let catalog_is_due = has_waited(
            &mut catch_up.newer_catalog_since,
            catalog.is_some(),
            wait(known.catalog, CATALOG_GRACE_MS),
            now,
        );
        let listing_is_due = has_waited(
            &mut catch_up.newer_listing_since,
            listing.is_some(),
            wait(known.listing, LISTING_GRACE_MS),
            now,
        );
        let newest = catalog
            .filter(|_| catalog_is_due)
            .or(listing.filter(|_| listing_is_due));
        match newest {
            Some(newest) if self.catch_up.may_read(now) => {
                self.read_state(newest, known);
            }
            Some(_) => {}
            None => self.catch_up.reads = 0,
        }
    }

    /// Reads the state of a nearby gateway on every other attempt, starting
    /// with the first. If many gateways are behind at once, few of them can
    /// read from the gateway known as the newest.
    fn read_state(&mut self, newest: SocketAddr, known: StateVersions) {
        let nearby = self.roster.nearby_state_address(&self.shared.topology);
        let prefers_nearby = self.catch_up.reads.is_multiple_of(2);
        let peer = match nearby {
            Some(nearby) if prefers_nearby && self.roster.has_hubs() => nearby,
            _ => newest,
        };
        self.catch_up.reads += 1;
        self.catch_up.is_reading = true;
        let (client, inputs) =
            (self.catch_up.client.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let state = client.read(peer, known).await;
            let _ = inputs.send(Input::PeerState { peer, state });
        });
    }

    fn state_versions(&self) -> StateVersions {
        StateVersions {
            catalog: self.catalog.as_ref().map_or(0, |c| c.version),
            listing: self.upstreams.version(),
        }
    }

    /// Applies the state read from a peer.
    pub(super) fn on_peer_state(
        &mut self,
        peer: SocketAddr,
        state: Result<PeerState, PortError>,
        now: Millis,
    ) {
        self.catch_up.is_reading = false;
        match state {
            Ok(state) => {
                self.catch_up.failed_peer = None;
                if let Some(orders) = state.evacuations {
                    // The age of the orders is unknown, so no time is left.
                    self.apply_evacuations(
                        orders,
                        0,
                        CatalogSource::Peer,
                        now,
                    );
                }
                self.receive_limits(&state.limits, now);
                if let Some(catalog) = state.catalog {
                    self.apply_catalog(catalog, CatalogSource::Peer, now);
                }
                if let Some(listing) = state.listing {
                    self.replace_listing(listing, now);
                }
                if let Some(changes) = state.changes {
                    let after_outage =
                        self.store_presence.has_just_recovered(now);
                    let delta = ListingDelta { after_outage, ..changes };
                    self.apply_delta(&delta, now);
                }
            }
            Err(error) => {
                let level = match error.kind() {
                    // The peer already has as many readers as its link
                    // carries.
                    PortErrorKind::Failed => log::Level::Debug,
                    _ => log::Level::Info,
                };
                log::log!(
                    level,
                    "reading the state of {peer} failed: {error}"
                );
                self.catch_up.failed_peer = Some(peer);
                let spread_ms = rand::random_range(0..RETRY_JITTER_MS);
                self.catch_up.next_read = now + MIN_RETRY_DELAY_MS + spread_ms;
                if error.kind() == PortErrorKind::Malformed {
                    self.catch_up.ignores_peers_until =
                        now + FORMAT_MISMATCH_MS;
                }
            }
        }
    }
}

/// Returns whether a condition has held for at least `wait_ms`.
fn has_waited(
    since: &mut Option<Millis>,
    holds: bool,
    wait_ms: u64,
    now: Millis,
) -> bool {
    *since = holds.then(|| since.unwrap_or(now));
    since.is_some_and(|since| now.since(since) >= wait_ms)
}

//! Reading from peers what they have that is newer, and looking at the store
//! where no peer has.

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

/// How long the store has to bring a configuration that a peer has, in ms.
const WAIT_FOR_CATALOG_MS: u64 = 250;

/// How long the store has to bring changes of upstreams that a peer has
/// heard of, in ms.
const WAIT_FOR_LISTING_MS: u64 = 600;

/// How long a gateway that knows nothing yet waits at the least for peers
/// that do, in ms: a peer that is there answers the first heartbeat.
const LEAST_FIRST_LOOK_MS: u64 = 500;

/// By how much the first looks of gateways that start at the same time are
/// spread beyond that, in ms.
const FIRST_LOOKS_SPREAD_MS: u64 = 1_500;

/// For how much longer it waits where it hears of peers that know all, in ms:
/// who reads from them reads from one another. Where all were killed, all of
/// them reading the store's whole list would take what it bears.
const PEERS_FIRST_MS: u64 = 3_000;

/// How long a gateway waits at the least after a read failed, in ms, and by
/// how much such waits are spread: a peer with too many readers turns further
/// ones away, who are not to come back all at once.
const LEAST_WAIT_AFTER_FAILURE_MS: u64 = 60;
const WAITS_SPREAD_MS: u64 = 240;

/// For how long a gateway looks at the store itself after a peer's state was
/// in a format that it does not read, in ms.
const AFTER_OTHER_FORMAT_MS: u64 = 5_000;

/// How this gateway stands to what peers know.
#[derive(Debug)]
pub(super) struct Behind {
    client: StateClient,
    is_seed: bool,
    is_reading: bool,
    /// Since when peers have had a newer configuration.
    catalog: Option<Millis>,
    /// Since when peers have had a newer list of upstreams.
    listing: Option<Millis>,
    /// How often it was read in vain since it is behind.
    reads: u32,
    /// The peer whose state could not be read last: it may have stopped in
    /// the middle of it, and another one has something newer, too.
    failed: Option<SocketAddr>,
    /// From when on it reads again.
    next_read: Millis,
    /// From when on it looks at the store itself if it knows nothing.
    first_look: Millis,
    /// Until when peers are not relied on.
    looks_until: Millis,
}

impl Behind {
    /// Makes the state of a gateway that has just started. Seeds look at the
    /// store at once: the others hear from them.
    pub(super) fn new(is_seed: bool, now: Millis) -> Self {
        let spread = rand::random_range(0..FIRST_LOOKS_SPREAD_MS);
        let wait_ms = match is_seed {
            true => 0,
            false => LEAST_FIRST_LOOK_MS + spread,
        };
        Self {
            client: StateClient::new(),
            is_seed,
            is_reading: false,
            catalog: None,
            listing: None,
            reads: 0,
            failed: None,
            next_read: now,
            first_look: now + wait_ms,
            looks_until: Millis::default(),
        }
    }

    fn may_read(&self, now: Millis) -> bool {
        !self.is_reading && now >= self.next_read
    }

    /// Tells whether others find one another through this gateway.
    pub(super) fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Tells whether this gateway looks at the store whatever others do;
    /// `None` leaves it to its place among them.
    pub(super) fn looks_itself(
        &self,
        knows_all: bool,
        peers_know: bool,
        now: Millis,
    ) -> Option<bool> {
        if now < self.looks_until {
            return Some(true);
        }
        if knows_all {
            return None;
        }
        let from = match peers_know && !self.is_seed {
            true => self.first_look + PEERS_FIRST_MS,
            false => self.first_look,
        };
        Some(now >= from)
    }
}

impl Control {
    /// Reads a peer's state if it has had something newer for a while, and
    /// nobody has brought it.
    pub(super) fn catch_up(&mut self, now: Millis) {
        let known = self.state_versions();
        let failed = self.behind.failed;
        let catalog =
            self.roster.newer_catalog_address(known.catalog, failed, now);
        let listing =
            self.roster.newer_listing_address(known.listing, failed, now);
        let behind = &mut self.behind;
        let wait = |known: u64, wait_ms| if known == 0 { 0 } else { wait_ms };
        let by_catalog = waited(
            &mut behind.catalog,
            catalog.is_some(),
            wait(known.catalog, WAIT_FOR_CATALOG_MS),
            now,
        );
        let by_listing = waited(
            &mut behind.listing,
            listing.is_some(),
            wait(known.listing, WAIT_FOR_LISTING_MS),
            now,
        );
        let newest =
            catalog.filter(|_| by_catalog).or(listing.filter(|_| by_listing));
        match newest {
            Some(newest) if self.behind.may_read(now) => {
                self.read_state(newest, known);
            }
            Some(_) => {}
            None => self.behind.reads = 0,
        }
    }

    /// Reads the state of a gateway nearby first: where many are behind at
    /// once, few can read from the one that is named as the newest.
    fn read_state(&mut self, newest: SocketAddr, known: StateVersions) {
        let near = self.roster.nearby_state_address(&self.shared.topology);
        let is_first = self.behind.reads.is_multiple_of(2);
        let peer = match near {
            Some(near) if is_first && self.roster.has_hubs() => near,
            _ => newest,
        };
        self.behind.reads += 1;
        self.behind.is_reading = true;
        let (client, inputs) =
            (self.behind.client.clone(), self.inputs.clone());
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

    /// Takes in what a peer has.
    pub(super) fn take_peer_state(
        &mut self,
        peer: SocketAddr,
        state: Result<PeerState, PortError>,
        now: Millis,
    ) {
        self.behind.is_reading = false;
        match state {
            Ok(state) => {
                self.behind.failed = None;
                if let Some(orders) = state.evacuations {
                    // They may have stood for any time.
                    self.evacuate(orders, 0, CatalogSource::Peer, now);
                }
                self.hear_limits(&state.limits, now);
                if let Some(catalog) = state.catalog {
                    self.configure(catalog, CatalogSource::Peer, now);
                }
                if let Some(listing) = state.listing {
                    self.list(listing, now);
                }
                if let Some(changes) = state.changes {
                    let after_outage =
                        self.store_presence.has_just_recovered(now);
                    let delta = ListingDelta { after_outage, ..changes };
                    self.take_delta(&delta, now);
                }
            }
            Err(error) => {
                let level = match error.kind() {
                    // It has as many readers as its link carries.
                    PortErrorKind::Failed => log::Level::Debug,
                    _ => log::Level::Info,
                };
                log::log!(level, "the state of {peer} was not read: {error}");
                self.behind.failed = Some(peer);
                let spread_ms = rand::random_range(0..WAITS_SPREAD_MS);
                self.behind.next_read =
                    now + LEAST_WAIT_AFTER_FAILURE_MS + spread_ms;
                if error.kind() == PortErrorKind::Malformed {
                    self.behind.looks_until = now + AFTER_OTHER_FORMAT_MS;
                }
            }
        }
    }
}

/// Tells whether something has been so for as long as is waited for it.
fn waited(
    since: &mut Option<Millis>,
    is_so: bool,
    wait_ms: u64,
    now: Millis,
) -> bool {
    *since = is_so.then(|| since.unwrap_or(now));
    since.is_some_and(|since| now.since(since) >= wait_ms)
}

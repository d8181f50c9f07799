//! Everything that is decided beside requests, on one thread.
//!
//! Control takes one input after the other and never waits. It follows the
//! configuration and the upstreams, keeps the roster of gateways, holds the
//! lease when it is its turn, and publishes a [`View`] that traffic reads.

mod demand;
mod entry;
mod feeds;
mod input;
mod lease;
mod loads;
mod needs;
mod placer;

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc,
    time::Duration,
};

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};
use valehold_core::{
    Millis,
    fleet::{
        Catalog, Holding, Listing, ListingDelta, Variant,
        lapsed::{LapsedUpstreams, StorePresence},
    },
    id::{InstanceId, UpstreamId},
    order::Stamp,
};
use valehold_ports::port::fleet::{FleetEngines, FleetStore, ListingNews};
use xxhash_rust::xxh3::xxh3_64;

use self::{
    demand::Demand,
    feeds::WatchOrders,
    input::Input,
    lease::{Around, LeaseDuty},
    placer::{Authority, Placer},
};
use crate::{
    events::Event,
    peers::{
        Heartbeat, Message, Roster,
        message::{
            EngineHolding, LeaseRumour, LeaseWord, MAX_DATAGRAM, Rank,
            UpstreamLoad, VariantDemand,
        },
        roster::Own,
        state::{self, StateClient},
    },
    settings::Settings,
    shared::Shared,
    view::{Life, Load, ReadyMember, View},
};

/// How often time passes for control.
const TICK: Duration = Duration::from_millis(50);

/// By how much the list may lag behind what the holder says, in ms.
const LIST_LAGS_MS: u64 = 2_500;

/// How long the store has to bring a configuration that a peer has, in ms.
const WAIT_FOR_CATALOG_MS: u64 = 250;

/// How long the store has to bring changes of upstreams that a peer has
/// heard of, in ms.
const WAIT_FOR_LISTING_MS: u64 = 600;

/// How many times rarer heartbeats are where hubs sum them up.
const BEATS_WITH_HUBS: u64 = 2;

/// For how long a sum of all gateways' demand and loads is used, in ms.
const SUM_KEEPS_MS: u64 = 200;

/// The last place that a contender for the lease waits for.
const LAST_PLACE: usize = 6;

/// How many inputs are taken before time passes.
const INPUTS_AT_ONCE: usize = 64;

/// What control is started with.
pub struct Parts {
    /// What it shares with traffic.
    pub shared: Arc<Shared>,
    /// The platform's store.
    pub store: Arc<dyn FleetStore>,
    /// Engines.
    pub engines: Arc<dyn FleetEngines>,
    /// Where heartbeats come and go.
    pub heartbeats: UdpSocket,
    /// Where peers read state.
    pub state: TcpListener,
    /// Wishes of requests that wait.
    pub wishes: mpsc::Receiver<Variant>,
    /// Whether this gateway was told to stop.
    pub stop: watch::Receiver<bool>,
    /// The newest seeds.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
}

/// Since when peers have had something newer.
#[derive(Debug, Default)]
struct Behind {
    catalog: Option<Millis>,
    listing: Option<Millis>,
}

/// What the holder said of an engine.
#[derive(Debug)]
struct Told {
    holding: Holding,
    stamp: Stamp,
    at: Millis,
}

/// What all gateways together are asked for and have under way.
#[derive(Debug, Default)]
struct Sums {
    demand: BTreeMap<Variant, VariantDemand>,
    loads: BTreeMap<UpstreamId, Load>,
    made: Option<Millis>,
}

impl Sums {
    fn is_old(&self, now: Millis) -> bool {
        self.made.is_none_or(|made| now.since(made) >= SUM_KEEPS_MS)
    }
}

/// Control of one gateway.
pub struct Control {
    shared: Arc<Shared>,
    socket: Rc<UdpSocket>,
    inputs: mpsc::UnboundedSender<Input>,
    roster: Roster,
    lease: Rc<RefCell<LeaseDuty>>,
    placer: Placer,
    demand: Demand,
    sums: Sums,
    life: Life,
    catalog: Option<Arc<Catalog>>,
    /// The list as the platform gives it.
    rows: Listing,
    /// The list, with what the holder said of engines.
    listing: Arc<Listing>,
    watch_orders: Rc<WatchOrders>,
    has_listing: bool,
    lapsed: LapsedUpstreams,
    store_presence: StorePresence,
    /// What the holder said engines hold, and when.
    told: BTreeMap<UpstreamId, Told>,
    state_client: StateClient,
    reading_state: bool,
    behind: Behind,
    store_fails: bool,
    start: u64,
    sequence: u64,
    beat: Millis,
    /// What this gateway said last that it has under way.
    told_loads: BTreeMap<UpstreamId, Load>,
    /// From when on loads may be told again.
    loads_due: Millis,
}

impl Control {
    /// Runs control until this gateway has ended.
    pub async fn run(parts: Parts) {
        let (inputs, taken) = mpsc::unbounded_channel();
        let socket = Rc::new(parts.heartbeats);
        let shared = parts.shared;
        let watch_orders = Rc::new(WatchOrders::new());
        let store = parts.store;
        tokio::task::spawn_local(state::serve(shared.clone(), parts.state));
        tokio::task::spawn_local(feeds::follow_catalog(
            store.clone(),
            inputs.clone(),
            watch_orders.clone(),
        ));
        tokio::task::spawn_local(feeds::follow_listing(
            store.clone(),
            inputs.clone(),
            watch_orders.clone(),
        ));
        tokio::task::spawn_local(receive(socket.clone(), inputs.clone()));
        let settings = &shared.settings;
        let lease = Rc::new(RefCell::new(LeaseDuty::new(
            holder_name(settings),
            settings.lease.quiet_ms,
            store,
            inputs.clone(),
        )));
        let authority = Authority {
            holder: holder_name(settings),
            epoch: {
                let (lease, clock) = (lease.clone(), shared.clock);
                Rc::new(move || {
                    lease.borrow_mut().take_order_epoch(clock.now())
                })
            },
        };
        let placer = Placer::new(
            parts.engines,
            inputs.clone(),
            authority,
            settings.loads.window_s,
        );
        let control = Self {
            roster: Roster::new(
                Own {
                    heartbeats: settings.peers.heartbeats,
                    rank: rank(settings),
                },
                settings.peers.silent_ms,
                seeds(settings.peers.heartbeats, &settings.peers.seeds),
            ),
            socket,
            inputs,
            lease,
            placer,
            demand: Demand::default(),
            sums: Sums::default(),
            life: Life::Starting,
            catalog: None,
            rows: Listing::default(),
            listing: Arc::default(),
            watch_orders,
            has_listing: false,
            lapsed: LapsedUpstreams::default(),
            store_presence: StorePresence::default(),
            told: BTreeMap::new(),
            state_client: StateClient::new(),
            reading_state: false,
            behind: Behind::default(),
            store_fails: true,
            start: rand::random(),
            sequence: 0,
            beat: Millis::default(),
            told_loads: BTreeMap::new(),
            loads_due: Millis::default(),
            shared: shared.clone(),
        };
        control.follow(taken, parts.wishes, parts.stop, parts.seeds).await;
    }

    async fn follow(
        mut self,
        mut taken: mpsc::UnboundedReceiver<Input>,
        mut wishes: mpsc::Receiver<Variant>,
        mut stop: watch::Receiver<bool>,
        mut new_seeds: watch::Receiver<Vec<SocketAddr>>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(input) = taken.recv() => {
                    self.take(input);
                    for _ in 0..INPUTS_AT_ONCE {
                        let Ok(input) = taken.try_recv() else { break };
                        self.take(input);
                    }
                }
                Some(wish) = wishes.recv() => self.wish(wish),
                Ok(()) = stop.changed() => self.stop(),
                Ok(()) = new_seeds.changed() => {
                    let own = self.shared.settings.peers.heartbeats;
                    let fresh = new_seeds.borrow().clone();
                    self.roster.set_seeds(seeds(own, &fresh));
                }
            }
        }
    }

    fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    fn tick(&mut self) {
        let now = self.now();
        self.roster.tick(now);
        if self.lapsed.pass(&self.rows, now) {
            self.relist(now);
        }
        if self.life == Life::Serving {
            let around = Around {
                holder_heard: self.roster.holder(now).is_some(),
                store_heard: self.roster.hears_store(now),
                place: self.roster.place(now).min(LAST_PLACE),
            };
            self.lease.borrow_mut().tick(now, around);
        }
        self.place(now);
        self.catch_up(now);
        let observing = self.roster.observing(self.store_fails, now);
        self.watch_orders.set_observing(observing);
        self.watch_orders.others_look.set(self.roster.others_look(now));
        if now.since(self.beat) >= self.beat_ms(now) {
            self.beat = now;
            let work = std::mem::take(&mut *self.shared.work());
            self.demand.take(work, now);
            self.send_heartbeats(now);
            self.tell_unloading(now);
            self.publish(now);
        } else if now >= self.loads_due {
            self.tell_loads(now);
        }
    }

    /// Tells all peers again which engines give a model up, where not all
    /// hear this gateway's heartbeats.
    fn tell_unloading(&mut self, now: Millis) {
        let holds = self.lease.borrow().held_epoch(now).is_some();
        if !holds || !self.roster.has_hubs(now) {
            return;
        }
        let unloading = self.placer.unloading();
        if !unloading.is_empty() {
            self.send_all(&Message::Holdings(unloading), now);
        }
    }

    /// Returns how often heartbeats are sent.
    fn beat_ms(&self, now: Millis) -> u64 {
        let every_ms = self.shared.settings.peers.every_ms;
        match self.roster.has_hubs(now) {
            true => every_ms * BEATS_WITH_HUBS,
            false => every_ms,
        }
    }

    /// Places models and adapters, if this gateway may give orders.
    fn place(&mut self, now: Millis) {
        let may_order = self.lease.borrow().order_epoch(now).is_some();
        let Some(catalog) = self.catalog.clone().filter(|_| may_order) else {
            return;
        };
        if self.sums.is_old(now) {
            self.sums = self.sum_up(now);
        }
        let Sums { demand, loads, .. } = &self.sums;
        for (name, service) in &catalog.services {
            let Some(spec) = &service.engine else { continue };
            self.placer.tick(now, name, spec, demand, loads);
        }
    }

    /// Adds up what all gateways are asked for and have under way.
    fn sum_up(&self, now: Millis) -> Sums {
        let mut demand = BTreeMap::new();
        for one in self.demand.list(&self.shared.running()) {
            demand.insert(one.variant.clone(), one);
        }
        self.roster.add_demand(&mut demand, now);
        let own = self.shared.loads().clone();
        let mut loads = self.roster.loads(&self.told_loads, now);
        for (id, load) in &own {
            let sum = loads.entry(id.clone()).or_default();
            *sum = sum.plus(*load);
        }
        Sums { demand, loads, made: Some(now) }
    }

    /// Reads a peer's state if it has had something newer for a while, and
    /// the store has not brought it.
    fn catch_up(&mut self, now: Millis) {
        let version = self.catalog.as_ref().map_or(0, |c| c.version);
        let catalog = self.roster.with_newer_catalog(version, now);
        let known = self.rows.version;
        let listing = self.roster.with_newer_listing(known, now);
        let waited = |since: &mut Option<Millis>, is_behind: bool, wait| {
            *since = is_behind.then(|| since.unwrap_or(now));
            since.is_some_and(|since| now.since(since) >= wait)
        };
        let behind = &mut self.behind;
        let by_catalog = waited(
            &mut behind.catalog,
            catalog.is_some(),
            WAIT_FOR_CATALOG_MS,
        );
        let by_listing = waited(
            &mut behind.listing,
            listing.is_some(),
            WAIT_FOR_LISTING_MS,
        );
        let peer =
            catalog.filter(|_| by_catalog).or(listing.filter(|_| by_listing));
        let Some(peer) = peer.filter(|_| !self.reading_state) else { return };
        self.reading_state = true;
        let (client, inputs) =
            (self.state_client.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let state = client.read(peer).await;
            let _ = inputs.send(Input::PeerState(state));
        });
    }

    fn take(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::StoreFailed(error) => {
                if !self.store_fails {
                    Event::StoreLost { error: error.to_string() }.log();
                }
                self.store_fails = true;
                self.store_presence.failed(now);
            }
            Input::CatalogHeard(catalog) => {
                self.store_heard(now);
                if let Some(catalog) = catalog {
                    self.configure(*catalog, now);
                }
            }
            Input::ListingRead(listing) => {
                self.store_heard(now);
                self.keep_missing(&listing, now);
                self.list(listing, now);
            }
            Input::ListingChanged(news) => {
                self.store_heard(now);
                self.list_changes(news, now);
            }
            Input::PeerState(state) => {
                self.reading_state = false;
                match state {
                    Ok(state) => {
                        if let Some(catalog) = state.catalog {
                            self.configure(catalog, now);
                        }
                        self.list(state.listing, now);
                    }
                    Err(error) => log::debug!("a peer's state: {error}"),
                }
            }
            Input::LeaseRead(read) => {
                self.lease.borrow_mut().read_done(read, now);
            }
            Input::LeaseWritten(write, written) => {
                let took = write.takes;
                self.lease.borrow_mut().write_done(write, written, now);
                let epoch = self.lease.borrow().held_epoch(now);
                if let (true, Some(epoch)) = (took, epoch) {
                    self.placer.begin_epoch(epoch);
                }
                self.shared.metrics.holds_lease(epoch.is_some());
            }
            Input::Reported { engine, report } => {
                self.placer.reported(&engine, report, now);
                self.spread_news(now);
            }
            Input::Ordered(order, end) => {
                self.shared.metrics.ordered(end.label());
                self.placer.ordered(order, &end, now);
                self.spread_news(now);
                self.place(now);
            }
            Input::Datagram(from, bytes) => self.datagram(from, &bytes, now),
        }
    }

    fn store_heard(&mut self, now: Millis) {
        if self.store_fails {
            Event::StoreBack.log();
        }
        self.store_fails = false;
        self.store_presence.heard(now);
    }

    fn datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Millis) {
        match Message::decode(bytes) {
            Ok(Message::Heartbeat(heartbeat)) => {
                let holdings = heartbeat.holdings.clone();
                if let Some(word) = heartbeat.lease {
                    let rumour = LeaseRumour { from, word, age_ms: 0 };
                    self.lease.borrow_mut().heard(rumour, now);
                }
                let is_new = self.roster.heard(from, *heartbeat, now);
                self.take_told(holdings, now);
                if is_new {
                    Event::PeerFound { address: from }.log();
                    // Who just came learns of this gateway at once.
                    self.send_heartbeat_to(from, now);
                    self.publish(now);
                }
            }
            Ok(Message::Wish(variant)) => {
                self.placer.wished(variant, now);
                self.place(now);
            }
            Ok(Message::Holdings(holdings)) => self.take_told(holdings, now),
            Ok(Message::Listed(delta)) => {
                self.take_delta(&delta, now);
            }
            Ok(Message::Summary(summary)) => {
                self.roster.summed_up(from, *summary, now);
                self.publish_loads(now);
                for rumour in self.roster.rumours(now) {
                    self.lease.borrow_mut().heard(rumour, now);
                }
            }
            Ok(Message::Loads(report)) => self.roster.load_heard(report, now),
            Ok(Message::LoadSums(loads)) => {
                self.roster.load_sums_heard(loads, now);
                self.publish_loads(now);
            }
            Err(error) => log::debug!("a datagram of {from}: {error}"),
        }
    }

    fn wish(&mut self, variant: Variant) {
        let now = self.now();
        if self.lease.borrow().held_epoch(now).is_some() {
            self.placer.wished(variant, now);
            self.place(now);
        } else if let Some(holder) = self.roster.holder(now) {
            self.send([holder], &Message::Wish(variant));
        }
    }

    /// Takes in what the holder says engines hold.
    fn take_told(&mut self, holdings: Vec<EngineHolding>, now: Millis) {
        let mut changed = false;
        for one in holdings {
            let known = self.told.get(&one.engine);
            let is_older = known.is_some_and(|known| known.stamp > one.stamp);
            let is_there = self.listing.upstreams.contains_key(&one.engine);
            if is_older || !is_there {
                continue;
            }
            changed |= known.is_none_or(|known| known.holding != one.holding);
            let (holding, stamp) = (one.holding, one.stamp);
            self.told.insert(one.engine, Told { holding, stamp, at: now });
        }
        if changed {
            self.relist(now);
        }
    }

    /// Tells peers, and traffic here, what engines hold since orders.
    fn spread_news(&mut self, now: Millis) {
        let mut news = self.placer.news(now);
        news.retain(|one| {
            let known = self.told.get(&one.engine);
            known.is_none_or(|known| known.stamp < one.stamp)
        });
        if news.is_empty() {
            return;
        }
        let message = Message::Holdings(news.clone());
        self.send_all(&message, now);
        self.take_told(news, now);
    }

    fn configure(&mut self, catalog: Catalog, now: Millis) {
        let version = self.catalog.as_ref().map_or(0, |c| c.version);
        if catalog.version <= version {
            return;
        }
        Event::ConfigurationInForce { version: catalog.version }.log();
        self.shared.metrics.catalog(catalog.version);
        self.catalog = Some(Arc::new(catalog));
        self.live();
        self.send_heartbeats(now);
        self.publish(now);
    }

    /// Keeps upstreams that the store's list misses just after its return.
    fn keep_missing(&mut self, listing: &Listing, now: Millis) {
        let is_newer = listing.version >= self.rows.version;
        if !is_newer || !self.store_presence.has_just_returned(now) {
            return;
        }
        let known = self.rows.upstreams.values();
        let missing =
            known.filter(|one| !listing.upstreams.contains_key(&one.id));
        for one in missing {
            self.lapsed.keep(one, now);
        }
    }

    fn list(&mut self, listing: Listing, now: Millis) {
        if listing.version < self.rows.version {
            return;
        }
        self.has_listing = true;
        self.rows = listing;
        self.relist(now);
        self.live();
    }

    /// Takes in what the store's watch brought, and passes it on.
    fn list_changes(&mut self, news: ListingNews, now: Millis) {
        let ListingNews::Changed { version, changed, gone, .. } = news else {
            return;
        };
        let Some(version) = version else { return };
        let before = self.rows.version;
        let after_outage = self.store_presence.has_just_returned(now);
        let delta =
            ListingDelta { before, version, changed, gone, after_outage };
        if self.take_delta(&delta, now) {
            self.send_all(&Message::Listed(delta), now);
        }
    }

    /// Takes in changes of the list; tells whether they were new.
    fn take_delta(&mut self, delta: &ListingDelta, now: Millis) -> bool {
        let gone = delta.gone.iter().filter(|_| delta.after_outage);
        let lapsed: Vec<_> = gone
            .filter_map(|id| self.rows.upstreams.get(id).cloned())
            .collect();
        if !self.has_listing || !self.rows.apply(delta) {
            return false;
        }
        for one in &lapsed {
            self.lapsed.keep(one, now);
        }
        let changed = delta.changed.iter().map(|upstream| &upstream.id);
        for id in changed {
            let told = self.told.get(id);
            let is_old =
                told.is_some_and(|told| now.since(told.at) >= LIST_LAGS_MS);
            if is_old {
                self.told.remove(id);
            }
        }
        self.relist(now);
        true
    }

    /// Puts what the holder said over the list, and publishes both.
    fn relist(&mut self, now: Millis) {
        self.watch_orders.known.set(self.rows.version);
        self.lapsed.pass(&self.rows, now);
        let mut listing = self.rows.clone();
        self.lapsed.add_to(&mut listing);
        self.placer.listed(&listing);
        self.told.retain(|id, _| listing.upstreams.contains_key(id));
        for (engine, told) in &self.told {
            if let Some(upstream) = listing.upstreams.get_mut(engine) {
                Arc::make_mut(upstream).holding = told.holding.clone();
            }
        }
        self.listing = Arc::new(listing);
        self.publish(now);
    }

    fn live(&mut self) {
        let knows = self.catalog.is_some() && self.has_listing;
        if self.life == Life::Starting && knows {
            self.life = Life::Serving;
            self.shared.set_life(self.life);
        }
    }

    fn stop(&mut self) {
        let now = self.now();
        self.life = Life::Leaving;
        self.shared.set_life(self.life);
        self.lease.borrow_mut().step_down(now);
        self.send_heartbeats(now);
        self.publish(now);
    }

    fn publish(&mut self, now: Millis) {
        let settings = &self.shared.settings;
        let mut ready = self.roster.ready(now);
        if self.life == Life::Serving {
            ready.push(ReadyMember {
                requests: settings.callers.requests,
                data_centre: settings.data_centre.clone(),
            });
        }
        let holds = self.lease.borrow().held_epoch(now).is_some();
        self.shared.view.store(Arc::new(View {
            life: self.life,
            has_holder: holds || self.roster.holder(now).is_some(),
            catalog: self.catalog.clone(),
            listing: self.listing.clone(),
            lapsed: self.lapsed.clone(),
            ready,
        }));
        self.publish_loads(now);
    }

    fn heartbeat(&mut self, now: Millis) -> Heartbeat {
        self.sequence += 1;
        let settings = &self.shared.settings;
        let lease = self.lease.borrow().word(now);
        let holds = matches!(lease, Some(LeaseWord::Holds { .. }));
        let loads = self.own_loads();
        let as_told = |one: &UpstreamLoad| (one.upstream.clone(), one.load);
        self.told_loads = loads.iter().map(as_told).collect();
        Heartbeat {
            instance: settings.instance.clone(),
            start: self.start,
            sequence: self.sequence,
            data_centre: settings.data_centre.clone(),
            life: self.life,
            rank: rank(settings),
            requests: settings.callers.requests,
            state: settings.peers.state,
            catalog: self.catalog.as_ref().map_or(0, |c| c.version),
            listing: self.rows.version,
            lease,
            store_fails: self.store_fails,
            known: self.roster.known(now),
            loads,
            demand: self.demand.list(&self.shared.running()),
            holdings: match holds {
                true => self.placer.news(now),
                false => Vec::new(),
            },
        }
    }

    /// Tells others of this gateway; as a hub, also what it hears.
    fn send_heartbeats(&mut self, now: Millis) {
        let heartbeat = self.heartbeat(now);
        if self.roster.is_hub(now) {
            let summary = self.roster.sum_up(&heartbeat, now);
            self.send_all(&Message::Summary(Box::new(summary)), now);
        }
        let message = Message::Heartbeat(Box::new(heartbeat));
        let targets = self.roster.heartbeat_targets(now);
        self.send(targets, &message);
    }

    fn send_heartbeat_to(&mut self, target: SocketAddr, now: Millis) {
        let heartbeat = self.heartbeat(now);
        self.send([target], &Message::Heartbeat(Box::new(heartbeat)));
    }

    /// Sends a message to every gateway that is there; returns its bytes.
    fn send_all(&self, message: &Message, now: Millis) -> u64 {
        self.send(self.roster.live_targets(now), message)
    }

    /// Sends a message; returns how many bytes it has.
    fn send(
        &self,
        targets: impl IntoIterator<Item = SocketAddr>,
        message: &Message,
    ) -> u64 {
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!("a datagram was not sent: {error}");
                return 0;
            }
        };
        for target in targets {
            // Datagrams may be lost, so one that finds no room may be too.
            let _ = self.socket.try_send_to(&bytes, target);
        }
        bytes.len() as u64
    }
}

/// Returns how suited this gateway is to work for the others.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rank(settings: &Settings) -> Rank {
    let strength = (settings.peers.strength * 100.0) as u16;
    let name = settings.instance.as_str().as_bytes();
    Rank { strength, tie: xxh3_64(name) as u32 }
}

/// Names a machine: its name may come back at another address.
fn holder_name(settings: &Settings) -> InstanceId {
    let address = settings.peers.heartbeats.ip();
    InstanceId::new(format!("{}@{address}", settings.instance))
}

/// Makes seeds' heartbeat addresses: gateways use the same ports.
fn seeds(own: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let port = own.port();
    seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Receives datagrams until control ends.
async fn receive(socket: Rc<UdpSocket>, inputs: mpsc::UnboundedSender<Input>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    while !inputs.is_closed() {
        // An error tells that an earlier datagram was not taken.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = buffer[..length].to_vec();
        let _ = inputs.send(Input::Datagram(from, bytes));
    }
}

//! Everything that is decided beside requests, on one thread.
//!
//! Control takes one input after the other and never waits. It follows the
//! configuration and the upstreams, keeps the roster of gateways, holds the
//! lease when it is its turn, and publishes a [`View`](crate::view::View) that
//! traffic reads.
//!
//! - `feeds` follow the store, `store_sight` says whether it answers, `behind`
//!   reads from peers what they know more, `configuring` puts configurations
//!   in force, and `evacuating` orders to empty data centres.
//! - `telling` says to peers what this gateway does and knows, `loads` more
//!   often what it has under way, `limits` what it lets through, and `paces`
//!   how fast engines are.
//! - `crashes` tells others of crashes and who was there, `leaving` of upstreams
//!   that say that they leave, and `upstream_limits` of those in need.
//! - `cold` says which upstreams are cold, and gives out rights to send to them
//!   and to those in need.
//! - `upstreams` puts together what is known of upstreams, and `publishing`
//!   gives it to traffic.
//! - `lease`, `placer`, `entry`, `needs` and `demand` place models.

mod behind;
mod cold;
mod configuring;
mod counted_store;
mod crashes;
mod demand;
mod entry;
mod evacuating;
mod feeds;
mod input;
mod lease;
mod leaving;
mod limits;
mod loads;
mod needs;
mod paces;
mod placement;
mod placer;
mod publishing;
mod store_sight;
mod telling;
mod upstream_limits;
mod upstreams;

use std::{
    cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, sync::Arc,
    time::Duration,
};

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, watch},
    time::{Instant, MissedTickBehavior},
};
use valehold_core::{
    Millis,
    fleet::{
        BoundVariant, Catalog, EvacuationState, UpstreamRegistry,
        cold::PermitGrantor, lapsed::StoreAvailability,
    },
    id::{DataCentreId, InstanceId},
};
use valehold_ports::port::fleet::{FleetEngines, FleetStore};
use xxhash_rust::xxh3::xxh3_64;

use self::{
    behind::Behind,
    counted_store::CountedStore,
    demand::{Demand, Sums},
    feeds::WatchOrders,
    input::Input,
    lease::{LeaseManager, PeerLeaseState},
    limits::LimitDuty,
    paces::PaceDuty,
    placement::PlacementSchedule,
    placer::{Authority, Placer},
    publishing::Published,
};
use crate::{
    events::{Event, ReportSource},
    peers::{
        Roster,
        fragments::Fragments,
        message::{Duty, MAX_DATAGRAM, Message, Rank, StoreSight},
        outbox::Outbox,
        roster::{
            LocalMember, LocalReport,
            members::AdvertisedMembers,
            sums::{AdvertisedSums, Loads},
        },
        state,
    },
    settings::Settings,
    shared::{Shared, Wishes},
    view::Life,
};

/// How often time passes for control.
const TICK: Duration = Duration::from_millis(50);

/// For how long a gateway that has just started finds out who else is there,
/// before it asks for the lease, in ms: two heartbeats there and back.
const SETTLE_MS: u64 = 1_000;

/// From how long a difference between clock and timers on the machine was
/// suspended, in ms: a heartbeat, as less has no consequence.
const SUSPENDED_MS: u64 = 250;

/// The last place that a contender for the lease waits for.
const LAST_PLACE: usize = 24;

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
    pub wishes: Wishes,
    /// Whether this gateway was told to stop.
    pub stop: watch::Receiver<bool>,
    /// The newest seeds.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
}

/// Control of one gateway.
pub struct Control {
    shared: Arc<Shared>,
    socket: Rc<UdpSocket>,
    /// Datagrams that wait for room in the socket.
    outbox: RefCell<Outbox>,
    /// Messages of which fragments have not arrived.
    fragments: Fragments,
    placing: PlacementSchedule,
    inputs: mpsc::UnboundedSender<Input>,
    roster: Roster,
    lease: Rc<RefCell<LeaseManager>>,
    limits: LimitDuty,
    paces: PaceDuty,
    grantor: PermitGrantor,
    placer: Placer,
    demand: Demand,
    sums: Sums,
    life: Life,
    catalog: Option<Arc<Catalog>>,
    evacuations: EvacuationState,
    /// The data centres that operators were told to be empty.
    told_evacuations: BTreeSet<DataCentreId>,
    upstreams: UpstreamRegistry,
    watch_orders: Rc<WatchOrders>,
    store: StoreSight,
    store_presence: StoreAvailability,
    /// How often the store came back from a copy, once it is known.
    store_era: Option<u64>,
    behind: Behind,
    published: Published,
    started: Millis,
    start: u64,
    sequence: u64,
    /// When time passed last, by timers and by the clock.
    ticked: (Instant, Millis),
    /// When heartbeats were sent last.
    beat: Option<Millis>,
    /// What this gateway said last that it has under way.
    told_loads: Loads,
    /// From when on loads may be told again.
    loads_due: Millis,
    /// What this gateway said last as a hub of all loads.
    told_sums: AdvertisedSums,
    /// What it said last as a hub of the loads of its group.
    told_group_sums: AdvertisedSums,
    store_calls: Arc<dyn FleetStore>,
    record: crashes::RecordDuty,
    /// What it knew of crashes when others were told last.
    told_crashes: crashes::ToldCrashes,
    /// Upstreams that leave, of which others are told once more.
    told_leaving: leaving::ToldLeaving,
    /// Limits of upstreams of which others are to be told.
    told_limits: upstream_limits::ToldLimits,
    /// What this gateway said last as a hub of who is there.
    told_members: AdvertisedMembers,
}

impl Control {
    /// Runs control until this gateway has ended.
    pub async fn run(parts: Parts) {
        let (inputs, taken) = mpsc::unbounded_channel();
        let socket = Rc::new(parts.heartbeats);
        let shared = parts.shared;
        let watch_orders = Rc::new(WatchOrders::new());
        let store: Arc<dyn FleetStore> = Arc::new(CountedStore::new(
            parts.store,
            shared.metrics.clone(),
            shared.clock,
        ));
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
        let lease = Rc::new(RefCell::new(LeaseManager::new(
            holder_name(settings),
            settings.lease.quiet_ms,
            store.clone(),
            inputs.clone(),
            shared.clock.now(),
        )));
        let store_calls = store;
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
            settings.mechanisms,
            shared.topology.clone(),
        );
        let now = shared.clock.now();
        let known = &settings.peers.seeds;
        let is_seed =
            known.is_empty() || known.contains(&settings.peers.state);
        let own_state = settings.peers.state;
        let is_alone = known.iter().all(|seed| *seed == own_state);
        let mut control = Self {
            roster: Roster::new(
                LocalMember {
                    heartbeats: settings.peers.heartbeats,
                    state: settings.peers.state,
                    data_centre: settings.data_centre.clone(),
                    rank: rank(settings),
                },
                settings.peers.silent_ms,
                seeds(settings.peers.heartbeats, &settings.peers.seeds),
            ),
            socket,
            outbox: RefCell::new(Outbox::new(settings.peers.link_mbps)),
            fragments: Fragments::default(),
            placing: PlacementSchedule::default(),
            inputs,
            lease,
            limits: LimitDuty::new(settings.limits, is_alone, now),
            paces: PaceDuty::default(),
            grantor: PermitGrantor::new(settings.peers.heartbeats, now),
            placer,
            demand: Demand::default(),
            sums: Sums::default(),
            life: Life::Starting,
            catalog: None,
            evacuations: EvacuationState::default(),
            told_evacuations: BTreeSet::new(),
            upstreams: UpstreamRegistry::default(),
            watch_orders,
            store: StoreSight::Unknown,
            store_presence: StoreAvailability::default(),
            store_era: None,
            behind: Behind::new(is_seed, now),
            published: Published::default(),
            started: now,
            start: rand::random(),
            sequence: 0,
            ticked: (Instant::now(), now),
            beat: None,
            told_loads: Loads::new(),
            loads_due: Millis::default(),
            told_sums: AdvertisedSums::default(),
            told_group_sums: AdvertisedSums::default(),
            store_calls,
            record: crashes::RecordDuty::default(),
            told_crashes: crashes::ToldCrashes::default(),
            told_leaving: leaving::ToldLeaving::default(),
            told_limits: upstream_limits::ToldLimits::default(),
            told_members: AdvertisedMembers::default(),
            shared: shared.clone(),
        };
        control.presence_changed(now);
        control.follow(taken, parts.wishes, parts.stop, parts.seeds).await;
    }

    async fn follow(
        mut self,
        mut taken: mpsc::UnboundedReceiver<Input>,
        mut wishes: Wishes,
        mut stop: watch::Receiver<bool>,
        mut new_seeds: watch::Receiver<Vec<SocketAddr>>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let socket = self.socket.clone();
        loop {
            let waits = !self.outbox.borrow().is_empty();
            tokio::select! {
                Ok(()) = socket.writable(), if waits => self.flush_outbox(),
                _ = ticks.tick() => self.tick(),
                Some(input) = taken.recv() => {
                    self.take(input);
                    for _ in 0..INPUTS_AT_ONCE {
                        let Ok(input) = taken.try_recv() else { break };
                        self.take(input);
                    }
                    self.place_if_requested();
                    self.publish_if_due();
                }
                Some(wish) = wishes.variants.recv() => self.wish(wish),
                Some(ask) = wishes.rights.recv() => self.ask_right(ask),
                Some(start) = wishes.leaving.recv() => {
                    let now = self.now();
                    self.hear_leaving(&[start], ReportSource::Answer, now);
                }
                Some(start) = wishes.limits.recv() => self.limit_stated(&start),
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
        self.resume_if_suspended(now);
        if self.roster.tick(self.own_word(), now) {
            self.members_changed();
            self.hear_members(now);
        }
        self.upstreams.prune(now);
        self.let_go_of_held(&[], now);
        self.tell_evacuations(now);
        self.tell_crashes(now);
        self.tell_leaving_again(now);
        self.tell_limits(now);
        self.keep_record(now);
        self.contend(now);
        self.place(now);
        self.spread_news(now);
        self.catch_up(now);
        self.watch_store(now);
        let beat_ms = self.beat_ms(now);
        if self.beat.is_none_or(|beat| now.since(beat) >= beat_ms) {
            self.beat = Some(now);
            self.presence_changed(now);
            self.hear_members(now);
            let work = std::mem::take(&mut *self.shared.work());
            self.demand.take(work, now);
            self.send_heartbeats(now);
            self.tell_unloading(now);
            self.publish_loads(now);
            if !self.roster.has_hubs() {
                self.rule_limits(now);
                self.pace_news(now);
            }
            self.holder_may_have_changed();
        } else if now >= self.loads_due {
            self.send_loads(now);
        }
        self.publish_if_due();
    }

    /// Catches up after the machine was suspended: the others hear of this
    /// gateway, and watches begin anew, at once.
    fn resume_if_suspended(&mut self, now: Millis) {
        let (timers, clock) = self.ticked;
        self.ticked = (Instant::now(), now);
        let by_timers_ms = Millis::from(timers.elapsed()).get();
        let for_ms = now.since(clock).saturating_sub(by_timers_ms);
        if for_ms >= SUSPENDED_MS {
            Event::Suspended { for_ms }.log();
            self.watch_orders.resume();
            self.beat = None;
        }
    }

    fn own_word(&self) -> LocalReport {
        LocalReport {
            requests: self.shared.settings.callers.requests,
            life: self.life,
            store: self.store,
        }
    }

    /// Takes or renews the lease, if it is this gateway's turn.
    fn contend(&mut self, now: Millis) {
        let knows_others = now.since(self.started) >= SETTLE_MS;
        if self.life != Life::Serving || !knows_others {
            return;
        }
        let peers = PeerLeaseState {
            has_holder: self.roster.lease_holder(now).is_some(),
            others_reach_store: self.roster.others_reach_store(),
            position: self.roster.duty_position(Duty::Place).min(LAST_PLACE),
        };
        let lost_loads = self.placer.lost_loads(now);
        let mut lease = self.lease.borrow_mut();
        lease.set_lost_loads(lost_loads);
        lease.tick(now, peers);
    }

    fn take(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::StoreFailed { error, lasted } => {
                self.store_failed(&error, lasted, now);
            }
            Input::CatalogUpdated { version, catalog, evacuations } => {
                let was_lost = self.store == StoreSight::Fails;
                self.store_heard(now);
                self.note_era(version);
                self.evacuate_by_store(evacuations, was_lost, now);
                if let Some(catalog) = catalog {
                    self.configure_by_store(*catalog, now);
                }
            }
            Input::ListingRead(listing) => {
                self.store_heard(now);
                self.note_era(listing.version);
                self.list(listing, now);
            }
            Input::ListingChanged(news) => {
                self.store_heard(now);
                self.list_changes(news, now);
            }
            Input::PeerState { peer, state } => {
                self.take_peer_state(peer, state, now);
            }
            Input::LeaseRead(read) => {
                self.lease.borrow_mut().on_read(read, now);
            }
            Input::LeaseWritten(write, written) => {
                let took = write.takes;
                self.lease.borrow_mut().on_write(write, written, now);
                let epoch = self.lease.borrow().held_epoch(now);
                if let (true, Some(epoch)) = (took, epoch) {
                    self.placer.replace_listing(self.upstreams.listing());
                    let others =
                        self.lease.borrow_mut().take_inherited_loads();
                    self.placer.begin_epoch(epoch, others);
                    // Peers need not contend any more.
                    self.send_heartbeats(now);
                }
                self.shared.metrics.holds_lease(epoch.is_some());
            }
            Input::EngineReported { start, report } => {
                self.placer.on_report(&start, report, now);
                self.spread_news_if_few(now);
            }
            Input::OrderFinished(order, end) => {
                self.shared.metrics.ordered(end.label());
                if end.reports_leaving() {
                    let start = order.engine.clone();
                    let source = ReportSource::Answer;
                    self.hear_leaving(&[start], source, now);
                }
                self.placer.on_order_finished(order, &end, now);
                self.spread_news_if_few(now);
                self.request_placement();
            }
            Input::RecordCallFinished(done) => self.record_done(done, now),
            Input::Datagram(from, bytes) => self.datagram(from, &bytes, now),
        }
    }

    fn wish(&mut self, asked: BoundVariant) {
        let now = self.now();
        if self.lease.borrow().held_epoch(now).is_some() {
            self.placer.on_load_request(asked, now);
            self.request_placement();
            self.place_if_requested();
        } else if let Some(holder) = self.roster.lease_holder(now) {
            self.send([holder], &Message::Wish(asked));
        }
    }

    /// Tells whether it knows everything without which no request is sent.
    fn knows_all(&self) -> bool {
        self.catalog.is_some()
            && self.upstreams.has_list()
            && self.evacuations.is_known()
    }

    fn live(&mut self) {
        let knows = self.knows_all();
        if self.life == Life::Starting && knows {
            self.set_life(Life::Serving);
            // Others that start now may know nothing yet.
            let now = self.now();
            self.send_heartbeat_to(self.roster.direct_targets(), now);
        }
    }

    fn set_life(&mut self, life: Life) {
        self.life = life;
        let now = self.now();
        self.roster.recompute(self.own_word(), now);
        self.members_changed();
        // Who waits for it finds the view that goes with it.
        self.publish();
        self.shared.set_life(life);
    }

    fn stop(&mut self) {
        let now = self.now();
        self.set_life(Life::Leaving);
        self.lease.borrow_mut().step_down(now);
        self.send_heartbeats(now);
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

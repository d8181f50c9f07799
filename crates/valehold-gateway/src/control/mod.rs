//! Control: all decisions outside of request handling, on one thread.
//!
//! Control handles one input after the other and never blocks. It follows the
//! configuration and the upstreams, maintains the roster of gateways, competes
//! for the lease, and publishes a [`View`](crate::view::View) that traffic
//! reads.
//!
//! - `feeds` watches the store, `store_status` tracks whether the store
//!   answers, `freshness` when it last confirmed what is known, `behind` reads newer state from peers, `configuring` applies
//!   configurations, and `evacuating` applies evacuation orders for data
//!   centres.
//! - `telling` exchanges messages with peers, `loads` sends the requests in
//!   flight between heartbeats, `limits` handles usage and throttles, and
//!   `paces` the speed of engines and models.
//! - `records` reads and writes the rows of the gateways' own tables.
//! - `crashes` propagates reports of crashes and the requests in flight at the
//!   time, `leaving` propagates leaving upstreams, and `upstream_limits` the
//!   limits of overloaded upstreams.
//! - `origins` propagates the software versions at which streams began, and
//!   `stream_record` keeps them in the store.
//! - `cold` tracks cold upstreams and grants permits to send to cold or
//!   limited upstreams.
//! - `upstreams` maintains the registry of upstreams, and `publishing`
//!   provides it to traffic.
//! - `lease`, `placement`, `placer`, `entry`, `needs` and `demand` place
//!   models.

mod behind;
mod cold;
mod configuring;
mod counted_store;
mod crashes;
mod demand;
mod entry;
mod evacuating;
mod feeds;
mod freshness;
mod input;
mod lease;
mod leaving;
mod limits;
mod loads;
mod needs;
mod origins;
mod paces;
mod placement;
mod placer;
mod publishing;
mod records;
mod store_status;
mod stream_record;
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
        brittle::BrittleReport, cold::PermitGrantor,
        lapsed::StoreAvailability,
    },
    id::{DataCentreId, InstanceId},
};
use valehold_ports::port::fleet::{FleetEngines, FleetStore};
use xxhash_rust::xxh3::xxh3_64;

use self::{
    behind::CatchUp,
    counted_store::CountedStore,
    demand::{Demand, Sums},
    feeds::WatchState,
    freshness::FreshnessState,
    input::Input,
    lease::{LeaseManager, PeerLeaseState},
    limits::LimitState,
    paces::PaceState,
    placement::PlacementSchedule,
    placer::{Authority, Placer},
    publishing::Published,
};
use crate::{
    events::{Event, ReportSource},
    peers::{
        PeerLink, Roster,
        fragments::Reassembler,
        message::{Duty, MAX_DATAGRAM, Message, Rank, StoreStatus},
        outbox::Outbox,
        roster::{
            LocalMember, LocalReport,
            members::AdvertisedMembers,
            sums::{AdvertisedSums, Loads},
        },
        state,
    },
    settings::Settings,
    shared::{ControlReceivers, Shared},
    view::Life,
};

/// The interval of the timer that drives periodic work.
const TICK: Duration = Duration::from_millis(50);

/// How long a gateway that has just started discovers other gateways before it
/// competes for the lease, in ms: two heartbeat round trips.
const SETTLE_MS: u64 = 1_000;

/// The difference between clock and timers from which the machine counts as
/// suspended, in ms: one heartbeat interval. A shorter suspension has no
/// consequences.
const SUSPENDED_MS: u64 = 250;

/// How long this gateway's links to upstreams have to be lost before it hands
/// the lease back, in ms. Links that fail briefly leave the holder in place:
/// the next one has to wait for the quiet time.
const LINKS_LOST_RELEASE_MS: u64 = 1_000;

/// The maximum position in the order of contenders that delays an attempt to
/// take the lease.
const MAX_LEASE_POSITION: usize = 24;

/// The maximum number of further inputs handled before control publishes their
/// effects and polls its other sources, such as the timer.
const MAX_INPUTS_PER_BATCH: usize = 64;

/// Resources that control is started with.
pub struct Parts {
    /// The state shared with traffic.
    pub shared: Arc<Shared>,
    /// The platform's store.
    pub store: Arc<dyn FleetStore>,
    /// Access to the engines.
    pub engines: Arc<dyn FleetEngines>,
    /// The socket for messages between peers.
    pub heartbeats: UdpSocket,
    /// The link over which the socket exchanges messages.
    pub link: PeerLink,
    /// The listener from which peers read state.
    pub state: TcpListener,
    /// Load requests, permit requests and upstream reports from traffic.
    pub wishes: ControlReceivers,
    /// Whether this gateway was ordered to stop.
    pub stop: watch::Receiver<bool>,
    /// The current seeds.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
}

/// Control of one gateway.
pub struct Control {
    shared: Arc<Shared>,
    socket: Rc<UdpSocket>,
    link: PeerLink,
    /// Datagrams that wait until the socket accepts more.
    outbox: RefCell<Outbox>,
    /// Messages of which some fragments have not arrived.
    fragments: Reassembler,
    placing: PlacementSchedule,
    inputs: mpsc::UnboundedSender<Input>,
    roster: Roster,
    lease: Rc<RefCell<LeaseManager>>,
    limits: LimitState,
    paces: PaceState,
    grantor: PermitGrantor,
    placer: Placer,
    demand: Demand,
    sums: Sums,
    life: Life,
    catalog: Option<Arc<Catalog>>,
    evacuations: EvacuationState,
    /// Data centres reported to operators as evacuated.
    reported_evacuations: BTreeSet<DataCentreId>,
    upstreams: UpstreamRegistry,
    watch_state: Rc<WatchState>,
    store: StoreStatus,
    store_presence: StoreAvailability,
    /// The number of times that the store was restored from a backup, once
    /// known.
    store_era: Option<u64>,
    catch_up: CatchUp,
    freshness: FreshnessState,
    published: Published,
    started: Millis,
    start: u64,
    sequence: u64,
    /// The last tick, by timers and by the clock.
    last_tick: (Instant, Millis),
    /// When heartbeats were sent last.
    last_heartbeat: Option<Millis>,
    /// The loads in flight that this gateway last advertised.
    advertised_loads: Loads,
    /// The earliest time at which loads are advertised again.
    next_loads_at: Millis,
    /// The sums of all loads that this gateway last advertised as a hub.
    advertised_sums: AdvertisedSums,
    /// The sums of its group's loads that this gateway last advertised as a
    /// hub.
    advertised_group_sums: AdvertisedSums,
    store_calls: Arc<dyn FleetStore>,
    record: crashes::RecordSync,
    /// The digest of crash reports and the recipients of full reports.
    advertised_crashes: crashes::AdvertisedCrashes,
    /// Leaving upstreams that are broadcast once more.
    advertised_leaving: leaving::AdvertisedLeaving,
    /// Limits of upstreams that are to be broadcast.
    advertised_limits: upstream_limits::AdvertisedLimits,
    /// The members that this gateway last advertised as a hub.
    advertised_members: AdvertisedMembers,
    origins: origins::OriginState,
    stream_record: stream_record::StreamRecordSync,
}

impl Control {
    /// Runs control until this gateway has stopped.
    pub async fn run(parts: Parts) {
        let (inputs, input_receiver) = mpsc::unbounded_channel();
        let socket = Rc::new(parts.heartbeats);
        let shared = parts.shared;
        let watch_state = Rc::new(WatchState::new());
        let store: Arc<dyn FleetStore> = Arc::new(CountedStore::new(
            parts.store,
            shared.metrics.clone(),
            shared.clock,
        ));
        tokio::task::spawn_local(state::serve(shared.clone(), parts.state));
        tokio::task::spawn_local(feeds::follow_catalog(
            store.clone(),
            inputs.clone(),
            watch_state.clone(),
        ));
        tokio::task::spawn_local(feeds::follow_listing(
            store.clone(),
            inputs.clone(),
            watch_state.clone(),
        ));
        tokio::task::spawn_local(receive(
            socket.clone(),
            parts.link.clone(),
            inputs.clone(),
        ));
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
            link: parts.link,
            outbox: RefCell::new(Outbox::new(settings.peers.link_mbps)),
            fragments: Reassembler::default(),
            placing: PlacementSchedule::default(),
            inputs,
            lease,
            limits: LimitState::new(settings.limits, is_alone, now),
            paces: PaceState::default(),
            grantor: PermitGrantor::new(settings.peers.heartbeats, now),
            placer,
            demand: Demand::default(),
            sums: Sums::default(),
            life: Life::Starting,
            catalog: None,
            evacuations: EvacuationState::default(),
            reported_evacuations: BTreeSet::new(),
            upstreams: UpstreamRegistry::default(),
            watch_state,
            store: StoreStatus::Unknown,
            store_presence: StoreAvailability::default(),
            store_era: None,
            catch_up: CatchUp::new(is_seed, now),
            freshness: FreshnessState::new(now),
            published: Published::default(),
            started: now,
            start: rand::random(),
            sequence: 0,
            last_tick: (Instant::now(), now),
            last_heartbeat: None,
            advertised_loads: Loads::new(),
            next_loads_at: Millis::default(),
            advertised_sums: AdvertisedSums::default(),
            advertised_group_sums: AdvertisedSums::default(),
            store_calls,
            record: crashes::RecordSync::default(),
            advertised_crashes: crashes::AdvertisedCrashes::default(),
            advertised_leaving: leaving::AdvertisedLeaving::default(),
            advertised_limits: upstream_limits::AdvertisedLimits::default(),
            advertised_members: AdvertisedMembers::default(),
            origins: origins::OriginState::default(),
            stream_record: stream_record::StreamRecordSync::default(),
            shared: shared.clone(),
        };
        control.update_presence(now);
        control
            .run_loop(input_receiver, parts.wishes, parts.stop, parts.seeds)
            .await;
    }

    async fn run_loop(
        mut self,
        mut input_receiver: mpsc::UnboundedReceiver<Input>,
        mut wishes: ControlReceivers,
        mut stop: watch::Receiver<bool>,
        mut new_seeds: watch::Receiver<Vec<SocketAddr>>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (socket, shared) = (self.socket.clone(), self.shared.clone());
        loop {
            let waits = !self.outbox.borrow().is_empty();
            tokio::select! {
                Ok(()) = socket.writable(), if waits => self.flush_outbox(),
                _ = ticks.tick() => self.tick(),
                Some(input) = input_receiver.recv() => {
                    self.handle_input(input);
                    for _ in 0..MAX_INPUTS_PER_BATCH {
                        let Ok(input) = input_receiver.try_recv() else {
                            break;
                        };
                        self.handle_input(input);
                    }
                    self.place_if_requested();
                    self.publish_if_due();
                }
                Some(variant) = wishes.load_requests.recv() =>
                    self.request_load(variant),
                Some(request) = wishes.permit_requests.recv() =>
                    self.request_permit(request),
                Some(start) = wishes.leaving.recv() => {
                    let now = self.now();
                    self.on_leaving(&[start], ReportSource::Answer, now);
                }
                Some(report) = wishes.brittle_reports.recv() =>
                    self.on_brittle_answer(report),
                () = shared.origin_recorded().notified() =>
                    self.report_origins(self.now()),
                Some(lookup) = wishes.origin_lookups.recv() =>
                    self.look_up_origin(lookup),
                Some(effect) = wishes.limit_answers.recv() =>
                    self.on_limit_answered(&effect),
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
        self.notice_stall(now);
        self.resume_if_suspended(now);
        self.update_software_knowledge(now);
        self.report_origins(now);
        self.continue_lookups(now);
        if self.roster.tick(self.local_report(), now) {
            self.update_ready_members();
            self.update_grantor(now);
        }
        self.upstreams.prune(now);
        self.serve_if_ready();
        self.release_held_evacuations(&[], now);
        self.report_evacuations_in_force(now);
        self.send_crash_updates(now);
        self.repeat_leaving(now);
        self.send_due_limits(now);
        self.sync_record(now);
        self.sync_stream_record(now);
        self.contend_for_lease(now);
        self.place(now);
        self.send_holdings(now);
        self.catch_up(now);
        self.update_observer_role(now);
        let heartbeat_interval_ms = self.heartbeat_interval_ms(now);
        if self
            .last_heartbeat
            .is_none_or(|sent| now.since(sent) >= heartbeat_interval_ms)
        {
            self.last_heartbeat = Some(now);
            self.update_presence(now);
            self.update_grantor(now);
            let work = std::mem::take(&mut *self.shared.work());
            self.demand.record(work, now);
            self.send_heartbeats(now);
            self.send_unloading(now);
            self.publish_loads(now);
            if !self.roster.has_hubs() {
                self.compute_throttles(now);
                self.update_paces(now);
            }
            self.check_lease_holder();
        } else if now >= self.next_loads_at {
            self.send_loads(now);
        }
        self.publish_if_due();
    }

    /// Resumes after the machine was suspended: sends heartbeats and restarts
    /// the watches at once.
    fn resume_if_suspended(&mut self, now: Millis) {
        let (timers, clock) = self.last_tick;
        self.last_tick = (Instant::now(), now);
        let by_timers_ms = Millis::from(timers.elapsed()).get();
        let for_ms = now.since(clock).saturating_sub(by_timers_ms);
        if for_ms >= SUSPENDED_MS {
            Event::Suspended { for_ms }.log();
            self.watch_state.resume();
            self.last_heartbeat = None;
        }
    }

    fn local_report(&self) -> LocalReport {
        LocalReport {
            requests: self.shared.settings.callers.requests,
            life: self.life,
            store: self.store,
        }
    }

    /// Takes or renews the lease if this gateway is next in order.
    fn contend_for_lease(&mut self, now: Millis) {
        let knows_others = now.since(self.started) >= SETTLE_MS;
        if self.life != Life::Serving || !knows_others {
            return;
        }
        if let Some(lost_ms) = self.shared.links_lost_ms(now) {
            // Orders of this gateway do not reach engines.
            let holds_lease = self.lease.borrow().held_epoch(now).is_some();
            if holds_lease && lost_ms >= LINKS_LOST_RELEASE_MS {
                self.step_down(now);
            }
            if !holds_lease || lost_ms >= LINKS_LOST_RELEASE_MS {
                return;
            }
        }
        let peers = PeerLeaseState {
            has_holder: self.roster.lease_holder(now).is_some(),
            others_reach_store: self.roster.others_reach_store(),
            position: self
                .roster
                .duty_position(Duty::Place)
                .min(MAX_LEASE_POSITION),
        };
        let lost_loads = self.placer.lost_loads(now);
        let mut lease = self.lease.borrow_mut();
        lease.set_lost_loads(lost_loads);
        lease.tick(now, peers);
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.now();
        self.notice_stall(now);
        match input {
            Input::StoreFailed { error, lasted } => {
                self.on_store_failed(&error, lasted, now);
            }
            Input::CatalogUpdated { version, catalog, evacuations } => {
                let store_was_unreachable =
                    self.store == StoreStatus::Unreachable;
                self.on_store_answered(now);
                self.confirm_catalog(now);
                self.record_store_era(version);
                self.apply_stored_evacuations(
                    evacuations,
                    store_was_unreachable,
                    now,
                );
                if let Some(catalog) = catalog {
                    self.apply_stored_catalog(*catalog, now);
                }
            }
            Input::ListingRead(listing) => {
                self.on_store_answered(now);
                self.record_store_era(listing.version);
                self.replace_listing(listing, now);
                self.confirm_listing(now);
            }
            Input::ListingChanged(news) => {
                self.on_store_answered(now);
                self.on_listing_changes(news, now);
                self.confirm_listing(now);
            }
            Input::PeerState { peer, state } => {
                self.on_peer_state(peer, state, now);
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
                    // Tells peers to stop competing for the lease.
                    self.send_heartbeats(now);
                }
                self.shared.metrics.holds_lease(epoch.is_some());
            }
            Input::EngineReported { start, report } => {
                self.placer.on_report(&start, report, now);
                self.send_holdings_unless_many_groups(now);
            }
            Input::OrderFinished(order, end) => {
                self.shared.metrics.ordered(end.label());
                if end.reports_leaving() {
                    let start = order.engine.clone();
                    let source = ReportSource::Answer;
                    self.on_leaving(&[start], source, now);
                }
                self.placer.on_order_finished(order, &end, now);
                self.send_holdings_unless_many_groups(now);
                self.request_placement();
            }
            Input::RecordCallFinished(done) => {
                self.on_record_synced(done, now)
            }
            Input::StreamRecordCallFinished(done) => {
                self.on_stream_record(done, now);
            }
            Input::Datagram(from, bytes) => {
                self.on_datagram(from, &bytes, now)
            }
        }
    }

    fn request_load(&mut self, variant: BoundVariant) {
        let now = self.now();
        if self.lease.borrow().held_epoch(now).is_some() {
            self.placer.on_load_request(variant, now);
            self.request_placement();
            self.place_if_requested();
        } else if let Some(holder) = self.roster.lease_holder(now) {
            self.send([holder], &Message::LoadRequest(variant));
        }
    }

    /// Tells the other gateways that a service is brittle, or that one of its
    /// upstreams rejected a request, before they send it more than it can
    /// reject.
    fn on_brittle_answer(&mut self, report: BrittleReport) {
        if report.is_rejection {
            self.shared.metrics.brittle_rejection(ReportSource::Answer);
        }
        self.send_all(&Message::Brittle(vec![report]));
    }

    /// Returns whether this gateway has all state required to route requests.
    fn has_required_state(&self) -> bool {
        self.catalog.is_some()
            && self.upstreams.has_list()
            && self.evacuations.is_known()
            && !self.may_lack_held_evacuations(self.now())
            && !self.waits_for_record(self.now())
            && !self.waits_for_stream_record(self.now())
    }

    fn serve_if_ready(&mut self) {
        let is_complete = self.has_required_state();
        if self.life == Life::Starting && is_complete {
            self.set_life(Life::Serving);
            // Informs other gateways that start now and may lack state.
            let now = self.now();
            self.send_heartbeat_to(self.roster.direct_targets(), now);
        }
    }

    fn set_life(&mut self, life: Life) {
        self.life = life;
        let now = self.now();
        self.roster.recompute(self.local_report(), now);
        self.update_ready_members();
        // Callers that wait for the new life find the matching view published.
        self.publish();
        self.shared.set_life(life);
    }

    fn stop(&mut self) {
        let now = self.now();
        self.set_life(Life::Leaving);
        self.step_down(now);
    }

    /// Hands the lease back, and tells the other gateways at once.
    fn step_down(&mut self, now: Millis) {
        self.lease.borrow_mut().step_down(now);
        self.send_heartbeats(now);
    }
}

/// Returns the rank of this gateway, by which gateways choose which of them
/// does work for the others.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rank(settings: &Settings) -> Rank {
    let strength = (settings.peers.strength * 100.0) as u16;
    let name = settings.instance.as_str().as_bytes();
    Rank { strength, tie: xxh3_64(name) as u32 }
}

/// Returns the name of this gateway for the lease. The address is included
/// because the same instance name may come back at another address.
fn holder_name(settings: &Settings) -> InstanceId {
    let address = settings.peers.heartbeats.ip();
    InstanceId::new(format!("{}@{address}", settings.instance))
}

/// Returns the heartbeat addresses of the seeds: all gateways use the same
/// ports.
fn seeds(own: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let port = own.port();
    seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Receives datagrams until control ends.
async fn receive(
    socket: Rc<UdpSocket>,
    link: PeerLink,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    while !inputs.is_closed() {
        // An error reports that an earlier datagram was not delivered.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if link.is_cut() {
            continue;
        }
        let bytes = buffer[..length].to_vec();
        let _ = inputs.send(Input::Datagram(from, bytes));
    }
}

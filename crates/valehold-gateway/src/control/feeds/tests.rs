//! Tests how soon a change accepted by the store is received, through outages
//! of the store.

use std::{
    collections::BTreeMap, rc::Rc, sync::Arc, sync::OnceLock, time::Duration,
};

use futures::FutureExt;
use proptest::prelude::*;
use tokio::{sync::mpsc, time::Instant};
use valehold_core::{
    fleet::{
        Catalog, EvacuationUpdate, Evacuations, Listing, catalog::CallerLimits,
    },
    lease::LeaseRow,
};
use valehold_ports::{
    PortError,
    port::{
        Answer,
        fleet::{
            CatalogNews, FleetStore, LeaseSight, LeaseWrite, ListingNews,
            OwnRows, OwnRowsChange, OwnTable, WatchSpan,
        },
    },
};

use super::{
    super::input::Input, ObserverRole, WatchState, follow_catalog,
    follow_listing,
};

/// The time after the store's recovery within which a probing gateway must
/// receive a change, in ms. The users allow three seconds, of which
/// propagation to other gateways takes up to half a second.
const RECEIVED_WITHIN_MS: u64 = 2_500;

/// How long a change is waited for by the clock of the runtime: longer than any
/// outage.
const GIVE_UP: Duration = Duration::from_secs(3_600);

/// The time that the adapter adds to the wait of a watch before timing out, in
/// ms.
const ADAPTER_SLACK_MS: u64 = 1_000;

/// The timeout of the adapter's reads, in ms.
const ADAPTER_READ_MS: u64 = 1_800;

/// A store that is unresponsive for a while and loses calls in flight. Times
/// are in ms since the start of the test.
struct SilentStore {
    began: Instant,
    silent_from: u64,
    silent_until: u64,
    /// The time of the last accepted change.
    accepted: u64,
}

impl SilentStore {
    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).expect("a time")
    }

    fn version(&self) -> u64 {
        1 + u64::from(self.now() >= self.accepted)
    }

    /// Answers after `after_ms` if the store is responsive in between.
    async fn answer(&self, after_ms: u64) {
        let called_at = self.now();
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        let overlaps =
            called_at < self.silent_until && self.now() >= self.silent_from;
        if overlaps {
            std::future::pending::<()>().await;
        }
    }

    async fn read(&self) -> Result<u64, PortError> {
        let limit = Duration::from_millis(ADAPTER_READ_MS);
        let read = tokio::time::timeout(limit, self.answer(4)).await;
        read.map_err(|_| PortError::timed_out("no answer in time"))?;
        Ok(self.version())
    }

    async fn watch(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Result<u64, PortError> {
        let wait = u64::try_from(span.wait().as_millis()).expect("a time");
        let is_news = after < self.version();
        let until_news = self.accepted.saturating_sub(self.now());
        let waits = match after {
            _ if is_news => 0,
            1 => wait.min(until_news),
            _ => wait,
        };
        let limit = Duration::from_millis(wait + ADAPTER_SLACK_MS);
        let watch = tokio::time::timeout(limit, self.answer(waits + 4)).await;
        watch.map_err(|_| PortError::timed_out("no answer in time"))?;
        Ok(self.version())
    }
}

fn catalog(version: u64) -> Catalog {
    let limits = CallerLimits {
        header_limit_bytes: 1,
        body_limit_bytes: 1,
        header_read_timeout_ms: 1,
        keep_alive_timeout_ms: 1,
    };
    Catalog {
        version,
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits,
        workspaces: None,
    }
}

impl FleetStore for SilentStore {
    fn read_catalog(&self) -> Answer<'_, CatalogNews> {
        async {
            let version = self.read().await?;
            let catalog = Box::new(catalog(version));
            let whole = Evacuations { version, ..Evacuations::default() };
            Ok(CatalogNews::Heard {
                version,
                store_ms: self.now(),
                catalog: Some(catalog),
                evacuations: EvacuationUpdate::Full(whole),
            })
        }
        .boxed()
    }

    fn await_catalog(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Answer<'_, CatalogNews> {
        async move {
            let version = self.watch(after, span).await?;
            let is_new = version > after;
            Ok(CatalogNews::Heard {
                version,
                store_ms: self.now(),
                catalog: is_new.then(|| Box::new(catalog(version))),
                evacuations: EvacuationUpdate::Changes(Vec::new()),
            })
        }
        .boxed()
    }

    fn read_listing(&self) -> Answer<'_, Listing> {
        async {
            let version = self.read().await?;
            Ok(Listing { version, ..Listing::default() })
        }
        .boxed()
    }

    fn await_listing(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Answer<'_, ListingNews> {
        async move {
            let version = self.watch(after, span).await?;
            Ok(ListingNews::Changed {
                store_ms: self.now(),
                next: version,
                version: (version > after).then_some(version),
                changed: Vec::new(),
                gone: Vec::new(),
            })
        }
        .boxed()
    }

    fn read_lease(&self) -> Answer<'_, LeaseSight> {
        std::future::pending().boxed()
    }

    fn write_lease<'a>(
        &'a self,
        _version: u64,
        _row: &'a LeaseRow,
    ) -> Answer<'a, LeaseWrite> {
        std::future::pending().boxed()
    }

    fn read_own(&self, _: OwnTable) -> Answer<'_, OwnRows> {
        std::future::pending().boxed()
    }

    fn write_own<'a>(
        &'a self,
        _: OwnTable,
        _: &'a OwnRowsChange,
    ) -> Answer<'a, ()> {
        std::future::pending().boxed()
    }
}

/// Returns the newest version in an input.
fn version_of(input: &Input) -> u64 {
    match input {
        Input::CatalogUpdated { catalog: Some(catalog), .. } => {
            catalog.version
        }
        Input::ListingRead(listing) => listing.version,
        Input::ListingChanged(ListingNews::Changed { version, .. }) => {
            version.unwrap_or(0)
        }
        _ => 0,
    }
}

/// Returns how many ms after the store's recovery a probing gateway receives
/// the last accepted change.
fn received_after_ms(store: SilentStore, of_listing: bool) -> u64 {
    let back = store.silent_until;
    let store = Arc::new(store);
    let (inputs, mut input_receiver) = mpsc::unbounded_channel();
    let state = Rc::new(WatchState::new());
    state.set_role(ObserverRole::Primary);
    let receive = {
        let store = store.clone();
        async move {
            while let Some(input) = input_receiver.recv().await {
                if version_of(&input) == 2 {
                    break;
                }
            }
            store.now()
        }
    };
    let follow = async {
        match of_listing {
            true => follow_listing(store.clone(), inputs, state).await,
            false => follow_catalog(store.clone(), inputs, state).await,
        }
    };
    let run = async {
        tokio::select! {
            at = receive => at,
            () = follow => unreachable!("it follows while inputs are taken"),
        }
    };
    // The clock of the runtime goes on by itself, so this takes no time.
    let run = async { tokio::time::timeout(GIVE_UP, run).await };
    let at = runtime().block_on(run).expect("the change is received");
    at.saturating_sub(back)
}

/// Returns a runtime whose clock advances by itself while idle.
fn runtime() -> &'static tokio::runtime::Runtime {
    static RUNTIME: OnceLock<tokio::runtime::Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime")
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// A store was unresponsive for 6 s, and a configuration accepted 0.5 s
    /// after its recovery was received 3.1 s after the recovery.
    #[test]
    fn an_accepted_change_is_received_soon_after_a_store_outage(
        silent_from in 100_u64..8_000,
        silent_for in 1_u64..12_000,
        accepted_after in 0_u64..500,
        of_listing in any::<bool>(),
    ) {
        let began = {
            let _entered = runtime().enter();
            Instant::now()
        };
        let silent_until = silent_from + silent_for;
        let store = SilentStore {
            began,
            silent_from,
            silent_until,
            accepted: silent_until + accepted_after,
        };
        let received_ms = received_after_ms(store, of_listing);
        prop_assert!(
            received_ms <= RECEIVED_WITHIN_MS,
            "received after {received_ms} ms"
        );
    }
}

//! Measures what each role of an instance costs, at three sizes, and prints
//! the slopes that `docs/CAPACITY.md` is worked out from.
//!
//! ```sh
//! cargo run --release -p valehold-instance --example capacity
//! ```
//!
//! Times are the least of several rounds; bytes are counted allocations or
//! the lengths of messages, and are exact.

use std::{
    alloc::System, collections::BTreeMap, hint::black_box, sync::Arc,
    time::Instant,
};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use valehold_core::{
    Millis,
    account::{EngineAccount, Reported, ReportedArtifact, ResidencyReport},
    capacity::Capacity,
    chart::library::{InstanceState, RequestState},
    config::{Config, Files, Served, Weighing, key_digest},
    directory::{Entry, order_for},
    explain::{Attempt, Record},
    id::{
        Artifact, DataCentreId, InstanceId, ModelName, RequestId, UpstreamId,
        WorkspaceId,
    },
    ledger::{ClaimRow, RecordedAnswer},
    limit::Grantor,
    membership::{Ejection, Membership, Silence},
    order::{Order, Stamp, Wanted},
    placement::{EngineView, ModelDemand, Planner},
    prefix::PrefixHints,
    routing::{self, Candidate, RoutingSettings},
};
use valehold_instance::{
    peer::{Ask, Heartbeat, Reply, encode},
    snapshot::EngineRoute,
};
use valehold_ports::port::EngineStatus;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// How often each time is taken.
const ROUNDS: usize = 7;

/// How many artifacts an engine holds.
const HELD: usize = 12;

fn main() {
    println!("| what | per | size | µs | bytes |");
    println!("| --- | --- | --- | --- | --- |");
    traffic();
    reports();
    state();
    messages();
    configuration();
    placement();
}

/// What one measurement gives.
struct Cost {
    micros: f64,
    bytes: f64,
}

/// Prints a cost at three sizes, and the slope between the ends.
fn show(
    what: &str,
    per: &str,
    sizes: [usize; 3],
    cost: impl Fn(usize) -> Cost,
) {
    let costs = sizes.map(&cost);
    for (size, cost) in sizes.iter().zip(&costs) {
        println!(
            "| {what} | {per} | {size} | {:.2} | {:.0} |",
            cost.micros, cost.bytes
        );
    }
    #[allow(clippy::cast_precision_loss)]
    let span = (sizes[2] - sizes[0]) as f64;
    let micros = (costs[2].micros - costs[0].micros) / span;
    let bytes = (costs[2].bytes - costs[0].bytes) / span;
    println!("| **{what}** | **{per}** | slope | {micros:.3} | {bytes:.1} |");
}

/// Returns the least time that something takes, in µs.
fn micros<T>(mut work: impl FnMut() -> T) -> f64 {
    let mut least = f64::INFINITY;
    for _ in 0..ROUNDS {
        let began = Instant::now();
        black_box(work());
        least = least.min(began.elapsed().as_secs_f64() * 1e6);
    }
    least
}

/// Returns how many bytes a value keeps allocated.
#[allow(clippy::cast_precision_loss)]
fn kept<T>(make: impl FnOnce() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let value = make();
    let change = region.change();
    black_box(&value);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

#[allow(clippy::cast_precision_loss)]
fn json_bytes<T: serde::Serialize>(value: &T) -> f64 {
    serde_json::to_vec(value).expect("it has texts for keys").len() as f64
}

fn traffic() {
    show("choosing an engine", "candidate", [4, 16, 64], |size| {
        let candidates: Vec<Candidate> = (0..size).map(candidate).collect();
        let settings = RoutingSettings::default();
        let choose = || routing::choose(&candidates, 400, 0.5, &settings);
        Cost { micros: micros(choose), bytes: kept(choose) }
    });
    show("a decision kept to be explained", "candidate", [1, 4, 16], |size| {
        let candidates: Vec<Candidate> = (0..size).map(candidate).collect();
        let settings = RoutingSettings::default();
        let make =
            || record(routing::choose(&candidates, 400, 0.5, &settings));
        Cost { micros: micros(make), bytes: kept(make) }
    });
    show("prefix hints", "hint", [1_000, 8_000, 64_000], |size| {
        let engine = UpstreamId::new("engine-0001");
        let blocks: Vec<u64> = (0..size as u64).collect();
        let make = || {
            let mut hints = PrefixHints::new(300_000, 65_536);
            hints.note(&engine, &blocks, Millis::new(1));
            hints
        };
        Cost { micros: micros(make), bytes: kept(make) }
    });
    show("a directory's answer", "instance", [8, 80, 390], |size| {
        let entries: Vec<Entry> = (0..size).map(entry).collect();
        let answer = || order_for(&entries, "127.0.0.1", |_| 1.0);
        let bytes = json_bytes(&answer());
        Cost { micros: micros(answer), bytes }
    });
}

fn reports() {
    show("reading an engine's report", "artifact held", [4, 12, 48], |size| {
        let text = serde_json::to_string(&status(size)).unwrap_or_default();
        let read = || serde_json::from_str::<EngineStatus>(&text).ok();
        #[allow(clippy::cast_precision_loss)]
        let bytes = text.len() as f64;
        Cost { micros: micros(read), bytes }
    });
    show("routing state in a snapshot", "engine", [25, 150, 1_500], |size| {
        let make = || (0..size).map(route).collect::<Vec<_>>();
        let routes = make();
        Cost { micros: micros(|| routes.clone()), bytes: kept(make) }
    });
}

fn state() {
    show("membership", "member", [100, 600, 2_000], |size| {
        let make = || {
            let mut members =
                Membership::new(Silence::default(), Ejection::default());
            members.set_members((0..size).map(upstream), Millis::new(1));
            members
        };
        let mut members = make();
        let tick = || members.tick(Millis::new(10_000));
        Cost { micros: micros(tick), bytes: kept(make) }
    });
    show("memory accounts", "claim", [50, 500, 5_000], |size| {
        let make = || account(size);
        let mut account = make();
        let report = report_of(size);
        let mut asked = 10;
        let observe = || {
            asked += 1;
            account.observe(&report, Millis::new(asked));
        };
        Cost { micros: micros(observe), bytes: kept(make) }
    });
    show(
        "the grantor's book",
        "instance and workspace",
        [80, 800, 3_200],
        |size| {
            let demand: BTreeMap<InstanceId, f64> =
                (0..8).map(|i| (instance(i), 1.0)).collect();
            let make = || {
                let mut grantor = Grantor::new(5_000, Millis::new(0));
                for index in 0..size {
                    let workspace =
                        WorkspaceId::new(format!("w{}", index / 8));
                    let id = instance(index % 8);
                    let now = Millis::new(6_000);
                    grantor.grant(&workspace, &id, &demand, now);
                }
                grantor
            };
            Cost { micros: micros(make), bytes: kept(make) }
        },
    );
}

fn messages() {
    show("a heartbeat", "model in demand", [0, 40, 560], |size| {
        let beat = Ask::Heartbeat(heartbeat(size, 0));
        let write = || encode(&beat).map(|bytes| bytes.len());
        #[allow(clippy::cast_precision_loss)]
        let bytes = write().unwrap_or(0) as f64;
        Cost { micros: micros(write), bytes }
    });
    show("a heartbeat", "workspace asking", [0, 10, 100], |size| {
        let beat = Ask::Heartbeat(heartbeat(0, size));
        let write = || encode(&beat).map(|bytes| bytes.len());
        #[allow(clippy::cast_precision_loss)]
        let bytes = write().unwrap_or(0) as f64;
        Cost { micros: micros(write), bytes }
    });
    let order = Order {
        engine: upstream(1),
        artifact: Artifact::new("model-0001", 1),
        size_mib: 20_000,
        wanted: Wanted::Resident,
        stamp: Stamp { epoch: 3, sequence: 1_000 },
    };
    println!("| an order's row | order | 1 | | {:.0} |", json_bytes(&order));
    let claim = ClaimRow {
        request: RequestId::new("r-0123456789abcdef"),
        instance: instance(1),
        call_digest: "0".repeat(64),
        claimed_at: 1_796_000_000,
        answer: Some(RecordedAnswer {
            status: 200,
            content_type: Some("application/json".to_owned()),
            body: vec![b'a'; 200],
        }),
    };
    println!("| a claim's row | call | 1 | | {:.0} |", json_bytes(&claim));
}

fn configuration() {
    show("checking a configuration", "workspace", [10, 40, 160], |size| {
        let files = files(size);
        let check = || Config::try_from_files(&files).is_ok();
        assert!(check(), "the declarations hold");
        let bytes = kept(|| Config::try_from_files(&files));
        Cost { micros: micros(check), bytes }
    });
    show("a revision on the wire", "workspace", [10, 40, 160], |size| {
        let files = files(size);
        let (label, by) = (String::new(), String::new());
        let revision =
            valehold_core::config::Revision { number: 1, label, by, files };
        let reply = Reply::Revision(Some(revision));
        let write = || encode(&reply).map(|bytes| bytes.len());
        #[allow(clippy::cast_precision_loss)]
        let bytes = write().unwrap_or(0) as f64;
        Cost { micros: micros(write), bytes }
    });
}

fn placement() {
    show("a round of placement", "engine of a cell", [25, 50, 100], |size| {
        let (served, demand) = models(size * 2);
        let views: Vec<EngineView> = views(size, &served);
        let plan = || {
            let planner = Planner::new(
                &served,
                &demand,
                Weighing::default(),
                300.0,
                views.clone(),
                2,
            );
            planner.plan().len()
        };
        Cost { micros: micros(plan), bytes: kept(|| views.clone()) }
    });
}

fn upstream(index: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{index:04}"))
}

fn instance(index: usize) -> InstanceId {
    InstanceId::new(format!("instance-{index:03}"))
}

fn artifact(index: usize) -> Artifact {
    Artifact::new(format!("model-{index:04}"), 1)
}

fn candidate(index: usize) -> Candidate {
    Candidate {
        engine: upstream(index),
        distance_ms: 1.0,
        connection_ms: 0.0,
        suspect: false,
        slots: 16,
        prefill_tokens_per_second: 8_000.0,
        running: 8,
        waiting_tokens: 100 * index as u64,
        service_ms: 2_000.0,
        report_age_ms: 500,
        cached_tokens: 64,
        bytes_ms: 0.0,
        pause_within_ms: None,
    }
}

fn entry(index: usize) -> Entry {
    Entry {
        instance: instance(index),
        address: ([10, 0, 0, 1], 8_080).into(),
        data_centre: DataCentreId::new("dc-01"),
    }
}

fn record(choice: Option<routing::Choice>) -> Record {
    Record {
        request: RequestId::new("r-0123456789abcdef"),
        workspace: Some(WorkspaceId::new("vik-guesthouse")),
        target: Some(ModelName::new("model-0001")),
        attempts: vec![Attempt {
            upstream: upstream(0),
            choice,
            retry: None,
            error: None,
        }],
        outcome: RequestState::Answered,
        refusal: None,
        first_output_ms: Some(30),
        total_ms: 1_000,
        revision: 12,
    }
}

fn report_of(held: usize) -> ResidencyReport {
    let artifacts = (0..held).map(|index| ReportedArtifact {
        artifact: artifact(index),
        size_mib: 10,
        state: Reported::Resident,
    });
    ResidencyReport { artifacts: artifacts.collect(), fences: Vec::new() }
}

fn status(held: usize) -> EngineStatus {
    EngineStatus { residency: report_of(held), ..EngineStatus::default() }
}

fn route(index: usize) -> EngineRoute {
    EngineRoute {
        id: upstream(index),
        address: ([10, 0, 0, 1], 8_080).into(),
        data_centre: DataCentreId::new("dc-01"),
        suspect: false,
        slots: 16,
        prefill_tokens_per_second: 8_000.0,
        running: 3,
        waiting_tokens: 100,
        reported: Millis::new(1),
        resident: Arc::new(
            (0..HELD).map(|held| artifact(index * HELD + held)).collect(),
        ),
    }
}

fn account(claims: usize) -> EngineAccount {
    let usable = 20 * claims as u64;
    let mut account = EngineAccount::new(upstream(0), usable, true, 10_000);
    for index in 0..claims {
        let stamp = Stamp { epoch: 1, sequence: index as u64 };
        let now = Millis::new(1);
        let order = account.order_load(&artifact(index), 10, stamp, now);
        if let Ok(order) = order {
            account.recorded(&order, now);
        }
    }
    account
}

fn heartbeat(models: usize, workspaces: usize) -> Heartbeat {
    let demand = ModelDemand {
        requests_per_second: 1.5,
        service_s: 2.0,
        read_tokens: 400.0,
    };
    let asked =
        |index| (WorkspaceId::new(format!("workspace-{index:03}")), 2.0);
    Heartbeat {
        entry: entry(0),
        life: InstanceState::Serving,
        revision: 7_100,
        in_flight: 40,
        demand: Some(
            (0..models).map(|index| (artifact(index), demand)).collect(),
        ),
        asked: (0..workspaces).map(asked).collect(),
    }
}

/// Makes declarations with so many workspaces, each with a model of its own.
fn files(workspaces: usize) -> Files {
    let mut deployment = String::from(
        "name = \"d\"\n[[data_centre]]\nname = \"dc\"\nregion = \"r\"\n",
    );
    for index in 0..workspaces.div_ceil(2) + 2 {
        deployment.push_str(&format!(
            "[[engine]]\nname = \"engine-{index}\"\ndata_centre = \"dc\"\n\
             address = \"10.0.0.1:80\"\nmemory_mib = 100\n\
             kv_floor_mib = 10\nchecks_fences = true\n"
        ));
    }
    let mut files = Files::new();
    for index in 0..workspaces {
        deployment.push_str(&format!(
            "[[model]]\nname = \"model-{index:04}\"\nsize_mib = 40\n"
        ));
        let digest = key_digest(&index.to_string());
        files.insert(
            format!("workspaces/w{index:03}.toml"),
            format!(
                "template = \"t\"\n[parameters]\nmodels = \
                 [\"model-{index:04}\"]\nkey_digests = [\"{digest}\"]\n"
            ),
        );
    }
    files.insert("deployment.toml", deployment);
    files.insert(
        "templates/t.toml",
        include_str!("../../../examples/hledsluvit/templates/guesthouse.toml")
            .replace("services = [\"booking\"]", "services = []"),
    );
    files
}

fn models(
    count: usize,
) -> (BTreeMap<ModelName, Served>, BTreeMap<Artifact, ModelDemand>) {
    let served = (0..count).map(|index| {
        let served = Served {
            artifact: artifact(index),
            size_mib: 40,
            base: None,
            min_replicas: 1,
        };
        (served.artifact.name.clone(), served)
    });
    let demand = (0..count).map(|index| {
        #[allow(clippy::cast_precision_loss)]
        let requests_per_second = 40.0 / (1.0 + index as f64);
        let demand = ModelDemand {
            requests_per_second,
            service_s: 2.0,
            read_tokens: 400.0,
        };
        (artifact(index), demand)
    });
    (served.collect(), demand.collect())
}

/// Engines that hold two models each, with room for more.
fn views(
    engines: usize,
    served: &BTreeMap<ModelName, Served>,
) -> Vec<EngineView> {
    let artifacts: Vec<&Artifact> =
        served.values().map(|s| &s.artifact).collect();
    let views = (0..engines).map(|index| {
        let held = &artifacts[index * 2..index * 2 + 2];
        EngineView {
            engine: upstream(index),
            data_centre: DataCentreId::new("dc-01"),
            free_mib: 50,
            capacity: Capacity { slots: 16.0, tokens_read: 8_000.0 },
            takes_work: true,
            reachable: held.iter().map(|a| (*a).clone()).collect(),
            claimed: held.iter().map(|a| ((*a).clone(), 40)).collect(),
            leaving: Default::default(),
            unsettled: Default::default(),
        }
    });
    views.collect()
}

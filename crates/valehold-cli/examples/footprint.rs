//! Measures a whole `valehold-instance` process: what control costs at three
//! sizes without callers, what it adds to a request, and how long an accepted
//! configuration takes until it is in force on eight instances.
//!
//! ```sh
//! cargo build --release --workspace --bins
//! cargo run --release -p valehold-cli --example footprint
//! ```
//!
//! Stand-ins run in this process, instances in processes of their own.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use valehold_core::{
    config::{Files, key_digest},
    id::{Artifact, RequestId},
};
use valehold_ports::port::{GenerateRequest, PromptKind};
use valehold_standin::Pace;

use crate::support::{Deployment, Process};

/// For how long control is watched without callers.
const IDLE: Duration = Duration::from_secs(10);

/// For how long requests are sent.
const BUSY: Duration = Duration::from_secs(4);

/// How many callers send at once.
const CALLERS: usize = 16;

/// The ticks of a processor in a second, as the system counts them.
const TICKS_A_SECOND: f64 = 100.0;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    println!(
        "| engines | core, % | control thread, % | resident, MiB | \
         store reads /s | store writes /s |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for engines in [12, 24, 48] {
        idle(engines).await;
    }
    println!();
    println!("| path | requests /s | p50, µs | p99, µs |");
    println!("| --- | --- | --- | --- |");
    busy().await;
    println!();
    println!("| change | in force on all, ms |");
    println!("| --- | --- |");
    spread().await;
}

/// Applies changes, and waits until each is in force everywhere.
async fn spread() {
    const INSTANCES: usize = 8;
    let deployment = start(12, INSTANCES).await;
    for change in 1..=5_u32 {
        let path = deployment.directory.join("workspaces/w.toml");
        let text = std::fs::read_to_string(&path).expect("it is ours");
        std::fs::write(&path, text + "# changed\n").expect("it is ours");
        deployment.apply();
        let began = Instant::now();
        let wanted = f64::from(change + 1);
        for process in &deployment.instances {
            while metric(process, "valehold_revision").await < wanted {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        println!("| {change} | {} |", began.elapsed().as_millis());
    }
}

async fn start(engines: usize, instances: usize) -> Deployment {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let files = files(engines);
    for inner in ["templates", "workspaces"] {
        std::fs::create_dir(folder.path().join(inner)).expect("it is new");
    }
    for (path, text) in files.iter() {
        std::fs::write(folder.path().join(path), text).expect("it is ours");
    }
    let pace = Pace { token_time: Duration::ZERO, load_time: Duration::ZERO };
    let deployment =
        Deployment::start_in(folder, &files, pace, instances, 2).await;
    deployment.apply();
    for instance in 0..instances {
        deployment.all_reachable(instance).await;
    }
    deployment
}

async fn idle(engines: usize) {
    let deployment = start(engines, 2).await;
    // Until what starting cost is over.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let holder = deployment.holder(0).unwrap_or(0);
    let process = &deployment.instances[holder];
    let (cpu, control) = (processor_s(process), control_s(process).await);
    let (reads, writes) = deployment.site.platform.traffic();
    tokio::time::sleep(IDLE).await;
    let part = |from: f64, to: f64| (to - from) / IDLE.as_secs_f64() * 100.0;
    let core = part(cpu, processor_s(process));
    let control = part(control, control_s(process).await);
    let (reads_then, writes_then) = deployment.site.platform.traffic();
    #[allow(clippy::cast_precision_loss)]
    let rate =
        |from: u64, to: u64| (to - from) as f64 / IDLE.as_secs_f64() / 2.0;
    println!(
        "| {engines} | {core:.2} | {control:.2} | {:.1} | {:.1} | {:.1} |",
        resident_mib(process),
        rate(reads, reads_then),
        rate(writes, writes_then),
    );
}

async fn busy() {
    let deployment = start(4, 2).await;
    let holders = deployment.holders(0, "model-0");
    let engine = deployment.site.address(&holders[0]);
    let direct = GenerateRequest {
        request: RequestId::new("direct"),
        artifact: Artifact::new("model-0", 1),
        base: None,
        kind: PromptKind::Chat,
        body: body(),
        priority: 9,
    };
    let direct = serde_json::to_vec(&direct).unwrap_or_default();
    let instance = deployment.instances[0].callers;
    let sent = send(engine, "/generate", &direct).await;
    sent.print("straight to the engine");
    let mut costs = Vec::new();
    for tokens in [1, 200] {
        let body = streamed_body(tokens).to_string();
        let before = processor_s(&deployment.instances[0]);
        let path = "/v1/chat/completions";
        let sent = send(instance, path, body.as_bytes()).await;
        let used = processor_s(&deployment.instances[0]) - before;
        #[allow(clippy::cast_precision_loss)]
        costs.push(used * 1e6 / sent.0.len() as f64);
        sent.print(&format!("through one instance, {tokens} token(s)"));
    }
    let token = (costs[1] - costs[0]) / 199.0;
    println!(
        "\nThe instance used {:.0} us of processor a request, {token:.1} us a \
         token, and {:.1} MiB.",
        costs[0],
        resident_mib(&deployment.instances[0])
    );
}

fn streamed_body(tokens: u64) -> serde_json::Value {
    let mut body = body();
    body["stream"] = true.into();
    body["max_tokens"] = tokens.into();
    body
}

/// Times of requests, in µs.
struct Sent(Vec<u128>);

impl Sent {
    #[allow(clippy::cast_precision_loss)]
    fn print(mut self, name: &str) {
        self.0.sort_unstable();
        let count = self.0.len();
        let rate = count as f64 / BUSY.as_secs_f64();
        let at = |part: usize| self.0[(count * part / 100).min(count - 1)];
        println!("| {name} | {rate:.0} | {} | {} |", at(50), at(99));
    }
}

async fn send(address: SocketAddr, path: &str, body: &[u8]) -> Sent {
    let callers = (0..CALLERS).map(|_| {
        let (path, body) = (path.to_owned(), body.to_vec());
        tokio::spawn(call(address, path, Bytes::from(body)))
    });
    let mut times = Vec::new();
    for caller in callers.collect::<Vec<_>>() {
        times.extend(caller.await.unwrap_or_default());
    }
    Sent(times)
}

async fn call(address: SocketAddr, path: String, body: Bytes) -> Vec<u128> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let until = Instant::now() + BUSY;
    let mut times = Vec::new();
    while Instant::now() < until {
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, "Bearer example-key-w")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.clone()))
            .expect("the request is one");
        let began = Instant::now();
        let response = client.request(request).await.expect("it answers");
        assert!(response.status().is_success(), "{}", response.status());
        response.into_body().collect().await.expect("the answer is whole");
        times.push(began.elapsed().as_micros());
    }
    times
}

fn body() -> serde_json::Value {
    serde_json::json!({
        "model": "model-0",
        "max_tokens": 1,
        "messages": [{"role": "user", "content": "How far is it?"}],
    })
}

/// Returns the processor time that a process has used, in seconds.
fn processor_s(process: &Process) -> f64 {
    let path = format!("/proc/{}/stat", process.id());
    let stat = std::fs::read_to_string(path).unwrap_or_default();
    // The name before the last parenthesis may hold anything.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_A_SECOND
}

/// Returns the memory that a process has resident, in MiB.
fn resident_mib(process: &Process) -> f64 {
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<f64>().ok()).unwrap_or(0.0) / 1_024.0
}

/// Returns the time that a process's control thread was at work, in seconds.
async fn control_s(process: &Process) -> f64 {
    metric(process, "valehold_control_busy").await
}

/// Returns the first value of a metric whose name begins so.
async fn metric(process: &Process, name: &str) -> f64 {
    let caller = support::Caller::new("w");
    let metrics = caller
        .send("GET", process.callers, "/metrics", &[], String::new())
        .await;
    let text = metrics.map(|m| m.into_body()).unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0.0)
}

/// Declares so many engines, with two models for each.
fn files(engines: usize) -> Files {
    let mut deployment = String::from(
        "name = \"d\"\n[weight_store]\nloads_per_second = 500.0\n\
         loads_at_once = 500\n[[data_centre]]\nname = \"dc\"\nregion = \
         \"r\"\n",
    );
    let mut names = Vec::new();
    for index in 0..engines {
        deployment.push_str(&format!(
            "[[engine]]\nname = \"engine-{index}\"\ndata_centre = \
             \"dc\"\naddress = \"127.0.0.1:9\"\nmemory_mib = 110\n\
             kv_floor_mib = 10\nslots = 1000\n\
             prefill_tokens_per_second = 1e9\nchecks_fences = true\n"
        ));
        for model in [index * 2, index * 2 + 1] {
            deployment.push_str(&format!(
                "[[model]]\nname = \"model-{model}\"\nsize_mib = 30\n"
            ));
            names.push(format!("\"model-{model}\""));
        }
    }
    let mut files = Files::new();
    files.insert("deployment.toml", deployment);
    files.insert(
        "templates/plain.toml",
        include_str!("../tests/declarations/small/templates/plain.toml")
            .replace("services = [\"booking\"]", "services = []"),
    );
    let (names, digest) = (names.join(", "), key_digest("example-key-w"));
    files.insert(
        "workspaces/w.toml",
        format!(
            "template = \"plain\"\n[parameters]\nmodels = [{names}]\n\
             key_digests = [\"{digest}\"]\n"
        ),
    );
    files
}

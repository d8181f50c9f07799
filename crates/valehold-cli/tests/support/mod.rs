//! Stand-ins, `valehold-instance` processes and the `valehold` command.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use valehold_core::{
    config::{Config, Files, key_digest},
    id::{DataCentreId, UpstreamId},
};
use valehold_instance::peer::Authority;
use valehold_standin::{Pace, Site};

pub const OPERATOR_KEY: &str = "operator-key-of-a-test";

/// How often something is tried before a test gives up on it.
const TRIES: usize = 600;

/// The time between two tries.
const BETWEEN_TRIES: Duration = Duration::from_millis(100);

/// Waits until `ready` gives something.
pub async fn eventually<T, F>(what: &str, mut ready: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    for _ in 0..TRIES {
        if let Some(found) = ready().await {
            return found;
        }
        tokio::time::sleep(BETWEEN_TRIES).await;
    }
    panic!("this did not come about: {what}");
}

/// Waits for a future that has to complete.
pub async fn in_time<F: Future>(what: &str, future: F) -> F::Output {
    let patience = BETWEEN_TRIES * TRIES as u32;
    let waited = tokio::time::timeout(patience, future).await;
    waited.unwrap_or_else(|_| panic!("this did not come about: {what}"))
}

/// A running `valehold-instance`; dropping it kills it.
pub struct Process {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    child: Child,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.id()).unwrap();
        kill_process(Pid::from_raw(pid).unwrap(), signal).unwrap();
    }

    /// Returns the exit code once the process has ended.
    pub async fn ended(&mut self) -> Option<i32> {
        let child = &mut self.child;
        let status = eventually("the process ends", || {
            let status = child.try_wait().unwrap();
            async move { status }
        });
        status.await.code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A deployment under test: stand-ins, instances, and a directory.
pub struct Deployment {
    pub site: Site,
    pub instances: Vec<Process>,
    pub directory: PathBuf,
    pub config: Config,
    authority: Authority,
    keep_s: u64,
    _folder: tempfile::TempDir,
}

/// The small declarations of these tests, in the place of an example.
pub const SMALL: &str = "small";

/// Returns the path of an example, or of the small declarations.
fn example(name: &str) -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    match name {
        SMALL => package.join("tests/declarations").join(name),
        _ => package.join("../../examples").join(name),
    }
}

/// Returns the path of a program that this workspace builds.
fn program(name: &str) -> PathBuf {
    // Tests and examples lie one folder below the programs.
    let own = std::env::current_exe().unwrap();
    let folder = own.parent().unwrap().parent().unwrap();
    let path = folder.join(name);
    assert!(path.exists(), "{name} is built by `cargo build --workspace`");
    path
}

/// Copies an example, with a weight store fast enough for a test.
fn copy_example(name: &str, to: &Path) -> Files {
    let mut files = Files::new();
    for folder in ["", "templates", "workspaces"] {
        std::fs::create_dir_all(to.join(folder)).unwrap();
        for entry in std::fs::read_dir(example(name).join(folder)).unwrap() {
            let path = entry.unwrap().path();
            if !path.is_file() {
                continue;
            }
            let file = path.file_name().unwrap().to_str().unwrap().to_owned();
            let text = std::fs::read_to_string(&path).unwrap();
            let text = text
                .replace("loads_per_second = 2.0", "loads_per_second = 100.0")
                .replace("loads_at_once = 8", "loads_at_once = 100");
            std::fs::write(to.join(folder).join(&file), &text).unwrap();
            let inner = Path::new(folder).join(&file);
            files.insert(inner.to_str().unwrap(), text);
        }
    }
    files
}

impl Deployment {
    /// Starts stand-ins for an example, and instances.
    pub async fn start(example: &str, instances: usize, keep_s: u64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let files = copy_example(example, folder.path());
        Self::start_in(folder, &files, Pace::default(), instances, keep_s)
            .await
    }

    /// Starts stand-ins for the declarations in a folder, and instances.
    pub async fn start_in(
        folder: tempfile::TempDir,
        files: &Files,
        pace: Pace,
        instances: usize,
        keep_s: u64,
    ) -> Self {
        let directory = folder.path().to_owned();
        let config = Config::try_from_files(files).unwrap();
        let site = Site::start(&config, pace).await.unwrap();
        let mut deployment = Self {
            site,
            instances: Vec::new(),
            directory,
            config,
            authority: Authority::try_new().unwrap(),
            keep_s,
            _folder: folder,
        };
        for number in 0..instances {
            deployment.start_instance(&format!("i-{number}"));
        }
        deployment
    }

    /// Starts one more instance, and puts it in the platform's list.
    pub fn start_instance(&mut self, name: &str) {
        let places = &self.config.deployment().data_centre;
        let place = &places[self.instances.len() % places.len()].name;
        let settings = self.directory.join(format!("{name}.settings"));
        std::fs::write(&settings, self.settings(name, place)).unwrap();
        let mut child = Command::new(program("valehold-instance"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let stdout = child.stdout.take().unwrap();
        let mut lines = BufReader::new(stdout).lines();
        let mut address = |name: &str| {
            let line = lines.next().unwrap().unwrap();
            let (label, value) = line.split_once(" = ").unwrap();
            assert_eq!(label, name);
            value.parse().unwrap()
        };
        let process = Process {
            name: name.to_owned(),
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            child,
        };
        let (callers, peers) = (process.callers, process.peers);
        self.site.list_instance(name, callers, peers, place);
        self.instances.push(process);
    }

    fn settings(&self, name: &str, place: &DataCentreId) -> String {
        let keys = self.authority.issue().unwrap();
        format!(
            "instance = \"{name}\"\n\
             data_centre = \"{place}\"\n\
             [callers]\nlisten = \"127.0.0.1:0\"\naddress_keep_s = {}\n\
             read_timeout_ms = 2000\n\
             [operators]\nlisten = \"127.0.0.1:0\"\nkey_digest = \"{}\"\n\
             [platform]\naddress = \"{}\"\n\
             [log]\nlevel = \"warn\"\n\
             [peers]\nlisten = \"127.0.0.1:0\"\nauthority = '''{}'''\n\
             certificate = '''{}'''\nkey = '''{}'''\n",
            self.keep_s,
            key_digest(OPERATOR_KEY),
            self.site.platform_address(),
            keys.authority,
            keys.certificate,
            keys.key,
        )
    }

    /// Runs the `valehold` command against an instance.
    pub fn valehold(&self, instance: usize, arguments: &[&str]) -> Output {
        Command::new(program("valehold"))
            .args(arguments)
            .env(
                "VALEHOLD_OPERATORS",
                self.instances[instance].operators.to_string(),
            )
            .env("VALEHOLD_KEY", OPERATOR_KEY)
            .output()
            .unwrap()
    }

    /// Starts the small deployment, and waits until all is reachable.
    pub async fn small(instances: usize) -> Self {
        let deployment = Self::start(SMALL, instances, 2).await;
        deployment.apply();
        for instance in 0..instances {
            deployment.all_reachable(instance).await;
        }
        deployment
    }

    /// Returns the engines that hold a model, as an instance sees it.
    pub fn holders(&self, instance: usize, model: &str) -> Vec<UpstreamId> {
        let arguments = ["explain", "model", model, "--format", "json"];
        let output = self.valehold(instance, &arguments);
        let Ok(value) = serde_json::from_slice::<Value>(&output.stdout) else {
            return Vec::new();
        };
        let engines = value["answered_by"].as_array().into_iter().flatten();
        engines
            .map(|e| UpstreamId::new(e["engine"].as_str().unwrap()))
            .collect()
    }

    /// Returns the instance that holds the placement lease.
    pub fn holder(&self, asked: usize) -> Option<usize> {
        let output = self.valehold(asked, &["status", "--format", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        let holder = status["holder"].as_str()?;
        self.instances.iter().position(|i| i.name == holder)
    }

    /// Applies the directory and expects that it is accepted.
    pub fn apply(&self) -> Output {
        let directory = self.directory.to_str().unwrap();
        let output = self.valehold(0, &["apply", directory, "--by", "test"]);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{errors}");
        output
    }

    /// Waits until an instance finds every model and adapter reachable.
    pub async fn all_reachable(&self, instance: usize) {
        eventually("every model is reachable", || async {
            let output =
                self.valehold(instance, &["status", "--format", "json"]);
            let status: Value = serde_json::from_slice(&output.stdout).ok()?;
            let engines = status["engines"].as_array()?.len();
            let all = self.config.deployment().engine.len();
            let missing = status["unreachable"].as_array()?;
            (missing.is_empty() && engines == all).then_some(())
        })
        .await;
    }

    pub fn overcommitted(&self) -> Vec<String> {
        let engines = self.site.engines.iter();
        let over = engines.filter(|(_, engine)| engine.was_overcommitted());
        over.map(|(name, _)| name.to_string()).collect()
    }
}

/// A caller of one workspace.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    key: String,
}

impl Caller {
    pub fn new(workspace: &str) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, key: format!("example-key-{workspace}") }
    }

    /// Sends a request; an error is one of the connection.
    pub async fn send(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Response<Bytes>, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body)).unwrap();
        let what = format!("the whole answer to {method} {path}");
        in_time(&what, self.answer(request)).await
    }

    async fn answer(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, String> {
        let response = self.client.request(request).await;
        let (parts, body) =
            response.map_err(|e| format!("{e:?}"))?.into_parts();
        let body = body.collect().await.map_err(|e| format!("{e:?}"))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    /// Asks a model.
    pub async fn chat(
        &self,
        address: SocketAddr,
        model: &str,
        stream: bool,
    ) -> Result<Response<Bytes>, String> {
        let body = json!({
            "model": model,
            "stream": stream,
            "messages": [{"role": "user", "content": "How far is it?"}],
        });
        let path = "/v1/chat/completions";
        self.send("POST", address, path, &[], body.to_string()).await
    }

    /// Asks an instance which addresses to use.
    pub async fn addresses(&self, from: SocketAddr) -> Vec<SocketAddr> {
        let answer =
            self.send("GET", from, "/v1/addresses", &[], String::new());
        let answer = answer.await.unwrap();
        let body: Value = serde_json::from_slice(answer.body()).unwrap();
        let entries = body["addresses"].as_array().unwrap().iter();
        entries
            .map(|entry| entry["address"].as_str().unwrap().parse().unwrap())
            .collect()
    }
}

/// Returns the whole text that a stand-in's model answers with.
pub fn expected_answer(model: &str) -> String {
    let words: String = (1..16).map(|n| format!(" {n}")).collect();
    format!("{model}@1 says:{words}")
}

/// Joins the pieces of a streamed answer, and checks that it has its end.
pub fn streamed_answer(body: &Bytes) -> Option<String> {
    let text = std::str::from_utf8(body).ok()?;
    let events = text.strip_suffix("data: [DONE]\n\n")?;
    let mut whole = String::new();
    for event in events.split("\n\n").filter(|event| !event.is_empty()) {
        let chunk: Value =
            serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        let delta = &chunk["choices"][0]["delta"];
        whole.push_str(delta["content"].as_str().unwrap_or_default());
    }
    Some(whole)
}

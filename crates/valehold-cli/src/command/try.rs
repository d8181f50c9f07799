//! `valehold try`

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use pico_args::Arguments;
use valehold_core::{
    config::{Config, Files, Workspace, key_digest},
    id::{DataCentreId, ModelName},
};
use valehold_instance::{
    FileSettings, Instance, Settings, peer::Authority, revisions::ApplyRequest,
};
use valehold_standin::{Pace, Site};

use super::{block_on, finish, helped};
use crate::{
    directory as disk,
    error::{FAILED, Failure, INVALID},
    http::Operators,
};

const HELP: &str = "\
Runs an example in one process: stand-ins for the platform, the engines and
the plain services, and two instances. It prints an address, a workspace, its
key and a model, and serves until it is interrupted.

Usage: valehold try [--listen ADDRESS] [--config DIR]

  --listen ADDRESS     where the first instance listens for callers
                       (127.0.0.1 and a free port)
  --config DIR         declarations to use in place of the built-in example;
                       keys are those of the form example-key-WORKSPACE
";

/// The operators' key of a trial.
const OPERATOR_KEY: &str = "example-operator-key";

/// How long the first model may take to become reachable.
const READY_WITHIN: Duration = Duration::from_secs(60);

/// Pairs a file of the example with its text.
macro_rules! example {
    ($path:literal) => {
        (
            $path,
            include_str!(concat!("../../../../examples/hledsluvit/", $path)),
        )
    };
}
/// The built-in example.
const EXAMPLE: &[(&str, &str)] = &[
    example!("deployment.toml"),
    example!("templates/car-share.toml"),
    example!("templates/charging.toml"),
    example!("templates/guesthouse.toml"),
    example!("workspaces/akureyri-car-share.toml"),
    example!("workspaces/east-charging.toml"),
    example!("workspaces/hofn-guesthouse.toml"),
    example!("workspaces/husavik-guesthouse.toml"),
    example!("workspaces/north-charging.toml"),
    example!("workspaces/reykjavik-car-share.toml"),
    example!("workspaces/selfoss-car-share.toml"),
    example!("workspaces/south-charging.toml"),
    example!("workspaces/vik-guesthouse.toml"),
    example!("workspaces/west-charging.toml"),
];

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, false) {
        return Ok(());
    }
    let listen: Option<SocketAddr> = arguments
        .opt_value_from_str("--listen")
        .map_err(Failure::arguments)?;
    let listen = listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let directory: Option<PathBuf> = arguments
        .opt_value_from_str("--config")
        .map_err(Failure::arguments)?;
    finish(arguments)?;
    let files = match directory {
        Some(directory) => disk::read(&directory)?,
        None => built_in(),
    };
    let config = Config::try_from_files(&files)
        .map_err(|problems| Failure::new(INVALID, problems))?;
    let (workspace, model) = shown(&config)?;
    block_on(serve(listen, files, &config, &workspace, &model))
}

fn built_in() -> Files {
    let mut files = Files::new();
    for (path, text) in EXAMPLE {
        files.insert(*path, *text);
    }
    files
}

/// Picks a workspace whose key is an example's, and one of its models: the
/// largest, which is among the first that are loaded.
fn shown(config: &Config) -> Result<(Workspace, ModelName), Failure> {
    let workspaces = config.workspaces().values().filter(|workspace| {
        let digest = key_digest(&example_key(workspace));
        workspace.key_digests.contains(&digest)
    });
    let models = workspaces.flat_map(|workspace| {
        workspace.models.iter().map(move |model| (workspace, model))
    });
    let size = |model: &ModelName| config.served()[model].size_mib;
    let largest = models.max_by_key(|(_, model)| size(model));
    match largest {
        Some((workspace, model)) => {
            Ok((workspace.as_ref().clone(), model.clone()))
        }
        None => {
            let message = "no workspace has the key example-key-WORKSPACE";
            Err(Failure::message(INVALID, message))
        }
    }
}

fn example_key(workspace: &Workspace) -> String {
    format!("example-key-{}", workspace.name)
}

async fn serve(
    listen: SocketAddr,
    files: Files,
    config: &Config,
    workspace: &Workspace,
    model: &ModelName,
) -> Result<(), Failure> {
    let site = Site::start(config, Pace::default()).await?;
    let authority =
        Authority::try_new().map_err(|e| Failure::message(FAILED, e))?;
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let places = &config.deployment().data_centre;
    let place = |index: usize| places[index % places.len()].name.clone();
    let first = start("try-1", listen, place(0), &site, &authority).await?;
    let second = start("try-2", free, place(1), &site, &authority).await?;
    let operators = first.addresses().operators;
    let client = Operators::new(operators, OPERATOR_KEY.to_owned());
    let request = ApplyRequest {
        base: 0,
        files,
        label: "try".to_owned(),
        by: "valehold try".to_owned(),
    };
    client.post("/apply", &serde_json::json!(request)).await?;
    let rate = config.deployment().weight_store.loads_per_second;
    let count = config.served().len();
    eprintln!(
        "waiting for {model}; {count} models and adapters load at {rate} a \
         second"
    );
    wait_for(&client, model).await?;
    let address = first.addresses().callers;
    let key = example_key(workspace);
    println!("address = {address}");
    println!("workspace = {}", workspace.name);
    println!("key = {key}");
    println!("model = {model}");
    println!("operators = {operators}");
    println!("operator key = {OPERATOR_KEY}");
    println!(
        "curl -s http://{address}/v1/chat/completions -H 'Authorization: \
         Bearer {key}' -H 'Content-Type: application/json' -d \
         '{{\"model\": \"{model}\", \"messages\": [{{\"role\": \"user\", \
         \"content\": \"Where do I charge next?\"}}]}}'"
    );
    tokio::signal::ctrl_c().await?;
    for instance in [first, second] {
        instance.stop();
    }
    Ok(())
}

async fn start(
    name: &'static str,
    listen: SocketAddr,
    data_centre: DataCentreId,
    site: &Site,
    authority: &Authority,
) -> Result<Instance, Failure> {
    let failed = |e| Failure::message(FAILED, e);
    let keys = authority.issue().map_err(failed)?;
    let text = format!(
        "instance = \"{name}\"\n\
         data_centre = \"{data_centre}\"\n\
         [callers]\nlisten = \"{listen}\"\naddress_keep_s = 5\n\
         [operators]\nlisten = \"127.0.0.1:0\"\nkey_digest = \"{}\"\n\
         [platform]\naddress = \"{}\"\n\
         [peers]\nlisten = \"127.0.0.1:0\"\nauthority = '''{}'''\n\
         certificate = '''{}'''\nkey = '''{}'''\n",
        key_digest(OPERATOR_KEY),
        site.platform_address(),
        keys.authority,
        keys.certificate,
        keys.key,
    );
    let settings = Settings::from_toml("try", &text)
        .map_err(|e| Failure::new(FAILED, e))?;
    // An instance blocks while it starts its threads.
    let instance = tokio::task::spawn_blocking(|| Instance::start(settings))
        .await
        .map_err(|e| Failure::message(FAILED, e))?
        .map_err(failed)?;
    let at = instance.addresses();
    site.list_instance(name, at.callers, at.peers, &data_centre);
    Ok(instance)
}

async fn wait_for(
    client: &Operators,
    model: &ModelName,
) -> Result<(), Failure> {
    let deadline = tokio::time::Instant::now() + READY_WITHIN;
    let path = format!("/explain/model/{model}");
    while tokio::time::Instant::now() < deadline {
        if let Ok(value) = client.get(&path).await {
            let answered = value["answered_by"].as_array();
            if answered.is_some_and(|engines| !engines.is_empty()) {
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let message = format!("{model} did not become reachable in time");
    Err(Failure::message(FAILED, message))
}

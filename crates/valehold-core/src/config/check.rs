//! Checking declarations as a whole.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    ops::Range,
    sync::Arc,
};

use super::{
    Config, Deployment, Served, Template, Workspace,
    files::{DEPLOYMENT_FILE, Files},
    problem::{Problem, Problems},
    template::Source,
    workspace::{Placed, WorkspaceFile},
};
use crate::{
    id::{DataCentreId, ModelName, WorkspaceId},
    placement::{EngineRoom, PackFault, pack},
};

/// The greatest priority a workspace may have.
pub const MAX_PRIORITY: u8 = 9;

/// Checks files and makes the configuration that they declare.
pub(super) fn config(files: &Files) -> Result<Config, Problems> {
    let mut problems = Vec::new();
    let deployment = deployment(files, &mut problems);
    let templates = templates(files, &mut problems);
    let workspaces = workspaces(files, &templates, &mut problems);
    let Some(deployment) = deployment else {
        return Err(Problems::new(problems));
    };
    check_uses(files, &deployment, &workspaces, &mut problems);
    check_keys(files, &workspaces, &mut problems);
    if problems.is_empty() {
        let served = served(&deployment, &workspaces);
        check_fits(files, &deployment, &served, &mut problems);
    }
    if problems.is_empty() {
        return Ok(assemble(deployment, workspaces));
    }
    Err(Problems::new(problems))
}

fn assemble(
    deployment: Deployment,
    workspaces: BTreeMap<WorkspaceId, Placed>,
) -> Config {
    let served = served(&deployment, &workspaces);
    let mut keys = HashMap::new();
    for (name, placed) in &workspaces {
        for digest in &placed.workspace.key_digests {
            keys.insert(digest.clone(), name.clone());
        }
    }
    let regions = deployment
        .data_centre
        .iter()
        .map(|dc| (dc.name.clone(), dc.region.clone()))
        .collect();
    let workspaces = workspaces
        .into_iter()
        .map(|(name, placed)| (name, Arc::new(placed.workspace)))
        .collect();
    Config { deployment, workspaces, served, keys, regions }
}

fn deployment(
    files: &Files,
    problems: &mut Vec<Problem>,
) -> Option<Deployment> {
    let Some(text) = files.get(DEPLOYMENT_FILE) else {
        problems.push(Problem::new(
            DEPLOYMENT_FILE,
            "",
            None,
            "the file is missing",
            "every directory of declarations has a deployment.toml",
        ));
        return None;
    };
    let source = Source { path: DEPLOYMENT_FILE, text };
    match toml::from_str::<Deployment>(text) {
        Ok(deployment) => {
            check_deployment(&deployment, source, problems);
            Some(deployment)
        }
        Err(error) => {
            problems.push(source.parse_problem(&error));
            None
        }
    }
}

/// Finds where a deployment's entry gives its name.
fn name_place(text: &str, name: &str) -> Option<Range<usize>> {
    let quoted = format!("\"{name}\"");
    let mut from = 0;
    while let Some(at) = text[from..].find(&quoted) {
        let start = from + at;
        let line = text[..start].rsplit('\n').next().unwrap_or_default();
        if line.trim_start().starts_with("name") {
            return Some(start..start + quoted.len());
        }
        from = start + quoted.len();
    }
    None
}

fn check_deployment(
    deployment: &Deployment,
    source: Source<'_>,
    problems: &mut Vec<Problem>,
) {
    check_names_once(deployment, source, problems);
    check_data_centres(deployment, source, problems);
    check_engines(deployment, source, problems);
    check_adapters(deployment, source, problems);
    check_numbers(deployment, source, problems);
}

fn check_names_once(
    deployment: &Deployment,
    source: Source<'_>,
    problems: &mut Vec<Problem>,
) {
    let upstreams = deployment.engine.iter().map(|e| e.name.as_str()).chain(
        deployment
            .service
            .iter()
            .flat_map(|s| s.upstream.iter().map(|u| u.name.as_str())),
    );
    let models = deployment
        .model
        .iter()
        .map(|m| m.name.as_str())
        .chain(deployment.adapter.iter().map(|a| a.name.as_str()));
    let places = deployment.data_centre.iter().map(|d| d.name.as_str());
    let services = deployment.service.iter().map(|s| s.name.as_str());
    let kinds: [(&str, Vec<&str>); 4] = [
        ("upstream", upstreams.collect()),
        ("model or adapter", models.collect()),
        ("data centre", places.collect()),
        ("service", services.collect()),
    ];
    for (kind, names) in kinds {
        let mut seen = BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                problems.push(source.problem(
                    name_place(source.text, name),
                    format!("{kind} {name:?} is declared twice"),
                    "give one of them another name",
                ));
            }
        }
    }
}

fn check_data_centres(
    deployment: &Deployment,
    source: Source<'_>,
    problems: &mut Vec<Problem>,
) {
    let known: BTreeSet<&DataCentreId> =
        deployment.data_centre.iter().map(|dc| &dc.name).collect();
    let engines = deployment.engine.iter().map(|e| (&e.name, &e.data_centre));
    let processes = deployment
        .service
        .iter()
        .flat_map(|s| s.upstream.iter().map(|u| (&u.name, &u.data_centre)));
    for (name, data_centre) in engines.chain(processes) {
        if !known.contains(data_centre) {
            problems.push(source.problem(
                name_place(source.text, name.as_str()),
                format!("{name} stands in unknown data centre {data_centre}"),
                "declare it under [[data_centre]], or mend the name",
            ));
        }
    }
}

fn check_engines(
    deployment: &Deployment,
    source: Source<'_>,
    problems: &mut Vec<Problem>,
) {
    for engine in &deployment.engine {
        if engine.kv_floor_mib >= engine.memory_mib {
            problems.push(source.problem(
                name_place(source.text, engine.name.as_str()),
                format!(
                    "engine {}: kv_floor_mib {} leaves nothing of memory_mib \
                     {}",
                    engine.name, engine.kv_floor_mib, engine.memory_mib
                ),
                "lower kv_floor_mib",
            ));
        }
        if engine.slots == 0 || engine.prefill_tokens_per_second <= 0.0 {
            problems.push(source.problem(
                name_place(source.text, engine.name.as_str()),
                format!("engine {} could serve nothing", engine.name),
                "slots and prefill_tokens_per_second are above 0",
            ));
        }
    }
}

fn check_adapters(
    deployment: &Deployment,
    source: Source<'_>,
    problems: &mut Vec<Problem>,
) {
    for adapter in &deployment.adapter {
        if !deployment.model.iter().any(|m| m.name == adapter.base) {
            problems.push(source.problem(
                name_place(source.text, adapter.name.as_str()),
                format!(
                    "adapter {} has unknown base {}",
                    adapter.name, adapter.base
                ),
                "base is the name of a [[model]]",
            ));
        }
    }
}

fn check_numbers(
    deployment: &Deployment,
    source: Source<'_>,
    problems: &mut Vec<Problem>,
) {
    let store = deployment.weight_store;
    let weighing = deployment.weighing;
    let placement = deployment.placement;
    let faults = [
        (store.loads_per_second <= 0.0, "loads_per_second is above 0"),
        (store.loads_at_once == 0, "loads_at_once is above 0"),
        (deployment.max_instances == 0, "max_instances is above 0"),
        (weighing.attainment <= 0.0, "weighing.attainment is above 0"),
        (weighing.moves < 0.0, "weighing.moves is 0 or more"),
        (placement.cells == 0, "placement.cells is above 0"),
        (placement.horizon_s <= 0.0, "placement.horizon_s is above 0"),
    ];
    for (bad, rule) in faults {
        if bad {
            let message = "a number is out of its range";
            problems.push(source.problem(None, message, rule));
        }
    }
}

fn templates(
    files: &Files,
    problems: &mut Vec<Problem>,
) -> BTreeMap<String, Template> {
    let mut templates = BTreeMap::new();
    for (name, path, text) in files.in_folder("templates") {
        let source = Source { path, text };
        match toml::from_str::<Template>(text) {
            Ok(template) => {
                problems.extend(template.check(source));
                templates.insert(name.to_owned(), template);
            }
            Err(error) => problems.push(source.parse_problem(&error)),
        }
    }
    templates
}

fn workspaces(
    files: &Files,
    templates: &BTreeMap<String, Template>,
    problems: &mut Vec<Problem>,
) -> BTreeMap<WorkspaceId, Placed> {
    let mut workspaces = BTreeMap::new();
    for (name, path, text) in files.in_folder("workspaces") {
        let source = Source { path, text };
        let file = match toml::from_str::<WorkspaceFile>(text) {
            Ok(file) => file,
            Err(error) => {
                problems.push(source.parse_problem(&error));
                continue;
            }
        };
        let Some(template) = templates.get(file.template.get_ref()) else {
            let known: Vec<&str> =
                templates.keys().map(String::as_str).collect();
            problems.push(source.problem(
                Some(file.template.span()),
                format!("no template {:?}", file.template.get_ref()),
                format!("there are: {}", known.join(", ")),
            ));
            continue;
        };
        match file.fill(name, template, source) {
            Ok(placed) => {
                workspaces.insert(WorkspaceId::new(name), placed);
            }
            Err(found) => problems.extend(found),
        }
    }
    workspaces
}

fn check_uses(
    files: &Files,
    deployment: &Deployment,
    workspaces: &BTreeMap<WorkspaceId, Placed>,
    problems: &mut Vec<Problem>,
) {
    let models: BTreeSet<&str> = deployment
        .model
        .iter()
        .map(|m| m.name.as_str())
        .chain(deployment.adapter.iter().map(|a| a.name.as_str()))
        .collect();
    let services: BTreeSet<&str> =
        deployment.service.iter().map(|s| s.name.as_str()).collect();
    for placed in workspaces.values() {
        let workspace = &placed.workspace;
        let path = workspace_path(workspace);
        let text = files.get(&path).unwrap_or_default();
        let source = Source { path: &path, text };
        for model in &workspace.models {
            if !models.contains(model.as_str()) {
                problems.push(source.problem(
                    placed.place_of(source, model.as_str()),
                    format!("no model or adapter {model}"),
                    "declare it in deployment.toml, or mend the name",
                ));
            }
        }
        for service in &workspace.services {
            if !services.contains(service.as_str()) {
                problems.push(source.problem(
                    placed.place_of(source, service.as_str()),
                    format!("no service {service}"),
                    "declare it in deployment.toml, or mend the name",
                ));
            }
        }
        check_limits(deployment, placed, source, problems);
    }
}

fn check_limits(
    deployment: &Deployment,
    placed: &Placed,
    source: Source<'_>,
    problems: &mut Vec<Problem>,
) {
    let workspace = &placed.workspace;
    let limits = workspace.limits;
    // Half of a limit is divided over the instances without asking, and each
    // of them must be able to let one request in.
    let least = deployment.max_instances.saturating_mul(2);
    let at = |name: &str| placed.places.get(name).cloned();
    let faults = [
        (
            workspace.priority > MAX_PRIORITY,
            at("priority"),
            "priority is from 0 to 9",
        ),
        (
            workspace.first_token_ms == 0,
            at("first_token_ms"),
            "first_token_ms is above 0",
        ),
        (
            limits.requests_per_second <= 0.0,
            at("requests_per_second"),
            "requests_per_second is above 0",
        ),
        (
            limits.tokens_per_second <= 0.0,
            at("tokens_per_second"),
            "tokens_per_second is above 0",
        ),
        (
            limits.concurrency < least,
            at("concurrency"),
            "concurrency is at least twice the deployment's max_instances",
        ),
    ];
    for (bad, place, rule) in faults {
        if bad {
            let message = "a number is out of its range";
            problems.push(source.problem(place, message, rule));
        }
    }
}

fn check_keys(
    files: &Files,
    workspaces: &BTreeMap<WorkspaceId, Placed>,
    problems: &mut Vec<Problem>,
) {
    let mut owners: HashMap<&str, &WorkspaceId> = HashMap::new();
    for (name, placed) in workspaces {
        let path = workspace_path(&placed.workspace);
        let text = files.get(&path).unwrap_or_default();
        let source = Source { path: &path, text };
        for digest in &placed.workspace.key_digests {
            let place = placed.place_of(source, digest);
            if !is_key_digest(digest) {
                problems.push(source.problem(
                    place.clone(),
                    format!("{digest:?} is no digest of a key"),
                    "make keys and digests with `valehold keys new`",
                ));
            }
            if let Some(other) = owners.insert(digest, name) {
                problems.push(source.problem(
                    place,
                    format!("workspace {other} has this key as well"),
                    "a key belongs to one workspace",
                ));
            }
        }
    }
}

fn is_key_digest(text: &str) -> bool {
    const HEXADECIMAL_DIGITS: usize = 64;
    text.strip_prefix("sha256:").is_some_and(|digits| {
        digits.len() == HEXADECIMAL_DIGITS
            && digits.bytes().all(|b| b.is_ascii_hexdigit())
    })
}

fn workspace_path(workspace: &Workspace) -> String {
    format!("workspaces/{}.toml", workspace.name)
}

/// Lists the models and adapters in use, and the bases of those adapters.
fn served(
    deployment: &Deployment,
    workspaces: &BTreeMap<WorkspaceId, Placed>,
) -> BTreeMap<ModelName, Served> {
    let mut names: BTreeSet<&ModelName> =
        workspaces.values().flat_map(|p| &p.workspace.models).collect();
    let bases: Vec<&ModelName> = deployment
        .adapter
        .iter()
        .filter(|a| names.contains(&a.name))
        .map(|a| &a.base)
        .collect();
    names.extend(bases);
    let models = deployment.model.iter().map(|model| Served {
        artifact: model.artifact(),
        size_mib: model.size_mib,
        base: None,
        min_replicas: model.min_replicas,
    });
    let adapters = deployment.adapter.iter().filter_map(|adapter| {
        let base = deployment.model.iter().find(|m| m.name == adapter.base)?;
        Some(Served {
            artifact: adapter.artifact(),
            size_mib: adapter.size_mib,
            base: Some(base.artifact()),
            min_replicas: 1,
        })
    });
    models
        .chain(adapters)
        .filter(|served| names.contains(&served.artifact.name))
        .map(|served| (served.artifact.name.clone(), served))
        .collect()
}

fn check_fits(
    files: &Files,
    deployment: &Deployment,
    served: &BTreeMap<ModelName, Served>,
    problems: &mut Vec<Problem>,
) {
    let text = files.get(DEPLOYMENT_FILE).unwrap_or_default();
    let source = Source { path: DEPLOYMENT_FILE, text };
    let rooms: Vec<EngineRoom> = deployment
        .engine
        .iter()
        .map(|e| EngineRoom {
            engine: e.name.clone(),
            data_centre: e.data_centre.clone(),
            usable_mib: e.usable_mib(),
        })
        .collect();
    let Err(fault) = pack(&rooms, served) else { return };
    let (name, help) = match &fault {
        PackFault::TooLarge { artifact, largest_mib } => (
            artifact.name.as_str(),
            format!("the roomiest engine takes {largest_mib} MiB of weights"),
        ),
        PackFault::NoRoom { artifact } => (
            artifact.name.as_str(),
            "use fewer models, add engines, or lower min_replicas".to_owned(),
        ),
        PackFault::NoRoomForChange { artifact, needed_mib, free_mib } => (
            artifact.name.as_str(),
            format!(
                "replacing it needs {needed_mib} MiB free on one engine; the \
                 most that stays free is {free_mib} MiB"
            ),
        ),
    };
    let place = name_place(text, name);
    problems.push(source.problem(place, fault.to_string(), help));
}

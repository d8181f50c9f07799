//! Checking declarations as a whole.

mod deployment;
mod workspaces;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use self::{
    deployment::name_place,
    workspaces::{check_keys, check_uses},
};
use super::{
    Config, Deployment, Served, Template,
    files::{DEPLOYMENT_FILE, Files},
    pack::{EngineRoom, PackFault, pack},
    problem::{Problem, Problems},
    template::Source,
    workspace::{Placed, WorkspaceFile},
};
use crate::id::{ModelName, WorkspaceId};

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
            deployment::check(&deployment, source, problems);
            Some(deployment)
        }
        Err(error) => {
            problems.push(source.parse_problem(&error));
            None
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

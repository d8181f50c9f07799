//! Checking workspaces against their deployment and each other.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::MAX_PRIORITY;
use crate::{
    config::{
        Deployment, Files, Workspace, problem::Problem, template::Source,
        workspace::Placed,
    },
    id::WorkspaceId,
};

pub(super) fn check_uses(
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

pub(super) fn check_keys(
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

//! Checking a deployment by itself.

use std::{collections::BTreeSet, ops::Range};

use crate::{
    config::{Deployment, problem::Problem, template::Source},
    id::DataCentreId,
};

/// Finds where a deployment's entry gives its name.
pub(super) fn name_place(text: &str, name: &str) -> Option<Range<usize>> {
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

pub(super) fn check(
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

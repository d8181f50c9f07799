//! `workspaces/*.toml`: a template's name and its parameters' values.

use std::{collections::BTreeMap, ops::Range};

use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::{
    files::text_digest,
    problem::Problem,
    template::{Source, Template},
};
use crate::id::{ModelName, ServiceName, WorkspaceId};

/// A workspace, filled in from its template.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Workspace {
    /// Its name: that of its file.
    pub name: WorkspaceId,
    /// The models and adapters that its callers may use.
    pub models: Vec<ModelName>,
    /// The plain services that its callers may use.
    pub services: Vec<ServiceName>,
    /// Its priority; a higher one goes first when capacity runs short.
    pub priority: u8,
    /// Within what time an answer should begin, in ms.
    pub first_token_ms: u64,
    /// What it may use.
    pub limits: Limits,
    /// The digests of its callers' keys.
    #[serde(skip)]
    pub key_digests: Vec<String>,
}

/// What a workspace may use, over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests a second.
    pub requests_per_second: f64,
    /// Requests in flight.
    pub concurrency: u32,
    /// Tokens a second, of prompts and answers together.
    pub tokens_per_second: f64,
}

/// Returns the digest under which a workspace lists a caller's key.
///
/// # Example
///
/// ```
/// let digest = valehold_core::config::key_digest("secret");
/// assert!(digest.starts_with("sha256:"));
/// ```
pub fn key_digest(key: &str) -> String {
    format!("sha256:{}", text_digest(key))
}

/// A workspace's file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WorkspaceFile {
    pub(super) template: Spanned<String>,
    #[serde(default)]
    pub(super) parameters: BTreeMap<Spanned<String>, Spanned<toml::Value>>,
}

/// A template's body, once its parameters are filled in.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    #[serde(default)]
    models: Vec<ModelName>,
    #[serde(default)]
    services: Vec<ServiceName>,
    priority: u8,
    first_token_ms: u64,
    limits: Limits,
    key_digests: Vec<String>,
}

/// A workspace with the places of its values, for later checks.
pub(super) struct Placed {
    pub(super) workspace: Workspace,
    pub(super) places: BTreeMap<String, Range<usize>>,
}

impl Placed {
    /// Returns where in the file a text stands.
    pub(super) fn place_of(
        &self,
        source: Source<'_>,
        wanted: &str,
    ) -> Option<Range<usize>> {
        for place in self.places.values() {
            let part = source.text.get(place.clone()).unwrap_or_default();
            if let Some(at) = part.find(&format!("\"{wanted}\"")) {
                let start = place.start + at;
                return Some(start..start + wanted.len() + 2);
            }
        }
        None
    }
}

impl WorkspaceFile {
    /// Fills the template with this file's parameters.
    pub(super) fn fill(
        &self,
        name: &str,
        template: &Template,
        source: Source<'_>,
    ) -> Result<Placed, Vec<Problem>> {
        let problems = self.check_parameters(template, source);
        if !problems.is_empty() {
            return Err(problems);
        }
        let body = template.fill(&self.values(template));
        let body: Body = body.try_into().map_err(|e: toml::de::Error| {
            vec![source.problem(
                Some(self.template.span()),
                format!("the filled template is no workspace: {e}"),
                "mend the template's [workspace]",
            )]
        })?;
        Ok(Placed {
            workspace: Workspace {
                name: WorkspaceId::new(name),
                models: body.models,
                services: body.services,
                priority: body.priority,
                first_token_ms: body.first_token_ms,
                limits: body.limits,
                key_digests: body.key_digests,
            },
            places: self.places(),
        })
    }

    fn places(&self) -> BTreeMap<String, Range<usize>> {
        let places = self.parameters.iter();
        places.map(|(k, v)| (k.get_ref().clone(), v.span())).collect()
    }

    fn values(&self, template: &Template) -> BTreeMap<String, toml::Value> {
        let mut values = BTreeMap::new();
        for (name, parameter) in &template.parameter {
            if let Some(default) = &parameter.default {
                values.insert(name.clone(), default.clone());
            }
        }
        for (name, value) in &self.parameters {
            values.insert(name.get_ref().clone(), value.get_ref().clone());
        }
        values
    }

    fn check_parameters(
        &self,
        template: &Template,
        source: Source<'_>,
    ) -> Vec<Problem> {
        let mut problems = Vec::new();
        for (name, value) in &self.parameters {
            let Some(parameter) = template.parameter.get(name.get_ref())
            else {
                let known: Vec<&str> =
                    template.parameter.keys().map(String::as_str).collect();
                problems.push(source.problem(
                    Some(name.span()),
                    format!("unknown parameter {:?}", name.get_ref()),
                    format!("the template has: {}", known.join(", ")),
                ));
                continue;
            };
            if let Err(fault) = parameter.check(value.get_ref()) {
                problems.push(source.problem(
                    Some(value.span()),
                    format!("parameter {:?}: {fault}", name.get_ref()),
                    parameter.about.clone(),
                ));
            }
        }
        for (name, parameter) in &template.parameter {
            let given = self.parameters.keys().any(|k| k.get_ref() == name);
            if !given && parameter.default.is_none() {
                problems.push(source.problem(
                    Some(self.template.span()),
                    format!("parameter {name:?} is missing"),
                    format!("add it: {}", parameter.about),
                ));
            }
        }
        problems
    }
}

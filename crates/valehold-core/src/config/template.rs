//! `templates/*.toml`: typed parameters, and the workspace they fill.

use std::{collections::BTreeMap, ops::Range};

use serde::Deserialize;
use toml::Spanned;

use super::problem::Problem;

/// What marks a value in a template's body as a parameter's.
const PARAMETER_MARK: char = '$';

/// A template: parameters, and a body that uses them.
///
/// In the body, a string that is `$` and a parameter's name stands for that
/// parameter's value.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// What the template is for.
    pub about: String,
    /// The parameters, by name.
    #[serde(default)]
    pub parameter: BTreeMap<String, Parameter>,
    /// The workspace, with parameters in place of some values.
    pub workspace: Spanned<toml::Table>,
}

/// A typed parameter.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// What the parameter decides, for operators.
    pub about: String,
    /// What values it takes.
    #[serde(rename = "type")]
    pub kind: ParameterKind,
    /// The value where a workspace gives none; without one it has to.
    pub default: Option<toml::Value>,
    /// The least number it takes.
    pub min: Option<f64>,
    /// The greatest number it takes.
    pub max: Option<f64>,
}

/// What values a parameter takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParameterKind {
    /// A whole number.
    Integer,
    /// A number.
    Number,
    /// True or false.
    Boolean,
    /// A text.
    Text,
    /// A list of texts.
    List,
}

impl ParameterKind {
    fn describe(self) -> &'static str {
        match self {
            Self::Integer => "a whole number",
            Self::Number => "a number",
            Self::Boolean => "true or false",
            Self::Text => "a text",
            Self::List => "a list of texts",
        }
    }

    fn admits(self, value: &toml::Value) -> bool {
        match self {
            Self::Integer => value.is_integer(),
            Self::Number => value.is_integer() || value.is_float(),
            Self::Boolean => value.is_bool(),
            Self::Text => value.is_str(),
            Self::List => value
                .as_array()
                .is_some_and(|items| items.iter().all(toml::Value::is_str)),
        }
    }
}

impl Parameter {
    /// Checks a value; an error is what is wrong with it.
    pub fn check(&self, value: &toml::Value) -> Result<(), String> {
        if !self.kind.admits(value) {
            let wanted = self.kind.describe();
            return Err(format!("it takes {wanted}, not {value}"));
        }
        let Some(number) = as_number(value) else { return Ok(()) };
        if self.min.is_some_and(|min| number < min) {
            let min = self.min.unwrap_or_default();
            return Err(format!("{number} is below its least value {min}"));
        }
        if self.max.is_some_and(|max| number > max) {
            let max = self.max.unwrap_or_default();
            return Err(format!("{number} is above its greatest value {max}"));
        }
        Ok(())
    }
}

fn as_number(value: &toml::Value) -> Option<f64> {
    #[allow(clippy::cast_precision_loss)]
    let integer = value.as_integer().map(|i| i as f64);
    value.as_float().or(integer)
}

/// A place in a file, for the faults found there.
#[derive(Clone, Copy)]
pub(super) struct Source<'a> {
    pub(super) path: &'a str,
    pub(super) text: &'a str,
}

impl Source<'_> {
    pub(super) fn problem(
        self,
        span: Option<Range<usize>>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Problem {
        Problem::new(self.path, self.text, span, message, help)
    }

    pub(super) fn parse_problem(self, error: &toml::de::Error) -> Problem {
        let message = error.message().to_owned();
        let help = "compare the field with docs/OPERATIONS.md, \
                    \"Declarations\"";
        self.problem(error.span(), message, help)
    }
}

impl Template {
    /// Checks the template by itself: defaults, and the names in its body.
    pub(super) fn check(&self, source: Source<'_>) -> Vec<Problem> {
        let mut problems = Vec::new();
        for (name, parameter) in &self.parameter {
            let Some(default) = &parameter.default else { continue };
            if let Err(fault) = parameter.check(default) {
                problems.push(source.problem(
                    None,
                    format!("the default of parameter {name:?}: {fault}"),
                    "change the default or its bounds",
                ));
            }
        }
        let span = self.workspace.span();
        for name in marked_names(self.workspace.get_ref()) {
            if !self.parameter.contains_key(&name) {
                problems.push(source.problem(
                    Some(span.clone()),
                    format!("the body uses unknown parameter {name:?}"),
                    format!("declare [parameter.{name}] or drop its use"),
                ));
            }
        }
        problems
    }

    /// Returns the body with each parameter's value in its place.
    pub(super) fn fill(
        &self,
        values: &BTreeMap<String, toml::Value>,
    ) -> toml::Table {
        let body = self.workspace.get_ref().clone();
        match fill_value(toml::Value::Table(body), values) {
            toml::Value::Table(table) => table,
            _ => toml::Table::new(),
        }
    }
}

fn parameter_name(value: &toml::Value) -> Option<&str> {
    value.as_str()?.strip_prefix(PARAMETER_MARK)
}

fn marked_names(table: &toml::Table) -> Vec<String> {
    let mut names = Vec::new();
    for value in table.values() {
        if let Some(name) = parameter_name(value) {
            names.push(name.to_owned());
        }
        if let Some(inner) = value.as_table() {
            names.extend(marked_names(inner));
        }
    }
    names
}

fn fill_value(
    value: toml::Value,
    values: &BTreeMap<String, toml::Value>,
) -> toml::Value {
    if let Some(name) = parameter_name(&value) {
        return values.get(name).cloned().unwrap_or(value);
    }
    match value {
        toml::Value::Table(table) => {
            let filled = table
                .into_iter()
                .map(|(key, inner)| (key, fill_value(inner, values)));
            toml::Value::Table(filled.collect())
        }
        other => other,
    }
}

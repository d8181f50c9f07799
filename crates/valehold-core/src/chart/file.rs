//! Reading and checking a chart's file.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;

use crate::error::Error;

/// A chart as its file describes it, checked to be complete.
#[derive(Debug, Clone)]
pub struct ChartFile {
    name: String,
    raw: RawChart,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawChart {
    about: String,
    initial: String,
    events: Vec<String>,
    state: BTreeMap<String, RawState>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawState {
    about: String,
    #[serde(default)]
    on: BTreeMap<String, String>,
    #[serde(default)]
    ignore: Vec<String>,
}

impl ChartFile {
    /// Reads and checks a chart.
    ///
    /// `name` is the file's name, for errors.
    ///
    /// # Errors
    ///
    /// If the text is not a chart, names a state or event that it does not
    /// declare, leaves a state unreachable, or leaves an event unhandled in
    /// a state. The error names the file and the state.
    pub fn from_toml(name: &str, text: &str) -> Result<Self, Error> {
        let raw: RawChart = toml::from_str(text)
            .map_err(|e| Error::new(e.to_string()).context(name))?;
        let chart = Self { name: name.to_owned(), raw };
        chart.check().map_err(|e| e.context(name))?;
        Ok(chart)
    }

    /// Returns the file's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns what the chart is about, in a sentence.
    pub fn about(&self) -> &str {
        &self.raw.about
    }

    /// Returns what a state means, in a sentence.
    pub fn about_state(&self, state: &str) -> &str {
        self.raw.state.get(state).map_or("", |s| &s.about)
    }

    /// Returns the name of the state in which the chart starts.
    pub fn initial(&self) -> &str {
        &self.raw.initial
    }

    /// Returns the names of the states.
    pub fn state_names(&self) -> Vec<&str> {
        self.raw.state.keys().map(String::as_str).collect()
    }

    /// Returns the names of the events.
    pub fn event_names(&self) -> Vec<&str> {
        self.raw.events.iter().map(String::as_str).collect()
    }

    /// Returns where an event leads from a state, or `None` if ignored.
    pub fn target(&self, state: &str, event: &str) -> Option<&str> {
        self.raw.state.get(state)?.on.get(event).map(String::as_str)
    }

    fn check(&self) -> Result<(), Error> {
        self.check_state(&self.raw.initial, "the initial state")?;
        for (name, state) in &self.raw.state {
            self.check_events(name, state)?;
            for target in state.on.values() {
                self.check_state(target, &format!("state {name:?}"))?;
            }
        }
        self.check_reachable()
    }

    fn check_state(&self, target: &str, place: &str) -> Result<(), Error> {
        if self.raw.state.contains_key(target) {
            return Ok(());
        }
        Err(Error::new(format!("{place} leads to unknown state {target:?}")))
    }

    fn check_events(&self, name: &str, state: &RawState) -> Result<(), Error> {
        let handled: Vec<&String> =
            state.on.keys().chain(&state.ignore).collect();
        for event in &handled {
            if !self.raw.events.contains(event) {
                let message =
                    format!("state {name:?} has unknown event {event:?}");
                return Err(Error::new(message));
            }
        }
        for event in &self.raw.events {
            let times = handled.iter().filter(|h| **h == event).count();
            if times != 1 {
                let message = format!(
                    "state {name:?} handles event {event:?} {times} times; \
                     list it once, under `on` or in `ignore`"
                );
                return Err(Error::new(message));
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), Error> {
        let mut reached = BTreeSet::new();
        let mut open = vec![self.raw.initial.as_str()];
        while let Some(name) = open.pop() {
            if reached.insert(name) {
                let targets = self.raw.state[name].on.values();
                open.extend(targets.map(String::as_str));
            }
        }
        match self.raw.state.keys().find(|s| !reached.contains(s.as_str())) {
            Some(state) => {
                Err(Error::new(format!("state {state:?} is unreachable")))
            }
            None => Ok(()),
        }
    }
}

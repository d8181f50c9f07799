//! The log: one line a decision, written by a thread of its own.

mod queue;
#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    io::{self, Write},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::{LevelFilter, Record};
use serde_json::json;
use valehold_gateway::events::EVENT_TARGET;

pub use self::queue::{Class, LineQueue, Lines};
use crate::Error;

/// How many lines may wait to be written. At 500 bytes a line that is half a
/// megabyte of the 64 MB that a node may use for control.
const MOST_WAITING: usize = 1_024;

/// How long the end of a process waits for lines to be written.
const FLUSH: Duration = Duration::from_millis(200);

/// How lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Plain text on standard error.
    Text,
    /// JSON on standard error.
    Json,
    /// JSON on standard output, with the time of day.
    Events,
}

/// Writes what still waits when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    queue: LineQueue,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.queue.flush(FLUSH);
    }
}

/// Sets the log up: the least level, how lines are written, and levels by
/// module. The guard is kept until the process ends.
///
/// # Errors
///
/// If a level is unknown, a log was set up before, or the thread that writes
/// cannot be started.
pub fn start(
    least: &str,
    form: Form,
    modules: &BTreeMap<String, String>,
) -> Result<LogGuard, Error> {
    let out: Box<dyn Write + Send> = match form {
        Form::Events => Box::new(io::stdout()),
        Form::Text | Form::Json => Box::new(io::stderr()),
    };
    let queue = LineQueue::start(out, MOST_WAITING)
        .map_err(|e| Error::new("starting the log's thread", e))?;
    let lines = queue.lines();
    let mut dispatch = fern::Dispatch::new()
        .level(level(least)?)
        .format(move |out, message, record| {
            let line = line(form, &message.to_string(), record);
            out.finish(format_args!("{line}"));
        })
        .chain(fern::Output::call(move |record| {
            let class = Class::of(record.level());
            lines.push(class, record.args().to_string());
        }));
    for (module, at) in modules {
        dispatch = dispatch.level_for(module.clone(), level(at)?);
    }
    dispatch.apply().map_err(|e| Error::new("setting up the log", e))?;
    Ok(LogGuard { queue })
}

/// Writes one line.
fn line(form: Form, message: &str, record: &Record<'_>) -> String {
    let (level, target) = (record.level().as_str(), record.target());
    match form {
        Form::Text => format!("{level} {target} {message}"),
        Form::Json => {
            let (level, message) = (json!(level), json!(message));
            let target = json!(target);
            format!(
                r#"{{"level":{level},"target":{target},"message":{message}}}"#
            )
        }
        Form::Events => event_line(message, record),
    }
}

/// Writes a line of JSON. An event's own fields follow the time and the
/// level; anything else is an event `message`.
fn event_line(message: &str, record: &Record<'_>) -> String {
    let level = record.level().as_str();
    let at_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let fields = match message.strip_prefix('{') {
        Some(fields) if record.target() == EVENT_TARGET => fields.to_owned(),
        _ => {
            let (target, message) = (json!(record.target()), json!(message));
            format!(
                r#""event":"message","target":{target},"message":{message}}}"#
            )
        }
    };
    format!(r#"{{"at_ms":{at_ms},"level":"{level}",{fields}"#)
}

fn level(name: &str) -> Result<LevelFilter, Error> {
    name.parse().map_err(|_| {
        let known = "off, error, warn, info, debug, trace";
        Error::new("setting up the log", format!("{name:?} is not of {known}"))
    })
}

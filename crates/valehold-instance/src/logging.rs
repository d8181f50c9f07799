//! The log: one line a decision, on standard error.

use std::{collections::BTreeMap, io};

use log::LevelFilter;
use serde_json::json;

use crate::Error;

/// Sets the log up: the least level, whether lines are JSON, and levels by
/// module.
///
/// # Errors
///
/// If a level is unknown, or a log was set up before.
pub fn start(
    least: &str,
    json: bool,
    modules: &BTreeMap<String, String>,
) -> Result<(), Error> {
    let mut dispatch = fern::Dispatch::new()
        .level(level(least)?)
        .format(move |out, message, record| {
            let (level, target) = (record.level(), record.target());
            if json {
                let line = json!({
                    "level": level.as_str(),
                    "target": target,
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                out.finish(format_args!("{level} {target} {message}"));
            }
        })
        .chain(io::stderr());
    for (module, at) in modules {
        dispatch = dispatch.level_for(module.clone(), level(at)?);
    }
    dispatch.apply().map_err(|e| Error::new("setting up the log", e))
}

fn level(name: &str) -> Result<LevelFilter, Error> {
    name.parse().map_err(|_| {
        let known = "off, error, warn, info, debug, trace";
        Error::new("setting up the log", format!("{name:?} is not of {known}"))
    })
}

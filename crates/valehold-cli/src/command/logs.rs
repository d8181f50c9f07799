//! One request's story, from gateways' logs.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde::Deserialize;
use valehold_gateway::events::{Event, RequestEnded};

use crate::error::{FAILED, Failure};

/// How long before a request came events may explain what became of it.
const BEFORE_MS: u64 = 10_000;

/// A line of a gateway's log.
#[derive(Debug, Deserialize)]
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    event: Event,
}

/// An event and the log that it stands in.
struct Found {
    at_ms: u64,
    log: usize,
    event: Event,
}

/// Tells a request's story from logs, in the order of time.
///
/// Lines that are not events, and what stands before a line's JSON, are
/// passed over.
///
/// # Errors
///
/// If a log cannot be read, or none of them names the request.
pub fn story(request: &str, logs: &[PathBuf]) -> Result<String, Failure> {
    let mut all = Vec::new();
    for (log, path) in logs.iter().enumerate() {
        all.extend(read(path, log)?);
    }
    all.sort_by_key(|found| found.at_ms);
    let ends: Vec<&RequestEnded> = all
        .iter()
        .filter_map(|found| match &found.event {
            Event::RequestEnded(ended) if ended.request == request => {
                Some(&**ended)
            }
            _ => None,
        })
        .collect();
    if ends.is_empty() {
        let message = format!("no log names request {request:?}");
        return Err(Failure::message(FAILED, message));
    }
    let told = all.iter().filter(|found| belongs(found, request, &all));
    let name = |found: &Found| logs[found.log].display().to_string();
    let lines = told.map(|found| {
        format!("{} {}: {}", found.at_ms, name(found), found.event.describe())
    });
    Ok(lines.collect())
}

/// Tells whether an event is the request's end, or may explain one.
fn belongs(found: &Found, request: &str, all: &[Found]) -> bool {
    if let Event::RequestEnded(ended) = &found.event {
        return ended.request == request;
    }
    all.iter().any(|end| match &end.event {
        Event::RequestEnded(ended) if ended.request == request => {
            let from = end.at_ms.saturating_sub(ended.took_ms + BEFORE_MS);
            (from..=end.at_ms).contains(&found.at_ms)
                && found.event.concerns(ended)
        }
        _ => false,
    })
}

fn read(path: &Path, log: usize) -> Result<Vec<Found>, Failure> {
    let fail = |error: std::io::Error| {
        Failure::message(FAILED, format!("{}: {error}", path.display()))
    };
    let file = File::open(path).map_err(fail)?;
    let mut found = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(fail)?;
        let Some(begin) = line.find('{') else { continue };
        let parsed = serde_json::from_str(&line[begin..]);
        // Whatever is no event explains no request.
        let Ok(Line { at_ms, event }) = parsed else { continue };
        found.push(Found { at_ms, log, event });
    }
    Ok(found)
}

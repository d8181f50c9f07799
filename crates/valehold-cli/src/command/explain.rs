//! `valehold explain`

use std::{fmt::Write, path::PathBuf};

use pico_args::Arguments;
use serde_json::Value;

use super::{block_on, finish, format, helped, logs, operators};
use crate::{
    error::Failure,
    print::{list_of, print, text_of},
};

const HELP: &str = "\
Tells why.

Usage: valehold explain request ID   which engines there were, each one's
                                     predicted time, and why one was chosen
       valehold explain model NAME   where it is, and who uses it
       valehold explain engine NAME  what it holds and does
       valehold explain refusals     the newest refusals
       valehold explain request ID --log FILE [--log FILE ...]
                                     the same from gateways' logs, without
                                     asking an instance
";

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, true) {
        return Ok(());
    }
    let logs: Vec<PathBuf> =
        arguments.values_from_str("--log").map_err(Failure::arguments)?;
    if !logs.is_empty() {
        return from_logs(arguments, &logs);
    }
    let format = format(&mut arguments)?;
    let operators = operators(&mut arguments)?;
    let what: String =
        arguments.free_from_str().map_err(Failure::arguments)?;
    if what == "refusals" {
        finish(arguments)?;
        let value = block_on(operators.get("/explain/refusals"))?;
        print(format, &value, refusals);
        return Ok(());
    }
    if !["request", "model", "engine"].contains(&what.as_str()) {
        let message = "explain takes request, model, engine, or refusals";
        return Err(Failure::arguments(message));
    }
    let name: String =
        arguments.free_from_str().map_err(Failure::arguments)?;
    finish(arguments)?;
    let path = format!("/explain/{what}/{name}");
    let value = block_on(operators.get(&path))?;
    print(format, &value, |value| match what.as_str() {
        "request" => request(value),
        _ => format!("{value:#}\n"),
    });
    Ok(())
}

/// Tells a request's story from logs.
fn from_logs(
    mut arguments: Arguments,
    logs: &[PathBuf],
) -> Result<(), Failure> {
    let what: String =
        arguments.free_from_str().map_err(Failure::arguments)?;
    if what != "request" {
        let message = "logs explain requests: give request ID";
        return Err(Failure::arguments(message));
    }
    let id: String = arguments.free_from_str().map_err(Failure::arguments)?;
    finish(arguments)?;
    print!("{}", logs::story(&id, logs)?);
    Ok(())
}

fn refusals(value: &Value) -> String {
    let records = value.as_array().map_or(&[][..], Vec::as_slice);
    records.iter().map(one_line).collect()
}

/// Makes one line of a request's record.
pub fn one_line(record: &Value) -> String {
    let mut line = format!(
        "{} {} {}: {}",
        text_of(record, "request"),
        record["workspace"].as_str().unwrap_or("-"),
        record["target"].as_str().unwrap_or("-"),
        text_of(record, "outcome"),
    );
    if let Some(attempt) = list_of(record, "attempts").last() {
        let _ = write!(line, " by {}", text_of(attempt, "upstream"));
    }
    let refusal = &record["refusal"];
    if refusal.is_object() {
        let _ = write!(
            line,
            " {}: {} (ran: {})",
            text_of(refusal, "reason"),
            text_of(refusal, "message"),
            text_of(refusal, "verdict"),
        );
    }
    line.push('\n');
    line
}

fn request(record: &Value) -> String {
    let mut out = one_line(record);
    let _ = writeln!(
        out,
        "revision {}; first output after {} ms, over after {} ms",
        record["revision"], record["first_output_ms"], record["total_ms"],
    );
    for (number, attempt) in list_of(record, "attempts").iter().enumerate() {
        let _ = writeln!(
            out,
            "attempt {}: {}{}{}",
            number + 1,
            text_of(attempt, "upstream"),
            member(attempt, "retry", ", because of "),
            member(attempt, "error", ", failed: "),
        );
        if attempt["choice"].is_object() {
            choice(&mut out, &attempt["choice"]);
        }
    }
    out
}

fn member(value: &Value, name: &str, before: &str) -> String {
    let text = value[name].as_str();
    text.map_or_else(String::new, |text| format!("{before}{text}"))
}

fn choice(out: &mut String, choice: &Value) {
    let why = match text_of(choice, "why") {
        "only" => "no other engine could answer",
        "least" => "its predicted time was the least",
        _ => "drawn among those near the least predicted time",
    };
    let _ = writeln!(out, "  chosen: {} ({why})", text_of(choice, "engine"));
    for prediction in list_of(choice, "predictions") {
        let ms = |name: &str| prediction[name].as_f64().unwrap_or(0.0);
        let _ = writeln!(
            out,
            "  {}: {:.1} ms = way {:.1} + queue {:.1} + slot {:.1} + \
             prompt {:.1} ({} tokens cached); chance {:.2}",
            text_of(prediction, "engine"),
            ms("total_ms"),
            ms("distance_ms"),
            ms("queue_ms"),
            ms("slot_ms"),
            ms("prompt_ms"),
            prediction["cached_tokens"],
            ms("chance"),
        );
    }
}

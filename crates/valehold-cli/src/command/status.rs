//! `valehold status`

use std::fmt::Write;

use pico_args::Arguments;
use serde_json::Value;

use super::{block_on, finish, format, helped, operators};
use crate::{
    error::Failure,
    print::{list_of, print, text_of},
};

const HELP: &str = "\
Shows the revision in force on each instance, the holder of the placement
lease, the age of what is known, and each engine.

Usage: valehold status
";

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, true) {
        return Ok(());
    }
    let format = format(&mut arguments)?;
    let operators = operators(&mut arguments)?;
    finish(arguments)?;
    let value = block_on(operators.get("/status"))?;
    print(format, &value, text);
    Ok(())
}

fn text(status: &Value) -> String {
    let mut out = String::new();
    let newest = match status["newest"].as_u64() {
        Some(number) => number.to_string(),
        None => "unknown, the store does not answer".to_owned(),
    };
    let _ = writeln!(out, "newest revision: {newest}");
    for pair in list_of(status, "revisions") {
        let name = pair[0].as_str().unwrap_or_default();
        let _ = writeln!(out, "instance {name}: revision {}", pair[1]);
    }
    let holder = status["holder"].as_str().unwrap_or("nobody known");
    let _ = writeln!(out, "placement is held by {holder}");
    let _ = writeln!(out, "store read {} ms ago", status["store_age_ms"]);
    for engine in list_of(status, "engines") {
        let suspect = engine["suspect"].as_bool().unwrap_or(false);
        let _ = writeln!(
            out,
            "engine {}: {}/{} running, {} MiB in {} models{}",
            text_of(engine, "engine"),
            engine["running"],
            engine["slots"],
            engine["resident_mib"],
            list_of(engine, "resident").len(),
            if suspect { ", suspect" } else { "" },
        );
    }
    for name in list_of(status, "unreachable") {
        let name = name.as_str().unwrap_or_default();
        let _ = writeln!(out, "NOT REACHABLE: {name}");
    }
    out
}

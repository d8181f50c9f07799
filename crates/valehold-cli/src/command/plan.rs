//! `valehold plan`

use pico_args::Arguments;
use serde_json::{Value, json};

use super::{block_on, directory, finish, format, helped, operators};
use crate::{
    directory as disk,
    error::{Failure, INVALID},
    print::{list_of, print, text_of},
};

const HELP: &str = "\
Shows what would load, unload and move if DIR were applied, and why. Nothing
is changed. What demand would add later is not among it.

Usage: valehold plan DIR
";

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, true) {
        return Ok(());
    }
    let format = format(&mut arguments)?;
    let operators = operators(&mut arguments)?;
    let directory = directory(&mut arguments)?;
    finish(arguments)?;
    let files = json!(disk::read(&directory)?);
    let value = block_on(operators.post("/plan", &files))?;
    if !list_of(&value, "faults").is_empty() {
        return Err(invalid(&value));
    }
    print(format, &value, steps);
    Ok(())
}

/// Makes the failure of declarations that do not hold.
pub fn invalid(value: &Value) -> Failure {
    let faults = list_of(value, "faults").iter().map(|fault| {
        let (file, line) = (text_of(fault, "file"), &fault["line"]);
        let (what, help) = (text_of(fault, "message"), text_of(fault, "help"));
        format!("{file}:{line}: {what}\n  mend: {help}")
    });
    let faults = faults.collect::<Vec<_>>().join("\n");
    Failure::message(
        INVALID,
        format!("the declarations do not hold:\n{faults}"),
    )
}

fn steps(value: &Value) -> String {
    let steps = value.as_array().map_or(&[][..], Vec::as_slice);
    let lines = steps.iter().map(|step| {
        format!(
            "{:6} {} on {} ({} MiB): {}\n",
            text_of(step, "kind"),
            text_of(step, "artifact"),
            text_of(step, "engine"),
            step["size_mib"],
            text_of(step, "reason"),
        )
    });
    let total = steps.len();
    lines.chain([format!("{total} steps\n")]).collect()
}

//! `valehold fetch`

use pico_args::Arguments;
use valehold_core::config::Files;

use super::{block_on, directory, finish, format, helped, operators};
use crate::{
    directory as disk,
    error::{FAILED, Failure},
    print::print,
};

const HELP: &str = "\
Writes the newest revision's files into DIR, and notes its number there as
the base of the next apply.

Usage: valehold fetch DIR
";

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, true) {
        return Ok(());
    }
    let format = format(&mut arguments)?;
    let operators = operators(&mut arguments)?;
    let directory = directory(&mut arguments)?;
    finish(arguments)?;
    let value = block_on(operators.get("/files"))?;
    let files: Files = serde_json::from_value(value["files"].clone())
        .map_err(|e| Failure::message(FAILED, e))?;
    let revision = value["revision"].as_u64().unwrap_or(0);
    disk::write(&directory, &files)?;
    disk::set_base(&directory, revision)?;
    print(format, &value, |_| format!("fetched = {revision}\n"));
    Ok(())
}

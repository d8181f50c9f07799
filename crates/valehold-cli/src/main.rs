//! `valehold`: the operators' command.

mod command;
mod directory;
mod error;
mod http;
mod print;

use std::process::ExitCode;

use crate::error::Failure;

const HELP: &str = "\
Serves many models to many workspaces on few accelerators.

Usage: valehold COMMAND [OPTIONS]

Commands:
  check DIR            say whether the declarations hold
  plan DIR             what would load, unload and move, and why
  apply DIR            put the declarations in force
  fetch DIR            write the newest revision's files into DIR
  status               revisions, engines, holder, age of knowledge
  explain WHAT [NAME]  why: request ID, model NAME, engine NAME, refusals
  watch                decisions as they happen
  chart [NAME]         a state chart, as text or with --graphviz
  keys new             keys of callers, operators, or instances
  try                  run an example with stand-ins, in one process

Every command takes --help and --format json.

Exit codes: 0 done; 1 failed; 2 bad arguments; 3 the declarations do not
hold; 4 others changed the same files; 5 no instance answers.
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let name = match arguments.subcommand() {
        Ok(Some(name)) => name,
        Ok(None) => {
            print!("{HELP}");
            return match arguments.contains("--help") {
                true => ExitCode::SUCCESS,
                false => ExitCode::from(error::BAD_ARGUMENTS),
            };
        }
        Err(error) => return Failure::arguments(error).report(),
    };
    match command::run(&name, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

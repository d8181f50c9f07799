//! The commands, each in a module of its own.

mod apply;
mod chart;
mod check;
mod explain;
mod fetch;
mod keys;
mod logs;
mod plan;
mod status;
mod r#try;
mod watch;

use std::{future::Future, net::SocketAddr, path::PathBuf};

use pico_args::Arguments;

use crate::{
    error::{FAILED, Failure},
    http::Operators,
    print::Format,
};

/// The variable with the address of an instance's operators' interface.
const OPERATORS_VARIABLE: &str = "VALEHOLD_OPERATORS";

/// The variable with the operators' key.
const KEY_VARIABLE: &str = "VALEHOLD_KEY";

/// The options of every command that asks an instance.
const REMOTE_HELP: &str = "
  --operators ADDRESS  an instance's address for operators;
                       or VALEHOLD_OPERATORS
  --key KEY            the operators' key; or VALEHOLD_KEY
  --format json        print JSON
";

/// Runs a command.
pub fn run(name: &str, arguments: Arguments) -> Result<(), Failure> {
    let run: fn(Arguments) -> Result<(), Failure> = match name {
        "check" => check::run,
        "plan" => plan::run,
        "apply" => apply::run,
        "fetch" => fetch::run,
        "status" => status::run,
        "explain" => explain::run,
        "watch" => watch::run,
        "chart" => chart::run,
        "keys" => keys::run,
        "try" => r#try::run,
        other => {
            let message = format!("there is no command {other:?}");
            return Err(Failure::arguments(message));
        }
    };
    run(arguments)
}

/// Prints the help if it is asked for; returns whether it was.
fn helped(arguments: &mut Arguments, help: &str, remote: bool) -> bool {
    let asked = arguments.contains("--help");
    if asked {
        print!("{help}{}", if remote { REMOTE_HELP } else { "" });
    }
    asked
}

fn format(arguments: &mut Arguments) -> Result<Format, Failure> {
    let given: Option<String> = arguments
        .opt_value_from_str("--format")
        .map_err(Failure::arguments)?;
    match given.as_deref() {
        None | Some("text") => Ok(Format::Text),
        Some("json") => Ok(Format::Json),
        Some(other) => {
            let message = format!("--format is text or json, not {other:?}");
            Err(Failure::arguments(message))
        }
    }
}

fn operators(arguments: &mut Arguments) -> Result<Operators, Failure> {
    let address = option(arguments, "--operators", OPERATORS_VARIABLE)?;
    let address: SocketAddr = address.parse().map_err(|_| {
        let message = format!("{address:?} is not an IP number and a port");
        Failure::arguments(message)
    })?;
    let key = option(arguments, "--key", KEY_VARIABLE)?;
    Ok(Operators::new(address, key))
}

fn option(
    arguments: &mut Arguments,
    name: &'static str,
    variable: &str,
) -> Result<String, Failure> {
    let given: Option<String> =
        arguments.opt_value_from_str(name).map_err(Failure::arguments)?;
    given.or_else(|| std::env::var(variable).ok()).ok_or_else(|| {
        Failure::arguments(format!("give {name} or set {variable}"))
    })
}

fn directory(arguments: &mut Arguments) -> Result<PathBuf, Failure> {
    arguments
        .free_from_str()
        .map_err(|_| Failure::arguments("give the directory of declarations"))
}

/// Makes sure that no argument is left over.
fn finish(arguments: Arguments) -> Result<(), Failure> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(unknown) => {
            let unknown = unknown.to_string_lossy();
            Err(Failure::arguments(format!("unknown argument {unknown}")))
        }
    }
}

/// Runs something that waits.
fn block_on<T>(
    work: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|e| Failure::message(FAILED, e))?
        .block_on(work)
}

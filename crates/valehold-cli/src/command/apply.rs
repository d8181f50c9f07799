//! `valehold apply`

use pico_args::Arguments;
use serde_json::json;
use valehold_core::config::Number;
use valehold_instance::revisions::{Applied, ApplyRequest};

use super::{
    block_on, directory, finish, format, helped, operators, plan::invalid,
};
use crate::{
    directory as disk,
    error::{CONFLICT, FAILED, Failure},
    print::print,
};

const HELP: &str = "\
Puts the declarations in DIR in force. What differs from the revision that
DIR started from goes in on top of the newest one; files that others changed
since are refused, with who changed them.

Usage: valehold apply DIR [--label TEXT] [--by NAME] [--base N]

  --label TEXT         your own name for it, such as a commit's
  --by NAME            who you are; or USER
  --base N             the revision that DIR started from; else it is read
                       from DIR/.valehold-base, where apply and fetch note it
";

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, true) {
        return Ok(());
    }
    let format = format(&mut arguments)?;
    let operators = operators(&mut arguments)?;
    let given = |arguments: &mut Arguments, name| {
        arguments
            .opt_value_from_str::<_, String>(name)
            .map_err(Failure::arguments)
    };
    let label = given(&mut arguments, "--label")?.unwrap_or_default();
    let by = given(&mut arguments, "--by")?
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".to_owned());
    let base: Option<Number> =
        arguments.opt_value_from_str("--base").map_err(Failure::arguments)?;
    let directory = directory(&mut arguments)?;
    finish(arguments)?;
    let files = disk::read(&directory)?;
    let base = base.or_else(|| disk::base(&directory)).unwrap_or(0);
    let request = json!(ApplyRequest { base, files, label, by });
    let value = block_on(operators.post("/apply", &request))?;
    let applied: Applied = serde_json::from_value(value.clone())
        .map_err(|e| Failure::message(FAILED, e))?;
    match applied {
        Applied::Accepted { revision } => {
            disk::set_base(&directory, revision)?;
            print(format, &value, |_| format!("accepted = {revision}\n"));
            Ok(())
        }
        Applied::Unchanged { revision } => {
            disk::set_base(&directory, revision)?;
            print(format, &value, |_| format!("unchanged = {revision}\n"));
            Ok(())
        }
        Applied::Conflict { message } => {
            let message = format!(
                "{message}\nfetch the newest revision into another \
                 directory, join the files, and apply with its number as \
                 --base"
            );
            Err(Failure::message(CONFLICT, message))
        }
        Applied::Invalid { .. } => Err(invalid(&value["invalid"])),
        Applied::UnknownBase { newest } => {
            let message =
                format!("there is no revision {base}; the newest is {newest}");
            Err(Failure::message(CONFLICT, message))
        }
    }
}

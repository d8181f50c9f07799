//! `valehold watch`

use std::time::Duration;

use pico_args::Arguments;

use super::{block_on, explain::one_line, finish, format, helped, operators};
use crate::{
    error::Failure,
    print::{Format, list_of},
};

const HELP: &str = "\
Shows decisions as they happen, a line each, until interrupted.

Usage: valehold watch [--once]

  --once               show what there is and end
";

/// How often the instance is asked for more.
const ASK_EVERY: Duration = Duration::from_millis(500);

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, true) {
        return Ok(());
    }
    let format = format(&mut arguments)?;
    let operators = operators(&mut arguments)?;
    let once = arguments.contains("--once");
    finish(arguments)?;
    block_on(async {
        let mut since = 0;
        loop {
            let path = format!("/watch?since={since}");
            let value = operators.get(&path).await?;
            for record in list_of(&value, "records") {
                match format {
                    Format::Json => println!("{record}"),
                    Format::Text => print!("{}", one_line(record)),
                }
            }
            since = value["next"].as_u64().unwrap_or(since);
            if once {
                return Ok(());
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    })
}

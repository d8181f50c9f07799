//! `valehold chart`

use pico_args::Arguments;
use serde_json::json;
use valehold_core::chart::library;

use super::{finish, format, helped};
use crate::{error::Failure, print::print};

const HELP: &str = "\
Prints a state chart that the code follows, or lists them.

Usage: valehold chart [NAME] [--graphviz]

  --graphviz           print input for Graphviz
  --format json        print JSON
";

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, false) {
        return Ok(());
    }
    let format = format(&mut arguments)?;
    let graphviz = arguments.contains("--graphviz");
    let name: Option<String> =
        arguments.opt_free_from_str().map_err(Failure::arguments)?;
    finish(arguments)?;
    let Some(name) = name else {
        let names: Vec<&str> =
            library::FILES.iter().map(|(name, _)| *name).collect();
        let list = names.join("\n");
        print(format, &json!(names), |_| format!("{list}\n"));
        return Ok(());
    };
    let chart = library::file(&name).map_err(Failure::arguments)?;
    let text = match graphviz {
        true => chart.to_graphviz(),
        false => chart.to_text(),
    };
    print(format, &json!({"chart": name, "text": text}), |_| text.clone());
    Ok(())
}

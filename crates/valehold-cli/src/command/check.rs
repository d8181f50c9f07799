//! `valehold check`

use pico_args::Arguments;
use serde_json::json;
use valehold_core::config::Config;
use valehold_instance::revisions::faults;

use super::{directory, finish, format, helped};
use crate::{
    directory as disk,
    error::{Failure, INVALID},
    print::{Format, print},
};

const HELP: &str = "\
Says whether the declarations in DIR hold.

Usage: valehold check DIR

  --format json        print JSON
";

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, false) {
        return Ok(());
    }
    let format = format(&mut arguments)?;
    let directory = directory(&mut arguments)?;
    finish(arguments)?;
    let files = disk::read(&directory)?;
    match Config::try_from_files(&files) {
        Ok(config) => {
            let deployment = config.deployment();
            let value = json!({
                "deployment": deployment.name,
                "engines": deployment.engine.len(),
                "models_in_use": config.served().len(),
                "workspaces": config.workspaces().len(),
                "digest": files.digest(),
            });
            print(format, &value, |value| {
                format!(
                    "{}: {} engines, {} models and adapters in use, {} \
                     workspaces; all hold\n",
                    deployment.name,
                    value["engines"],
                    value["models_in_use"],
                    value["workspaces"],
                )
            });
            Ok(())
        }
        Err(problems) => {
            if format == Format::Json {
                println!("{:#}", json!({"faults": faults(&problems)}));
            }
            Err(Failure::new(INVALID, problems))
        }
    }
}

//! `valehold-instance`: runs one entry instance until it is told to stop.

mod gateway;
mod signals;

use std::{path::PathBuf, process::ExitCode};

use valehold_instance::{
    Error, FileSettings, Instance, Settings,
    logging::{self, Form},
};

use self::signals::{Request, Signals};

const HELP: &str = "\
Runs one entry instance of valehold.

Usage: valehold-instance --settings FILE
       valehold-instance gateway [--settings FILE]

`gateway` runs a gateway before the users' platform instead; its settings
file is named by the variable VALEHOLD_CONFIG where no option names one.

Options:
  --settings FILE  the instance's settings, in TOML; see docs/OPERATIONS.md
  --check          read the settings, say whether they hold, and end
  --help           print this

It prints a line `callers = …`, `operators = …` and `peers = …` with the
addresses it listens on. SIGTERM and SIGINT make it stop without cutting off
a request. It ends with 0 after a stop, 2 after bad arguments or settings,
1 after any other failure.
";

/// The exit code for bad arguments or settings.
const BAD_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if let Ok(Some(command)) = arguments.subcommand() {
        return match command.as_str() {
            "gateway" => gateway::main(arguments),
            other => {
                eprintln!("valehold-instance: unknown command {other:?}");
                ExitCode::from(BAD_USAGE)
            }
        };
    }
    let settings = match parse(arguments) {
        Ok(Some(settings)) => settings,
        Ok(None) => return ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(BAD_USAGE);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("valehold-instance: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the arguments; `None` if there is nothing to run.
fn parse(
    mut arguments: pico_args::Arguments,
) -> miette::Result<Option<Settings>> {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(None);
    }
    let check = arguments.contains("--check");
    let path: PathBuf = arguments
        .value_from_str("--settings")
        .map_err(|e| miette::miette!(help = HELP, "{e}"))?;
    let rest = arguments.finish();
    if let Some(unknown) = rest.first() {
        return Err(miette::miette!(help = HELP, "unknown {unknown:?}"));
    }
    let settings = Settings::from_file(&path)?;
    if check {
        println!("the settings hold");
        return Ok(None);
    }
    Ok(Some(settings))
}

fn run(settings: Settings) -> Result<(), Error> {
    let log = &settings.log;
    let form = if log.json { Form::Json } else { Form::Text };
    let _log = logging::start(&log.level, form, &log.modules)?;
    let mut signals = Signals::receive()?;
    let instance = Instance::start(settings)?;
    let addresses = instance.addresses();
    println!("callers = {}", addresses.callers);
    println!("operators = {}", addresses.operators);
    println!("peers = {}", addresses.peers);
    while signals.next() != Request::Stop {
        log::warn!("the settings of an entry instance cannot be reloaded");
    }
    instance.stop();
    instance.join()
}

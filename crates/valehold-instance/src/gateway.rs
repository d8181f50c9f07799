//! `valehold-instance gateway`: a gateway before the users' platform.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use platform::{PlatformDialect, PlatformEngines, PlatformStore};
use valehold_gateway::{
    FileSettings, Gateway, Ports, Settings, events::Event, peers::PeerLink,
    traffic::TcpConnector,
};
use valehold_instance::{
    Error,
    logging::{self, LogGuard},
};

use super::signals::{Request, Signals};

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "VALEHOLD_CONFIG";

/// Runs a gateway until it has stopped.
pub(crate) fn main(arguments: pico_args::Arguments) -> ExitCode {
    match serve(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(super::BAD_USAGE)
        }
    }
}

fn serve(arguments: pico_args::Arguments) -> miette::Result<()> {
    let signals = Signals::receive()?;
    let (path, gateway, _log) = start(arguments)?;
    run(&path, gateway, signals)?;
    Event::Stopped.log();
    Ok(())
}

fn start(
    mut arguments: pico_args::Arguments,
) -> miette::Result<(PathBuf, Gateway, LogGuard)> {
    let named: Option<PathBuf> = arguments
        .opt_value_from_str("--settings")
        .map_err(|e| miette::miette!("{e}"))?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(miette::miette!("unknown {unknown:?}"));
    }
    let path = match named {
        Some(path) => path,
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .ok_or_else(|| {
                miette::miette!(
                    help = "name the file with --settings FILE",
                    "{SETTINGS_VARIABLE} is not set"
                )
            })?,
    };
    let settings = Settings::from_file(&path)?;
    let log = logging::start(
        &settings.log_level,
        logging::Form::Events,
        &BTreeMap::new(),
    )?;
    Event::Started {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
    }
    .log();
    let ports = Ports {
        store: Arc::new(PlatformStore::new(settings.platform.store)),
        engines: Arc::new(PlatformEngines::new()),
        dialect: Arc::new(PlatformDialect),
        connector: Arc::new(TcpConnector),
        peers: PeerLink::default(),
    };
    let gateway = Gateway::start(settings, ports)
        .map_err(|e| Error::new("starting a gateway", e))?;
    Ok((path, gateway, log))
}

/// Takes in changed settings until told to stop, and stops.
fn run(
    path: &Path,
    gateway: Gateway,
    mut signals: Signals,
) -> Result<(), Error> {
    while signals.next() == Request::Reload {
        read_again(path, &gateway);
    }
    Event::Stopping.log();
    gateway.stop();
    gateway.join().map_err(|e| Error::new("running", e))
}

/// Reads the settings again. Only seeds may change while a gateway runs.
fn read_again(path: &Path, gateway: &Gateway) {
    match Settings::from_file(path) {
        Ok(settings) => {
            Event::SettingsRead.log();
            gateway.set_seeds(settings.peers.seeds);
        }
        Err(error) => {
            Event::SettingsKept { error: error.to_string() }.log();
        }
    }
}

//! The signals of the operator to a process.

use std::io;

use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

use valehold_instance::Error;

/// What the operator asks of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    /// To read the settings again.
    Reload,
    /// To stop.
    Stop,
}

/// Receives signals.
///
/// From its creation on no signal ends the process by default, and none is
/// lost. So it is created before anything is served: a reload during the start
/// would otherwise end the process with the requests on it.
pub(crate) struct Signals {
    runtime: Runtime,
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Begins to receive signals.
    ///
    /// # Errors
    ///
    /// If the handlers cannot be registered.
    pub(crate) fn receive() -> Result<Self, Error> {
        Self::register().map_err(waiting_failed)
    }

    fn register() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let context = runtime.enter();
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        drop(context);
        Ok(Self { runtime, hangup, terminate, interrupt })
    }

    /// Waits for the next signal.
    pub(crate) fn next(&mut self) -> Request {
        self.runtime.block_on(async {
            tokio::select! {
                _ = self.terminate.recv() => Request::Stop,
                _ = self.interrupt.recv() => Request::Stop,
                _ = self.hangup.recv() => Request::Reload,
            }
        })
    }
}

fn waiting_failed(error: io::Error) -> Error {
    Error::new("waiting for signals", error)
}

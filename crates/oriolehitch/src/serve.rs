//! Runs one instance until it is told to stop.

use std::path::Path;

use anyhow::{anyhow, Context, Result};
use conf::Settings;
use entry::Instance;
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::flags::Serve;
use crate::{fleet, log, Outcome};

/// The signals that end a process.
pub struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns why the system refuses.
    pub fn open() -> Result<Signals> {
        Ok(Signals {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns why the instance can't start.
pub async fn run(flags: Serve) -> Result<Outcome> {
    let mut settings = match read(&flags.settings)? {
        Ok(settings) => settings,
        Err(faults) => return Ok(Outcome::Refused(faults)),
    };
    if flags.log.is_some() {
        settings.log = flags.log;
    }
    if speaks_platform(&settings) {
        return fleet::run(&flags.settings, settings).await;
    }
    log::start(settings.log.as_deref());
    let mut signals = Signals::open()?;
    let instance = Instance::spawn(settings).await?;
    println!(
        "ready http://{} admin http://{} peer {} id {}",
        instance.addr(),
        instance.admin_addr(),
        instance.peer_addr(),
        instance.id(),
    );
    signals.next().await;
    let whole = instance.stop(signals.next()).await;
    Ok(if whole {
        Outcome::Done(String::new())
    } else {
        Outcome::Refused("the stop was cut short; the log says what it cut off\n".to_string())
    })
}

/// Returns whether the settings are those of a fleet on the users' platform.
pub fn is_fleet(file: &Path) -> bool {
    // Faults are reported when the command runs.
    matches!(read(file), Ok(Ok(settings)) if speaks_platform(&settings))
}

fn speaks_platform(settings: &Settings) -> bool {
    settings.dialect.as_deref() == Some("platform")
}

/// Reads settings; the inner error lists their faults.
///
/// # Errors
///
/// Returns why the file can't be read.
pub fn read(file: &Path) -> Result<Result<Settings, String>> {
    let text = std::fs::read_to_string(file)
        .with_context(|| anyhow!("{} can't be read", file.display()))?;
    Ok(Settings::parse(&text).map_err(|faults| crate::check::lines(file, &faults)))
}

//! Runs one instance until it is told to stop.

use std::path::Path;

use anyhow::{anyhow, Context, Result};
use conf::Settings;
use entry::Instance;
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::flags::Serve;
use crate::{logging, serve_platform, Outcome};

/// The signals that end a process.
pub struct ShutdownSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl ShutdownSignals {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns why the system refuses.
    pub fn new() -> Result<ShutdownSignals> {
        Ok(ShutdownSignals {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal.
    pub async fn recv(&mut self) {
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
    let mut settings = match read_settings(&flags.settings)? {
        Ok(settings) => settings,
        Err(faults) => return Ok(Outcome::Failure(faults)),
    };
    if flags.log.is_some() {
        settings.log = flags.log;
    }
    if has_platform_dialect(&settings) {
        return serve_platform::run(&flags.settings, settings).await;
    }
    logging::init_stderr(settings.log.as_deref());
    let mut signals = ShutdownSignals::new()?;
    let instance = Instance::spawn(settings).await?;
    println!(
        "ready http://{} admin http://{} peer {} id {}",
        instance.addr(),
        instance.admin_addr(),
        instance.peer_addr(),
        instance.id(),
    );
    signals.recv().await;
    let whole = instance.stop(signals.recv()).await;
    Ok(if whole {
        Outcome::Success(String::new())
    } else {
        Outcome::Failure("the stop was cut short; the log says what it cut off\n".to_string())
    })
}

/// Returns whether the settings are those of a fleet on the users' platform.
pub fn file_has_platform_dialect(file: &Path) -> bool {
    // Faults are reported when the command runs.
    matches!(read_settings(file), Ok(Ok(settings)) if has_platform_dialect(&settings))
}

fn has_platform_dialect(settings: &Settings) -> bool {
    settings.dialect.as_deref() == Some("platform")
}

/// Reads settings; the inner error lists their faults.
///
/// # Errors
///
/// Returns why the file can't be read.
pub fn read_settings(file: &Path) -> Result<Result<Settings, String>> {
    let text = std::fs::read_to_string(file)
        .with_context(|| anyhow!("{} can't be read", file.display()))?;
    Ok(Settings::parse(&text).map_err(|faults| crate::check::format_faults(file, &faults)))
}

//! The command `serve`: runs one instance until a signal stops it.

use std::path::Path;

use anyhow::{anyhow, Context, Result};
use conf::Settings;
use entry::Instance;
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::flags::Serve;
use crate::{logging, serve_platform, Outcome};

/// The signals that stop the process, SIGINT and SIGTERM.
pub struct ShutdownSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl ShutdownSignals {
    /// Starts listening for the signals.
    ///
    /// # Errors
    ///
    /// Returns why the handlers can't be installed.
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
/// Returns why the settings can't be read, or why the instance can't start.
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
    entry::panic_log::log_panics();
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
    // A second signal cuts the planned stop short.
    let completed = instance.stop(signals.recv()).await;
    Ok(if completed {
        Outcome::Success(String::new())
    } else {
        Outcome::Failure(
            "planned stop did not complete; see the log for what was cut off\n".to_string(),
        )
    })
}

/// Returns whether a settings file selects the dialect `platform`.
pub fn file_has_platform_dialect(file: &Path) -> bool {
    // Errors are reported when the command reads the file again.
    matches!(read_settings(file), Ok(Ok(settings)) if has_platform_dialect(&settings))
}

fn has_platform_dialect(settings: &Settings) -> bool {
    settings.dialect.as_deref() == Some("platform")
}

/// Reads a settings file; the inner error lists the faults of its content.
///
/// # Errors
///
/// Returns why the file can't be read.
pub fn read_settings(file: &Path) -> Result<Result<Settings, String>> {
    let text = std::fs::read_to_string(file)
        .with_context(|| anyhow!("failed to read {}", file.display()))?;
    Ok(Settings::parse(&text).map_err(|faults| crate::check::format_faults(file, &faults)))
}

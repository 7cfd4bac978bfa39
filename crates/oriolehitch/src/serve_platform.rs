//! Runs one instance with the dialect `platform`.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use conf::Settings;
use proxy::{Instance, InstanceDeps};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{interval, MissedTickBehavior};

use crate::serve::{self, ShutdownSignals};
use crate::{logging, Outcome};

/// Interval at which the settings file is read again, because it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the instance until a signal stops it.
///
/// # Errors
///
/// Returns why the instance can't start.
pub async fn run(file: &Path, settings: Settings) -> Result<Outcome> {
    logging::init_stdout(settings.log.as_deref());
    proxy::exit_on_panic();
    let mut signals = ShutdownSignals::new()?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut poll = interval(SETTINGS_POLL_INTERVAL);
    poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current = settings.clone();
    let instance = Instance::spawn(InstanceDeps {
        store: Arc::new(platform::StoreClient::new(&settings.platform)),
        dialect: Arc::new(platform::PlatformDialect),
        settings,
    })
    .await?;
    loop {
        tokio::select! {
            () = signals.recv() => break,
            _ = hangup.recv() => {}
            _ = poll.tick() => {}
        }
        check_settings(file, &mut current, &instance);
    }
    Ok(if instance.stop().await {
        Outcome::Success(String::new())
    } else {
        Outcome::Failure(
            "planned stop did not complete; see the log for what was cut off\n".to_string(),
        )
    })
}

/// Reads the settings file again and logs whether it changed. Addresses and limits are fixed while a
/// process runs, so a change takes effect at the next start. Invalid settings never stop a running
/// instance.
fn check_settings(file: &Path, current: &mut Settings, instance: &Instance) {
    match serve::read_settings(file) {
        Ok(Ok(settings)) if settings == *current => {}
        Ok(Ok(settings)) => {
            *current = settings;
            instance.log_settings_reload("changed; takes effect at the next start");
        }
        Ok(Err(faults)) => {
            instance.log_settings_reload(&format!("invalid, current settings kept: {faults}"))
        }
        Err(e) => {
            instance.log_settings_reload(&format!("not readable, current settings kept: {e:#}"))
        }
    }
}

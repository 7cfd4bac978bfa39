//! Runs one instance of a fleet on the users' platform.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use conf::Settings;
use proxy::{Dependencies, Instance};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{interval, MissedTickBehavior};

use crate::serve::{self, ShutdownSignals};
use crate::{logging, Outcome};

/// How often the settings file is looked at: it may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// Serves until it is told to stop.
///
/// # Errors
///
/// Returns why the instance can't start.
pub async fn run(file: &Path, settings: Settings) -> Result<Outcome> {
    logging::init_stdout(settings.log.as_deref());
    proxy::exit_on_panic();
    let mut signals = ShutdownSignals::new()?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut look = interval(LOOK_EVERY);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current = settings.clone();
    let instance = Instance::spawn(Dependencies {
        store: Arc::new(platform::StoreClient::new(&settings.platform)),
        dialect: Arc::new(platform::PlatformDialect),
        settings,
    })
    .await?;
    loop {
        tokio::select! {
            () = signals.recv() => break,
            _ = hangup.recv() => {}
            _ = look.tick() => {}
        }
        reload(file, &mut current, &instance);
    }
    Ok(if instance.stop().await {
        Outcome::Success(String::new())
    } else {
        Outcome::Failure("the stop was cut short; the log says what it cut off\n".to_string())
    })
}

/// Reads the settings again. Addresses and bounds hold from the start of a process to its end, so a
/// change is only logged; faulty settings never end what runs.
fn reload(file: &Path, current: &mut Settings, instance: &Instance) {
    match serve::read_settings(file) {
        Ok(Ok(settings)) if settings == *current => {}
        Ok(Ok(settings)) => {
            *current = settings;
            instance.log_settings_reload("changed; in force from the next start");
        }
        Ok(Err(faults)) => instance.log_settings_reload(&format!("faulty, unchanged: {faults}")),
        Err(e) => instance.log_settings_reload(&format!("unreadable, unchanged: {e:#}")),
    }
}

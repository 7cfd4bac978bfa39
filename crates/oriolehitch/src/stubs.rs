//! The command `stub`: runs one stub as a process.

use std::net::SocketAddr;

use anyhow::{anyhow, Result};
use stub::engine::{self, StubEngine};
use stub::platform::StubPlatform;
use stub::service::{self, StubService};

use crate::flags::{Stub, StubCmd};
use crate::serve::ShutdownSignals;
use crate::{logging, Outcome};

const DEFAULT_STEP_MS: u64 = 4;
const DEFAULT_SLOTS: usize = 32;

/// Runs the command.
///
/// # Errors
///
/// Returns why the stub can't start.
pub async fn run(flags: Stub) -> Result<Outcome> {
    logging::init_stderr(None);
    let mut signals = ShutdownSignals::new()?;
    let bound = match flags.subcommand {
        StubCmd::Platform(cmd) => StubPlatform::bind(loopback_addr(cmd.port)).await,
        StubCmd::Engine(cmd) => {
            let options = engine::Options {
                addr: loopback_addr(cmd.port),
                name: cmd.name,
                zone: cmd.zone,
                models: cmd.models.split(',').map(str::to_string).collect(),
                step_ms: cmd.step_ms.unwrap_or(DEFAULT_STEP_MS),
                slots: cmd.slots.unwrap_or(DEFAULT_SLOTS),
                platform: cmd.platform,
                enforce_fencing: !cmd.unfenced,
            };
            StubEngine::bind(options).await
        }
        StubCmd::Service(cmd) => {
            let options = service::Options {
                addr: loopback_addr(cmd.port),
                name: cmd.name,
                zone: cmd.zone,
                service: cmd.service,
                platform: cmd.platform,
            };
            StubService::bind(options).await
        }
    };
    let handle = bound.map_err(|e| anyhow!(e))?;
    println!("ready http://{}", handle.addr());
    signals.recv().await;
    Ok(Outcome::Success(String::new()))
}

/// Returns a loopback address with the given port; without one, the system picks a free port.
pub fn loopback_addr(port: Option<u16>) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port.unwrap_or(0)))
}

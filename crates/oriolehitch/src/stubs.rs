//! Runs one stand-in as a process.

use std::net::SocketAddr;

use anyhow::{anyhow, Result};
use stub::engine::{self, StubEngine};
use stub::platform::StubPlatform;
use stub::service::{self, StubService};

use crate::flags::{Stub, StubCmd};
use crate::serve::Signals;
use crate::{log, Outcome};

const STEP_MS: u64 = 4;
const SLOTS: usize = 32;

/// Runs the command.
///
/// # Errors
///
/// Returns why the stand-in can't start.
pub async fn run(flags: Stub) -> Result<Outcome> {
    log::start(None);
    let mut signals = Signals::open()?;
    let bound = match flags.subcommand {
        StubCmd::Platform(cmd) => StubPlatform::bind(loopback(cmd.port)).await,
        StubCmd::Engine(cmd) => {
            let setup = engine::Options {
                addr: loopback(cmd.port),
                name: cmd.name,
                zone: cmd.zone,
                models: cmd.models.split(',').map(str::to_string).collect(),
                step_ms: cmd.step_ms.unwrap_or(STEP_MS),
                slots: cmd.slots.unwrap_or(SLOTS),
                platform: cmd.platform,
                enforce_fencing: !cmd.unfenced,
            };
            StubEngine::bind(setup).await
        }
        StubCmd::Service(cmd) => {
            let setup = service::Options {
                addr: loopback(cmd.port),
                name: cmd.name,
                zone: cmd.zone,
                service: cmd.service,
                platform: cmd.platform,
            };
            StubService::bind(setup).await
        }
    };
    let handle = bound.map_err(|e| anyhow!(e))?;
    println!("ready http://{}", handle.addr());
    signals.next().await;
    Ok(Outcome::Done(String::new()))
}

/// Returns a loopback address with a port, or a free one.
pub fn loopback(port: Option<u16>) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port.unwrap_or(0)))
}

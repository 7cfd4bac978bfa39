//! The commands of the program; `main` only prints what they return.

pub mod calls;
pub mod check;
pub mod dev;
pub mod flags;
pub mod fleet;
pub mod load;
pub mod log;
mod logs;
pub mod operate;
pub mod serve;
pub mod stubs;
pub mod table;
pub mod tokens;
pub mod waits;

use flags::{Flags, OriolehitchCmd};
use tokio::runtime::Builder;

/// How a command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is done; the text is for standard output.
    Done(String),
    /// It was refused, or what it was given is invalid.
    Refused(String),
    /// Another operator was faster; the text says what is current.
    Conflict(String),
}

impl Outcome {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Outcome::Done(_) => 0,
            Outcome::Refused(_) => 1,
            Outcome::Conflict(_) => 3,
        }
    }
}

/// Runs a command.
///
/// # Errors
///
/// Returns what kept it from running at all.
pub fn run(flags: Flags) -> anyhow::Result<Outcome> {
    let runtime = match &flags {
        Flags::Process(f) if is_small(&f.subcommand) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    let runtime = { runtime }.enable_all().build()?;
    runtime.block_on(dispatch(flags))
}

/// Returns whether a command runs on a part of one core, where a second thread only costs switches.
fn is_small(cmd: &OriolehitchCmd) -> bool {
    match cmd {
        OriolehitchCmd::Serve(cmd) => serve::is_fleet(&cmd.settings),
        _ => false,
    }
}

async fn dispatch(flags: Flags) -> anyhow::Result<Outcome> {
    match flags {
        Flags::Process(flags) => process(flags.subcommand).await,
        Flags::Config(flags) => operate::config(flags).await,
        Flags::Template(flags) => operate::template(flags).await,
        Flags::Customer(flags) => operate::customer(flags).await,
        Flags::Budget(flags) => operate::budget(flags).await,
        Flags::Stranded(flags) => operate::stranded(flags).await,
    }
}

async fn process(cmd: OriolehitchCmd) -> anyhow::Result<Outcome> {
    match cmd {
        OriolehitchCmd::Serve(cmd) => serve::run(cmd).await,
        OriolehitchCmd::Dev(cmd) => dev::run(cmd).await,
        OriolehitchCmd::Check(cmd) => Ok(check::run(&cmd)),
        OriolehitchCmd::Tokens(cmd) => tokens::run(&cmd),
        OriolehitchCmd::Calls(cmd) => calls::run(&cmd),
        OriolehitchCmd::Load(cmd) => load::run(&cmd),
        OriolehitchCmd::Waits(cmd) => waits::run(&cmd),
        OriolehitchCmd::Stub(cmd) => stubs::run(cmd).await,
        OriolehitchCmd::Dump(cmd) => operate::dump(cmd).await,
    }
}

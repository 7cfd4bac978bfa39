//! The commands of the program. Each returns its result, which `main` prints.

pub mod admin;
pub mod calls;
pub mod check;
pub mod dev;
pub mod flags;
pub mod load;
mod log_report;
pub mod logging;
pub mod serve;
pub mod serve_platform;
pub mod stubs;
pub mod table;
pub mod tokens;
pub mod waits;

use flags::{Flags, OriolehitchCmd};
use tokio::runtime::Builder;

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command succeeded; the text goes to standard output.
    Success(String),
    /// The command failed, or its input is invalid; the text goes to standard error.
    Failure(String),
    /// The current state does not allow the change, for example because another operator's change
    /// came first; the text tells why.
    Conflict(String),
}

impl Outcome {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Outcome::Success(_) => 0,
            Outcome::Failure(_) => 1,
            Outcome::Conflict(_) => 3,
        }
    }
}

/// Runs a command.
///
/// # Errors
///
/// Returns why the command could not be carried out.
pub fn run(flags: Flags) -> anyhow::Result<Outcome> {
    let runtime = match &flags {
        Flags::TopLevel(f) if uses_one_thread(&f.subcommand) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    let runtime = { runtime }.enable_all().build()?;
    runtime.block_on(dispatch(flags))
}

/// Returns whether a command needs only one thread. Instances with the dialect `platform` run on a
/// fraction of one core, where a second thread would only add context switches.
fn uses_one_thread(cmd: &OriolehitchCmd) -> bool {
    match cmd {
        OriolehitchCmd::Serve(cmd) => serve::file_has_platform_dialect(&cmd.settings),
        _ => false,
    }
}

async fn dispatch(flags: Flags) -> anyhow::Result<Outcome> {
    match flags {
        Flags::TopLevel(flags) => run_top_level(flags.subcommand).await,
        Flags::Config(flags) => admin::config(flags).await,
        Flags::Template(flags) => admin::template(flags).await,
        Flags::Customer(flags) => admin::customer(flags).await,
        Flags::Budget(flags) => admin::budget(flags).await,
        Flags::Stranded(flags) => admin::stranded(flags).await,
    }
}

async fn run_top_level(cmd: OriolehitchCmd) -> anyhow::Result<Outcome> {
    match cmd {
        OriolehitchCmd::Serve(cmd) => serve::run(cmd).await,
        OriolehitchCmd::Dev(cmd) => dev::run(cmd).await,
        OriolehitchCmd::Check(cmd) => Ok(check::run(&cmd)),
        OriolehitchCmd::Tokens(cmd) => tokens::run(&cmd),
        OriolehitchCmd::Calls(cmd) => calls::run(&cmd),
        OriolehitchCmd::Load(cmd) => load::run(&cmd),
        OriolehitchCmd::Waits(cmd) => waits::run(&cmd),
        OriolehitchCmd::Stub(cmd) => stubs::run(cmd).await,
        OriolehitchCmd::Dump(cmd) => admin::dump(cmd).await,
    }
}

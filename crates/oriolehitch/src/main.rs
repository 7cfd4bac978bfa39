//! Router fleet for prepaid token budgets.

use std::process::ExitCode;

use oriolehitch_cli::flags::Flags;
use oriolehitch_cli::Outcome;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|a| a == "--version") {
        println!("oriolehitch {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = match Flags::parse(args) {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    match oriolehitch_cli::run(flags) {
        Ok(outcome) => {
            match &outcome {
                Outcome::Success(text) => print!("{text}"),
                Outcome::Failure(text) | Outcome::Conflict(text) => eprint!("{text}"),
            }
            ExitCode::from(outcome.exit_code())
        }
        Err(e) => {
            eprintln!("oriolehitch: {e:#}");
            ExitCode::from(1)
        }
    }
}

//! Sets up the logs on standard error.

use std::io::IsTerminal;

use tracing_subscriber::EnvFilter;

/// Starts logging in a form, `text` or `json`; the default depends on the terminal.
pub fn start(form: Option<&str>) {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn,entry=info"));
    let terminal = std::io::stderr().is_terminal();
    let json = match form {
        Some(form) => form == "json",
        None => !terminal,
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(terminal);
    // A second start, in tests, keeps the first.
    let _ = if json {
        builder.json().flatten_event(true).try_init()
    } else {
        builder.try_init()
    };
}

/// Starts logging on standard output, for a process whose standard output is its log.
pub fn start_plain(form: Option<&str>) {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn,proxy=info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_ansi(false);
    // A second start, in tests, keeps the first.
    let _ = if form == Some("json") {
        builder.json().flatten_event(true).try_init()
    } else {
        builder.try_init()
    };
}

//! Sets up the logs.

use std::io::IsTerminal;

use tracing_subscriber::fmt::writer::BoxMakeWriter;
use tracing_subscriber::EnvFilter;

/// Starts logging on standard error in a form, `text` or `json`; the default depends on the terminal.
pub fn init_stderr(form: Option<&str>) {
    let terminal = std::io::stderr().is_terminal();
    let json = match form {
        Some(form) => form == "json",
        None => !terminal,
    };
    let writer = BoxMakeWriter::new(std::io::stderr);
    init("warn,entry=info", writer, json, terminal);
}

/// Starts logging on standard output, for a process whose standard output is its log.
pub fn init_stdout(form: Option<&str>) {
    let writer = BoxMakeWriter::new(std::io::stdout);
    init("warn,proxy=info", writer, form == Some("json"), false);
}

fn init(default: &str, writer: BoxMakeWriter, json: bool, ansi: bool) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(default));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .with_ansi(ansi);
    // A second start, in tests, keeps the first.
    let _ = if json {
        builder.json().flatten_event(true).try_init()
    } else {
        builder.try_init()
    };
}

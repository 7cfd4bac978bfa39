//! Initialises logging.

use std::io::IsTerminal;

use tracing_subscriber::fmt::writer::BoxMakeWriter;
use tracing_subscriber::EnvFilter;

/// Initialises logging on standard error. The format is `text` or `json`; the default is text on a
/// terminal, and JSON otherwise.
pub fn init_stderr(format: Option<&str>) {
    let terminal = std::io::stderr().is_terminal();
    let json = match format {
        Some(format) => format == "json",
        None => !terminal,
    };
    let writer = BoxMakeWriter::new(std::io::stderr);
    init("warn,entry=info", writer, json, terminal);
}

/// Initialises logging on standard output, for a process whose standard output is its log. The
/// format is `text`, the default, or `json`.
pub fn init_stdout(format: Option<&str>) {
    let writer = BoxMakeWriter::new(std::io::stdout);
    init("warn,proxy=info", writer, format == Some("json"), false);
}

fn init(default_filter: &str, writer: BoxMakeWriter, json: bool, ansi: bool) {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(default_filter));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .with_ansi(ansi);
    // Only the first initialisation in a process takes effect; tests may repeat it.
    let _ = if json {
        builder.json().flatten_event(true).try_init()
    } else {
        builder.try_init()
    };
}

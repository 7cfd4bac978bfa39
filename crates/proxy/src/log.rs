//! Structured log lines. Their number is limited, because writing them takes time from requests.

use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use tracing::Level;

use crate::event::Event;

/// Maximum number of lines per second. A request writes one or two. Writing this many takes about
/// 2 % of the time of a quarter of a core.
const MAX_LINES_PER_SEC: u64 = 250;

/// Writes log lines.
#[derive(Debug, Default)]
pub(crate) struct Log {
    clock: clock::Clock,
    /// The current second, and the number of lines in it, including dropped ones.
    window: Mutex<(u64, u64)>,
    dropped: AtomicU64,
}

impl Log {
    /// Creates a log whose lines have timestamps of the given clock.
    pub(crate) fn new(clock: clock::Clock) -> Log {
        Log {
            clock,
            ..Log::default()
        }
    }

    /// Writes a line that does not belong to a request.
    pub(crate) fn event(&self, event: Event, detail: impl Display) {
        self.write_line(event, "", detail);
    }

    /// Writes a line about the request with an id.
    pub(crate) fn request_event(&self, event: Event, id: &str, detail: impl Display) {
        self.write_line(event, id, detail);
    }

    /// Returns the number of lines that were dropped since the start.
    pub(crate) fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn write_line(&self, event: Event, id: &str, detail: impl Display) {
        let now = self.clock.now();
        if !self.may_write(now) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        write(event, now, id, detail);
    }

    fn may_write(&self, now: u64) -> bool {
        let mut window = self.window.lock().expect("lock not poisoned");
        if window.0 != now / 1000 {
            let previous = window.1;
            *window = (now / 1000, 0);
            let dropped = previous.saturating_sub(MAX_LINES_PER_SEC);
            if dropped > 0 {
                write(
                    Event::LogLinesDropped,
                    now,
                    "",
                    format_args!("lines={dropped}"),
                );
            }
        }
        window.1 += 1;
        window.1 <= MAX_LINES_PER_SEC
    }
}

/// Exit code of a process that panicked.
const PANIC_EXIT_CODE: i32 = 70;

/// Makes every panic end the process.
///
/// A failed invariant would otherwise end only its own task and leave poisoned locks behind. The
/// instance would then report that it is ready, but answer no request. A process that has ended is
/// started again.
pub fn exit_on_panic() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        write(Event::InvariantFailed, 0, "", info);
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

fn write(event: Event, at: u64, id: &str, detail: impl Display) {
    let row = event.row();
    match row.level {
        Level::ERROR => tracing::error!(event = row.id, at, id, %detail, "{}", row.text),
        Level::WARN => tracing::warn!(event = row.id, at, id, %detail, "{}", row.text),
        _ => tracing::info!(event = row.id, at, id, %detail, "{}", row.text),
    }
}

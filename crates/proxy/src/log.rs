//! Structured log lines, bounded in number: a line costs time that requests need.

use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use tracing::Level;

use crate::event::Event;

/// Lines that may be written in a second. A request writes one or two; a quarter of a core spends
/// about 2 % of its time on so many.
const LINES_PER_SEC: u64 = 250;

/// Writes log lines.
#[derive(Debug, Default)]
pub(crate) struct Log {
    clock: clock::Clock,
    window: Mutex<(u64, u64)>,
    cut: AtomicU64,
}

impl Log {
    /// Returns a log whose lines bear the time of a clock.
    pub(crate) fn new(clock: clock::Clock) -> Log {
        Log {
            clock,
            ..Log::default()
        }
    }

    /// Writes a line about something besides requests.
    pub(crate) fn event(&self, event: Event, detail: impl Display) {
        self.line(event, "", detail);
    }

    /// Writes a line about a request.
    pub(crate) fn request_event(&self, event: Event, id: &str, detail: impl Display) {
        self.line(event, id, detail);
    }

    /// Returns how many lines were left out so far.
    pub(crate) fn dropped_lines(&self) -> u64 {
        self.cut.load(Ordering::Relaxed)
    }

    fn line(&self, event: Event, id: &str, detail: impl Display) {
        let now = self.clock.now();
        if !self.may_write(now) {
            self.cut.fetch_add(1, Ordering::Relaxed);
            return;
        }
        write(event, now, id, detail);
    }

    fn may_write(&self, now: u64) -> bool {
        let mut window = self.window.lock().expect("no panic inside");
        if window.0 != now / 1000 {
            let before = window.1;
            *window = (now / 1000, 0);
            let cut = before.saturating_sub(LINES_PER_SEC);
            if cut > 0 {
                write(Event::LogLinesDropped, now, "", format_args!("lines={cut}"));
            }
        }
        window.1 += 1;
        window.1 <= LINES_PER_SEC
    }
}

/// Exit code of a process that an invariant ended.
const EXIT_BROKEN: i32 = 70;

/// Ends the process whenever something panics in it.
///
/// A failed invariant ends its own task only, and leaves locks that nobody can take any more: the instance
/// would say that it is ready and answer nothing. A process that has ended is started again.
pub fn exit_on_panic() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        write(Event::InvariantFailed, 0, "", info);
        std::process::exit(EXIT_BROKEN);
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

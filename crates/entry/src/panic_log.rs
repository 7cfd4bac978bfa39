//! Panics as log events.

use std::any::Any;

use crate::event::Event;

/// Makes every panic a log event, after the message and backtrace that the standard library prints.
///
/// A backtrace can be longer than the part of a log that is kept or shown.
pub fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        Event::Panicked.log("", info.to_string().replace('\n', " "));
    }));
}

/// Returns the message of a panic.
pub(crate) fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("a value that is not text")
}

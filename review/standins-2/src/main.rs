//! Stand-ins and scenarios of the second review. `standins-2 NAME FOLDER` plays a scenario.

mod caller;
mod dark;
mod fleet;
mod http;
mod json;
mod reborn;
mod store;
mod worker;

use std::fs::File;
use std::sync::atomic::AtomicU32;
use std::sync::Mutex;
use std::time::Duration;

/// Exits with a scenario's status; with 2 if it could not run. Its processes have been ended by then.
fn play(scenario: impl FnOnce() -> i32) {
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(scenario));
    std::process::exit(played.unwrap_or(2));
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arg = |i: usize| args.get(i).map(String::as_str).unwrap_or_default();
    match arg(0) {
        "store" => store::run(arg(1).parse().expect("an address")),
        "worker" => {
            let file = File::options().create(true).append(true).open(arg(5));
            let worker = worker::Worker {
                id: arg(2).to_string(),
                slots: arg(3).parse().expect("slots"),
                interval: Duration::from_millis(arg(4).parse().expect("an interval")),
                file: Mutex::new(file.expect("a file")),
                running: AtomicU32::new(0),
                path: arg(5).to_string(),
            };
            worker::run(arg(1).parse().expect("an address"), worker);
        }
        "dark" => play(|| dark::play(arg(1).as_ref())),
        "reborn" => play(|| reborn::play(arg(1).as_ref())),
        _ => {
            eprintln!("unknown scenario");
            std::process::exit(2);
        }
    }
}

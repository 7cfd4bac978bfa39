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
            };
            worker::run(arg(1).parse().expect("an address"), worker);
        }
        "dark" => std::process::exit(dark::play(arg(1).as_ref())),
        "reborn" => std::process::exit(reborn::play(arg(1).as_ref())),
        _ => {
            eprintln!("unknown scenario");
            std::process::exit(2);
        }
    }
}

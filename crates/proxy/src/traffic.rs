//! Counts what this instance sends to others, by purpose and by whether it leaves the availability zone, and logs it beside what
//! the instance keeps.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dial::Dialer;
use tokio::time::sleep;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::log::Log;

/// How often the totals are logged: one line against the hundreds that requests write meanwhile.
const LOG_EVERY: Duration = Duration::from_secs(5);
/// Bytes of a page of memory, as the kernel counts them.
const MEMORY_PAGE: u64 = 4_096;

/// What is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TrafficClass {
    purpose: &'static str,
    /// Whether it stays in the availability zone.
    same_zone: bool,
}

/// How much was sent.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    messages: u64,
    bytes: u64,
}

/// A handle on the counts.
#[derive(Clone, Default)]
pub(crate) struct Traffic(Arc<Mutex<BTreeMap<TrafficClass, Sum>>>);

impl Traffic {
    /// Counts a message, to the own availability zone or not.
    pub(crate) fn record(&self, purpose: &'static str, near: bool, bytes: usize) {
        let mut sums = self.0.lock().expect("no panic inside");
        let sum = sums
            .entry(TrafficClass {
                purpose,
                same_zone: near,
            })
            .or_default();
        sum.messages += 1;
        sum.bytes += bytes as u64;
    }

    /// Logs the totals from time to time, with what the instance keeps.
    pub(crate) fn spawn_logging(&self, fleet: &Fleet, dialer: &Dialer, log: &Arc<Log>) {
        let (traffic, fleet, dialer) = (self.clone(), fleet.clone(), dialer.clone());
        let log = Arc::clone(log);
        tokio::spawn(async move {
            loop {
                sleep(LOG_EVERY).await;
                let mut detail = format!(
                    "memory_kb={} instances={} connections={}",
                    resident_kb(),
                    fleet.instance_count(),
                    dialer.count(),
                );
                traffic.describe(&mut detail);
                log.event(Event::ResourceUsage, detail);
            }
        });
    }

    /// Appends PURPOSE.WHERE.messages=N PURPOSE.WHERE.bytes=N for each sort.
    fn describe(&self, detail: &mut String) {
        let sums = self.0.lock().expect("no panic inside");
        for (
            TrafficClass {
                purpose,
                same_zone: near,
            },
            sum,
        ) in sums.iter()
        {
            let place = if *near { "zone" } else { "away" };
            let Sum { messages, bytes } = sum;
            // Writing into a text can't fail.
            let _ = write!(
                detail,
                " {purpose}.{place}.messages={messages} {purpose}.{place}.bytes={bytes}"
            );
        }
    }
}

/// Returns the resident memory of this process, in kilobytes; 0 where the system does not tell.
fn resident_kb() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm");
    let pages = pages.ok().and_then(|text| {
        let resident = text.split_whitespace().nth(1)?;
        resident.parse::<u64>().ok()
    });
    pages.unwrap_or_default() * MEMORY_PAGE / 1024
}

//! Counts the messages that this instance sends to others, by purpose and by whether they leave the
//! availability zone, and logs the counts with the instance's resource usage.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dial::Dialer;
use tokio::time::sleep;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::log::Log;

/// Interval between two log lines: few compared with the hundreds that requests write meanwhile.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Size of a memory page, in bytes: the kernel reports memory in pages.
const PAGE_BYTES: u64 = 4_096;

/// What messages are counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TrafficClass {
    purpose: &'static str,
    /// Whether the messages stay in the availability zone.
    same_zone: bool,
}

/// The messages of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    messages: u64,
    bytes: u64,
}

/// Handle to the counts; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Traffic(Arc<Mutex<BTreeMap<TrafficClass, Totals>>>);

impl Traffic {
    /// Counts a message; `same_zone` tells whether it stays in the availability zone.
    pub(crate) fn record(&self, purpose: &'static str, same_zone: bool, bytes: usize) {
        let mut totals = self.0.lock().expect("lock not poisoned");
        let total = totals
            .entry(TrafficClass { purpose, same_zone })
            .or_default();
        total.messages += 1;
        total.bytes += bytes as u64;
    }

    /// Starts a task that logs the totals periodically, with the instance's resource usage.
    pub(crate) fn spawn_logging(&self, fleet: &Fleet, dialer: &Dialer, log: &Arc<Log>) {
        let (traffic, fleet, dialer) = (self.clone(), fleet.clone(), dialer.clone());
        let log = Arc::clone(log);
        tokio::spawn(async move {
            loop {
                sleep(LOG_INTERVAL).await;
                let mut detail = format!(
                    "memory_kb={} instances={} connections={}",
                    resident_kb(),
                    fleet.instance_count(),
                    dialer.connection_count(),
                );
                traffic.describe(&mut detail);
                log.event(Event::ResourceUsage, detail);
            }
        });
    }

    /// Appends PURPOSE.WHERE.messages=N PURPOSE.WHERE.bytes=N for each class.
    fn describe(&self, detail: &mut String) {
        let totals = self.0.lock().expect("lock not poisoned");
        for (TrafficClass { purpose, same_zone }, total) in totals.iter() {
            let place = if *same_zone { "zone" } else { "away" };
            let Totals { messages, bytes } = total;
            // Writing to a string does not fail.
            let _ = write!(
                detail,
                " {purpose}.{place}.messages={messages} {purpose}.{place}.bytes={bytes}"
            );
        }
    }
}

/// Returns the resident memory of this process, in kilobytes; 0 if the system does not report it.
fn resident_kb() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm");
    let pages = pages.ok().and_then(|text| {
        let resident = text.split_whitespace().nth(1)?;
        resident.parse::<u64>().ok()
    });
    pages.unwrap_or_default() * PAGE_BYTES / 1024
}

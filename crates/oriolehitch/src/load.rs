//! The command `load`: reports the memory of a fleet's instances and the traffic between them, from their logs.

use std::collections::BTreeMap;

use anyhow::Result;
use proxy::event::Event;
use serde_json::{json, Value};

use crate::flags::Load;
use crate::log_report::{self, LogLine};
use crate::Outcome;

/// Values of one quantity, by instance.
type ByInstance<'a> = BTreeMap<&'a str, u64>;

/// Returns the report on some logs.
///
/// # Errors
///
/// Returns which file can't be read, and why.
pub fn run(cmd: &Load) -> Result<Outcome> {
    let columns = ["what", "instances", "sum", "middle", "most", "at"];
    log_report::run_report(&cmd.logs, cmd.json, &columns, rows)
}

/// Returns a row for each quantity. Messages and bytes are added up over an instance's incarnations; of other
/// quantities, such as memory, the row has the highest value that was logged.
fn rows(lines: &[(String, LogLine)]) -> Vec<Value> {
    let mut totals: BTreeMap<&str, ByInstance<'_>> = BTreeMap::new();
    let mut current: BTreeMap<&str, ByInstance<'_>> = BTreeMap::new();
    for (source, line) in lines {
        if line.event == Event::Started.row().id {
            for (what, by_instance) in &mut current {
                let value = by_instance.remove(source.as_str()).unwrap_or_default();
                let totals = totals.entry(what).or_default();
                add_incarnation(totals.entry(source).or_default(), what, value);
            }
        } else if line.event == Event::ResourceUsage.row().id {
            for (what, value) in line.detail.split(' ').filter_map(parse) {
                let highest = current.entry(what).or_default().entry(source).or_default();
                *highest = value.max(*highest);
            }
        }
    }
    for (what, by_instance) in current {
        let totals = totals.entry(what).or_default();
        for (source, value) in by_instance {
            add_incarnation(totals.entry(source).or_default(), what, value);
        }
    }
    let rows = totals
        .into_iter()
        .filter_map(|(what, by_instance)| row(what, &by_instance));
    rows.collect()
}

fn parse(pair: &str) -> Option<(&str, u64)> {
    let (what, value) = pair.split_once('=')?;
    Some((what, value.parse().ok()?))
}

/// Adds the value of one incarnation to that of earlier incarnations of the same instance.
fn add_incarnation(total: &mut u64, what: &str, value: u64) {
    let is_counter = what.ends_with(".messages") || what.ends_with(".bytes");
    *total = if is_counter {
        *total + value
    } else {
        value.max(*total)
    };
}

fn row(what: &str, by_instance: &ByInstance<'_>) -> Option<Value> {
    let (at, most) = by_instance.iter().max_by_key(|(_, value)| **value)?;
    let mut values: Vec<u64> = by_instance.values().copied().collect();
    values.sort_unstable();
    Some(json!({
        "what": what,
        "instances": values.len(),
        "sum": values.iter().sum::<u64>(),
        "middle": values[values.len() / 2],
        "most": most,
        "at": at,
    }))
}

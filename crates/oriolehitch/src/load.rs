//! What the instances of a fleet carry, by their logs: memory, and what each sends to others.

use std::collections::BTreeMap;

use anyhow::Result;
use proxy::event::Event;
use serde_json::{json, Value};

use crate::flags::Load;
use crate::log_report::{self, LogLine};
use crate::Outcome;

/// A quantity by instance.
type ByInstance<'a> = BTreeMap<&'a str, u64>;

/// Prints the report of some logs.
///
/// # Errors
///
/// Returns which file can't be read.
pub fn run(cmd: &Load) -> Result<Outcome> {
    let columns = ["what", "instances", "sum", "middle", "most", "at"];
    log_report::run_report(&cmd.logs, cmd.json, &columns, rows)
}

/// Returns a row for each quantity: the last that each incarnation logged, added up over an instance's incarnations; of
/// memory and what is kept, the most.
fn rows(lines: &[(String, LogLine)]) -> Vec<Value> {
    let mut ended: BTreeMap<&str, ByInstance<'_>> = BTreeMap::new();
    let mut newest: BTreeMap<&str, ByInstance<'_>> = BTreeMap::new();
    for (source, line) in lines {
        if line.event == Event::Started.row().id {
            for (what, by_instance) in &mut newest {
                let sum = by_instance.remove(source.as_str()).unwrap_or_default();
                let ended = ended.entry(what).or_default();
                add(ended.entry(source).or_default(), what, sum);
            }
        } else if line.event == Event::ResourceUsage.row().id {
            for (what, value) in line.detail.split(' ').filter_map(parse) {
                let known = newest.entry(what).or_default().entry(source).or_default();
                *known = value.max(*known);
            }
        }
    }
    for (what, by_instance) in newest {
        let ended = ended.entry(what).or_default();
        for (source, value) in by_instance {
            add(ended.entry(source).or_default(), what, value);
        }
    }
    let rows = ended.into_iter().filter_map(|(what, by)| row(what, &by));
    rows.collect()
}

fn parse(pair: &str) -> Option<(&str, u64)> {
    let (what, value) = pair.split_once('=')?;
    Some((what, value.parse().ok()?))
}

/// Adds what one incarnation had to what those before it had.
fn add(sum: &mut u64, what: &str, value: u64) {
    let counts = what.ends_with(".messages") || what.ends_with(".bytes");
    *sum = if counts {
        *sum + value
    } else {
        value.max(*sum)
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

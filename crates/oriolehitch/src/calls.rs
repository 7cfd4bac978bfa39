//! The command `calls`: counts the store calls of a whole fleet, from the logs of its instances, to show which calls
//! cost something but have no effect.

use std::collections::BTreeMap;

use anyhow::Result;
use proxy::event::Event;
use serde_json::{json, Value};

use crate::flags::Calls;
use crate::log_report::{self, LogLine};
use crate::Outcome;

/// Number of calls by kind. A kind is written as in the log: TASK.CALL.END.STORE.
type Counts = BTreeMap<String, u64>;

/// Returns the report on some logs.
///
/// # Errors
///
/// Returns which file can't be read, and why.
pub fn run(cmd: &Calls) -> Result<Outcome> {
    let mut columns = vec!["task", "call", "end", "store", "calls"];
    if cmd.every.is_some() {
        columns.insert(0, "second");
    }
    let every = cmd.every.map(|e| e.max(1));
    log_report::run_report(&cmd.logs, cmd.json, &columns, |lines| rows(lines, every))
}

/// Returns a row for each kind of call or, if `every` is given, for each kind in each interval of `every` seconds.
fn rows(lines: &[(String, LogLine)], every: Option<u64>) -> Vec<Value> {
    let first = &lines[0].1;
    let mut previous: BTreeMap<&str, Counts> = BTreeMap::new();
    let mut sums: BTreeMap<(u64, String), u64> = BTreeMap::new();
    for (source, line) in lines {
        if line.event == Event::Started.row().id {
            // A new process counts from zero.
            previous.remove(source.as_str());
        } else if line.event == Event::StoreCalls.row().id {
            let at = line.seconds_since(first);
            let second = every.map_or(0, |e| at / e * e);
            let totals = parse(&line.detail);
            let old = previous.insert(source, totals.clone()).unwrap_or_default();
            for (kind, total) in totals {
                let new = total.saturating_sub(old.get(&kind).copied().unwrap_or_default());
                *sums.entry((second, kind)).or_default() += new;
            }
        }
    }
    let nonzero = sums.into_iter().filter(|(_, calls)| *calls > 0);
    nonzero
        .map(|((second, kind), calls)| row(second, &kind, calls))
        .collect()
}

fn parse(detail: &str) -> Counts {
    let parse_pair = |pair: &str| {
        let (kind, count) = pair.split_once('=')?;
        Some((kind.to_string(), count.parse().ok()?))
    };
    detail.split(' ').filter_map(parse_pair).collect()
}

fn row(second: u64, kind: &str, calls: u64) -> Value {
    let mut parts = kind.split('.');
    let mut next = || parts.next().unwrap_or_default();
    json!({
        "second": second, "task": next(), "call": next(), "end": next(), "store": next(), "calls": calls,
    })
}

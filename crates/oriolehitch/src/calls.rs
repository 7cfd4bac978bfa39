//! Calls of the store by a whole fleet, added up from the logs of its instances: which are paid for in vain.

use std::collections::BTreeMap;

use anyhow::Result;
use proxy::event::Event;
use serde_json::{json, Value};

use crate::flags::Calls;
use crate::log_report::{self, LogLine};
use crate::Outcome;

/// Calls by sort, as a line of a log names it: TASK.CALL.END.STORE.
type Counts = BTreeMap<String, u64>;

/// Prints the report of some logs.
///
/// # Errors
///
/// Returns which file can't be read.
pub fn run(cmd: &Calls) -> Result<Outcome> {
    let mut columns = vec!["task", "call", "end", "store", "calls"];
    if cmd.every.is_some() {
        columns.insert(0, "second");
    }
    let every = cmd.every.map(|e| e.max(1));
    log_report::run_report(&cmd.logs, cmd.json, &columns, |lines| rows(lines, every))
}

/// Returns the rows: one for each sort of calls, or one for each in each stretch of `every` seconds.
fn rows(lines: &[(String, LogLine)], every: Option<u64>) -> Vec<Value> {
    let first = &lines[0].1;
    let mut before: BTreeMap<&str, Counts> = BTreeMap::new();
    let mut sums: BTreeMap<(u64, String), u64> = BTreeMap::new();
    for (source, line) in lines {
        if line.event == Event::Started.row().id {
            // The counts of the process that ran there before don't go on.
            before.remove(source.as_str());
        } else if line.event == Event::StoreCalls.row().id {
            let at = line.seconds_since(first);
            let second = every.map_or(0, |e| at / e * e);
            let now = parse(&line.detail);
            let old = before.insert(source, now.clone()).unwrap_or_default();
            for (sort, count) in now {
                let new = count.saturating_sub(old.get(&sort).copied().unwrap_or_default());
                *sums.entry((second, sort)).or_default() += new;
            }
        }
    }
    let made = sums.into_iter().filter(|(_, calls)| *calls > 0);
    made.map(|((second, sort), calls)| row(second, &sort, calls))
        .collect()
}

fn parse(detail: &str) -> Counts {
    let word = |w: &str| {
        let (sort, count) = w.split_once('=')?;
        Some((sort.to_string(), count.parse().ok()?))
    };
    detail.split(' ').filter_map(word).collect()
}

fn row(second: u64, sort: &str, calls: u64) -> Value {
    let mut words = sort.split('.');
    let mut next = || words.next().unwrap_or_default();
    json!({
        "second": second, "task": next(), "call": next(), "end": next(), "store": next(), "calls": calls,
    })
}

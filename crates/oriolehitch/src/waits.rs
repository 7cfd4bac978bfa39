//! Where requests waited for their first byte, by the logs of a fleet: here, or at their upstreams.

use std::collections::BTreeMap;

use anyhow::Result;
use hdrhistogram::Histogram;
use proxy::event::Event;
use serde_json::{json, Value};

use crate::flags::Waits;
use crate::log_report::{self, field, number, LogLine};
use crate::Outcome;

/// Longest time that is counted, in milliseconds; longer ones count as that.
const LONGEST_MS: u64 = 600_000;
/// Digits to which times are counted.
const DIGITS: u8 = 2;

/// What the requests of one row have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum By {
    Route,
    Customer,
    Instance,
    Upstream,
    Second,
}

impl By {
    fn parse(text: &str) -> Option<By> {
        match text {
            "route" => Some(By::Route),
            "customer" => Some(By::Customer),
            "instance" => Some(By::Instance),
            "upstream" => Some(By::Upstream),
            "second" => Some(By::Second),
            _ => None,
        }
    }

    /// Returns the row to which a line belongs.
    fn key(self, source: &str, second: u64, detail: &str) -> String {
        let named = |name| field(detail, name).unwrap_or("-").to_string();
        match self {
            By::Route => named("route"),
            By::Customer => named("customer"),
            By::Upstream => named("upstream"),
            By::Instance => source.to_string(),
            // Rows are sorted by their text.
            By::Second => format!("{second:06}"),
        }
    }
}

/// Requests of one row.
struct Row {
    answered: u64,
    repeated: u64,
    refused: u64,
    /// From the arrival to the last sending.
    here: Histogram<u64>,
    /// From the last sending to the first byte of the answer.
    there: Histogram<u64>,
    /// What was expected of that.
    expected: Histogram<u64>,
}

impl Default for Row {
    fn default() -> Row {
        let times = || Histogram::new_with_max(LONGEST_MS, DIGITS).expect("sound bounds");
        Row {
            answered: 0,
            repeated: 0,
            refused: 0,
            here: times(),
            there: times(),
            expected: times(),
        }
    }
}

/// Prints the report of some logs.
///
/// # Errors
///
/// Returns which file can't be read.
pub fn run(cmd: &Waits) -> Result<Outcome> {
    let columns = [
        "by",
        "answered",
        "repeated",
        "refused",
        "here_50",
        "here_95",
        "there_50",
        "there_95",
        "expected_50",
    ];
    let named = cmd.by.as_deref().unwrap_or("route");
    let Some(by) = By::parse(named) else {
        let message = format!("--by {named}: route, customer, instance, upstream or second\n");
        return Ok(Outcome::Failure(message));
    };
    log_report::run_report(&cmd.logs, cmd.json, &columns, |lines| rows(lines, by))
}

fn rows(lines: &[(String, LogLine)], by: By) -> Vec<Value> {
    let first = &lines[0].1;
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for (source, line) in lines {
        let second = line.seconds_since(first);
        let answered = line.event == Event::Answered.row().id;
        if !answered && line.event != Event::Refused.row().id {
            continue;
        }
        let row = rows.entry(by.key(source, second, &line.detail));
        let row = row.or_default();
        if answered {
            row.answer(&line.detail);
        } else {
            row.refused += 1;
        }
    }
    rows.iter().map(|(key, row)| row.show(key)).collect()
}

impl Row {
    fn answer(&mut self, detail: &str) {
        let get = |key| number(detail, key).unwrap_or_default();
        self.answered += 1;
        self.repeated += u64::from(get("attempts") > 1);
        let (sent, came) = (get("sent_ms"), get("first_ms"));
        // Times beyond the longest count as that.
        self.here.saturating_record(sent);
        if came >= sent {
            self.there.saturating_record(came - sent);
        }
        self.expected.saturating_record(get("expected_ms"));
    }

    fn show(&self, key: &str) -> Value {
        let at = |times: &Histogram<u64>, q: f64| times.value_at_quantile(q);
        json!({
            "by": key, "answered": self.answered, "repeated": self.repeated, "refused": self.refused,
            "here_50": at(&self.here, 0.5), "here_95": at(&self.here, 0.95),
            "there_50": at(&self.there, 0.5), "there_95": at(&self.there, 0.95),
            "expected_50": at(&self.expected, 0.5),
        })
    }
}

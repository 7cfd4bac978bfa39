//! The command `waits`: reports where requests waited for their first byte, at the instance or at the upstream, from
//! the logs of a fleet.

use std::collections::BTreeMap;

use anyhow::Result;
use hdrhistogram::Histogram;
use proxy::event::Event;
use serde_json::{json, Value};

use crate::flags::Waits;
use crate::log_report::{self, field, number, LogLine};
use crate::Outcome;

/// Maximum of recorded times, in milliseconds; longer times are recorded as this.
const MAX_RECORDED_MS: u64 = 600_000;
/// Number of significant digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 2;

/// What the requests of one row have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GroupBy {
    Route,
    Customer,
    Instance,
    Upstream,
    Second,
}

impl GroupBy {
    fn parse(text: &str) -> Option<GroupBy> {
        match text {
            "route" => Some(GroupBy::Route),
            "customer" => Some(GroupBy::Customer),
            "instance" => Some(GroupBy::Instance),
            "upstream" => Some(GroupBy::Upstream),
            "second" => Some(GroupBy::Second),
            _ => None,
        }
    }

    /// Returns the key of the row that a line belongs to.
    fn key(self, source: &str, second: u64, detail: &str) -> String {
        let value = |name| field(detail, name).unwrap_or("-").to_string();
        match self {
            GroupBy::Route => value("route"),
            GroupBy::Customer => value("customer"),
            GroupBy::Upstream => value("upstream"),
            GroupBy::Instance => source.to_string(),
            // Padded, because rows are sorted as text.
            GroupBy::Second => format!("{second:06}"),
        }
    }
}

/// The requests of one row, and times in milliseconds.
struct Row {
    answered: u64,
    /// Answered requests that took more than one attempt.
    retried: u64,
    refused: u64,
    /// From arrival until the last attempt is sent.
    before_send: Histogram<u64>,
    /// From sending the last attempt to the first byte of the response.
    after_send: Histogram<u64>,
    /// Estimate of `after_send`.
    expected: Histogram<u64>,
}

impl Default for Row {
    fn default() -> Row {
        let times =
            || Histogram::new_with_max(MAX_RECORDED_MS, SIGNIFICANT_DIGITS).expect("valid bounds");
        Row {
            answered: 0,
            retried: 0,
            refused: 0,
            before_send: times(),
            after_send: times(),
            expected: times(),
        }
    }
}

/// Returns the report on some logs.
///
/// # Errors
///
/// Returns which file can't be read, and why.
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
    let name = cmd.by.as_deref().unwrap_or("route");
    let Some(by) = GroupBy::parse(name) else {
        let message =
            format!("invalid value {name:?} of --by: expected route, customer, instance, upstream or second\n");
        return Ok(Outcome::Failure(message));
    };
    log_report::run_report(&cmd.logs, cmd.json, &columns, |lines| rows(lines, by))
}

fn rows(lines: &[(String, LogLine)], by: GroupBy) -> Vec<Value> {
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
            row.record_answered(&line.detail);
        } else {
            row.refused += 1;
        }
    }
    rows.iter().map(|(key, row)| row.to_json(key)).collect()
}

impl Row {
    fn record_answered(&mut self, detail: &str) {
        let get = |key| number(detail, key).unwrap_or_default();
        self.answered += 1;
        self.retried += u64::from(get("attempts") > 1);
        let (sent, first) = (get("sent_ms"), get("first_ms"));
        // Records times above the maximum as the maximum.
        self.before_send.saturating_record(sent);
        if first >= sent {
            self.after_send.saturating_record(first - sent);
        }
        self.expected.saturating_record(get("expected_ms"));
    }

    fn to_json(&self, key: &str) -> Value {
        let at = |times: &Histogram<u64>, q: f64| times.value_at_quantile(q);
        json!({
            "by": key, "answered": self.answered, "repeated": self.retried, "refused": self.refused,
            "here_50": at(&self.before_send, 0.5), "here_95": at(&self.before_send, 0.95),
            "there_50": at(&self.after_send, 0.5), "there_95": at(&self.after_send, 0.95),
            "expected_50": at(&self.expected, 0.5),
        })
    }
}

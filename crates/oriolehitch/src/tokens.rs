//! The command `tokens`: reports where customers' tokens were over time, from the logs of a fleet. It distinguishes a
//! budget that is spent from one whose remaining tokens no instance can obtain.

use std::collections::BTreeMap;

use anyhow::Result;
use proxy::event::Event;
use serde_json::{json, Value};

use crate::flags::Tokens;
use crate::log_report::{self, field, number, LogLine};
use crate::Outcome;

/// Default length of a row's interval, in seconds.
const DEFAULT_INTERVAL_SECS: u64 = 2;

/// One incarnation's entry in the ledger of a customer: the tokens charged for it, and those that it reports as spent.
/// Both tokens and reports move between instances, so either number can be larger.
#[derive(Clone, Copy, Debug, Default)]
struct IncarnationEntry {
    charged: u64,
    spent: u64,
}

/// What the logs tell about one customer.
#[derive(Clone, Debug, Default)]
struct CustomerTokens {
    prepaid: u64,
    /// Tokens charged, from the record of the customer as last logged.
    charged: u64,
    /// Tokens spent: the highest number in a logged record.
    spent: u64,
    /// Tokens of answered requests.
    answered: u64,
    /// By instance and number of the incarnation. Incarnations are numbered in the order in which they were logged.
    entries: BTreeMap<(String, u32), IncarnationEntry>,
}

/// Number of refused requests of one customer within one row.
#[derive(Clone, Copy, Debug, Default)]
struct RefusedRequests {
    /// The unspent tokens would have covered the request.
    covered: u64,
    /// The unspent tokens would not have covered the request.
    uncovered: u64,
    /// The budget is exhausted.
    exhausted: u64,
}

/// The tokens of a fleet, as its logs show them.
#[derive(Debug, Default)]
struct FleetTokens {
    customers: BTreeMap<String, CustomerTokens>,
    /// Number of the latest incarnation of each instance.
    incarnations: BTreeMap<String, u32>,
    refused: BTreeMap<String, RefusedRequests>,
}

/// Returns the report on some logs.
///
/// # Errors
///
/// Returns which file can't be read, and why.
pub fn run(cmd: &Tokens) -> Result<Outcome> {
    let columns = [
        "second",
        "customer",
        "prepaid",
        "living",
        "dead",
        "spent",
        "answered",
        "covered",
        "uncovered",
        "exhausted",
    ];
    let every = cmd.every.unwrap_or(DEFAULT_INTERVAL_SECS).max(1);
    let is_selected = |row: &Value| cmd.customer.as_ref().is_none_or(|c| row["customer"] == **c);
    log_report::run_report(&cmd.logs, cmd.json, &columns, |lines| {
        let rows = rows(lines, every).into_iter();
        rows.filter(is_selected).collect()
    })
}

fn rows(lines: &[(String, LogLine)], every: u64) -> Vec<Value> {
    let first = &lines[0].1;
    let (mut tokens, mut rows, mut interval) = (FleetTokens::default(), Vec::new(), 0);
    for (source, line) in lines {
        let line_interval = line.seconds_since(first) / every;
        if line_interval != interval {
            rows.extend(tokens.end_interval(interval * every));
            interval = line_interval;
        }
        tokens.apply(source, line);
    }
    rows.extend(tokens.end_interval(interval * every));
    rows
}

impl FleetTokens {
    fn apply(&mut self, source: &str, line: &LogLine) {
        let detail = line.detail.as_str();
        if line.event == Event::Started.row().id {
            *self.incarnations.entry(source.to_string()).or_default() += 1;
        } else if line.event == Event::GrantChanged.row().id {
            self.apply_grant(source, detail);
        } else if line.event == Event::PreviousIncarnationTokens.row().id {
            // A new incarnation logs what the store has of the previous one, whose last lines may be lost.
            self.set_entry(source, 1, detail);
        } else if line.event == Event::Answered.row().id {
            if let (Some(name), Some(tokens)) =
                (field(detail, "customer"), number(detail, "tokens"))
            {
                self.customers.entry(name.to_string()).or_default().answered += tokens;
            }
        } else if line.event == Event::Refused.row().id {
            self.count_refusal(detail);
        }
    }

    fn apply_grant(&mut self, source: &str, detail: &str) {
        let Some(customer) = self.set_entry(source, 0, detail) else {
            return;
        };
        customer.prepaid = number(detail, "prepaid").unwrap_or(customer.prepaid);
        customer.charged = number(detail, "charged").unwrap_or(customer.charged);
        let spent = number(detail, "all_spent").unwrap_or_default();
        customer.spent = customer.spent.max(spent);
    }

    /// Sets the entry of an instance's current incarnation, or of the one that is `before` incarnations earlier.
    /// Returns the customer that the entry belongs to.
    fn set_entry(
        &mut self,
        source: &str,
        before: u32,
        detail: &str,
    ) -> Option<&mut CustomerTokens> {
        let name = field(detail, "customer")?;
        let get = |key| number(detail, key).unwrap_or_default();
        let entry = IncarnationEntry {
            charged: get("granted").saturating_sub(get("returned")),
            spent: get("spent"),
        };
        let incarnation = self.incarnations.get(source).copied().unwrap_or_default();
        let key = (source.to_string(), incarnation.saturating_sub(before));
        let customer = self.customers.entry(name.to_string()).or_default();
        customer.entries.insert(key, entry);
        Some(customer)
    }

    /// Counts a refused request whose log line has the text `N tokens of CUSTOMER`.
    fn count_refusal(&mut self, detail: &str) {
        let words: Vec<&str> = detail.split(' ').collect();
        let mut phrases = words
            .windows(4)
            .filter(|w| w[1] == "tokens" && w[2] == "of");
        let Some(phrase) = phrases.next() else {
            return;
        };
        let Ok(tokens) = phrase[0].parse::<u64>() else {
            return;
        };
        let name = phrase[3].trim_end_matches(',');
        let unspent = self.customers.get(name).map_or(0, CustomerTokens::unspent);
        let refused = self.refused.entry(name.to_string()).or_default();
        match field(detail, "code") {
            Some("budget_exhausted") => refused.exhausted += 1,
            _ if unspent >= tokens => refused.covered += 1,
            _ => refused.uncovered += 1,
        }
    }

    /// Returns a row for each customer with a budget, and resets the counts of refused requests.
    fn end_interval(&mut self, second: u64) -> Vec<Value> {
        let refused = std::mem::take(&mut self.refused);
        let row = |(name, customer): (&String, &CustomerTokens)| {
            let refused = refused.get(name).copied().unwrap_or_default();
            let (living, dead) = customer.held(&self.incarnations);
            json!({
                "second": second, "customer": name, "prepaid": customer.prepaid,
                "living": living, "dead": dead, "spent": customer.spent,
                "answered": customer.answered, "covered": refused.covered,
                "uncovered": refused.uncovered, "exhausted": refused.exhausted,
            })
        };
        let budgeted = self.customers.iter().filter(|(_, c)| c.prepaid > 0);
        budgeted.map(row).collect()
    }
}

impl CustomerTokens {
    /// Returns the tokens that are not spent, as far as the logs show.
    fn unspent(&self) -> u64 {
        self.prepaid.saturating_sub(self.spent.max(self.answered))
    }

    /// Returns the tokens that are charged and not spent according to the record: those of running incarnations, and
    /// those of ended ones, which may have spent more than they reported.
    fn held(&self, incarnations: &BTreeMap<String, u32>) -> (u64, u64) {
        let has_ended =
            |(source, incarnation): &(String, u32)| incarnations.get(source) != Some(incarnation);
        let dead = self.entries.iter().filter(|(key, _)| has_ended(key));
        let dead: i128 = dead
            .map(|(_, e)| i128::from(e.charged) - i128::from(e.spent))
            .sum();
        let held = self.charged.saturating_sub(self.spent);
        let dead = u64::try_from(dead).unwrap_or_default().min(held);
        (held - dead, dead)
    }
}

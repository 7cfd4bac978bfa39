//! Where a customer's tokens were, second by second, by the logs of a fleet: the report that tells a budget that is
//! spent from one that nobody can reach.

use std::collections::BTreeMap;

use anyhow::Result;
use proxy::event::Event;
use serde_json::{json, Value};

use crate::flags::Tokens;
use crate::log_report::{self, field, number, LogLine};
use crate::Outcome;

/// Length of a row where none is named, in seconds.
const EVERY_DEFAULT: u64 = 2;

/// One incarnation's line: what is charged for it, and spent by its word. Tokens move between instances, and so do
/// the words on what they spent: either may be the larger one.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    charged: u64,
    spent: u64,
}

/// What is known of one customer.
#[derive(Clone, Debug, Default)]
struct Customer {
    prepaid: u64,
    /// By the record, as last written.
    charged: u64,
    /// By the record, as last written.
    spent: u64,
    answered: u64,
    /// By log and incarnation.
    parts: BTreeMap<(String, u32), Part>,
}

/// Refusals of one customer within one row.
#[derive(Clone, Copy, Debug, Default)]
struct Refused {
    covered: u64,
    uncovered: u64,
    exhausted: u64,
}

/// A fleet's tokens as its logs tell of them.
#[derive(Debug, Default)]
struct Ledger {
    customers: BTreeMap<String, Customer>,
    incarnations: BTreeMap<String, u32>,
    refused: BTreeMap<String, Refused>,
}

/// Prints the report of some logs.
///
/// # Errors
///
/// Returns which file can't be read.
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
    let every = cmd.every.unwrap_or(EVERY_DEFAULT).max(1);
    let chosen = |row: &Value| cmd.customer.as_ref().is_none_or(|c| row["customer"] == **c);
    log_report::run_report(&cmd.logs, cmd.json, &columns, |lines| {
        let rows = rows(lines, every).into_iter();
        rows.filter(chosen).collect()
    })
}

fn rows(lines: &[(String, LogLine)], every: u64) -> Vec<Value> {
    let first = &lines[0].1;
    let (mut ledger, mut rows, mut row) = (Ledger::default(), Vec::new(), 0);
    for (source, line) in lines {
        let at = line.seconds_since(first) / every;
        if at != row {
            rows.extend(ledger.end_row(row * every));
            row = at;
        }
        ledger.take(source, line);
    }
    rows.extend(ledger.end_row(row * every));
    rows
}

impl Ledger {
    fn take(&mut self, source: &str, line: &LogLine) {
        let detail = line.detail.as_str();
        if line.event == Event::Started.row().id {
            *self.incarnations.entry(source.to_string()).or_default() += 1;
        } else if line.event == Event::GrantChanged.row().id {
            self.granted(source, detail);
        } else if line.event == Event::PreviousIncarnationTokens.row().id {
            // What an instance found in the store of its predecessor, whose own last lines may be lost.
            self.take_part(source, 1, detail);
        } else if line.event == Event::Answered.row().id {
            if let (Some(name), Some(tokens)) =
                (field(detail, "customer"), number(detail, "tokens"))
            {
                self.customers.entry(name.to_string()).or_default().answered += tokens;
            }
        } else if line.event == Event::Refused.row().id {
            self.refuse(detail);
        }
    }

    fn granted(&mut self, source: &str, detail: &str) {
        let Some(customer) = self.take_part(source, 0, detail) else {
            return;
        };
        customer.prepaid = number(detail, "prepaid").unwrap_or(customer.prepaid);
        customer.charged = number(detail, "charged").unwrap_or(customer.charged);
        let spent = number(detail, "all_spent").unwrap_or_default();
        customer.spent = customer.spent.max(spent);
    }

    /// Takes the line of the incarnation that runs at an instance, or of one so many before it; returns the customer
    /// whose it is.
    fn take_part(&mut self, source: &str, before: u32, detail: &str) -> Option<&mut Customer> {
        let name = field(detail, "customer")?;
        let get = |key| number(detail, key).unwrap_or_default();
        let part = Part {
            charged: get("granted").saturating_sub(get("returned")),
            spent: get("spent"),
        };
        let incarnation = self.incarnations.get(source).copied().unwrap_or_default();
        let key = (source.to_string(), incarnation.saturating_sub(before));
        let customer = self.customers.entry(name.to_string()).or_default();
        customer.parts.insert(key, part);
        Some(customer)
    }

    fn refuse(&mut self, detail: &str) {
        let words: Vec<&str> = detail.split(' ').collect();
        let mut named = words
            .windows(4)
            .filter(|w| w[1] == "tokens" && w[2] == "of");
        let Some(named) = named.next() else {
            return;
        };
        let Ok(tokens) = named[0].parse::<u64>() else {
            return;
        };
        let name = named[3].trim_end_matches(',');
        let left = self.customers.get(name).map_or(0, Customer::left);
        let refused = self.refused.entry(name.to_string()).or_default();
        match field(detail, "code") {
            Some("budget_exhausted") => refused.exhausted += 1,
            _ if left >= tokens => refused.covered += 1,
            _ => refused.uncovered += 1,
        }
    }

    /// Returns a row for each customer, and forgets the refusals.
    fn end_row(&mut self, second: u64) -> Vec<Value> {
        let refused = std::mem::take(&mut self.refused);
        let row = |(name, customer): (&String, &Customer)| {
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

impl Customer {
    /// Returns the tokens that are not spent, as far as the logs show.
    fn left(&self) -> u64 {
        self.prepaid.saturating_sub(self.spent.max(self.answered))
    }

    /// Returns the tokens charged and not spent by the record: at incarnations that live, and at those that
    /// ended, which may have spent some more than they said.
    fn held(&self, incarnations: &BTreeMap<String, u32>) -> (u64, u64) {
        let ended =
            |(source, incarnation): &(String, u32)| incarnations.get(source) != Some(incarnation);
        let dead = self.parts.iter().filter(|(key, _)| ended(key));
        let dead: i128 = dead
            .map(|(_, p)| i128::from(p.charged) - i128::from(p.spent))
            .sum();
        let held = self.charged.saturating_sub(self.spent);
        let dead = u64::try_from(dead).unwrap_or_default().min(held);
        (held - dead, dead)
    }
}

//! How often a run has come to the situations that it is meant for. A guarantee that holds in none of them says
//! little.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

/// Event codes of the log: answered, refused, caller left.
const ANSWERED: &str = "\"event\":2501,";
const REFUSED: &str = "\"event\":2502,";
const CALLER_LEFT: &str = "\"event\":2505,";

/// New connections that an overloaded instance has closed unread, as it says in its log.
const CLOSED_UNREAD: &str = "\"event\":2009,";
/// A day, in milliseconds.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// New connections that an overloaded instance has closed unread within a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedUnread {
    /// When it logged that, in milliseconds since midnight, UTC.
    pub logged_at: u64,
    /// Their number.
    pub count: usize,
}

/// Returns what a line of an instance's log says of connections that were closed unread.
pub fn closed_unread(line: &str) -> Option<ClosedUnread> {
    if !line.contains(CLOSED_UNREAD) {
        return None;
    }
    let (_, count) = line.split_once("closed=")?;
    let (_, time) = line.split_once("\"timestamp\":\"")?;
    let time = time.split_once('T')?.1.get(..12)?;
    let mut parts = time.split([':', '.']).map(str::parse::<u64>);
    let mut part = || parts.next()?.ok();
    let (hours, minutes, seconds, ms) = (part()?, part()?, part()?, part()?);
    Some(ClosedUnread {
        logged_at: ((hours * 60 + minutes) * 60 + seconds) * 1_000 + ms,
        count: count.split(' ').next()?.parse().ok()?,
    })
}

/// Returns the time from one time of day to a later one, in milliseconds.
pub fn ms_between(from: u64, to: u64) -> u64 {
    (to + DAY_MS - from) % DAY_MS
}

/// Returns the present time of day, in milliseconds since midnight, UTC.
pub fn time_of_day() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64 % DAY_MS
}

/// Counts of situations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Requests that were answered after they had waited for an upstream.
    pub waited: usize,
    /// Requests that were refused because no upstream accepted them in time.
    pub refused_in_queue: usize,
    /// Requests that waited, or wanted to, at an instance that was stopping.
    pub refused_at_stop: usize,
    /// Requests whose callers left before an upstream was tried.
    pub left_unsent: usize,
    /// Requests for whose engine an account has answered.
    pub accounts_answered: usize,
    /// Requests that upstreams answered 421.
    pub misdirected: usize,
    /// Datagrams between instances that were passed on, and that were dropped by a cut.
    pub datagrams: (usize, usize),
}

impl Coverage {
    /// Adds what a line of an instance's log says.
    pub fn add_line(&mut self, line: &str) {
        let field = |name: &str| {
            let mut fields = line.split([' ', '"']);
            fields.find_map(|f| f.strip_prefix(name))
        };
        let is_positive = |name| field(name).is_some_and(|v| v != "0");
        if line.contains(ANSWERED) {
            self.waited += usize::from(is_positive("waited_ms="));
            self.accounts_answered += usize::from(is_positive("answered="));
        } else if line.contains(REFUSED) {
            self.refused_in_queue += usize::from(field("queue=").is_some());
            self.refused_at_stop += usize::from(field("queue=") == Some("Stopping"));
        } else if line.contains(CALLER_LEFT) {
            self.left_unsent += usize::from(field("sent=") == Some("0"));
        }
    }
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (passed, dropped) = self.datagrams;
        writeln!(f, "  answered after a wait: {}", self.waited)?;
        writeln!(
            f,
            "  refused since no upstream accepted them: {}, at a stop: {}",
            self.refused_in_queue, self.refused_at_stop
        )?;
        writeln!(f, "  left before they were sent: {}", self.left_unsent)?;
        writeln!(f, "  accounts of engines asked: {}", self.accounts_answered)?;
        writeln!(f, "  answered 421 by upstreams: {}", self.misdirected)?;
        writeln!(
            f,
            "  datagrams between instances: {passed}, dropped: {dropped}"
        )
    }
}

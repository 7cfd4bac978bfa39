//! Numbered log events; docs/EVENTS.md is their catalogue.

use std::fmt::Display;

use catalogue::{row, Row};
use tracing::Level;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The instance serves.
    Started,
    /// A planned stop has begun.
    Stopping,
    /// A planned stop has ended.
    Stopped,
    /// A planned stop was cut short.
    StopAborted,
    /// An invariant of the budgets failed: the process ends at once.
    InvariantFailed,
    /// Another configuration is in force.
    ConfigApplied,
    /// A configuration in the platform is broken.
    ConfigInvalid,
    /// A change of configuration was accepted here.
    ConfigAccepted,
    /// The platform does not answer.
    PlatformUnavailable,
    /// The platform answers again.
    PlatformRecovered,
    /// An instance is new, or changed its standing.
    MembershipChanged,
    /// An instance fell silent.
    InstanceUnresponsive,
    /// An upstream is leaving.
    UpstreamLeaving,
    /// A bill waits longer than its answer should.
    BillDelayed,
    /// A bill had only one copy when its answer ended.
    BillNotDurable,
    /// An upstream served more than was asked for.
    TokensExceeded,
    /// A request was billed before under the same id.
    DuplicateBill,
    /// An orphaned request was cancelled and billed by its upstream's word.
    OrphanBilled,
    /// An orphaned request's upstream does not answer: its tokens stay held.
    OrphanUnresolved,
    /// An operator released stranded tokens.
    TokensReleased,
    /// An operator topped up a budget.
    BudgetToppedUp,
    /// An answer broke off.
    ResponseAborted,
    /// An upstream's answer was not for this request.
    ResponseMismatch,
    /// A claim's end could not be stored.
    ClaimNotStored,
    /// An upstream was ordered to serve a version.
    VersionOrdered,
}

/// The catalogue.
pub const EVENTS: &[Row<Event>] = &[
    row(Event::Started, 1001, Level::INFO, "instance serves"),
    row(Event::Stopping, 1002, Level::INFO, "planned stop begun"),
    row(Event::Stopped, 1003, Level::INFO, "planned stop ended"),
    row(
        Event::StopAborted,
        1004,
        Level::WARN,
        "planned stop cut short",
    ),
    row(
        Event::InvariantFailed,
        1005,
        Level::ERROR,
        "invariant of the budgets failed, process ends",
    ),
    row(
        Event::ConfigApplied,
        1101,
        Level::INFO,
        "configuration in force",
    ),
    row(
        Event::ConfigInvalid,
        1102,
        Level::ERROR,
        "configuration broken",
    ),
    row(
        Event::ConfigAccepted,
        1103,
        Level::INFO,
        "configuration accepted",
    ),
    row(
        Event::PlatformUnavailable,
        1201,
        Level::WARN,
        "platform does not answer",
    ),
    row(
        Event::PlatformRecovered,
        1202,
        Level::INFO,
        "platform answers again",
    ),
    row(
        Event::MembershipChanged,
        1301,
        Level::INFO,
        "instance new or changed",
    ),
    row(
        Event::InstanceUnresponsive,
        1302,
        Level::WARN,
        "instance silent",
    ),
    row(
        Event::UpstreamLeaving,
        1401,
        Level::INFO,
        "upstream leaving",
    ),
    row(
        Event::VersionOrdered,
        1402,
        Level::INFO,
        "upstream ordered to serve a version",
    ),
    row(Event::BillDelayed, 1501, Level::WARN, "bill late"),
    row(
        Event::BillNotDurable,
        1502,
        Level::WARN,
        "answer ended with one copy of its bill",
    ),
    row(
        Event::TokensExceeded,
        1503,
        Level::WARN,
        "upstream served more than asked for",
    ),
    row(
        Event::DuplicateBill,
        1504,
        Level::WARN,
        "request billed before",
    ),
    row(
        Event::OrphanBilled,
        1505,
        Level::INFO,
        "orphaned request billed",
    ),
    row(
        Event::OrphanUnresolved,
        1506,
        Level::WARN,
        "orphaned request's tokens stay held",
    ),
    row(
        Event::TokensReleased,
        1507,
        Level::WARN,
        "stranded tokens released",
    ),
    row(Event::BudgetToppedUp, 1508, Level::INFO, "budget topped up"),
    row(
        Event::ResponseAborted,
        1601,
        Level::WARN,
        "answer broke off",
    ),
    row(
        Event::ResponseMismatch,
        1602,
        Level::ERROR,
        "upstream answered another request",
    ),
    row(
        Event::ClaimNotStored,
        1603,
        Level::WARN,
        "end of a claim not stored",
    ),
];

impl Event {
    /// Returns the event's row of the catalogue.
    ///
    /// # Panics
    ///
    /// Panics when the catalogue lacks the event; a test holds them together.
    pub fn row(self) -> &'static Row<Event> {
        catalogue::find(EVENTS, self)
    }

    /// Writes the event to the log.
    pub fn log(self, instance: &str, detail: impl Display) {
        let Row {
            id, level, text, ..
        } = *self.row();
        match level {
            Level::ERROR => tracing::error!(id, instance, %detail, "{text}"),
            Level::WARN => tracing::warn!(id, instance, %detail, "{text}"),
            _ => tracing::info!(id, instance, %detail, "{text}"),
        }
    }
}

//! The numbered log events, which docs/EVENTS.md lists.

use std::fmt::Display;

use catalogue::{row, Row};
use tracing::Level;

/// A log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The instance has started to serve.
    Started,
    /// A planned stop began.
    Stopping,
    /// A planned stop finished.
    Stopped,
    /// A planned stop was aborted, or ran out of time.
    StopAborted,
    /// A planned stop waits for requests, or for tokens to be settled or returned.
    StopWaiting,
    /// An invariant of the budgets failed; the process exits.
    InvariantFailed,
    /// A task panicked.
    Panicked,
    /// A newer configuration was applied.
    ConfigApplied,
    /// A configuration is invalid or incomplete.
    ConfigInvalid,
    /// A configuration change was committed through this instance.
    ConfigAccepted,
    /// The platform does not respond.
    PlatformUnavailable,
    /// The platform responds again.
    PlatformRecovered,
    /// An instance is new, or its status changed.
    MembershipChanged,
    /// An instance became unresponsive, or has left.
    InstanceUnresponsive,
    /// A call for another incarnation was refused.
    CallMisdirected,
    /// An upstream is leaving.
    UpstreamLeaving,
    /// The holder of a hold did not confirm its settlement; other instances are asked to record it.
    BillDelayed,
    /// A response ended before its bill was durable.
    BillNotDurable,
    /// An upstream served more tokens than requested.
    TokensExceeded,
    /// A request with the same id was already billed.
    DuplicateBill,
    /// An orphaned request was cancelled and billed for the tokens that its upstream reported.
    OrphanBilled,
    /// The upstream of an orphaned request did not report its usage; the tokens stay held.
    OrphanUnresolved,
    /// An operator released stranded tokens.
    TokensReleased,
    /// An operator topped up a budget.
    BudgetToppedUp,
    /// The record of a budget shows other grants of this instance.
    GrantChanged,
    /// A call to the platform for the record of a budget failed.
    BudgetCallFailed,
    /// Writes of the record of a budget conflict with those of other instances.
    WriteConflicts,
    /// A response was aborted.
    ResponseAborted,
    /// An upstream sent part of the response to another request.
    ResponseMismatch,
    /// The result of a claimed request could not be stored yet.
    ClaimNotStored,
    /// An upstream accepted the order to serve a model version.
    VersionOrdered,
}

/// Number, level and text of each event.
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
    row(Event::Panicked, 1006, Level::ERROR, "task panicked"),
    row(Event::StopWaiting, 1007, Level::WARN, "planned stop waits"),
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
        Event::CallMisdirected,
        1303,
        Level::WARN,
        "call for another incarnation refused",
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
    row(Event::GrantChanged, 1509, Level::INFO, "grant changed"),
    row(
        Event::BudgetCallFailed,
        1510,
        Level::WARN,
        "call for a budget record failed",
    ),
    row(
        Event::WriteConflicts,
        1511,
        Level::WARN,
        "writes of a budget record conflict",
    ),
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
    /// Returns the event's row in the catalogue.
    ///
    /// # Panics
    ///
    /// Panics if the catalogue has no row for the event.
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

//! Numbered log events, which docs/EVENTS.md describes.

use catalogue::{row, Row};
use tracing::Level;

/// A log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The instance listens.
    Started,
    /// A planned stop has begun.
    Stopping,
    /// A planned stop has ended.
    Stopped,
    /// Log lines were left out.
    LogLinesDropped,
    /// The settings file changed, or a signal said so.
    SettingsReloaded,
    /// An invariant failed: the process ends at once.
    InvariantFailed,
    /// The own link is full: new connections are wanted elsewhere.
    LinkCongested,
    /// The own link is free again.
    LinkRecovered,
    /// Another configuration is in force.
    ConfigApplied,
    /// A configuration can't be read; the one before stays in force.
    ConfigInvalid,
    /// The store does not answer.
    StoreUnavailable,
    /// The store answers again.
    StoreRecovered,
    /// A write to the store was not carried out, or it is not known whether.
    StoreWriteFailed,
    /// How many calls of the store were made, by task, call, end and state of the store.
    StoreCalls,
    /// News came from another instance.
    PeerUpdate,
    /// The list of instances changed.
    MembershipChanged,
    /// What this instance has sent to others so far, and what it keeps.
    ResourceUsage,
    /// An upstream is new; of more than 16 that come together only `count`.
    UpstreamAdded,
    /// An upstream started again under its name.
    UpstreamRestarted,
    /// An upstream is leaving.
    UpstreamLeaving,
    /// An upstream is no longer listed.
    UpstreamRemoved,
    /// An upstream's entry can't be read.
    UpstreamEntryInvalid,
    /// An upstream ended without having said that it leaves, while requests ran there.
    UpstreamCrashed,
    /// An upstream's answer says that it leaves, or wants nothing for a while.
    UpstreamPaused,
    /// The request rate limit that an upstream advertises in its answers changed.
    UpstreamLimitChanged,
    /// A zone is evacuated: its upstreams get nothing.
    ZoneEvacuated,
    /// A zone is no longer evacuated: its upstreams get requests again, few while they are cold.
    ZoneRestored,
    /// A request was answered.
    Answered,
    /// A request was refused, or failed.
    Refused,
    /// An attempt at an upstream failed.
    AttemptFailed,
    /// An answer broke off.
    ResponseAborted,
    /// A caller left before its answer.
    CallerDisconnected,
    /// A stream was taken up at another upstream.
    StreamResumed,
    /// Upstreams have ended under a request.
    RequestSuspected,
    /// A request is tried under which upstreams have ended.
    SuspectTrial,
    /// A request under which upstreams have ended was answered.
    SuspectCleared,
    /// What the store has of a suspected request can't be read.
    SuspectRecordInvalid,
    /// An upstream made more than was asked for.
    TokensExceeded,
    /// Tokens were taken from, or handed back to, a budget.
    GrantChanged,
    /// Tokens came from another instance.
    TokenTransfer,
    /// A budget's record can't be read.
    BudgetRecordInvalid,
    /// The incarnation before this one left tokens charged.
    PreviousIncarnationTokens,
}

/// All events of the proxy.
pub const EVENTS: &[Row<Event>] = &[
    row(Event::Started, 2001, Level::INFO, "started"),
    row(Event::Stopping, 2002, Level::INFO, "stopping"),
    row(Event::Stopped, 2003, Level::INFO, "stopped"),
    row(
        Event::LogLinesDropped,
        2004,
        Level::WARN,
        "log lines left out",
    ),
    row(
        Event::SettingsReloaded,
        2005,
        Level::INFO,
        "settings read again",
    ),
    row(
        Event::InvariantFailed,
        2006,
        Level::ERROR,
        "invariant failed, process ends",
    ),
    row(Event::LinkCongested, 2007, Level::WARN, "own link is full"),
    row(
        Event::LinkRecovered,
        2008,
        Level::INFO,
        "own link is free again",
    ),
    row(
        Event::ConfigApplied,
        2101,
        Level::INFO,
        "configuration in force",
    ),
    row(
        Event::ConfigInvalid,
        2102,
        Level::ERROR,
        "configuration can't be read",
    ),
    row(
        Event::StoreUnavailable,
        2201,
        Level::WARN,
        "store does not answer",
    ),
    row(
        Event::StoreRecovered,
        2202,
        Level::INFO,
        "store answers again",
    ),
    row(Event::StoreWriteFailed, 2203, Level::WARN, "write failed"),
    row(Event::StoreCalls, 2204, Level::INFO, "calls of the store"),
    row(
        Event::PeerUpdate,
        2301,
        Level::INFO,
        "news from another instance",
    ),
    row(
        Event::MembershipChanged,
        2302,
        Level::INFO,
        "instances changed",
    ),
    row(
        Event::ResourceUsage,
        2303,
        Level::INFO,
        "traffic between instances",
    ),
    row(Event::UpstreamAdded, 2401, Level::INFO, "upstream listed"),
    row(
        Event::UpstreamLeaving,
        2402,
        Level::INFO,
        "upstream leaving",
    ),
    row(Event::UpstreamRemoved, 2403, Level::INFO, "upstream gone"),
    row(
        Event::UpstreamEntryInvalid,
        2404,
        Level::ERROR,
        "upstream's entry can't be read",
    ),
    row(
        Event::UpstreamRestarted,
        2405,
        Level::INFO,
        "upstream started again under its name",
    ),
    row(Event::UpstreamCrashed, 2406, Level::WARN, "upstream ended"),
    row(
        Event::UpstreamPaused,
        2407,
        Level::INFO,
        "upstream's word in an answer",
    ),
    row(Event::ZoneEvacuated, 2408, Level::WARN, "zone evacuated"),
    row(Event::ZoneRestored, 2409, Level::INFO, "zone in use again"),
    row(
        Event::UpstreamLimitChanged,
        2410,
        Level::INFO,
        "upstream's request rate limit changed",
    ),
    row(Event::Answered, 2501, Level::INFO, "answered"),
    row(Event::Refused, 2502, Level::INFO, "refused"),
    row(Event::AttemptFailed, 2503, Level::INFO, "attempt failed"),
    row(
        Event::ResponseAborted,
        2504,
        Level::WARN,
        "answer broke off",
    ),
    row(Event::CallerDisconnected, 2505, Level::INFO, "caller left"),
    row(Event::StreamResumed, 2506, Level::INFO, "stream resumed"),
    row(
        Event::RequestSuspected,
        2508,
        Level::WARN,
        "upstreams end under a request",
    ),
    row(
        Event::SuspectTrial,
        2509,
        Level::WARN,
        "suspected request is tried",
    ),
    row(
        Event::SuspectCleared,
        2510,
        Level::INFO,
        "suspected request answered",
    ),
    row(
        Event::SuspectRecordInvalid,
        2511,
        Level::ERROR,
        "suspected request can't be read",
    ),
    row(
        Event::TokensExceeded,
        2507,
        Level::WARN,
        "more tokens than asked for",
    ),
    row(Event::GrantChanged, 2601, Level::INFO, "grant changed"),
    row(
        Event::TokenTransfer,
        2602,
        Level::INFO,
        "tokens from another instance",
    ),
    row(
        Event::BudgetRecordInvalid,
        2603,
        Level::ERROR,
        "budget record can't be read",
    ),
    row(
        Event::PreviousIncarnationTokens,
        2604,
        Level::INFO,
        "tokens of the incarnation before",
    ),
];

impl Event {
    /// Returns the event's row.
    ///
    /// # Panics
    ///
    /// Panics if `EVENTS` has no row for the event.
    pub fn row(self) -> &'static Row<Event> {
        catalogue::find(EVENTS, self)
    }
}

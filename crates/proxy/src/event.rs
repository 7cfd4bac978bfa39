//! Numbered log events; docs/EVENTS.md is their catalogue.

use catalogue::{row, Row};
use tracing::Level;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The instance listens.
    Started,
    /// A planned stop has begun.
    Stopping,
    /// A planned stop has ended.
    Stopped,
    /// Log lines were left out.
    LogCut,
    /// The settings file changed, or a signal said so.
    Reloaded,
    /// An invariant failed: the process ends at once.
    Broken,
    /// The own link is full: new connections are wanted elsewhere.
    LinkFull,
    /// The own link is free again.
    LinkFree,
    /// Another configuration is in force.
    ConfigInForce,
    /// A configuration can't be read; the one before stays in force.
    ConfigBroken,
    /// The store does not answer.
    StoreLost,
    /// The store answers again.
    StoreBack,
    /// A write to the store was not carried out, or it is not known whether.
    WriteFailed,
    /// How many calls of the store were made, by task, call, end and state of the store.
    StoreCalls,
    /// News came from another instance.
    NewsFromPeer,
    /// The list of instances changed.
    Members,
    /// What this instance has sent to others so far, and what it keeps.
    Load,
    /// An upstream is new; of more than 16 that come together only `count`.
    UpstreamNew,
    /// An upstream started again under its name.
    UpstreamReborn,
    /// An upstream is leaving.
    UpstreamLeaving,
    /// An upstream is no longer listed.
    UpstreamGone,
    /// An upstream's entry can't be read.
    UpstreamBroken,
    /// An upstream ended without having said that it leaves, while requests ran there.
    UpstreamEnded,
    /// An upstream's answer says that it leaves, or wants nothing for a while.
    UpstreamSaid,
    /// The request rate limit that an upstream advertises in its answers changed.
    UpstreamLimit,
    /// A zone is evacuated: its upstreams get nothing.
    ZoneEvacuated,
    /// A zone is no longer evacuated: its upstreams get requests again, few while they are cold.
    ZoneBack,
    /// A request was answered.
    Answered,
    /// A request was refused, or failed.
    Refused,
    /// An attempt at an upstream failed.
    AttemptFailed,
    /// An answer broke off.
    Cut,
    /// A caller left before its answer.
    CallerLeft,
    /// A stream was taken up at another upstream.
    Resumed,
    /// Upstreams have ended under a request.
    Suspected,
    /// A request is tried under which upstreams have ended.
    Tried,
    /// A request under which upstreams have ended was answered.
    Cleared,
    /// What the store has of a suspected request can't be read.
    SuspectBroken,
    /// An upstream made more than was asked for.
    Excess,
    /// Tokens were taken from, or handed back to, a budget.
    Grant,
    /// Tokens came from another instance.
    Transfer,
    /// A budget's record can't be read.
    RecordBroken,
    /// The incarnation before this one left tokens charged.
    LeftBehind,
}

/// Every event of the proxy.
pub const EVENTS: &[Row<Event>] = &[
    row(Event::Started, 2001, Level::INFO, "started"),
    row(Event::Stopping, 2002, Level::INFO, "stopping"),
    row(Event::Stopped, 2003, Level::INFO, "stopped"),
    row(Event::LogCut, 2004, Level::WARN, "log lines left out"),
    row(Event::Reloaded, 2005, Level::INFO, "settings read again"),
    row(
        Event::Broken,
        2006,
        Level::ERROR,
        "invariant failed, process ends",
    ),
    row(Event::LinkFull, 2007, Level::WARN, "own link is full"),
    row(Event::LinkFree, 2008, Level::INFO, "own link is free again"),
    row(
        Event::ConfigInForce,
        2101,
        Level::INFO,
        "configuration in force",
    ),
    row(
        Event::ConfigBroken,
        2102,
        Level::ERROR,
        "configuration can't be read",
    ),
    row(Event::StoreLost, 2201, Level::WARN, "store does not answer"),
    row(Event::StoreBack, 2202, Level::INFO, "store answers again"),
    row(Event::WriteFailed, 2203, Level::WARN, "write failed"),
    row(Event::StoreCalls, 2204, Level::INFO, "calls of the store"),
    row(
        Event::NewsFromPeer,
        2301,
        Level::INFO,
        "news from another instance",
    ),
    row(Event::Members, 2302, Level::INFO, "instances changed"),
    row(Event::Load, 2303, Level::INFO, "traffic between instances"),
    row(Event::UpstreamNew, 2401, Level::INFO, "upstream listed"),
    row(
        Event::UpstreamLeaving,
        2402,
        Level::INFO,
        "upstream leaving",
    ),
    row(Event::UpstreamGone, 2403, Level::INFO, "upstream gone"),
    row(
        Event::UpstreamBroken,
        2404,
        Level::ERROR,
        "upstream's entry can't be read",
    ),
    row(
        Event::UpstreamReborn,
        2405,
        Level::INFO,
        "upstream started again under its name",
    ),
    row(Event::UpstreamEnded, 2406, Level::WARN, "upstream ended"),
    row(
        Event::UpstreamSaid,
        2407,
        Level::INFO,
        "upstream's word in an answer",
    ),
    row(Event::ZoneEvacuated, 2408, Level::WARN, "zone evacuated"),
    row(Event::ZoneBack, 2409, Level::INFO, "zone in use again"),
    row(
        Event::UpstreamLimit,
        2410,
        Level::INFO,
        "upstream's request rate limit changed",
    ),
    row(Event::Answered, 2501, Level::INFO, "answered"),
    row(Event::Refused, 2502, Level::INFO, "refused"),
    row(Event::AttemptFailed, 2503, Level::INFO, "attempt failed"),
    row(Event::Cut, 2504, Level::WARN, "answer broke off"),
    row(Event::CallerLeft, 2505, Level::INFO, "caller left"),
    row(Event::Resumed, 2506, Level::INFO, "stream resumed"),
    row(
        Event::Suspected,
        2508,
        Level::WARN,
        "upstreams end under a request",
    ),
    row(
        Event::Tried,
        2509,
        Level::WARN,
        "suspected request is tried",
    ),
    row(
        Event::Cleared,
        2510,
        Level::INFO,
        "suspected request answered",
    ),
    row(
        Event::SuspectBroken,
        2511,
        Level::ERROR,
        "suspected request can't be read",
    ),
    row(
        Event::Excess,
        2507,
        Level::WARN,
        "more tokens than asked for",
    ),
    row(Event::Grant, 2601, Level::INFO, "grant changed"),
    row(
        Event::Transfer,
        2602,
        Level::INFO,
        "tokens from another instance",
    ),
    row(
        Event::RecordBroken,
        2603,
        Level::ERROR,
        "budget record can't be read",
    ),
    row(
        Event::LeftBehind,
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
    /// Panics when the catalogue lacks the event; a test holds them together.
    pub fn row(self) -> &'static Row<Event> {
        catalogue::find(EVENTS, self)
    }
}

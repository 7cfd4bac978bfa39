//! Requests, the work of entries on them, and attempts at engines.

use budget::msg::AttemptRef;

/// Time that an engine takes to produce a token, in milliseconds.
pub const MS_PER_TOKEN: u64 = 5;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// An entry is working on it, or the caller is going to retry it.
    InProgress,
    /// Its attempt has ended, and the settlement was confirmed to an entry.
    Served,
    /// No tokens were reserved for it.
    Refused,
    /// No instance accepted it, its entry was killed and the caller did not retry, or its attempt
    /// was cancelled before it started.
    Lost,
}

/// A request of a caller, including its retries.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: String,
    /// Number of the customer's account.
    pub account: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the complete response.
    pub response_tokens: u64,
    /// Most tokens that it can cost.
    pub max_cost: u64,
    /// Current state.
    pub state: RequestState,
}

/// Phase of the work on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The entry waits for a reservation.
    Reserving,
    /// An engine runs the request.
    Running,
    /// The entry waits until the settlement is confirmed.
    Settling,
    /// The work has ended.
    Ended,
}

/// Work of one entry on a request. A retry by the caller gets a new context.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Index of the request.
    pub request: usize,
    /// Node that is the entry.
    pub entry: usize,
    /// Nodes to ask for a reservation, in order: usually the home and the standbys.
    pub homes: Vec<usize>,
    /// Index of the home that is asked now; replies of earlier ones are ignored.
    pub home_index: usize,
    /// Current phase.
    pub phase: Phase,
    /// Holder and number of the hold.
    pub hold: Option<(String, u64)>,
    /// Index of the attempt, once it has started.
    pub attempt: Option<usize>,
    /// When reserving or settling began, in milliseconds.
    pub phase_started_at: u64,
    /// Always 0: `SimEvent::SettleRound` has the round of the settlement.
    pub rounds: usize,
    /// Reference of the attempt that the home was told of, or that runs the request already.
    pub attempt_ref: AttemptRef,
}

/// An attempt to run a request at an engine.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Index of the request.
    pub request: usize,
    /// Number of the customer's account.
    pub account: usize,
    /// When it started, in milliseconds.
    pub started_at: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the complete response.
    pub response_tokens: u64,
    /// When it was cancelled, in milliseconds.
    pub cancelled_at: Option<u64>,
    /// Most tokens that it can cost.
    pub max_cost: u64,
}

impl Attempt {
    /// Returns the time at which it ends or ended, in milliseconds.
    pub fn ends_at(&self) -> u64 {
        let completes_at = self.started_at + self.response_tokens * MS_PER_TOKEN;
        self.cancelled_at
            .map_or(completes_at, |at| at.min(completes_at))
    }

    /// Returns the tokens served up to a time, including those of the prompt.
    pub fn tokens_served(&self, now: u64) -> u64 {
        let until = now.min(self.ends_at());
        let produced = until.saturating_sub(self.started_at) / MS_PER_TOKEN;
        self.prompt_tokens + produced.min(self.response_tokens)
    }
}

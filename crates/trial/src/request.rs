//! Requests of callers, the entries' work on them, and the engines' runs.

use budget::msg::AttemptRef;

/// Tokens an engine produces take this long each, in milliseconds.
pub const MS_PER_TOKEN: u64 = 5;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// It is under way.
    InProgress,
    /// Its whole answer and the bill's word reached the caller.
    Served,
    /// It was refused.
    Refused,
    /// Its entry died and the caller did not come back.
    Lost,
}

/// One request of a caller; retries share it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The customer.
    pub account: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub response_tokens: u64,
    /// The most that it can cost.
    pub max_cost: u64,
    /// What became of it.
    pub state: RequestState,
}

/// How far an entry is with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for tokens.
    Reserving,
    /// The engine runs it.
    Running,
    /// It waits for its bill.
    Settling,
    /// It has ended.
    Ended,
}

/// One entry's work on a request.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// The request.
    pub request: usize,
    /// The entry, an instance.
    pub entry: usize,
    /// Homes to ask, in order; instances.
    pub homes: Vec<usize>,
    /// Homes asked so far; tells late answers apart.
    pub home_index: usize,
    /// How far it is.
    pub phase: Phase,
    /// The holder and its number for the hold.
    pub hold: Option<(String, u64)>,
    /// The run at an engine.
    pub attempt: Option<usize>,
    /// When it began to reserve or to settle, in milliseconds.
    pub phase_started_at: u64,
    /// Rounds of settling so far.
    pub rounds: usize,
    /// Where it will run.
    pub attempt_ref: AttemptRef,
}

/// One run at an engine.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub request: usize,
    /// The customer.
    pub account: usize,
    /// When it began, in milliseconds.
    pub started_at: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub response_tokens: u64,
    /// When it was cancelled, in milliseconds.
    pub cancelled_at: Option<u64>,
    /// The most that it can cost.
    pub max_cost: u64,
}

impl Attempt {
    /// Returns when it ends, in milliseconds.
    pub fn ends_at(&self) -> u64 {
        let whole = self.started_at + self.response_tokens * MS_PER_TOKEN;
        self.cancelled_at.map_or(whole, |at| at.min(whole))
    }

    /// Returns the tokens served until a time.
    pub fn tokens_served(&self, now: u64) -> u64 {
        let until = now.min(self.ends_at());
        let produced = until.saturating_sub(self.started_at) / MS_PER_TOKEN;
        self.prompt_tokens + produced.min(self.response_tokens)
    }
}

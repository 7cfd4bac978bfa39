//! Requests of callers, the entries' work on them, and the engines' runs.

use budget::msg::AttemptRef;

/// Tokens an engine produces take this long each, in milliseconds.
pub const TOKEN_MS: u64 = 5;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is under way.
    Open,
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
    pub prompt: u64,
    /// Tokens of the answer.
    pub answer: u64,
    /// The most that it can cost.
    pub bound: u64,
    /// What became of it.
    pub fate: Fate,
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
pub struct Job {
    /// The request.
    pub request: usize,
    /// The entry, an instance.
    pub entry: usize,
    /// Homes to ask, in order; instances.
    pub homes: Vec<usize>,
    /// Homes asked so far; tells late answers apart.
    pub tries: usize,
    /// How far it is.
    pub phase: Phase,
    /// The holder and its number for the hold.
    pub hold: Option<(String, u64)>,
    /// The run at an engine.
    pub run: Option<usize>,
    /// When it began to reserve or to settle, in milliseconds.
    pub since: u64,
    /// Rounds of settling so far.
    pub rounds: usize,
    /// Where it will run.
    pub at: AttemptRef,
}

/// One run at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request.
    pub request: usize,
    /// The customer.
    pub account: usize,
    /// When it began, in milliseconds.
    pub began: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer.
    pub answer: u64,
    /// When it was cancelled, in milliseconds.
    pub cancelled: Option<u64>,
    /// The most that it can cost.
    pub bound: u64,
}

impl Run {
    /// Returns when it ends, in milliseconds.
    pub fn ends(&self) -> u64 {
        let whole = self.began + self.answer * TOKEN_MS;
        self.cancelled.map_or(whole, |at| at.min(whole))
    }

    /// Returns the tokens served until a time.
    pub fn served(&self, now: u64) -> u64 {
        let until = now.min(self.ends());
        let produced = until.saturating_sub(self.began) / TOKEN_MS;
        self.prompt + produced.min(self.answer)
    }
}

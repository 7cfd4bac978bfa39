//! The engine stand-in's batch: requests that wait, run, and have ended.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

/// Prompt tokens worked off per step while a request starts.
const PREFILL_PER_STEP: u64 = 512;
/// Prompt tokens that a cached prefix saves are counted in blocks of this many.
const BLOCK: u64 = 16;
/// Prefixes kept in the cache.
const CACHE_MOST: usize = 256;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestState {
    /// It waits for a slot.
    Waiting,
    /// It runs.
    Running,
    /// It has ended.
    Done,
    /// It was cancelled.
    Cancelled,
}

/// One request.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// The request's id.
    pub id: String,
    /// The customer.
    pub customer: String,
    /// Prompt tokens, served once the prompt is read.
    pub prompt_tokens: u64,
    /// Tokens that it will produce.
    pub target_tokens: u64,
    /// Tokens that it has produced.
    pub completion_tokens: u64,
    /// Prompt tokens that are still to be read.
    pub remaining_prefill: u64,
    /// Prompt tokens that the cache saved.
    pub cached_tokens: u64,
    /// 9 first.
    pub priority: u8,
    /// How far it is.
    pub state: RequestState,
}

impl Request {
    /// Returns the tokens that the engine counts as served.
    pub fn served_tokens(&self) -> u64 {
        if self.state == RequestState::Waiting || self.remaining_prefill > 0 {
            return 0;
        }
        self.prompt_tokens + self.completion_tokens
    }

    /// Returns whether nothing more will come.
    pub fn has_ended(&self) -> bool {
        matches!(self.state, RequestState::Done | RequestState::Cancelled)
    }
}

/// All requests of one engine.
#[derive(Debug, Default)]
pub struct Scheduler {
    all: BTreeMap<String, Request>,
    order: Vec<String>,
    running: Vec<String>,
    waiting: Vec<String>,
    cancelled_early: BTreeSet<String>,
    cache: VecDeque<u64>,
}

/// What became of a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResult {
    /// It is new.
    New,
    /// It is known: the caller may read it from an offset.
    Known,
    /// It was cancelled before it came.
    Cancelled,
}

impl Scheduler {
    /// Takes a request.
    pub fn submit(&mut self, request: Request, prefix_hash: u64) -> SubmitResult {
        if self.cancelled_early.contains(&request.id) {
            return SubmitResult::Cancelled;
        }
        if self.all.contains_key(&request.id) {
            return SubmitResult::Known;
        }
        let mut request = request;
        if self.cache.contains(&prefix_hash) {
            request.cached_tokens = request.prompt_tokens / BLOCK * BLOCK;
        } else {
            self.cache.push_back(prefix_hash);
            if self.cache.len() > CACHE_MOST {
                self.cache.pop_front();
            }
        }
        request.remaining_prefill = (request.prompt_tokens - request.cached_tokens).max(1);
        self.waiting.push(request.id.clone());
        self.order.push(request.id.clone());
        self.all.insert(request.id.clone(), request);
        SubmitResult::New
    }

    /// Does one step of the batch.
    pub fn step(&mut self, slots: usize) {
        while self.running.len() < slots && !self.waiting.is_empty() {
            let request = self.next_waiting();
            self.run_mut(&request).state = RequestState::Running;
            self.running.push(request);
        }
        for request in std::mem::take(&mut self.running) {
            let run = self.run_mut(&request);
            advance(run);
            if run.state == RequestState::Running {
                self.running.push(request);
            }
        }
    }

    fn next_waiting(&mut self) -> String {
        let priority = |r: &String| self.all[r].priority;
        let first = self.waiting.iter().map(priority).max();
        let at = self.waiting.iter().position(|r| Some(priority(r)) == first);
        self.waiting.remove(at.unwrap_or(0))
    }

    fn run_mut(&mut self, request: &str) -> &mut Request {
        self.all.get_mut(request).expect("listed requests are kept")
    }

    /// Cancels a request; one that never came will be refused when it does.
    pub fn cancel(&mut self, request: &str) -> Option<Request> {
        self.waiting.retain(|r| r != request);
        self.running.retain(|r| r != request);
        let Some(run) = self.all.get_mut(request) else {
            self.cancelled_early.insert(request.to_string());
            return None;
        };
        if !run.has_ended() {
            run.state = RequestState::Cancelled;
        }
        Some(run.clone())
    }

    /// Returns a request.
    pub fn get(&self, request: &str) -> Option<&Request> {
        self.all.get(request)
    }

    /// Returns all requests in the order in which they came.
    pub fn list(&self) -> Vec<&Request> {
        self.order.iter().map(|r| &self.all[r]).collect()
    }

    /// Returns how many requests run and wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }
}

fn advance(run: &mut Request) {
    if run.remaining_prefill > 0 {
        run.remaining_prefill = run.remaining_prefill.saturating_sub(PREFILL_PER_STEP);
        return;
    }
    run.completion_tokens += 1;
    if run.completion_tokens >= run.target_tokens {
        run.state = RequestState::Done;
    }
}

//! Scheduler of the stub engine: continuous batching of requests, with a cache of prompt prefixes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

/// Maximum number of prompt tokens that one step prefills for a request.
const PREFILL_PER_STEP: u64 = 512;
/// Cached prompt tokens are counted in whole blocks of this many tokens.
const CACHE_BLOCK_TOKENS: u64 = 16;
/// Maximum number of cached prefixes.
const MAX_CACHED_PREFIXES: usize = 256;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestState {
    /// The request is queued for a slot.
    Waiting,
    /// The request occupies a slot.
    Running,
    /// The request has produced all its tokens.
    Done,
    /// The request was cancelled.
    Cancelled,
}

/// A request that the engine has accepted.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// Id of the request.
    pub id: String,
    /// The customer.
    pub customer: String,
    /// Number of prompt tokens; they count as served once the prefill is complete.
    pub prompt_tokens: u64,
    /// Number of completion tokens after which the request is done.
    pub target_tokens: u64,
    /// Number of completion tokens produced so far.
    pub completion_tokens: u64,
    /// Number of prompt tokens that are still to be prefilled.
    pub remaining_prefill: u64,
    /// Number of prompt tokens that were in the prefix cache.
    pub cached_tokens: u64,
    /// Priority; 9 is the highest.
    pub priority: u8,
    /// State of the request.
    pub state: RequestState,
}

impl Request {
    /// Returns the number of tokens that the engine counts as served.
    pub fn served_tokens(&self) -> u64 {
        if self.state == RequestState::Waiting || self.remaining_prefill > 0 {
            return 0;
        }
        self.prompt_tokens + self.completion_tokens
    }

    /// Returns whether the request will produce no more tokens.
    pub fn has_ended(&self) -> bool {
        matches!(self.state, RequestState::Done | RequestState::Cancelled)
    }
}

/// All requests of one engine, including those that have ended.
#[derive(Debug, Default)]
pub struct Scheduler {
    requests: BTreeMap<String, Request>,
    arrival_order: Vec<String>,
    running: Vec<String>,
    waiting: Vec<String>,
    /// Ids that were cancelled before a request with the id arrived.
    cancelled_in_advance: BTreeSet<String>,
    /// Hashes of the cached prefixes, oldest first.
    cached_prefixes: VecDeque<u64>,
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResult {
    /// The request was queued.
    New,
    /// A request with this id exists: its output may be read from any position.
    Known,
    /// The id was cancelled before the request arrived.
    Cancelled,
}

impl Scheduler {
    /// Queues a request, unless one with its id exists or the id was cancelled in advance.
    ///
    /// If the prefix is cached, all whole blocks of the prompt count as cached.
    pub fn submit(&mut self, request: Request, prefix_hash: u64) -> SubmitResult {
        if self.cancelled_in_advance.contains(&request.id) {
            return SubmitResult::Cancelled;
        }
        if self.requests.contains_key(&request.id) {
            return SubmitResult::Known;
        }
        let mut request = request;
        if self.cached_prefixes.contains(&prefix_hash) {
            request.cached_tokens = request.prompt_tokens / CACHE_BLOCK_TOKENS * CACHE_BLOCK_TOKENS;
        } else {
            self.cached_prefixes.push_back(prefix_hash);
            if self.cached_prefixes.len() > MAX_CACHED_PREFIXES {
                self.cached_prefixes.pop_front();
            }
        }
        request.remaining_prefill = (request.prompt_tokens - request.cached_tokens).max(1);
        self.waiting.push(request.id.clone());
        self.arrival_order.push(request.id.clone());
        self.requests.insert(request.id.clone(), request);
        SubmitResult::New
    }

    /// Fills the free slots with waiting requests and runs one step of all running requests.
    pub fn step(&mut self, slots: usize) {
        while self.running.len() < slots && !self.waiting.is_empty() {
            let id = self.take_next_waiting();
            self.request_mut(&id).state = RequestState::Running;
            self.running.push(id);
        }
        for id in std::mem::take(&mut self.running) {
            let request = self.request_mut(&id);
            advance(request);
            if request.state == RequestState::Running {
                self.running.push(id);
            }
        }
    }

    /// Removes and returns the waiting request of the highest priority, the oldest one of several.
    fn take_next_waiting(&mut self) -> String {
        let priority = |id: &String| self.requests[id].priority;
        let highest = self.waiting.iter().map(priority).max();
        let index = self
            .waiting
            .iter()
            .position(|id| Some(priority(id)) == highest);
        self.waiting.remove(index.unwrap_or(0))
    }

    fn request_mut(&mut self, id: &str) -> &mut Request {
        self.requests
            .get_mut(id)
            .expect("every queued id has a request")
    }

    /// Cancels a request; if it has not arrived yet, it will be rejected when it does.
    pub fn cancel(&mut self, id: &str) -> Option<Request> {
        self.waiting.retain(|w| w != id);
        self.running.retain(|r| r != id);
        let Some(request) = self.requests.get_mut(id) else {
            self.cancelled_in_advance.insert(id.to_string());
            return None;
        };
        if !request.has_ended() {
            request.state = RequestState::Cancelled;
        }
        Some(request.clone())
    }

    /// Returns a request.
    pub fn get(&self, id: &str) -> Option<&Request> {
        self.requests.get(id)
    }

    /// Returns all requests in the order of their arrival.
    pub fn list(&self) -> Vec<&Request> {
        self.arrival_order
            .iter()
            .map(|id| &self.requests[id])
            .collect()
    }

    /// Returns the numbers of running and waiting requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }
}

/// Runs one step of a request: prefills a part of its prompt or, after that, produces one token.
fn advance(request: &mut Request) {
    if request.remaining_prefill > 0 {
        request.remaining_prefill = request.remaining_prefill.saturating_sub(PREFILL_PER_STEP);
        return;
    }
    request.completion_tokens += 1;
    if request.completion_tokens >= request.target_tokens {
        request.state = RequestState::Done;
    }
}

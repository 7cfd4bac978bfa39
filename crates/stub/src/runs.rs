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
pub enum Stage {
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
pub struct Run {
    /// The request's id.
    pub request: String,
    /// The customer.
    pub customer: String,
    /// Prompt tokens, served once the prompt is read.
    pub prompt: u64,
    /// Tokens that it will produce.
    pub target: u64,
    /// Tokens that it has produced.
    pub produced: u64,
    /// Prompt tokens that are still to be read.
    pub unread: u64,
    /// Prompt tokens that the cache saved.
    pub cached: u64,
    /// 9 first.
    pub priority: u8,
    /// How far it is.
    pub stage: Stage,
}

impl Run {
    /// Returns the tokens that the engine counts as served.
    pub fn served(&self) -> u64 {
        if self.stage == Stage::Waiting || self.unread > 0 {
            return 0;
        }
        self.prompt + self.produced
    }

    /// Returns whether nothing more will come.
    pub fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Done | Stage::Cancelled)
    }
}

/// All requests of one engine.
#[derive(Debug, Default)]
pub struct Runs {
    all: BTreeMap<String, Run>,
    order: Vec<String>,
    running: Vec<String>,
    waiting: Vec<String>,
    cancelled_early: BTreeSet<String>,
    cache: VecDeque<u64>,
}

/// What became of a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// It is new.
    New,
    /// It is known: the caller may read it from an offset.
    Known,
    /// It was cancelled before it came.
    Cancelled,
}

impl Runs {
    /// Takes a request.
    pub fn begin(&mut self, run: Run, prefix: u64) -> Begin {
        if self.cancelled_early.contains(&run.request) {
            return Begin::Cancelled;
        }
        if self.all.contains_key(&run.request) {
            return Begin::Known;
        }
        let mut run = run;
        if self.cache.contains(&prefix) {
            run.cached = run.prompt / BLOCK * BLOCK;
        } else {
            self.cache.push_back(prefix);
            if self.cache.len() > CACHE_MOST {
                self.cache.pop_front();
            }
        }
        run.unread = (run.prompt - run.cached).max(1);
        self.waiting.push(run.request.clone());
        self.order.push(run.request.clone());
        self.all.insert(run.request.clone(), run);
        Begin::New
    }

    /// Does one step of the batch.
    pub fn step(&mut self, slots: usize) {
        while self.running.len() < slots && !self.waiting.is_empty() {
            let request = self.next_waiting();
            self.run_mut(&request).stage = Stage::Running;
            self.running.push(request);
        }
        for request in std::mem::take(&mut self.running) {
            let run = self.run_mut(&request);
            advance(run);
            if run.stage == Stage::Running {
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

    fn run_mut(&mut self, request: &str) -> &mut Run {
        self.all.get_mut(request).expect("listed requests are kept")
    }

    /// Cancels a request; one that never came will be refused when it does.
    pub fn cancel(&mut self, request: &str) -> Option<Run> {
        self.waiting.retain(|r| r != request);
        self.running.retain(|r| r != request);
        let Some(run) = self.all.get_mut(request) else {
            self.cancelled_early.insert(request.to_string());
            return None;
        };
        if !run.has_ended() {
            run.stage = Stage::Cancelled;
        }
        Some(run.clone())
    }

    /// Returns a request.
    pub fn get(&self, request: &str) -> Option<&Run> {
        self.all.get(request)
    }

    /// Returns all requests in the order in which they came.
    pub fn list(&self) -> Vec<&Run> {
        self.order.iter().map(|r| &self.all[r]).collect()
    }

    /// Returns how many requests run and wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }
}

fn advance(run: &mut Run) {
    if run.unread > 0 {
        run.unread = run.unread.saturating_sub(PREFILL_PER_STEP);
        return;
    }
    run.produced += 1;
    if run.produced >= run.target {
        run.stage = Stage::Done;
    }
}

//! What happened to the latest requests, for operators who ask why.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use serde::Serialize;

/// Requests remembered.
const REQUESTS_MOST: usize = 1_000;
/// Steps remembered of one request.
const STEPS_MOST: usize = 32;

/// One step of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// When, in milliseconds since the instance's start.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

#[derive(Debug, Default)]
struct Inner {
    steps: BTreeMap<String, Vec<Step>>,
    order: VecDeque<String>,
}

/// The latest requests with their steps.
#[derive(Debug, Default)]
pub struct RequestJournal(Mutex<Inner>);

impl RequestJournal {
    /// Adds a step to a request.
    pub fn record(&self, at_ms: u64, request: &str, description: impl Into<String>) {
        let mut inner = self.0.lock().expect("no panic inside");
        if !inner.steps.contains_key(request) {
            inner.order.push_back(request.to_string());
            inner.steps.insert(request.to_string(), Vec::new());
        }
        let steps = inner.steps.get_mut(request).expect("inserted above");
        if steps.len() < STEPS_MOST {
            let description = description.into();
            steps.push(Step { at_ms, description });
        }
        if inner.order.len() > REQUESTS_MOST {
            if let Some(old) = inner.order.pop_front() {
                inner.steps.remove(&old);
            }
        }
    }

    /// Returns a request's steps.
    pub fn steps_of(&self, request: &str) -> Vec<Step> {
        let inner = self.0.lock().expect("no panic inside");
        inner.steps.get(request).cloned().unwrap_or_default()
    }
}

//! A journal of the latest requests in memory, in which operators look up what happened to one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use serde::Serialize;

/// Maximum number of requests; the oldest is removed first.
const MAX_REQUESTS: usize = 1_000;
/// Maximum number of steps per request; later ones are dropped.
const MAX_STEPS: usize = 32;

/// A step of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// Time of the step, in milliseconds since the start of the instance.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

#[derive(Debug, Default)]
struct Inner {
    /// Steps by request id.
    steps: BTreeMap<String, Vec<Step>>,
    /// Ids of the requests, oldest first.
    by_age: VecDeque<String>,
}

/// The steps of the latest requests.
#[derive(Debug, Default)]
pub struct RequestJournal(Mutex<Inner>);

impl RequestJournal {
    /// Records a step of a request.
    pub fn record(&self, at_ms: u64, request: &str, description: impl Into<String>) {
        let mut inner = self.0.lock().expect("lock not poisoned");
        if !inner.steps.contains_key(request) {
            inner.by_age.push_back(request.to_string());
            inner.steps.insert(request.to_string(), Vec::new());
        }
        let steps = inner.steps.get_mut(request).expect("inserted above");
        if steps.len() < MAX_STEPS {
            let description = description.into();
            steps.push(Step { at_ms, description });
        }
        if inner.by_age.len() > MAX_REQUESTS {
            if let Some(oldest) = inner.by_age.pop_front() {
                inner.steps.remove(&oldest);
            }
        }
    }

    /// Returns the steps of a request; none if it is unknown.
    pub fn steps_of(&self, request: &str) -> Vec<Step> {
        let inner = self.0.lock().expect("lock not poisoned");
        inner.steps.get(request).cloned().unwrap_or_default()
    }
}

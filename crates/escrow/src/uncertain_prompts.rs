//! Prompts of which it is not known whether an upstream ran them: they were sent, and no part of a response arrived.
//!
//! Their tokens may be spent. They are released once the upstreams that got them are gone and were not heard of after
//! that: such an upstream was lost before it could run them, and nobody received anything.

use std::collections::VecDeque;

use smallvec::SmallVec;

/// Maximum number of prompts: beyond that, the tokens of the oldest ones are not released.
const MAX_PROMPTS: usize = 4_096;
/// Maximum number of gone upstreams that are remembered: a request that was sent to one of them may still be tried
/// elsewhere, and becomes uncertain at its end.
const MAX_GONE: usize = 256;

/// The sending of a prompt to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPrompt {
    /// Identifies the incarnation of the upstream.
    pub upstream: u64,
    /// Time, in milliseconds.
    pub sent_at: u64,
}

/// A prompt that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UncertainPrompt {
    /// The customer whose tokens it takes.
    pub customer: String,
    /// Its number of tokens.
    pub tokens: u64,
    /// The upstreams that may have run it.
    pub sent: SmallVec<[SentPrompt; 2]>,
}

/// An upstream that is gone.
#[derive(Clone, Copy, Debug)]
pub struct GoneUpstream {
    /// Identifies its incarnation.
    pub upstream: u64,
    /// When it was last heard of, in milliseconds.
    pub heard_at: u64,
}

/// What an instance knows of an upstream that got a prompt.
enum Finding {
    /// It may have run the prompt, and is never known not to have.
    MayHaveRun,
    /// It did not run the prompt.
    NotRun,
    /// It was not heard of since it got the prompt, and is not gone yet.
    Silent,
}

/// The prompts whose tokens may still be released.
#[derive(Debug, Default)]
pub struct UncertainPrompts {
    prompts: VecDeque<UncertainPrompt>,
    gone: VecDeque<GoneUpstream>,
}

impl UncertainPrompts {
    /// Adds a prompt.
    pub fn add(&mut self, prompt: UncertainPrompt) {
        self.prompts.push_back(prompt);
        if self.prompts.len() > MAX_PROMPTS {
            self.prompts.pop_front();
        }
    }

    /// Records that an upstream is gone and has no requests in flight.
    pub fn record_gone(&mut self, gone: GoneUpstream) {
        self.gone.push_back(gone);
        if self.gone.len() > MAX_GONE {
            self.gone.pop_front();
        }
    }

    /// Removes and returns the prompts that no upstream has run. `heard_at` returns when a listed upstream was last
    /// heard of. Prompts that may have run are removed as well: their tokens are never released.
    pub fn resolve(&mut self, heard_at: impl Fn(u64) -> Option<u64>) -> Vec<UncertainPrompt> {
        let mut not_run = Vec::new();
        let gone = &self.gone;
        self.prompts.retain_mut(|prompt| {
            let mut may_have_run = false;
            prompt.sent.retain(|s| match find(gone, &heard_at, *s) {
                Finding::MayHaveRun => {
                    may_have_run = true;
                    true
                }
                Finding::NotRun => false,
                Finding::Silent => true,
            });
            if prompt.sent.is_empty() {
                not_run.push(prompt.clone());
            }
            !may_have_run && !prompt.sent.is_empty()
        });
        not_run
    }
}

fn find(
    gone: &VecDeque<GoneUpstream>,
    heard_at: impl Fn(u64) -> Option<u64>,
    sent: SentPrompt,
) -> Finding {
    let (heard_at, is_listed) = match heard_at(sent.upstream) {
        // An upstream whose entry had expired may be listed again.
        Some(heard_at) => (heard_at, true),
        None => match gone.iter().rfind(|g| g.upstream == sent.upstream) {
            Some(gone) => (gone.heard_at, false),
            None => return Finding::Silent,
        },
    };
    if heard_at >= sent.sent_at {
        Finding::MayHaveRun
    } else if is_listed {
        Finding::Silent
    } else {
        Finding::NotRun
    }
}

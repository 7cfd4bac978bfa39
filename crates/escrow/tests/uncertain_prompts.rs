//! Prompts that may have run: when their tokens are released.

use std::collections::HashMap;

use escrow::{GoneUpstream, SentPrompt, UncertainPrompt, UncertainPrompts};

fn prompt(tokens: u64, sent: &[(u64, u64)]) -> UncertainPrompt {
    let sent = sent
        .iter()
        .map(|&(upstream, sent_at)| SentPrompt { upstream, sent_at });
    UncertainPrompt {
        customer: "c".to_string(),
        tokens,
        sent: sent.collect(),
    }
}

fn gone(upstream: u64, heard_at: u64) -> GoneUpstream {
    GoneUpstream { upstream, heard_at }
}

/// Returns the sizes of the prompts that are released, given when listed upstreams were last heard of.
fn resolve(prompts: &mut UncertainPrompts, listed: &[(u64, u64)]) -> Vec<u64> {
    let listed: HashMap<u64, u64> = listed.iter().copied().collect();
    let released = prompts.resolve(|upstream| listed.get(&upstream).copied());
    released.iter().map(|p| p.tokens).collect()
}

#[test]
fn a_prompt_is_released_once_its_silent_upstream_is_gone() {
    let mut prompts = UncertainPrompts::default();
    prompts.add(prompt(10, &[(1, 100)]));
    assert!(resolve(&mut prompts, &[(1, 99)]).is_empty());
    prompts.record_gone(gone(1, 99));
    assert_eq!(resolve(&mut prompts, &[]), [10]);
    assert!(resolve(&mut prompts, &[]).is_empty(), "released once");
}

/// Guards against tokens that are spent twice: the upstream was alive after it got the prompt.
#[test]
fn a_prompt_is_not_released_if_its_upstream_was_heard_of_afterwards() {
    let mut prompts = UncertainPrompts::default();
    prompts.add(prompt(10, &[(1, 100)]));
    prompts.record_gone(gone(1, 100));
    assert!(resolve(&mut prompts, &[]).is_empty());
    prompts.add(prompt(20, &[(2, 100)]));
    assert!(resolve(&mut prompts, &[(2, 200)]).is_empty());
    prompts.record_gone(gone(2, 0));
    assert!(resolve(&mut prompts, &[]).is_empty(), "it stays charged");
}

/// Guards against tokens that are spent twice: one of two upstreams that got the prompt may have run it.
#[test]
fn a_prompt_is_released_only_if_no_upstream_has_run_it() {
    let mut prompts = UncertainPrompts::default();
    prompts.add(prompt(10, &[(1, 100), (2, 150)]));
    prompts.add(prompt(20, &[(1, 100), (3, 150)]));
    prompts.record_gone(gone(1, 0));
    assert!(resolve(&mut prompts, &[(2, 0), (3, 160)]).is_empty());
    prompts.record_gone(gone(2, 0));
    prompts.record_gone(gone(3, 160));
    assert_eq!(resolve(&mut prompts, &[]), [10]);
}

/// Guards against tokens that are lost to a customer: its request was tried elsewhere until after the upstream was gone.
#[test]
fn an_upstream_that_is_gone_is_remembered() {
    let mut prompts = UncertainPrompts::default();
    prompts.record_gone(gone(1, 50));
    assert!(resolve(&mut prompts, &[]).is_empty());
    prompts.add(prompt(10, &[(1, 100)]));
    assert_eq!(resolve(&mut prompts, &[]), [10]);
}

/// Guards against tokens that are spent twice: an entry expired in an outage, and the upstream is listed again.
#[test]
fn a_prompt_sent_to_an_upstream_that_is_listed_again_is_not_released() {
    let mut prompts = UncertainPrompts::default();
    prompts.record_gone(gone(1, 50));
    prompts.add(prompt(10, &[(1, 100)]));
    assert!(resolve(&mut prompts, &[(1, 90)]).is_empty());
    assert!(resolve(&mut prompts, &[(1, 110)]).is_empty());
    prompts.record_gone(gone(1, 110));
    assert!(resolve(&mut prompts, &[]).is_empty());
}

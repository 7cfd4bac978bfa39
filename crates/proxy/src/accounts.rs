//! Messages about the accounts of engines: questions before a choice, entries when a request is sent, and
//! how attempts proceed.
//!
//! A message that is lost costs accuracy only: a question without an answer leaves this instance with its
//! own estimate, and an entry that is never ended expires.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use engine::{
    Accounts, Answer, AttemptKey, Entry, Load, MemoryReport, Owners, Segment, Silence, Summary,
};
use place::{Choice, InquiredEngine, Inquiry, KnownEngine};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use crate::datagram::Datagram;
use crate::event::Event;
use crate::fleet::Member;
use crate::request_context::RequestContext;
use crate::router::Router;

/// How long an answer is awaited, in milliseconds: a round trip between zones takes up to 3 ms, and an
/// instance with a tenth of a core may get to it a few milliseconds late.
const ANSWER_TIMEOUT_MS: u64 = 8;
/// Maximum additional wait while prompts are queued on this instance's link, in milliseconds: a small part
/// of what a first token may take.
const MAX_LINK_WAIT_MS: u64 = 20;
/// Queueing delay on this instance's link above which a question without an answer says nothing about its
/// owner, in milliseconds.
const BUSY_LINK_MS: f64 = 3.0;
/// If the wait took longer than planned by this, in milliseconds, this instance itself was late.
const LATE_MS: u64 = 8;
/// Age of questions from which on they are asked again, in milliseconds: a request may have waited for
/// tokens or for capacity meanwhile. It also bounds how often a request asks that tries again and again.
const MAX_ANSWER_AGE_MS: u64 = 100;
/// Time for which first tokens are gathered before they are reported, in milliseconds: short compared with
/// the reading of a prompt.
const FIRST_TOKEN_DELAY_MS: u64 = 8;
/// The same for ends of attempts, which change only the number of requests in flight.
const END_DELAY_MS: u64 = 100;
/// Minimum prefill time of an attempt that is entered, in milliseconds: shorter ones keep nobody waiting.
const MIN_ENTERED_PREFILL_MS: f64 = 2.0;
/// Part of an engine's memory, as a divisor, from which on an attempt is entered however short its prefill is. If all
/// slots run smaller requests, these hold some percent of the memory.
const MIN_ENTERED_MEMORY_DIVISOR: u64 = 1_000;
/// Interval between log lines about invalid messages, in milliseconds.
const INVALID_LOG_INTERVAL_MS: u64 = 10_000;
/// Maximum number of segments in an entry that are remembered; prompts have two to four.
const MAX_SEGMENTS: usize = 8;
/// Maximum number of attempts in one report.
const MAX_PROGRESS: usize = 128;

/// A question about an engine: its id, the engine, and the segments of the prompt that others may share.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Ask(u64, u64, SmallVec<[u64; 4]>);

/// The answer to a question.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Known {
    #[serde(rename = "q")]
    question: u64,
    /// Remaining time of the prompt that is being read, in milliseconds.
    #[serde(rename = "r", default)]
    reading_ms: u32,
    /// Prefill time of waiting prompts by priority, in milliseconds.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pending: Vec<(u8, u32)>,
    #[serde(rename = "n", default)]
    inflight: u32,
    /// Number of leading segments that the engine has most likely cached.
    #[serde(rename = "k", default)]
    cached_segments: usize,
    /// Tokens of the engine's memory: held by attempts, free, of cached segments, of shared ones among these.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    memory: Option<(u64, u64, u64, u64)>,
    /// The engine at which the prefix was read last, if this one is its first-ranked engine and has not cached it.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    copy: Option<u64>,
    /// What the engine has reported, and how many milliseconds ago.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    report: Option<(Load, u64)>,
}

/// An attempt that is being sent.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Entered {
    #[serde(rename = "e")]
    engine: u64,
    #[serde(rename = "a")]
    attempt: u64,
    #[serde(rename = "m")]
    prefill_ms: u32,
    #[serde(rename = "t")]
    tokens: u32,
    #[serde(rename = "p")]
    priority: u8,
    /// Segments of the prompt that others may share.
    #[serde(rename = "x", default)]
    segments: SmallVec<[u64; 4]>,
    /// Number of tokens of each of them.
    #[serde(rename = "z", default, skip_serializing_if = "SmallVec::is_empty")]
    sizes: SmallVec<[u64; 4]>,
    /// Expected number of output tokens.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    output_tokens: Option<u64>,
    #[serde(rename = "u")]
    remaining_ms: u64,
}

/// A prefix that is read at an engine which does not rank first for it: the first-ranked engine, the prefix, and the
/// engine that reads it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Copied(u64, u64, u64);

/// How attempts of the sender have proceeded, each with the engine and the attempt.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Progress {
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    first_tokens: Vec<(u64, u64)>,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    ended: Vec<(u64, u64)>,
    /// What engines have reported of themselves.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    loads: Vec<(u64, Load)>,
}

impl Progress {
    fn is_full(&self) -> bool {
        self.first_tokens.len() + self.ended.len() >= MAX_PROGRESS
    }
}

impl Entered {
    /// Returns the entry for the account of an engine with a capacity.
    fn entry(&self, sender: u64, capacity_tokens: u64) -> Entry {
        Entry {
            key: AttemptKey {
                sender,
                attempt: self.attempt,
            },
            prefill_ms: f64::from(self.prefill_ms),
            tokens: self.tokens,
            priority: self.priority,
            remaining_ms: self.remaining_ms,
            output_tokens: self.output_tokens.map(saturated),
            capacity_tokens,
        }
    }

    fn segments(&self) -> SmallVec<[Segment; 4]> {
        let segments = self.segments.iter().take(MAX_SEGMENTS).enumerate();
        let segment = |(i, id): (usize, &u64)| Segment {
            id: *id,
            tokens: self.sizes.get(i).copied().map(saturated),
        };
        segments.map(segment).collect()
    }
}

/// Returns a number of tokens as far as accounts can express it; they bound it by the engine's capacity.
fn saturated(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// A question that waits for its answer.
struct Pending {
    to: SocketAddr,
    engine: u64,
    /// Number of tokens that fit into the engine; 0 if unknown.
    capacity_tokens: u64,
    answers: mpsc::UnboundedSender<Received>,
}

/// Reports of progress that have not been sent yet.
#[derive(Default)]
struct Outbox {
    batches: HashMap<SocketAddr, Progress>,
    due_at: Option<u64>,
}

/// The accounts that this instance keeps, and its questions to other owners.
#[derive(Default)]
pub(crate) struct EngineAccounts {
    accounts: Mutex<Accounts>,
    questions: Mutex<Questions>,
    silence: Mutex<HashMap<SocketAddr, Silence>>,
    outbox: Mutex<Outbox>,
    outbox_changed: Notify,
    invalid_logged_at: Mutex<HashMap<SocketAddr, u64>>,
    /// The same for figures about engines' memory.
    impossible_logged_at: Mutex<HashMap<SocketAddr, u64>>,
    /// When a hint was last logged.
    hint_logged_at: Mutex<Option<u64>>,
}

#[derive(Default)]
struct Questions {
    last_id: u64,
    pending: HashMap<u64, Pending>,
}

/// The questions of one request; those without an answer are removed when it is dropped.
pub(crate) struct Asking {
    router: Arc<Router>,
    inquiry: Inquiry,
    capacity_tokens: u64,
    asked_at: u64,
    ids: SmallVec<[u64; 4]>,
    /// Number of answers from this instance's own accounts.
    own_answers: usize,
    replies: mpsc::UnboundedSender<Received>,
    answers: mpsc::UnboundedReceiver<Received>,
}

/// An answer about an engine, with the time at which it was received.
struct Received {
    engine: u64,
    received_at: u64,
    answer: Answer,
}

impl Drop for Asking {
    fn drop(&mut self) {
        self.take_unanswered();
    }
}

/// The entry of an attempt in an account, as its sender remembers it.
pub(crate) struct AccountEntry {
    engine: u64,
    attempt: u64,
    owners: Owners<Arc<Member>>,
}

/// What an attempt reports to the owners of its engine's account.
pub(crate) enum Step {
    FirstToken,
    Ended,
    Load(Load),
}

/// Returns what identifies an instance in accounts.
fn sender_id(addr: SocketAddr) -> u64 {
    xxh3_64(addr.to_string().as_bytes())
}

/// Returns whether the accounts of a request's engines are used.
fn uses_accounts(ctx: &RequestContext) -> bool {
    ctx.service_settings.engine.is_some() && ctx.info.prompt_tokens > 0
}

/// What a request has learnt from the owners of accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Consultation {
    /// When it asked, in milliseconds.
    asked_at: u64,
    /// Number of engines that it has asked about.
    pub(crate) asked: usize,
    /// The engines about which there is an answer.
    pub(crate) known: SmallVec<[KnownEngine; 4]>,
}

/// Asks the owners about the engines that a request may be sent to, without waiting for their answers;
/// none if the request's engines have no accounts.
pub(crate) fn ask(ctx: &RequestContext, inquire: impl FnOnce() -> Inquiry) -> Option<Asking> {
    if !uses_accounts(ctx) {
        return None;
    }
    let (replies, answers) = mpsc::unbounded_channel();
    let mut asking = Asking {
        router: Arc::clone(&ctx.router),
        inquiry: inquire(),
        capacity_tokens: ctx.kv_capacity_tokens(),
        asked_at: ctx.router.clock.now(),
        ids: SmallVec::new(),
        own_answers: 0,
        replies,
        answers,
    };
    for i in 0..asking.inquiry.engines.len() {
        asking.ask(i);
    }
    Some(asking)
}

impl Consultation {
    /// Returns whether the answers are still new enough for a choice.
    pub(crate) fn is_fresh(&self, now: u64) -> bool {
        now < self.asked_at + MAX_ANSWER_AGE_MS
    }
}

impl Asking {
    /// Returns whether the answers are still new enough for a choice.
    pub(crate) fn is_fresh(&self, now: u64) -> bool {
        now < self.asked_at + MAX_ANSWER_AGE_MS
    }

    /// Waits for the answers for a short time, and passes them to the pool.
    pub(crate) async fn consult(mut self) -> Consultation {
        let mut consultation = Consultation {
            asked_at: self.asked_at,
            asked: self.inquiry.engines.len(),
            known: SmallVec::new(),
        };
        let link_ms = self.router.with_link(|l, now| l.outbound_delay_ms(now));
        let timeout_ms = ANSWER_TIMEOUT_MS + (link_ms as u64).min(MAX_LINK_WAIT_MS);
        let mut until_ms = self.router.clock.now().max(self.asked_at + timeout_ms);
        let copy = self.receive_answers(&mut consultation, until_ms).await;
        if let Some(copy) = copy.filter(|_| !self.has_cached_all(&consultation)) {
            self.inquiry.engines.push(copy);
            consultation.asked += 1;
            until_ms = self.router.clock.now() + timeout_ms;
            self.ask(consultation.asked - 1);
            self.receive_answers(&mut consultation, until_ms).await;
        }
        self.record_unanswered(link_ms, until_ms, consultation.known.len());
        consultation
    }

    /// Receives answers until all are there, or some time has passed; returns an engine that was not asked about
    /// and has most likely read the prefix.
    async fn receive_answers(
        &mut self,
        consultation: &mut Consultation,
        until_ms: u64,
    ) -> Option<InquiredEngine> {
        let until = self.router.clock.at(until_ms);
        let mut copy = None;
        while consultation.known.len() < consultation.asked {
            let next = match self.answers.try_recv() {
                Ok(received) => Some(received),
                Err(_) => timeout_at(until, self.answers.recv()).await.ok().flatten(),
            };
            let Some(received) = next else {
                break;
            };
            consultation.known.push(KnownEngine {
                hash: received.engine,
                cached_segments: received.answer.cached_segments,
            });
            copy = copy.or(received.answer.copy);
            self.apply(received);
        }
        let is_asked = |hash: &u64| self.inquiry.engines.iter().any(|e| e.hash == *hash);
        let copy = copy.filter(|hash| !is_asked(hash))?;
        let pool = self.router.pool.lock().expect("lock not poisoned");
        pool.inquired(self.router.clock.now(), copy)
    }

    /// Returns whether an engine that has answered has cached all segments that others may share.
    fn has_cached_all(&self, consultation: &Consultation) -> bool {
        let shared = self.inquiry.segments.len();
        consultation
            .known
            .iter()
            .any(|k| k.cached_segments >= shared)
    }

    fn apply(&self, received: Received) {
        let Received {
            engine,
            received_at,
            answer,
        } = received;
        let mut pool = self.router.pool.lock().expect("lock not poisoned");
        pool.set_account(received_at, engine, self.inquiry.last_attempt, answer);
    }

    /// Removes the questions without an answer; returns whom they were sent to.
    fn take_unanswered(&mut self) -> SmallVec<[SocketAddr; 4]> {
        let questions = &self.router.accounts.questions;
        let mut questions = questions.lock().expect("lock not poisoned");
        let removed = self.ids.drain(..).map(|id| questions.pending.remove(&id));
        removed.flatten().map(|p| p.to).collect()
    }

    /// Records the questions without an answer. If this instance is late, or its link is busy, that says
    /// nothing about the owners.
    fn record_unanswered(&mut self, link_ms: f64, until_ms: u64, answered: usize) {
        let owners = self.take_unanswered();
        let (router, accounts) = (&self.router, &self.router.accounts);
        let now = router.clock.now();
        router.metrics.account_timeouts.inc_by(owners.len() as u64);
        let waited_ms = now - self.asked_at;
        let is_late = now > until_ms + LATE_MS;
        if is_late || link_ms > BUSY_LINK_MS || router.is_link_congested() {
            return;
        }
        for addr in owners {
            let others_answered = answered > self.own_answers;
            accounts.record_timeout(router, addr, waited_ms, others_answered);
        }
    }

    /// Sends a question about an engine to the first owner that is not silent; an account of this instance
    /// answers at once.
    fn ask(&mut self, index: usize) {
        let (router, accounts) = (&self.router, &self.router.accounts);
        let engine = &self.inquiry.engines[index];
        let segments = &self.inquiry.segments;
        let roster = router.fleet.roster();
        let owners = roster.account_owners(engine.hash, &engine.zone);
        let now = router.clock.now();
        let own = router.fleet.incarnation();
        let silence = accounts.silence.lock().expect("lock not poisoned");
        let is_silent = |m: &&Arc<Member>| silence.get(&m.addr).is_some_and(|s| s.is_silent(now));
        let owner = owners.iter().find(|m| m.id == own || !is_silent(m));
        let owner = owner.cloned();
        drop(silence);
        let Some(owner) = owner else {
            return;
        };
        if owner.id == own {
            self.own_answers += 1;
            // The receiver is alive while the request asks.
            let _ = self.replies.send(Received {
                engine: engine.hash,
                received_at: now,
                answer: accounts.answer(now, engine.hash, segments),
            });
            return;
        }
        let pending = Pending {
            to: owner.addr,
            engine: engine.hash,
            capacity_tokens: self.capacity_tokens,
            answers: self.replies.clone(),
        };
        let mut questions = accounts.questions.lock().expect("lock not poisoned");
        questions.last_id += 1;
        let id = questions.last_id;
        questions.pending.insert(id, pending);
        drop(questions);
        let ask = Ask(id, engine.hash, segments.clone());
        let sender = &router.network.sender;
        sender.send(&Datagram::Ask(ask), [owner.addr]);
        router.metrics.account_questions.inc();
        self.ids.push(id);
    }
}

/// Enters an attempt that is about to be sent in the account of its engine, at both owners, so that either
/// of them can answer.
pub(crate) fn enter(ctx: &RequestContext, choice: &Choice) -> Option<AccountEntry> {
    let capacity_tokens = ctx.kv_capacity_tokens();
    let output_tokens = u64::from(ctx.expected_output_tokens);
    let tokens = u64::from(ctx.info.prompt_tokens) + output_tokens;
    let is_short = choice.prefill_ms < MIN_ENTERED_PREFILL_MS;
    let is_small = capacity_tokens == 0 || tokens < capacity_tokens / MIN_ENTERED_MEMORY_DIVISOR;
    if !uses_accounts(ctx) || (is_short && is_small) {
        return None;
    }
    let router = &*ctx.router;
    let engine = {
        let pool = router.pool.lock().expect("lock not poisoned");
        pool.incarnation_hash(choice)
    };
    let owners = router
        .fleet
        .roster()
        .account_owners(engine, &choice.spec.zone);
    let sizes = if capacity_tokens > 0 {
        place::shared_segment_sizes(&ctx.info.prompt_segments)
    } else {
        SmallVec::new()
    };
    let entered = Entered {
        engine,
        attempt: choice.attempt.0,
        prefill_ms: choice.prefill_ms.ceil() as u32,
        tokens: ctx.info.prompt_tokens,
        priority: ctx.priority,
        segments: place::shared_segments(&ctx.info.prompt_segments),
        sizes,
        output_tokens: (capacity_tokens > 0).then_some(output_tokens),
        remaining_ms: ctx.remaining_ms(),
    };
    if owners.iter().any(|m| m.id == router.fleet.incarnation()) {
        let own = sender_id(router.fleet.addr());
        let (entry, segments) = (entered.entry(own, capacity_tokens), entered.segments());
        let now = router.clock.now();
        // The figures are this instance's own.
        let _ = router.accounts.enter(now, engine, entry, &segments);
    }
    let others = other_owners(router, &owners);
    let others: SmallVec<[SocketAddr; 2]> = others.collect();
    router
        .network
        .sender
        .send(&Datagram::Entered(entered), others);
    if let Some(first) = &choice.copy_of {
        report_copy(ctx, engine, first);
    }
    router.metrics.account_entries.inc();
    Some(AccountEntry {
        engine,
        attempt: choice.attempt.0,
        owners,
    })
}

/// Reports that a request's prefix is read at an engine to the owners of its first-ranked engine's account.
fn report_copy(ctx: &RequestContext, engine: u64, first: &InquiredEngine) {
    let shared = place::shared_segments(&ctx.info.prompt_segments);
    let Some(prefix) = shared.last().copied() else {
        return;
    };
    let router = &*ctx.router;
    let owners = router
        .fleet
        .roster()
        .account_owners(first.hash, &first.zone);
    let copied = Copied(first.hash, prefix, engine);
    if owners.iter().any(|m| m.id == router.fleet.incarnation()) {
        receive_copy(router, &copied);
    }
    let others: SmallVec<[SocketAddr; 2]> = other_owners(router, &owners).collect();
    let sender = &router.network.sender;
    sender.send(&Datagram::Copied(copied), others);
}

/// Returns the addresses of the owners other than this instance.
fn other_owners<'a>(
    router: &'a Router,
    owners: &'a Owners<Arc<Member>>,
) -> impl Iterator<Item = SocketAddr> + 'a {
    let own = router.fleet.incarnation();
    owners.iter().filter(move |m| m.id != own).map(|m| m.addr)
}

/// Reports how an entered attempt has proceeded.
pub(crate) fn report(router: &Router, entry: &AccountEntry, step: &Step) {
    let now = router.clock.now();
    let accounts = &router.accounts;
    let own = router.fleet.incarnation();
    if entry.owners.iter().any(|m| m.id == own) {
        let sender = sender_id(router.fleet.addr());
        let progress = entry.progress(step);
        accounts.apply_progress(now, sender, &progress);
    }
    let mut outbox = accounts.outbox.lock().expect("lock not poisoned");
    for addr in other_owners(router, &entry.owners) {
        let batch = outbox.batches.entry(addr).or_default();
        entry.add_to(batch, step);
        let delay_ms = match step {
            // Goes along with the first token.
            Step::Load(_) => continue,
            _ if batch.is_full() => 0,
            Step::FirstToken => FIRST_TOKEN_DELAY_MS,
            Step::Ended => END_DELAY_MS,
        };
        let due_at = now + delay_ms;
        if outbox.due_at.is_none_or(|at| due_at < at) {
            outbox.due_at = Some(due_at);
            accounts.outbox_changed.notify_one();
        }
    }
}

impl AccountEntry {
    fn progress(&self, step: &Step) -> Progress {
        let mut progress = Progress::default();
        self.add_to(&mut progress, step);
        progress
    }

    fn add_to(&self, batch: &mut Progress, step: &Step) {
        let attempt = (self.engine, self.attempt);
        match step {
            Step::FirstToken => batch.first_tokens.push(attempt),
            Step::Ended => {
                batch.first_tokens.retain(|a| *a != attempt);
                batch.ended.push(attempt);
            }
            Step::Load(load) => {
                batch.loads.retain(|(engine, _)| *engine != self.engine);
                batch.loads.push((self.engine, *load));
            }
        }
    }
}

/// Sends gathered reports when they are due.
pub(crate) async fn send_progress(router: Arc<Router>) {
    let accounts = &router.accounts;
    loop {
        let due_at = accounts.outbox.lock().expect("lock not poisoned").due_at;
        match due_at {
            None => accounts.outbox_changed.notified().await,
            Some(at) if router.clock.now() < at => {
                tokio::select! {
                    () = sleep_until(router.clock.at(at)) => {}
                    () = accounts.outbox_changed.notified() => {}
                }
            }
            Some(_) => {
                let batches = {
                    let mut outbox = accounts.outbox.lock().expect("lock not poisoned");
                    outbox.due_at = None;
                    std::mem::take(&mut outbox.batches)
                };
                for (addr, progress) in batches {
                    let datagram = Datagram::Progress(progress);
                    router.network.sender.send(&datagram, [addr]);
                }
            }
        }
    }
}

/// Answers a question of another instance.
pub(crate) fn receive_question(router: &Router, from: SocketAddr, ask: &Ask) {
    let Ask(question, engine, segments) = ask;
    let now = router.clock.now();
    let answer = router.accounts.answer(now, *engine, segments);
    let to_tuple = |(priority, ms): &(u8, f64)| (*priority, ms.ceil() as u32);
    let known = Known {
        question: *question,
        reading_ms: answer.reading_ms.ceil() as u32,
        pending: answer.pending.iter().map(to_tuple).collect(),
        inflight: answer.inflight,
        cached_segments: answer.cached_segments,
        memory: answer.memory.map(|m| (m.held, m.free, m.cached, m.shared)),
        copy: answer.copy,
        report: answer.report,
    };
    let sender = &router.network.sender;
    sender.send(&Datagram::Known(known), [from]);
}

/// Passes an answer to the request that asked.
pub(crate) fn receive_answer(router: &Router, from: SocketAddr, known: Known) {
    let accounts = &router.accounts;
    {
        let mut silence = accounts.silence.lock().expect("lock not poisoned");
        if let Some(silence) = silence.get_mut(&from) {
            silence.record_answer();
        }
    }
    let pending = {
        let mut questions = accounts.questions.lock().expect("lock not poisoned");
        let is_asked = |p: &Pending| p.to == from;
        let asked = questions.pending.get(&known.question).is_some_and(is_asked);
        asked.then(|| questions.pending.remove(&known.question))
    };
    // The answer came too late, or is to another question.
    let Some(pending) = pending.flatten() else {
        return;
    };
    router.metrics.account_answers.inc();
    let memory = bounded_memory(router, from, known.memory, pending.capacity_tokens);
    let answer = Answer {
        memory,
        copy: known.copy,
        reading_ms: f64::from(known.reading_ms),
        pending: known
            .pending
            .iter()
            .map(|(priority, ms)| (*priority, f64::from(*ms)))
            .collect(),
        inflight: known.inflight,
        cached_segments: known.cached_segments,
        report: known.report,
    };
    match answer.checked() {
        Some(answer) => {
            // The request may have stopped waiting.
            let _ = pending.answers.send(Received {
                engine: pending.engine,
                received_at: router.clock.now(),
                answer,
            });
        }
        None => accounts.log_invalid(router, from, "answer"),
    }
}

/// Returns the memory in an answer, with figures that are possible; none if the engine's capacity is unknown
/// here or there.
fn bounded_memory(
    router: &Router,
    from: SocketAddr,
    memory: Option<(u64, u64, u64, u64)>,
    capacity_tokens: u64,
) -> Option<MemoryReport> {
    let (held, free, cached, shared) = memory.filter(|_| capacity_tokens > 0)?;
    let report = MemoryReport {
        held,
        free,
        cached,
        shared,
    };
    let (bounded, changed) = report.bounded(capacity_tokens);
    if changed {
        router.accounts.log_impossible(router, from, "answer");
    }
    Some(bounded)
}

/// Enters an attempt of another instance.
pub(crate) fn receive_entry(router: &Router, from: SocketAddr, entered: &Entered) {
    let now = router.clock.now();
    let capacity_tokens = router.kv_capacity_tokens(entered.engine);
    let entry = entered.entry(sender_id(from), capacity_tokens);
    let segments = entered.segments();
    if !entry.has_possible_memory(&segments) {
        router.accounts.log_impossible(router, from, "entry");
    }
    let accounts = &router.accounts;
    let result = accounts.enter(now, entered.engine, entry, &segments);
    if result.is_err() {
        router.accounts.log_invalid(router, from, "entry");
    }
}

/// Records that a prefix is read at another engine than its first-ranked one.
pub(crate) fn receive_copy(router: &Router, copied: &Copied) {
    let Copied(first, prefix, engine) = *copied;
    let now = router.clock.now();
    let mut accounts = router.accounts.accounts.lock().expect("lock not poisoned");
    accounts.record_copy(now, first, prefix, engine);
}

/// Records how attempts of another instance have proceeded.
pub(crate) fn receive_progress(router: &Router, from: SocketAddr, progress: &Progress) {
    let now = router.clock.now();
    router
        .accounts
        .apply_progress(now, sender_id(from), progress);
}

impl EngineAccounts {
    fn answer(&self, now: u64, engine: u64, segments: &[u64]) -> Answer {
        let mut accounts = self.accounts.lock().expect("lock not poisoned");
        accounts.answer(now, engine, segments)
    }

    fn enter(
        &self,
        now: u64,
        engine: u64,
        entry: Entry,
        segments: &[Segment],
    ) -> Result<(), engine::InvalidEntry> {
        let mut accounts = self.accounts.lock().expect("lock not poisoned");
        accounts.enter(now, engine, entry, segments)
    }

    /// Returns sums over the accounts that this instance keeps.
    pub(crate) fn summary(&self) -> Summary {
        self.accounts.lock().expect("lock not poisoned").summary()
    }

    fn apply_progress(&self, now: u64, sender: u64, progress: &Progress) {
        let mut accounts = self.accounts.lock().expect("lock not poisoned");
        for (engine, load) in &progress.loads {
            accounts.set_report(now, *engine, *load, 0);
        }
        for (engine, attempt) in progress.first_tokens.iter().copied() {
            accounts.record_first_token(now, engine, AttemptKey { sender, attempt });
        }
        for (engine, attempt) in progress.ended.iter().copied() {
            accounts.end(now, engine, AttemptKey { sender, attempt });
        }
    }

    /// Records a question without an answer.
    fn record_timeout(
        &self,
        router: &Router,
        owner: SocketAddr,
        waited_ms: u64,
        others_answered: bool,
    ) {
        let mut silence = self.silence.lock().expect("lock not poisoned");
        let silent = silence
            .entry(owner)
            .or_default()
            .record_timeout(router.clock.now(), others_answered);
        drop(silence);
        if silent {
            let detail = format_args!("owner={owner} waited_ms={waited_ms}");
            router.log.event(Event::AccountOwnerSilent, detail);
        }
    }

    fn log_invalid(&self, router: &Router, from: SocketAddr, what: &str) {
        if is_log_due(&self.invalid_logged_at, router.clock.now(), from) {
            let detail = format_args!("from={from} what={what}");
            router.log.event(Event::AccountMessageInvalid, detail);
        }
    }

    fn log_impossible(&self, router: &Router, from: SocketAddr, what: &str) {
        if is_log_due(&self.impossible_logged_at, router.clock.now(), from) {
            let detail = format_args!("from={from} what={what}");
            router.log.event(Event::EngineMemoryImpossible, detail);
        }
    }

    /// Logs a caller's hint of the length of a response that can't be true.
    pub(crate) fn log_impossible_hint(&self, router: &Router, hint: Option<u64>) {
        let now = router.clock.now();
        let mut logged_at = self.hint_logged_at.lock().expect("lock not poisoned");
        if logged_at.is_some_and(|at| now < at + INVALID_LOG_INTERVAL_MS) {
            return;
        }
        *logged_at = Some(now);
        drop(logged_at);
        let detail = format_args!("from=caller what=hint tokens={}", hint.unwrap_or_default());
        router.log.event(Event::EngineMemoryImpossible, detail);
    }

    /// Drops what is known of addresses that are no instances any more.
    pub(crate) fn retain_peers(&self, is_peer: impl Fn(SocketAddr) -> bool) {
        let mut silence = self.silence.lock().expect("lock not poisoned");
        silence.retain(|addr, _| is_peer(*addr));
        drop(silence);
        for logged_at in [&self.invalid_logged_at, &self.impossible_logged_at] {
            let mut logged_at = logged_at.lock().expect("lock not poisoned");
            logged_at.retain(|addr, _| is_peer(*addr));
        }
    }

    fn drop_unused(&self, now: u64) {
        let mut accounts = self.accounts.lock().expect("lock not poisoned");
        accounts.drop_unused(now);
    }

    /// Returns the state for operators.
    pub(crate) fn dump(&self, now: u64) -> serde_json::Value {
        let summary = self.summary();
        let silence = self.silence.lock().expect("lock not poisoned");
        let silent = silence.iter().filter(|(_, s)| s.is_silent(now));
        let silent: Vec<String> = silent.map(|(addr, _)| addr.to_string()).collect();
        serde_json::json!({
            "engines": summary.engines,
            "entries": summary.entries,
            "held_tokens": summary.held_tokens,
            "cached_tokens": summary.cached_tokens,
            "silent_owners": silent,
        })
    }
}

/// Returns whether a line about a sender is due, and records that it is written.
fn is_log_due(logged_at: &Mutex<HashMap<SocketAddr, u64>>, now: u64, from: SocketAddr) -> bool {
    let mut logged_at = logged_at.lock().expect("lock not poisoned");
    let recently = |at: &u64| now < at + INVALID_LOG_INTERVAL_MS;
    if logged_at.get(&from).is_some_and(recently) {
        return false;
    }
    logged_at.insert(from, now);
    true
}

/// Interval at which addresses that are no instances any more and unused accounts are forgotten.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(30);

/// Starts the tasks that send reports and forget former instances and engines.
pub(crate) fn spawn(router: &Arc<Router>) {
    tokio::spawn(send_progress(Arc::clone(router)));
    let router = Arc::clone(router);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(CLEANUP_INTERVAL).await;
            router.accounts.retain_peers(|a| router.fleet.is_peer(a));
            router.accounts.drop_unused(router.clock.now());
        }
    });
}

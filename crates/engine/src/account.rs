//! The accounts of engines that one instance keeps for the fleet.

use std::collections::HashMap;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::copies::Copies;
use crate::load::Load;
use crate::memory::{Memory, MemoryReport, Segment};
use crate::{MAX_INFLIGHT, MAX_PREFILL_MS, MAX_PRIORITY};

/// Maximum time for which an entry counts that is never ended, in milliseconds: the longest deadlines.
const MAX_ENTRY_MS: u64 = 60_000;
/// A prompt counts as read without a report of its first token after this multiple of its prefill time,
/// plus the time for the report: the report may be lost, or its sender gone.
const OVERDUE_FACTOR: f64 = 1.5;
const OVERDUE_MS: f64 = 40.0;
/// Maximum number of entries of one engine, far above the number of its slots; the oldest ones are
/// dropped.
const MAX_ENTRIES: usize = 1_024;
/// Maximum number of accounts that an instance keeps, to bound memory.
const MAX_ACCOUNTS: usize = 2_048;
/// Time since the last use after which an account is dropped if there are too many, in milliseconds.
const IDLE_MS: u64 = 60_000;
/// Time since the last use after which an account is dropped in any case, in milliseconds: its engine is most likely
/// gone. What an engine without requests has cached is known for that time.
const UNUSED_MS: u64 = 600_000;
/// Time for which a question counts as an attempt that is about to be entered, in milliseconds: an instance
/// enters its attempt some milliseconds after its question if it chooses this engine.
const QUESTION_MS: u64 = 6;
/// Age at which an engine's report no longer counts, in milliseconds.
const REPORT_STALE_MS: u64 = 3_000;

/// Identifies an attempt among those of all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// Identifies the instance.
    pub sender: u64,
    /// Identifies the attempt at that instance.
    pub attempt: u64,
}

/// An attempt that an instance enters when it sends the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The attempt.
    pub key: AttemptKey,
    /// Duration of the prefill, in milliseconds.
    pub prefill_ms: f64,
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time until the attempt is over at the latest, in milliseconds.
    pub remaining_ms: u64,
    /// Expected number of output tokens; none if the sender does not say. The attempt then holds no memory.
    pub output_tokens: Option<u32>,
    /// Number of tokens that fit into the engine's memory, by the owner's configuration; 0 if unknown.
    pub capacity_tokens: u64,
}

impl Entry {
    /// Returns whether the memory that the entry names is possible: the attempt fits into the engine, and its
    /// segments into the prompt.
    pub fn has_possible_memory(&self, segments: &[Segment]) -> bool {
        let output = u64::from(self.output_tokens.unwrap_or_default());
        let fits = u64::from(self.tokens) + output <= self.capacity_tokens;
        let has_capacity = self.capacity_tokens > 0;
        let sizes = segments.iter().map(|s| u64::from(s.tokens.unwrap_or(0)));
        let no_size_is_zero = segments.iter().all(|s| s.tokens != Some(0));
        !has_capacity || (fits && no_size_is_zero && sizes.sum::<u64>() <= u64::from(self.tokens))
    }
}

/// Why an entry is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidEntry {
    /// Its prefill time is negative, not a number or impossibly long.
    Prefill,
    /// There is no such priority.
    Priority,
}

/// What an account says of its engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Remaining time of the prompt that is being read, in milliseconds.
    pub reading_ms: f64,
    /// Prefill time of the prompts that wait, in milliseconds, by priority.
    pub pending: SmallVec<[(u8, f64); 4]>,
    /// Number of requests in flight.
    pub inflight: u32,
    /// Number of leading segments of the prompt that it has most likely cached.
    pub cached_segments: usize,
    /// Its memory; none if nothing is known of it.
    pub memory: Option<MemoryReport>,
    /// The engine at which the prefix of the prompt was read last, if this one is its first-ranked engine and has
    /// not cached all of it.
    pub copy: Option<u64>,
    /// The newest report of the engine itself, with its age in milliseconds.
    pub report: Option<(Load, u64)>,
}

impl Answer {
    /// Returns the answer, or none if its figures can't be true.
    pub fn checked(self) -> Option<Answer> {
        let possible = |ms: f64| (0.0..=MAX_PREFILL_MS).contains(&ms);
        let pending = |(priority, ms): &(u8, f64)| *priority <= MAX_PRIORITY && possible(*ms);
        let valid = possible(self.reading_ms)
            && self.pending.iter().all(pending)
            && self.inflight <= MAX_INFLIGHT;
        let report = self.report.map(|(load, age_ms)| (load.checked(), age_ms));
        valid.then_some(Answer { report, ..self })
    }

    /// Returns the prefill time for which a request of a priority waits, in milliseconds.
    pub fn wait_ms(&self, priority: u8) -> f64 {
        let ahead = self.pending.iter().filter(|(p, _)| *p <= priority);
        self.reading_ms + ahead.map(|(_, ms)| ms).sum::<f64>()
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Its prompt waits.
    Pending,
    /// Its prompt is being read, since a time in milliseconds.
    Reading { since: f64 },
    /// Its prompt has been read.
    Running,
}

#[derive(Clone, Copy, Debug)]
struct Recorded {
    entry: Entry,
    entered_at: u64,
    expires_at: u64,
    phase: Phase,
    /// What the attempt holds of the engine's memory.
    held_tokens: u64,
    /// The part of the prompt that no other one shares.
    own_tokens: u64,
}

/// The account of one engine.
#[derive(Clone, Debug, Default)]
struct Account {
    entries: Vec<Recorded>,
    memory: Memory,
    copies: Copies,
    /// When the last questions were answered.
    questions: SmallVec<[u64; 8]>,
    report: Option<(Load, u64)>,
    used_at: u64,
}

impl Account {
    /// Advances to the present: prompts are read one after the other, the most urgent ones first.
    fn advance(&mut self, now: u64) {
        self.entries.retain(|e| now < e.expires_at);
        let mut free_from = None;
        loop {
            let reading = self.entries.iter_mut().find_map(|e| match e.phase {
                Phase::Reading { since } => Some((since, e)),
                _ => None,
            });
            if let Some((since, recorded)) = reading {
                let overdue_at = since + recorded.entry.prefill_ms * OVERDUE_FACTOR + OVERDUE_MS;
                if overdue_at > now as f64 {
                    return;
                }
                recorded.phase = Phase::Running;
                free_from = Some(overdue_at);
            }
            if !self.begin_next(free_from.unwrap_or(now as f64)) {
                return;
            }
        }
    }

    /// Has the most urgent waiting prompt be read from some time on; returns whether there is one.
    fn begin_next(&mut self, from: f64) -> bool {
        let pending = self
            .entries
            .iter_mut()
            .filter(|e| e.phase == Phase::Pending);
        let next = pending.min_by_key(|e| (e.entry.priority, e.entered_at));
        let Some(next) = next else {
            return false;
        };
        let since = from.max(next.entered_at as f64);
        next.phase = Phase::Reading { since };
        true
    }

    fn enter(&mut self, now: u64, entry: Entry, segments: &[Segment]) {
        self.advance(now);
        self.entries.retain(|e| e.entry.key != entry.key);
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.remove(0);
        }
        self.memory.set_capacity(entry.capacity_tokens);
        let held_tokens = self.memory.held_by(entry.tokens, entry.output_tokens);
        let shared = segments.iter().filter_map(|s| s.tokens).map(u64::from);
        let own_tokens = u64::from(entry.tokens).saturating_sub(shared.sum());
        self.entries.push(Recorded {
            entry,
            entered_at: now,
            expires_at: now + entry.remaining_ms.min(MAX_ENTRY_MS),
            phase: Phase::Pending,
            held_tokens,
            own_tokens: if held_tokens > 0 { own_tokens } else { 0 },
        });
        self.memory.touch_shared(now, segments);
        self.memory.evict(self.held());
        self.advance(now);
    }

    /// Returns what the attempts hold of the engine's memory.
    fn held(&self) -> u64 {
        self.entries.iter().map(|e| e.held_tokens).sum()
    }

    fn record_first_token(&mut self, now: u64, key: AttemptKey) {
        self.advance(now);
        let Some(recorded) = self.entries.iter_mut().find(|e| e.entry.key == key) else {
            return;
        };
        let was_pending = recorded.phase == Phase::Pending;
        recorded.phase = Phase::Running;
        if was_pending {
            // The engine has read this prompt rather than the one that was assumed.
            self.restart_reading(now);
        }
        self.advance(now);
    }

    fn restart_reading(&mut self, now: u64) {
        for recorded in &mut self.entries {
            if let Phase::Reading { since } = &mut recorded.phase {
                *since = now as f64;
            }
        }
    }

    fn end(&mut self, now: u64, key: AttemptKey) {
        self.advance(now);
        if let Some(i) = self.entries.iter().position(|e| e.entry.key == key) {
            let ended = self.entries.remove(i);
            // No other request uses this part, but it takes memory until it is evicted.
            let id = xxh3_64_with_seed(&key.attempt.to_le_bytes(), key.sender);
            self.memory.touch_own(now, id, ended.own_tokens);
            self.memory.evict(self.held());
        }
        self.advance(now);
    }

    /// Returns what the attempts may hold that follow the questions of the last milliseconds. Without them, several
    /// instances would send to an engine that has room for one request.
    fn held_soon(&mut self, now: u64) -> u64 {
        self.questions.retain(|at| now < *at + QUESTION_MS);
        let mean = self.held() / self.entries.len().max(1) as u64;
        mean.saturating_mul(self.questions.len() as u64)
    }

    fn answer(&mut self, now: u64, segments: &[u64]) -> Answer {
        self.advance(now);
        let held = self.held().saturating_add(self.held_soon(now));
        self.questions.push(now);
        let mut answer = Answer {
            inflight: self.entries.len() as u32,
            cached_segments: self.memory.leading(now, segments),
            memory: self.memory.report(held),
            copy: None,
            ..Answer::default()
        };
        for Recorded { entry, phase, .. } in &self.entries {
            match phase {
                Phase::Pending => add(&mut answer.pending, entry.priority, entry.prefill_ms),
                Phase::Reading { since } => {
                    let read_ms = (now as f64 - since).max(0.0);
                    answer.reading_ms = (entry.prefill_ms - read_ms).max(0.0);
                }
                Phase::Running => {}
            }
        }
        answer.reading_ms = answer.reading_ms.min(MAX_PREFILL_MS);
        if answer.cached_segments < segments.len() {
            let prefix = segments.last();
            answer.copy = prefix.and_then(|prefix| self.copies.find(now, *prefix));
        }
        let report = self.report.filter(|(_, at)| now < at + REPORT_STALE_MS);
        answer.report = report.map(|(load, at)| (load, now.saturating_sub(at)));
        answer
    }
}

/// Adds a prefill time to the sum of its priority.
fn add(pending: &mut SmallVec<[(u8, f64); 4]>, priority: u8, ms: f64) {
    match pending.iter_mut().find(|(p, _)| *p == priority) {
        Some((_, sum)) => *sum = (*sum + ms).min(MAX_PREFILL_MS),
        None => pending.push((priority, ms)),
    }
}

/// Sums over all accounts, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of engines with an account.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// What the entries hold of the engines' memory, in tokens.
    pub held_tokens: u64,
    /// What cached segments take of it, in tokens.
    pub cached_tokens: u64,
}

/// The accounts that one instance keeps, by the hash of the engine's incarnation.
#[derive(Clone, Debug, Default)]
pub struct Accounts(HashMap<u64, Account>);

impl Accounts {
    /// Enters an attempt that is being sent, with the segments of its prompt that others may
    /// share. These count as cached from now on: their reading is part of what later prompts wait for.
    ///
    /// # Errors
    ///
    /// Returns which figure can't be true; nothing is entered then.
    pub fn enter(
        &mut self,
        now: u64,
        engine: u64,
        entry: Entry,
        segments: &[Segment],
    ) -> Result<(), InvalidEntry> {
        if !(0.0..=MAX_PREFILL_MS).contains(&entry.prefill_ms) {
            return Err(InvalidEntry::Prefill);
        }
        if entry.priority > MAX_PRIORITY {
            return Err(InvalidEntry::Priority);
        }
        if let Some(account) = self.account(now, engine) {
            account.enter(now, entry, segments);
        }
        Ok(())
    }

    /// Returns the account of an engine, a new one if there is none; none if there are too many.
    fn account(&mut self, now: u64, engine: u64) -> Option<&mut Account> {
        if !self.0.contains_key(&engine) && self.0.len() >= MAX_ACCOUNTS {
            self.0.retain(|_, a| now < a.used_at + IDLE_MS);
            if self.0.len() >= MAX_ACCOUNTS {
                return None;
            }
        }
        let account = self.0.entry(engine).or_default();
        account.used_at = now;
        Some(account)
    }

    /// Drops the accounts of engines to which nothing has been sent for a long time.
    pub fn drop_unused(&mut self, now: u64) {
        self.0.retain(|_, a| now < a.used_at + UNUSED_MS);
    }

    /// Records that a prefix is read at the engine `copy`, although `engine` ranks first for it.
    pub fn record_copy(&mut self, now: u64, engine: u64, prefix: u64, copy: u64) {
        if let Some(account) = self.account(now, engine) {
            account.copies.record(now, prefix, copy);
        }
    }

    /// Records the first token of an attempt: its prompt has been read.
    pub fn record_first_token(&mut self, now: u64, engine: u64, key: AttemptKey) {
        if let Some(account) = self.0.get_mut(&engine) {
            account.record_first_token(now, key);
        }
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, now: u64, engine: u64, key: AttemptKey) {
        if let Some(account) = self.0.get_mut(&engine) {
            account.end(now, key);
        }
    }

    /// Records what an engine has reported of itself, as of some milliseconds ago.
    pub fn set_report(&mut self, now: u64, engine: u64, load: Load, age_ms: u64) {
        let at = now.saturating_sub(age_ms);
        if let Some(account) = self.0.get_mut(&engine) {
            if account.report.is_none_or(|(_, previous)| previous <= at) {
                account.report = Some((load.checked(), at));
            }
        }
    }

    /// Answers a question about an engine and the segments of a prompt that others may share, in order.
    pub fn answer(&mut self, now: u64, engine: u64, segments: &[u64]) -> Answer {
        let account = self.0.get_mut(&engine);
        account.map_or_else(Answer::default, |a| a.answer(now, segments))
    }

    /// Returns sums over all accounts.
    pub fn summary(&self) -> Summary {
        Summary {
            engines: self.0.len(),
            entries: self.0.values().map(|a| a.entries.len()).sum(),
            held_tokens: self.0.values().map(Account::held).sum(),
            cached_tokens: self.0.values().map(|a| a.memory.cached()).sum(),
        }
    }
}

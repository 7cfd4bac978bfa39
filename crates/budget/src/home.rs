//! One shard at one instance: holds, settlements and the record they go to.
//!
//! The machine has at most one platform call open. It never repeats a write blindly: after an
//! unknown outcome it reads, and finds its own write again by the number it carries.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::grant::Sizing;
use crate::joint::{WaitingCall, Witness};
use crate::local::{Done, Held, Local, Pending, Waiting, Want};
use crate::msg::{
    Act, ActReply, Action, Doubt, Event, Note, Post, Reserve, ReserveReply, RunAt, Settled, Stored,
};
use crate::older::Older;
use crate::pacer::Pacer;
use crate::record::{Account, Record, Segment};

/// First wait after a failed platform call, in milliseconds.
const BACKOFF_MS: u64 = 100;
/// Longest wait after failed platform calls, in milliseconds.
const BACKOFF_MAX_MS: u64 = 5_000;
/// How long a copy of another holder's settlement is kept before it is posted from here.
const KEEP_MS: u64 = 3_000;
/// Pause between two attempts to learn what an orphaned request spent, in milliseconds.
const PROBE_MS: u64 = 5_000;
/// Pause between two requests for a copy of a settlement, in milliseconds.
const RECOPY_MS: u64 = 500;
/// How long a call for tokens waits for a step of a joint grant, in milliseconds.
const CALL_MS: u64 = 300;
/// How long an account that was used is looked at, in milliseconds.
const HOT_MS: u64 = 5_000;

/// What an instance is to a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Entries ask it first.
    Home,
    /// Entries of its zone ask it when they can't reach the home.
    Standby,
    /// It hands back what it holds.
    #[default]
    None,
}

/// Parameters of a home.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// How grants are sized.
    pub sizing: Sizing,
    /// Whether other holders are asked before a refusal.
    pub recall: bool,
    /// Whether grants are joint, where the zone has another instance.
    pub joint: bool,
    /// Percentage of the free budget that a standby holds; 0 for none.
    pub standby_pct: u8,
    /// How often a standby looks at the record, in milliseconds.
    pub standby_ms: u64,
    /// How long a settlement may wait for the record before a copy is made, in milliseconds.
    pub copy_ms: u64,
    /// How long an orphaned request waits for its caller, in milliseconds.
    pub orphan_ms: u64,
}

impl Default for Params {
    fn default() -> Self {
        Params {
            sizing: Sizing::Share,
            recall: true,
            joint: true,
            standby_pct: 15,
            standby_ms: 10_000,
            copy_ms: 5,
            orphan_ms: 15_000,
        }
    }
}

/// The platform call that is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Io {
    /// None.
    Idle,
    /// A read.
    Read {
        /// When it began.
        since: u64,
    },
    /// A write of the record.
    Write {
        /// When it began.
        since: u64,
    },
    /// A write of a segment.
    Segment,
}

/// A write whose effect on `giving` is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) number: u64,
    pub(crate) base: i64,
    pub(crate) giving: BTreeMap<String, u64>,
    pub(crate) record: Record,
}

/// One shard at one instance.
pub struct Home {
    /// This incarnation.
    pub(crate) me: String,
    pub(crate) params: Params,
    pub(crate) role: Role,
    /// The other holders that seem to live.
    pub(crate) peers: Vec<String>,
    /// The instance that gives its word for steps of new joint grants.
    pub(crate) witness: Option<String>,
    /// What this instance knows as a witness for others.
    pub(crate) witness_of: Witness,
    /// The record as last read or written, with the time at which that call began.
    pub(crate) known: Option<(Stored, u64)>,
    pub(crate) io: Io,
    pub(crate) doubtful: Vec<Proposal>,
    pub(crate) locals: BTreeMap<String, Local>,
    /// Accounts that something may have to be done for.
    pub(crate) hot: BTreeSet<String>,
    /// Whether a standby's own grants are to be looked at.
    pub(crate) standby_due: bool,
    pub(crate) next_hold: u64,
    pub(crate) next_write: u64,
    pub(crate) failures: u32,
    pub(crate) retry_at: u64,
    pub(crate) want_read: bool,
    pub(crate) kept: Vec<(u64, String, Post)>,
    pub(crate) rolled: Option<(String, Segment)>,
    pub(crate) older: Older,
    pub(crate) gone: Vec<String>,
    pub(crate) next_look: u64,
    /// A revision on which a write would have overspent, and when that was found: a read since
    /// then tells whether the revision was stale.
    pub(crate) suspect: Option<(i64, u64)>,
}

impl Home {
    /// Opens a home that knows nothing yet.
    pub fn open(me: &str, params: Params) -> Home {
        Home {
            me: me.to_string(),
            params,
            role: Role::None,
            peers: Vec::new(),
            witness: None,
            witness_of: Witness::default(),
            known: None,
            io: Io::Idle,
            doubtful: Vec::new(),
            locals: BTreeMap::new(),
            hot: BTreeSet::new(),
            standby_due: false,
            next_hold: 1,
            next_write: 1,
            failures: 0,
            retry_at: 0,
            want_read: false,
            kept: Vec::new(),
            rolled: None,
            older: Older::default(),
            gone: Vec::new(),
            next_look: 0,
            suspect: None,
        }
    }

    /// Sets what this instance is to the shard, and which other holders seem to live.
    pub fn place(&mut self, role: Role, peers: Vec<String>, witness: Option<String>) {
        self.role = role;
        self.witness_of.silent.retain(|h| !peers.contains(h));
        self.peers = peers;
        self.witness = witness;
        self.standby_due = true;
        self.hot.extend(self.locals.keys().cloned());
    }

    /// Returns what this instance is to the shard.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the record as last known.
    pub fn record(&self) -> Option<&Record> {
        self.known.as_ref().map(|(s, _)| &s.record)
    }

    /// Returns the accounts with something here.
    pub fn locals(&self) -> &BTreeMap<String, Local> {
        &self.locals
    }

    /// Returns whether the last platform call failed.
    pub fn is_cut_off(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether something waits for time or for the platform.
    pub fn is_busy(&self) -> bool {
        let busy = |l: &Local| !l.pending.is_empty() || !l.waiting.is_empty() || !l.acts.is_empty();
        self.io != Io::Idle || self.locals.values().any(busy)
    }

    /// Returns whether nothing is left to settle or hand back.
    pub fn is_clear(&self) -> bool {
        let clear = |(name, l): (&String, &Local)| {
            let quiet = l.is_quiet() && l.acts.is_empty() && l.recalls == 0 && l.joint.is_none();
            let empty = l.giving == 0 && self.available(name) == 0;
            quiet && empty && !self.has_unwritten_transfers(name)
        };
        self.io == Io::Idle && self.kept.is_empty() && self.locals.iter().all(clear)
    }

    /// Returns what this holder may still promise of an account.
    ///
    /// # Panics
    ///
    /// Panics when more was promised than is held, unless an operator took tokens back from this
    /// living holder: that act is allowed to, and is refused new work instead.
    pub fn available(&self, account: &str) -> u64 {
        let none = Local::default();
        let local = self.locals.get(account).unwrap_or(&none);
        let stored = self.record().and_then(|r| r.accounts.get(account));
        let line = stored.and_then(|a| a.lines.get(&self.me));
        let (granted, settled, released) =
            line.map_or((0, 0, 0), |l| (l.granted, l.settled, l.released));
        let got: u64 = local.got.values().sum();
        let sent: u64 = local.sent.values().sum();
        let opened = self.joint_opened(account);
        let has: i128 = i128::from(granted) + i128::from(got) + i128::from(opened);
        let owes = [
            settled,
            released,
            sent,
            local.giving,
            local.reserved(),
            local.unposted(&self.me),
        ];
        let left = has - owes.iter().map(|t| i128::from(*t)).sum::<i128>();
        assert!(
            left >= 0 || released > 0,
            "{account} at {}: has {has}, owes {owes:?}",
            self.me
        );
        left.max(0) as u64
    }

    /// Takes one event and appends what follows from it.
    pub fn step(&mut self, now: u64, event: Event, pacer: &mut Pacer, out: &mut Vec<Action>) {
        if let Some(account) = event.account() {
            self.hot.insert(account.to_string());
        }
        match event {
            Event::Reserve { ask, req, deadline } => self.reserve(now, ask, req, deadline, out),
            Event::Extend {
                ask,
                account,
                hold,
                at,
                tokens,
                deadline,
            } => self.extend(now, ask, &account, hold, at, tokens, deadline, out),
            Event::Void {
                account,
                request,
                entry,
            } => self.void(now, &account, &request, &entry),
            Event::Settle {
                ask,
                account,
                post,
                doubts,
            } => self.settle(now, ask, &account, post, &doubts, out),
            Event::DropOut {
                ask,
                account,
                hold,
                entry,
            } => self.drop_out(ask, &account, hold, &entry, out),
            Event::Keep { account, post } => self.kept.push((now + KEEP_MS, account, post)),
            Event::Recall {
                ask,
                account,
                to,
                tokens,
            } => self.call(now, ask, &account, to, tokens, out),
            Event::Open { ask, key, upto } => {
                let opened = self.witness_of.open(&key, upto);
                out.push(Action::Witnessed { ask, opened });
            }
            Event::Opened {
                account,
                key,
                opened,
            } => {
                self.opened(&account, &key, opened);
                self.answer_calls(now, &account, true, out);
            }
            Event::Recalled {
                account,
                from,
                sent,
            } => self.recalled(&account, from, sent),
            Event::Act { ask, account, act } => {
                let local = self.locals.entry(account).or_default();
                local.acts.push((ask, act));
            }
            Event::Read(stored) => self.read(now, stored, out),
            Event::ReadFailed | Event::WriteRefused => self.failed(now),
            Event::Written { revision } => self.written(revision, out),
            Event::WriteLost(stored) => self.write_lost(stored, out),
            Event::WriteUnknown => {
                self.failed(now);
                self.want_read = true;
            }
            Event::SegmentWritten(done) => self.segment_written(now, done),
            Event::Copied { account, hold } => self.copied(&account, hold, out),
            Event::Gone { entry } => self.entry_gone(now, &entry),
            Event::Proof {
                account,
                hold,
                tokens,
                at_ms,
            } => self.proof(now, &account, hold, tokens, at_ms, out),
            Event::SegmentRead(segment) => self.segment_read(now, segment),
            Event::Tick => self.tick(now, out),
        }
        self.pump(now, pacer, out);
        self.cool(now);
    }

    /// Forgets the accounts that nothing has to be done for.
    ///
    /// Without this every event would cost time by the number of budgets in the shard.
    fn cool(&mut self, now: u64) {
        let hot = std::mem::take(&mut self.hot);
        let busy = |n: &String| {
            let Some(l) = self.locals.get(n) else {
                return false;
            };
            let unwatched = l.joint.as_ref().is_some_and(|j| !j.is_watched);
            let waits = !l.is_quiet() || !l.acts.is_empty() || !l.calls.is_empty() || l.giving > 0;
            let recent = now < l.used_at + HOT_MS;
            unwatched || waits || recent || self.must_close(n) || self.has_unwritten_transfers(n)
        };
        self.hot = hot.into_iter().filter(busy).collect();
    }

    fn reserve(&mut self, now: u64, ask: u64, req: Reserve, deadline: u64, out: &mut Vec<Action>) {
        let me = self.me.clone();
        let account = req.account;
        let local = self.locals.entry(account.clone()).or_default();
        if let Some(reply) = known_request(&me, local, &req.request, req.body, &req.entry) {
            out.push(Action::Reserved { ask, reply });
            return;
        }
        let local = self.locals.get_mut(&account).expect("made above");
        local.demand(now, req.tokens);
        local.waiting.push_back(Waiting {
            ask,
            want: Want::New {
                request: req.request,
                body: req.body,
                entry: req.entry,
            },
            at: req.at,
            tokens: req.tokens,
            weight: req.weight,
            asked_at: now,
            deadline,
            recalled: false,
        });
    }

    fn extend(
        &mut self,
        now: u64,
        ask: u64,
        account: &str,
        hold: u64,
        at: RunAt,
        tokens: u64,
        deadline: u64,
        out: &mut Vec<Action>,
    ) {
        let local = self.locals.entry(account.to_string()).or_default();
        if !local.held.contains_key(&hold) {
            let reply = ReserveReply::Voided;
            out.push(Action::Reserved { ask, reply });
            return;
        }
        local.waiting.push_back(Waiting {
            ask,
            want: Want::More { hold },
            at,
            tokens,
            weight: 100,
            asked_at: now,
            deadline,
            recalled: false,
        });
    }

    /// Frees a reservation whose answer reached its entry too late, or never.
    ///
    /// Without this the tokens would stay reserved with nobody to settle them.
    fn void(&mut self, now: u64, account: &str, request: &str, entry: &str) {
        let me = self.me.clone();
        let local = self.locals.entry(account.to_string()).or_default();
        local.void(entry, request);
        local.waiting.retain(|w| match &w.want {
            Want::New {
                request: r,
                entry: e,
                ..
            } => r != request || e != entry,
            Want::More { .. } => true,
        });
        let Some(hold) = local.by_request.get(request).copied() else {
            return;
        };
        let only = |h: &Held| h.entries.len() == 1 && h.entries[0] == entry;
        if local.held.get(&hold).is_some_and(only) {
            let post = Post {
                holder: me,
                hold,
                request: request.to_string(),
                tokens: 0,
                billed: false,
                body: 0,
                at: RunAt::default(),
                at_ms: 0,
            };
            self.settle(now, None, account, post, &[], &mut Vec::new());
        }
    }

    pub(crate) fn settle(
        &mut self,
        now: u64,
        ask: Option<u64>,
        account: &str,
        mut post: Post,
        doubts: &[Doubt],
        out: &mut Vec<Action>,
    ) {
        if self.is_posted(account, &post) {
            reply_settled(ask, Settled::Recorded, out);
            return;
        }
        self.hot.insert(account.to_string());
        let copy_at = now
            + if self.failures > 0 {
                0
            } else {
                self.params.copy_ms
            };
        let local = self.locals.entry(account.to_string()).or_default();
        let same = |p: &&mut Pending| p.post.holder == post.holder && p.post.hold == post.hold;
        if let Some(pending) = local.pending.iter_mut().find(same) {
            pending.asks.extend(ask);
            return;
        }
        if post.holder == self.me {
            let Some(held) = local.held.remove(&post.hold) else {
                // An unknown number of this holder: an earlier settlement is already forgotten.
                reply_settled(ask, Settled::Recorded, out);
                return;
            };
            if post.tokens > held.tokens {
                let account = account.to_string();
                let tokens = post.tokens - held.tokens;
                out.push(Action::Note(Note::Excess { account, tokens }));
                post.tokens = held.tokens;
            }
            self.next_hold = close_hold(now, local, held, &post, doubts, self.next_hold);
        }
        local.pending.push(Pending {
            post,
            asks: ask.into_iter().collect(),
            copy_at,
        });
    }

    fn is_posted(&self, account: &str, post: &Post) -> bool {
        let record = self.record();
        record.is_some_and(|r| r.has_post(account, &post.holder, post.hold))
    }

    /// Takes another holder's call for tokens; opens a step first where that is needed.
    fn call(
        &mut self,
        now: u64,
        ask: u64,
        account: &str,
        to: String,
        tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let lack = tokens.saturating_sub(self.available(account));
        if lack == 0 || self.joint_left(now, account) == 0 {
            self.hand_over(ask, account, &to, tokens, out);
            return;
        }
        let until = now + CALL_MS;
        let local = self.locals.entry(account.to_string()).or_default();
        local.calls.push(WaitingCall {
            ask,
            to,
            tokens,
            until,
        });
        self.ask_step(now, account, lack, out);
    }

    /// Answers calls that waited for a step, all of them or those whose time is over.
    fn answer_calls(&mut self, now: u64, account: &str, all: bool, out: &mut Vec<Action>) {
        let Some(local) = self.locals.get_mut(account) else {
            return;
        };
        let (due, later) = std::mem::take(&mut local.calls)
            .into_iter()
            .partition(|c| all || c.until <= now);
        local.calls = later;
        for call in due {
            self.hand_over(call.ask, account, &call.to, call.tokens, out);
        }
    }

    /// Hands unspent tokens to a holder that lacks them: debited here before it is told.
    fn hand_over(&mut self, ask: u64, account: &str, to: &str, tokens: u64, out: &mut Vec<Action>) {
        let available = self.available(account);
        let waiting = self
            .locals
            .get(account)
            .is_some_and(|l| !l.waiting.is_empty());
        let give = match (waiting, self.role) {
            (true, _) => 0,
            (false, Role::None) => available,
            (false, _) => available.min(tokens.saturating_mul(2)),
        };
        let local = self.locals.entry(account.to_string()).or_default();
        let sent = local.sent.entry(to.to_string()).or_default();
        *sent += give;
        out.push(Action::Handed { ask, sent: *sent });
    }

    fn recalled(&mut self, account: &str, from: String, sent: Option<u64>) {
        let folded = self.record().is_some_and(|r| r.tombstones.contains(&from));
        let local = self.locals.entry(account.to_string()).or_default();
        local.recalls = local.recalls.saturating_sub(1);
        if folded {
            // What it handed over is a grant by now: counting it again would double it.
            return;
        }
        if let Some(sent) = sent.filter(|s| *s > 0) {
            let got = local.got.entry(from).or_default();
            *got = sent.max(*got);
        }
    }

    /// Takes an entry off a request; the last one must cancel and settle it instead.
    fn drop_out(&mut self, ask: u64, account: &str, hold: u64, entry: &str, out: &mut Vec<Action>) {
        let local = self.locals.get_mut(account);
        let held = local.and_then(|l| l.held.get_mut(&hold));
        let others = held.is_some_and(|h| {
            let at = h.entries.iter().position(|e| e == entry);
            let others = h.entries.len() > 1;
            if let (Some(at), true) = (at, others) {
                h.entries.remove(at);
            }
            others
        });
        out.push(Action::DroppedOut { ask, others });
    }

    fn copied(&mut self, account: &str, hold: u64, out: &mut Vec<Action>) {
        let Some(local) = self.locals.get_mut(account) else {
            return;
        };
        for pending in local.pending.iter_mut().filter(|p| p.post.hold == hold) {
            for ask in pending.asks.drain(..) {
                reply_settled(Some(ask), Settled::Copied, out);
            }
        }
    }

    /// Starts the wait for the callers of an entry that is gone.
    ///
    /// The reservation is not freed: the entry may be paused, and dispatch later.
    fn entry_gone(&mut self, now: u64, entry: &str) {
        if self.witness_of.watches(entry) {
            self.witness_of.silent.insert(entry.to_string());
            self.want_read = true;
        }
        let probe_at = now + self.params.orphan_ms;
        for local in self.locals.values_mut() {
            for held in local.held.values_mut() {
                let before = held.entries.len();
                held.entries.retain(|e| e != entry);
                if before > 0 && held.entries.is_empty() {
                    held.probe_at = Some(probe_at);
                }
            }
        }
    }

    fn proof(
        &mut self,
        now: u64,
        account: &str,
        hold: u64,
        tokens: u64,
        at_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let local = self.locals.get(account);
        let Some(held) = local.and_then(|l| l.held.get(&hold)) else {
            return;
        };
        let post = Post {
            holder: self.me.clone(),
            hold,
            request: held.request.clone(),
            tokens: tokens.saturating_sub(held.paid),
            billed: !held.uncertain && tokens > 0,
            body: held.body,
            at: held.at.clone(),
            at_ms,
        };
        self.settle(now, None, account, post, &[], out);
    }

    pub(crate) fn failed(&mut self, now: u64) {
        self.io = Io::Idle;
        self.failures += 1;
        let wait = (BACKOFF_MS << self.failures.min(6)).min(BACKOFF_MAX_MS);
        self.retry_at = now + wait / 2 + self.jitter(wait / 2);
    }

    /// Spreads retries, so that the instances don't all come back at once after an outage.
    fn jitter(&self, most: u64) -> u64 {
        let seed = format!("{}/{}/{}", self.me, self.next_write, self.failures);
        xxh3_64(seed.as_bytes()) % most.max(1)
    }

    fn segment_written(&mut self, now: u64, done: bool) {
        if done {
            self.io = Io::Idle;
            self.failures = 0;
        } else {
            self.rolled = None;
            self.failed(now);
        }
    }

    fn tick(&mut self, now: u64, out: &mut Vec<Action>) {
        self.post_kept(now);
        self.open_ahead(now, out);
        let called = |(n, l): (&String, &Local)| (!l.calls.is_empty()).then(|| n.clone());
        let hot = self.hot.iter().filter_map(|n| self.locals.get_key_value(n));
        let called: Vec<String> = hot.filter_map(called).collect();
        for name in called {
            self.answer_calls(now, &name, false, out);
        }
        self.copy_again(now, out);
        self.probe(now, out);
        self.give_back();
        let look = self.role == Role::Standby && self.params.standby_pct > 0;
        if look && now >= self.next_look {
            self.next_look = now + self.params.standby_ms;
            self.want_read = true;
        }
    }

    /// Posts copies whose holder did not get them into the record in time.
    ///
    /// The record is read first: mostly the holder was faster, and no write is needed.
    fn post_kept(&mut self, now: u64) {
        let read_at = self.known.as_ref().map_or(0, |(_, since)| *since);
        self.want_read |= self.kept.iter().any(|(at, ..)| *at <= now && *at > read_at);
        let (due, later) = std::mem::take(&mut self.kept)
            .into_iter()
            .partition(|(at, ..)| *at <= read_at);
        self.kept = later;
        for (_, account, post) in due {
            self.settle(now, None, &account, post, &[], &mut Vec::new());
        }
    }

    fn copy_again(&mut self, now: u64, out: &mut Vec<Action>) {
        for (account, local) in &mut self.locals {
            for pending in &mut local.pending {
                let waits = !pending.asks.is_empty() && pending.post.holder == self.me;
                if waits && pending.copy_at <= now {
                    pending.copy_at = now + RECOPY_MS;
                    out.push(Action::Copy {
                        account: account.clone(),
                        post: pending.post.clone(),
                    });
                }
            }
        }
    }

    fn probe(&mut self, now: u64, out: &mut Vec<Action>) {
        for (account, local) in &mut self.locals {
            for (hold, held) in &mut local.held {
                if held.probe_at.is_some_and(|at| at <= now) {
                    held.probe_at = Some(now + PROBE_MS);
                    out.push(Action::Probe {
                        account: account.clone(),
                        hold: *hold,
                        at: held.at.clone(),
                    });
                }
            }
        }
    }

    /// Hands unspent tokens back to the record when this instance is nothing to the shard.
    fn give_back(&mut self) {
        if self.role != Role::None || self.failures > 0 {
            return;
        }
        let names: Vec<String> = self.locals.keys().cloned().collect();
        self.hot.extend(names.iter().cloned());
        for name in names {
            let available = self.available(&name);
            let local = self.locals.get_mut(&name).expect("listed above");
            if local.waiting.is_empty() {
                local.giving += available;
            }
        }
    }

    /// Returns the answer for a request that the record, or an older bill, shows as billed.
    pub(crate) fn billed_before(
        &self,
        account: &str,
        request: &str,
        body: u64,
    ) -> Option<ReserveReply> {
        let bill = self.stored(account).and_then(|a| a.bill(request));
        let bill = bill.or_else(|| self.older.bill(account, request))?;
        if bill.body != body {
            return Some(ReserveReply::Reused);
        }
        Some(ReserveReply::Exists {
            holder: bill.holder.clone(),
            hold: 0,
            at: bill.at.clone(),
            billed: Some(bill.tokens),
        })
    }

    /// Returns what the record grants to this holder.
    pub(crate) fn granted(&self, account: &str) -> u64 {
        let stored = self.record().and_then(|r| r.accounts.get(account));
        let line = stored.and_then(|a| a.lines.get(&self.me));
        line.map_or(0, |l| l.granted.max(0) as u64)
    }

    /// Returns the account as the record shows it.
    pub(crate) fn stored(&self, account: &str) -> Option<&Account> {
        self.record().and_then(|r| r.accounts.get(account))
    }
}

/// Returns the answer for a request that is known, or refused for good.
fn known_request(
    me: &str,
    local: &mut Local,
    request: &str,
    body: u64,
    entry: &str,
) -> Option<ReserveReply> {
    if local.is_void(entry, request) {
        return Some(ReserveReply::Voided);
    }
    if let Some(hold) = local.by_request.get(request).copied() {
        let held = local.held.get_mut(&hold).expect("indexed by request");
        if held.body != body {
            return Some(ReserveReply::Reused);
        }
        held.probe_at = None;
        held.entries.push(entry.to_string());
        return Some(ReserveReply::Exists {
            holder: me.to_string(),
            hold,
            at: held.at.clone(),
            billed: None,
        });
    }
    let done = local.done.get(request)?;
    Some(done.reply(me, body))
}

/// Moves a hold to the finished requests; what is in doubt stays held under new numbers.
fn close_hold(
    now: u64,
    local: &mut Local,
    held: Held,
    post: &Post,
    doubts: &[Doubt],
    mut next_hold: u64,
) -> u64 {
    let mut rest = held.tokens - post.tokens;
    if local.by_request.get(&held.request) == Some(&post.hold) {
        local.by_request.remove(&held.request);
    }
    if post.billed {
        let done = Done {
            hold: post.hold,
            body: held.body,
            at: held.at.clone(),
            tokens: post.tokens,
            until: 0,
        };
        local.finish(now, held.request.clone(), done);
    }
    for doubt in doubts {
        let tokens = doubt.tokens.min(rest);
        rest -= tokens;
        let kept = Held {
            request: held.request.clone(),
            body: held.body,
            at: doubt.at.clone(),
            tokens,
            paid: doubt.paid,
            uncertain: true,
            probe_at: Some(now),
            entries: Default::default(),
        };
        local.held.insert(next_hold, kept);
        next_hold += 1;
    }
    next_hold
}

fn reply_settled(ask: Option<u64>, how: Settled, out: &mut Vec<Action>) {
    out.extend(ask.map(|ask| Action::Settled { ask, how }));
}

/// Returns the answer to an act as the record shows it.
pub(crate) fn act_reply(account: &Account, act: &Act) -> Option<ActReply> {
    match act {
        Act::TopUp { id, tokens } => match account.topups.get(id) {
            Some(old) if old == tokens => Some(ActReply::Done(*tokens)),
            Some(old) => Some(ActReply::IdReused(*old)),
            None => None,
        },
        Act::Release { id, .. } => {
            let found = account.releases.iter().find(|r| r.id == *id);
            found.map(|r| ActReply::Done(r.tokens))
        }
    }
}

//! One customer's tokens at one instance.

use crate::holdback::Holdback;
use crate::rate::{mul_div, Rate};
use crate::record::{BudgetRecord, LedgerEntry};
use crate::request_sizes::{RequestSizes, SmallerHalf};
use crate::totals::{CumulativeTotal, PeerTotals};

/// Demand that a grant covers, in milliseconds: the store may be out of reach for nine seconds and
/// more, and nothing can be taken meanwhile. What a crash strands grows with it.
const GRANT_HORIZON_MS: u64 = 10_000;
/// Time in which service is to be back after a loss of all instances, in milliseconds, where nothing names another.
const DEFAULT_RECOVERY_MS: u64 = 12_000;
/// Demand that a grant covers at least, in milliseconds, however soon the budget ends: without it each
/// request needs a write of its own then, and loses against the others'. A loss strands it.
const MIN_GRANT_MS: u64 = 300;
/// A grant below this percentage of its target is filled up.
const REFILL_BELOW_PCT: u64 = 75;
/// A grant above this percentage of its target is cut down to it.
const RETURN_ABOVE_PCT: u64 = 150;
/// Changes smaller than this are not worth a call, in tokens.
const MIN_CHANGE_TOKENS: u64 = 4_000;
/// The store's word on what is spent is renewed this often, in milliseconds, for refusals elsewhere; in
/// fleets of more than `SMALL_FLEET` instances so much more seldom that their calls stay as many.
const REPORT_INTERVAL_MS: u64 = 3_000;
const SMALL_FLEET: u64 = 9;
/// An instance that is not a customer's home, and was not asked for its tokens for so long, in milliseconds,
/// has none to hold: it took the home's place for a while.
const IDLE_AFTER_MS: u64 = 3_000;

/// What is known of the record.
#[derive(Clone, Debug)]
pub struct RecordSnapshot {
    /// The record.
    pub record: BudgetRecord,
    /// The store's revision of it; 0 when it does not exist yet.
    pub revision: i64,
    /// When it was read, in milliseconds.
    pub read_at: u64,
}

/// Why tokens can't be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// What is spent on record and the request together pass what is prepaid.
    Exhausted,
    /// Tokens may remain elsewhere.
    OutOfReach {
        /// Nobody held them when the record was read last.
        free: bool,
    },
}

/// One customer's tokens at one instance.
#[derive(Clone, Debug, Default)]
pub struct LocalBudget {
    prepaid: u64,
    /// The own line, as the store confirmed it.
    entry: LedgerEntry,
    /// Charged for this incarnation in lines that are no longer in the book.
    detached_charged: u64,
    /// Spent by the word of those lines, at most: nobody knows which of their writes landed.
    detached_spent: u64,
    /// Spent by the last line that was planned.
    planned_spent: u64,
    /// Handed back, cumulative: debited here before the store hears of it.
    returned: u64,
    /// Charged for the incarnation before this one and not spent by its last report: out of reach for good.
    stranded: u64,
    /// Came from other instances.
    tokens_received: PeerTotals,
    /// Went to other instances.
    tokens_sent: PeerTotals,
    spent: u64,
    /// Of what is spent here, other instances were told, which have it in their lines.
    spending_forwarded: PeerTotals,
    /// Spent at other instances by their word, for the own line.
    spending_received: PeerTotals,
    reserved: u64,
    demand: Rate,
    request_sizes: RequestSizes,
    /// When tokens were asked for first, by this incarnation.
    first_demand_at: Option<u64>,
    /// When tokens were asked for last.
    last_demand_at: Option<u64>,
    /// Tokens that waiting requests lack.
    waiting_tokens: u64,
    snapshot: Option<RecordSnapshot>,
    reported_at: u64,
    /// Time in which service is to be back after a loss of all instances, in milliseconds.
    recovery_ms: Option<u64>,
}

impl LocalBudget {
    /// Sets what is prepaid.
    pub fn set_prepaid(&mut self, prepaid: u64) {
        self.prepaid = prepaid;
    }

    /// Sets the time in which service is to be back after a loss of all instances, in milliseconds.
    pub fn set_recovery_time(&mut self, recovery_ms: u64) {
        self.recovery_ms = Some(recovery_ms);
    }

    /// Returns what is prepaid.
    pub fn prepaid(&self) -> u64 {
        self.prepaid
    }

    /// Returns the tokens that are neither spent nor reserved.
    ///
    /// # Panics
    ///
    /// Panics when more is spent and reserved than was ever granted: the budget would be exceeded.
    pub fn balance(&self) -> u64 {
        let covered = self.detached_charged + self.entry.granted + self.tokens_received.sum();
        let used = self.returned + self.tokens_sent.sum() + self.spent + self.reserved;
        covered
            .checked_sub(used)
            .expect("never more used than granted")
    }

    /// Returns the tokens that may be used: less than the balance after what is prepaid was lowered
    /// below what is charged, until all instances have handed back their part of it.
    fn usable(&self) -> u64 {
        let balance = self.balance();
        let Some(known) = &self.snapshot else {
            return balance;
        };
        let over = known.record.charged.saturating_sub(self.prepaid);
        if over == 0 {
            return balance;
        }
        let unspent = known.record.charged.saturating_sub(known.record.spent);
        let own = u128::from(balance + self.reserved);
        let cut = (u128::from(over) * own).div_ceil(u128::from(unspent.max(1)));
        balance.saturating_sub(cut.try_into().unwrap_or(u64::MAX))
    }

    /// Counts a request's demand.
    pub fn add_demand(&mut self, now: u64, tokens: u64) {
        self.demand.add(now, tokens);
        self.first_demand_at.get_or_insert(now);
        self.last_demand_at = Some(now);
    }

    /// Counts a request by the whole of what it can cost.
    pub fn add_request_size(&mut self, now: u64, tokens: u64) {
        self.request_sizes.add(now, tokens);
    }

    /// Returns whether a request may have tokens, in a fleet that has started again as a whole: one of the larger half may not
    /// have those that the smaller half needs, where a part of the budget is out of reach for good.
    pub fn admits(&self, now: u64, size: u64) -> bool {
        let Some(known) = &self.snapshot else {
            return true;
        };
        let rates = self.total_rate(now, &known.record);
        if self.stranded <= rates {
            return true;
        }
        let Some(half) = self.request_sizes.smaller_half() else {
            return true;
        };
        let gone_ms = self.first_demand_at.map_or(0, |at| now.saturating_sub(at));
        let kept = self.holdback(rates, Some(half)).smaller_half_left(gone_ms);
        let left = self.usable() + self.free();
        size <= half.max_tokens || left.saturating_sub(size) >= kept
    }

    /// Returns the demand of all instances, in tokens a second.
    fn total_rate(&self, now: u64, record: &BudgetRecord) -> u64 {
        record.rate.saturating_sub(self.entry.rate) + self.demand.per_second(now)
    }

    /// Returns what the requests need after a restart of all instances; all of it where nothing is known of their sizes.
    fn holdback(&self, rates: u64, half: Option<SmallerHalf>) -> Holdback {
        Holdback {
            recovery_ms: self.recovery_ms.unwrap_or(DEFAULT_RECOVERY_MS),
            total_rate: rates,
            smaller_half_share: half.map_or(1.0, |h| h.token_share),
        }
    }

    /// Reserves tokens for a request.
    pub fn reserve(&mut self, tokens: u64) -> bool {
        let fits = self.usable() >= tokens;
        if fits {
            self.reserved += tokens;
        }
        fits
    }

    /// Reserves as many of some tokens as there are, and returns how many.
    pub fn reserve_up_to(&mut self, tokens: u64) -> u64 {
        let part = tokens.min(self.usable());
        self.reserved += part;
        part
    }

    /// Ends a reservation; what was not spent is free again.
    ///
    /// # Panics
    ///
    /// Panics when more was spent than reserved, or more reserved than ever was: the budget would
    /// be exceeded.
    pub fn settle(&mut self, reserved: u64, spent: u64) {
        assert!(spent <= reserved, "never more spent than reserved");
        let rest = self.reserved.checked_sub(reserved);
        self.reserved = rest.expect("a reservation ends once");
        self.spent += spent;
    }

    /// Returns what is spent by the own line's word, were it written now.
    fn reportable_spent(&self) -> u64 {
        self.spent + self.spending_received.sum()
            - self.spending_forwarded.sum()
            - self.detached_spent
    }

    /// Returns whether tokens were spent that no line tells of yet.
    pub fn has_unreported_spending(&self) -> bool {
        self.reportable_spent() > self.planned_spent
    }

    /// Passes the tokens spent that no line tells of yet on to the instance that this one draws from, which
    /// takes them into its own; returns the total passed on to it.
    pub fn forward_spending(&mut self, peer: &str) -> u64 {
        let news = self.reportable_spent().saturating_sub(self.planned_spent);
        self.spending_forwarded.add(peer, news)
    }

    /// Returns the total of what is spent that was passed on to an instance so far.
    pub fn forwarded_spending(&self, peer: &str) -> u64 {
        self.spending_forwarded.for_peer(peer)
    }

    /// Takes the word of an instance that draws from this one on the total that it has passed on.
    pub fn receive_spending(&mut self, me: &str, told: &CumulativeTotal) {
        self.spending_received.merge(me, told);
    }

    /// Passes a reservation on to an instance that draws from this one; returns the total given to it.
    ///
    /// # Panics
    ///
    /// Panics when more was reserved than ever was.
    pub fn transfer_reserved(&mut self, peer: &str, reserved: u64) -> u64 {
        self.settle(reserved, 0);
        self.tokens_sent.add(peer, reserved)
    }

    /// Counts tokens that a waiting request lacks.
    pub fn begin_wait(&mut self, tokens: u64) {
        self.waiting_tokens += tokens;
    }

    /// Counts the end of a wait.
    pub fn end_wait(&mut self, tokens: u64) {
        self.waiting_tokens = self.waiting_tokens.saturating_sub(tokens);
    }

    /// Returns the tokens that waiting requests lack beyond the balance.
    pub fn shortfall(&self) -> u64 {
        self.waiting_tokens.saturating_sub(self.usable())
    }

    /// Returns why a request of some tokens is refused.
    pub fn reserve_error(&self, tokens: u64) -> ReserveError {
        if self.known_spent() + tokens > self.prepaid {
            ReserveError::Exhausted
        } else {
            let free = self.free() >= tokens;
            ReserveError::OutOfReach { free }
        }
    }

    /// Takes the record as the store has it.
    pub fn update_snapshot(&mut self, known: RecordSnapshot) {
        let newer = |k: &RecordSnapshot| k.revision > known.revision;
        if !self.snapshot.as_ref().is_some_and(newer) {
            self.snapshot = Some(known);
        }
    }

    /// Takes the own line as the book in the store has it at a revision.
    ///
    /// A write whose answer was lost shows here: its tokens are charged, so they count. The record is
    /// unknown then until it is read again: the one before does not hold them.
    ///
    /// # Panics
    ///
    /// Panics when a counter of the line went back: tokens could then be granted twice.
    pub fn confirm_entry(&mut self, line: LedgerEntry, revision: i64) {
        let was = self.entry;
        if line != was
            && self
                .snapshot
                .as_ref()
                .is_some_and(|k| k.revision < revision)
        {
            self.snapshot = None;
        }
        assert!(
            line.granted >= was.granted && line.returned >= was.returned && line.spent >= was.spent,
            "own line went back"
        );
        self.entry = line;
    }

    /// Takes the word that another incarnation's lines stand in the book, once for each revision of it;
    /// only its demand concerns this one, which is to be taken out of the record's.
    ///
    /// What stood there of this incarnation stays charged, but can't be handed back any more, also not
    /// what was debited for a write that has not landed.
    pub fn on_foreign_ledger(&mut self, theirs: LedgerEntry) {
        let unconfirmed = self.returned - self.entry.returned;
        self.detached_charged += self.entry.charged() - unconfirmed;
        self.returned = 0;
        self.detached_spent += self.planned_spent;
        self.planned_spent = 0;
        self.stranded = theirs.charged().saturating_sub(theirs.spent);
        self.entry = LedgerEntry {
            rate: theirs.rate,
            ..LedgerEntry::default()
        };
    }

    /// Returns the own line as the store confirmed it last.
    pub fn entry(&self) -> LedgerEntry {
        self.entry
    }

    /// Returns whether the record as last read holds the own line. It does not when it shows a later write of the own line, by
    /// which tokens were handed back and whose answer was lost.
    pub fn snapshot_includes_entry(&self) -> bool {
        let covers = |k: &RecordSnapshot| k.record.charged >= self.entry.charged();
        self.snapshot.as_ref().is_none_or(covers)
    }

    /// Returns the tokens that nobody holds, by the record as last read.
    pub fn free(&self) -> u64 {
        let charged = self.snapshot.as_ref().map(|k| k.record.charged);
        charged.map_or(0, |c| self.prepaid.saturating_sub(c))
    }

    /// Returns whether there is anything here to keep: requests, tokens, or a word on them.
    pub fn is_in_use(&self, now: u64) -> bool {
        !self.is_idle(now)
            || self.waiting_tokens > 0
            || self.balance() > 0
            || self.has_unreported_spending()
    }

    /// Returns whether it was not asked for tokens lately.
    fn is_idle(&self, now: u64) -> bool {
        self.last_demand_at
            .is_none_or(|at| now > at + IDLE_AFTER_MS)
    }

    /// Returns what is spent of the budget, as far as known here.
    fn known_spent(&self) -> u64 {
        let newer = self.reportable_spent().saturating_sub(self.entry.spent);
        self.snapshot.as_ref().map_or(0, |k| k.record.spent) + newer
    }

    /// Returns the tokens that this instance should hold.
    fn target(&self, now: u64, sharers: u64) -> u64 {
        let Some(known) = &self.snapshot else {
            return 0;
        };
        let rate = self.demand.per_second(now);
        let rates = self.total_rate(now, &known.record);
        let pool = self.grantable(&known.record, rate, rates, sharers);
        let share = mul_div(pool, rate, rates);
        let wanted = rate * GRANT_HORIZON_MS / 1000;
        wanted.min(share.max(rate * MIN_GRANT_MS / 1000))
    }

    /// Returns the own line as it should stand in the store, when that is worth a write, at an instance that is
    /// the customer's home, or not, and one of `sharers`.
    ///
    /// Tokens to hand back are debited here at once: were the answer lost, the write may yet land.
    pub fn plan_update(&mut self, now: u64, sharers: u64, home: bool) -> Option<LedgerEntry> {
        let holds = home || !self.is_idle(now);
        let target = if holds { self.target(now, sharers) } else { 0 };
        let known = self.snapshot.as_ref()?;
        let free = self.prepaid.saturating_sub(known.record.charged);
        let have = self.balance();
        let missing = self.waiting_tokens.saturating_sub(have);
        let mut line = LedgerEntry {
            granted: self.entry.granted,
            returned: self.returned,
            spent: self.reportable_spent(),
            rate: self.demand.per_second(now),
        };
        let low = have < target * REFILL_BELOW_PCT / 100 && target - have >= MIN_CHANGE_TOKENS;
        if (low || missing > 0) && free > 0 {
            line.granted += (target.saturating_sub(have)).max(missing).min(free);
        } else if have > target * RETURN_ABOVE_PCT / 100 && have - target >= MIN_CHANGE_TOKENS {
            let back = have - target.max(self.waiting_tokens.min(have));
            // By halves: what is under way when the store falls silent can't be used by anyone.
            let back = if holds { back / 2 } else { back };
            // Tokens that came from others are charged to them: only the own line's go back.
            let back = back.min(self.entry.granted.saturating_sub(self.returned));
            self.returned += back;
            line.returned = self.returned;
        }
        let moved = line.granted != self.entry.granted || line.returned != self.entry.returned;
        let pause = REPORT_INTERVAL_MS * sharers.max(SMALL_FLEET) / SMALL_FLEET;
        let news = line.spent != self.entry.spent && now >= self.reported_at + pause;
        if !moved && !news {
            return None;
        }
        self.reported_at = now;
        self.planned_spent = self.reportable_spent();
        Some(line)
    }

    /// Returns the own line with everything handed back that can be, unless the store has it so: the last
    /// word before a stop.
    pub fn plan_shutdown(&mut self) -> Option<LedgerEntry> {
        self.snapshot.as_ref()?;
        let back = self.balance();
        let back = back.min(self.entry.granted.saturating_sub(self.returned));
        self.returned += back;
        let line = LedgerEntry {
            granted: self.entry.granted,
            returned: self.returned,
            spent: self.reportable_spent(),
            rate: 0,
        };
        self.planned_spent = self.reportable_spent();
        (line != self.entry).then_some(line)
    }

    /// Returns the record as last read.
    pub fn snapshot(&self) -> Option<&RecordSnapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the demand, in tokens a second.
    pub fn rate(&self, now: u64) -> u64 {
        self.demand.per_second(now)
    }

    /// Debits tokens for another instance, which asks for `wanted` and has `balance` left at a
    /// demand of `rate`: so many that both then last equally long. Returns the total given to it.
    pub fn transfer_share(
        &mut self,
        now: u64,
        peer: &str,
        wanted: u64,
        balance: u64,
        rate: u64,
    ) -> u64 {
        let own = self.usable().saturating_sub(self.waiting_tokens);
        let own_rate = self.demand.per_second(now).max(1);
        let theirs = mul_div(own + balance, rate, rate + own_rate);
        let give = theirs.saturating_sub(balance).max(wanted).min(own);
        self.tokens_sent.add(peer, give)
    }

    /// Debits all tokens that are not reserved, for another instance: an instance that leaves while the
    /// store is out of reach would strand them. Returns the total given to it.
    pub fn transfer_all(&mut self, peer: &str) -> u64 {
        self.tokens_sent.add(peer, self.balance())
    }

    /// Debits what requests have left here, for the home; returns the total given to it. What this instance
    /// holds for others in the home's place stays.
    pub fn transfer_idle(&mut self, now: u64, home: &str) -> u64 {
        let keeps = self.waiting_tokens > 0 || !self.is_idle(now);
        let rest = if keeps { 0 } else { self.balance() };
        self.tokens_sent.add(home, rest)
    }

    /// Returns whether requests wait for tokens.
    pub fn has_waiting_requests(&self) -> bool {
        self.waiting_tokens > 0
    }

    /// Takes the word of another instance on the total that it has given to this one; returns how much of it
    /// is new.
    pub fn receive_tokens(&mut self, me: &str, told: &CumulativeTotal) -> u64 {
        self.tokens_received.merge(me, told)
    }

    /// Returns the tokens that grants may hold together, at the own demand and that of all: what there is beyond those
    /// that the customer goes on with after a loss of all instances.
    fn grantable(&self, record: &BudgetRecord, rate: u64, rates: u64, sharers: u64) -> u64 {
        let own = self.balance() + self.reserved;
        // What other living instances hold is not known here: by their demand, and never what the dead hold too.
        let unspent = record.charged.saturating_sub(record.spent);
        let living = mul_div(own, rates, rate).min(unspent).max(own);
        let left = self.free() + living;
        left.saturating_sub(
            self.holdback(rates, self.request_sizes.smaller_half())
                .withheld(sharers),
        )
    }
}

//! Budgets: reserves tokens for requests, and keeps the holdings filled from the store and from other
//! instances. What is held is decided by `escrow`.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use clock::Clock;
use conf::Routing;
use escrow::{Holding, Known, Line, Record, Short};
use kv::{Commit, Expect, Found, Put, Store, Txn};
use rand::Rng;
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::event::Event;
use crate::fleet::{Fleet, Member};
use crate::follow::Reach;
use crate::log::Log;
use crate::peers::{Gift, Peers, Want};

/// Keys of budgets' records.
const PREFIX: &str = "oriolehitch/budgets/";
/// How often the holdings are looked through: a call of the store each time, for tokens that last ten
/// times as long.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);
/// Records older than this are read again before requests are refused by them, in milliseconds.
const RECORDS_OLD_MS: u64 = 250;
/// Shortest pause between two looks that requests ask for.
const LOOK_LEAST: Duration = Duration::from_millis(20);
/// Longest time that a request waits for tokens: a few calls of the store and of other instances.
const WAIT_MOST: Duration = Duration::from_millis(600);
/// After a search that found nothing, requests that lack tokens are refused at once for this time.
const DRY: Duration = Duration::from_millis(300);
/// The store alone is waited for so long; then other instances are asked beside it.
const STORE_FIRST: Duration = Duration::from_millis(30);
/// Reading and writing the records takes no longer; what was sent may still take effect.
const CHANGE_MOST: Duration = Duration::from_millis(800);
/// A stopping instance tries the store for so long before it gives its tokens to others.
const LEAVE_STORE: Duration = Duration::from_millis(250);
/// A transaction takes so many records.
const RECORDS_MOST: usize = 32;
/// How often a transaction that lost against others is tried in one look.
const TRIES: usize = 6;
/// Longest pause before such a try, in milliseconds.
const TRY_PAUSE_MS: u64 = 12;
/// Other instances that are asked in one look.
const PEERS_ASKED: usize = 8;

/// What the task of the holdings works with.
pub(crate) struct Means {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) reach: Arc<Reach>,
    pub(crate) fleet: Fleet,
    pub(crate) peers: Peers,
}

/// A handle on the holdings.
#[derive(Clone)]
pub(crate) struct Bank(Arc<Inner>);

struct Inner {
    clock: Clock,
    log: Arc<Log>,
    accounts: Mutex<BTreeMap<String, Account>>,
    wake: Notify,
    /// Counts the looks that have ended.
    looks: watch::Sender<u64>,
    means: OnceLock<Means>,
    /// Nothing is taken any more.
    leaving: AtomicBool,
}

#[derive(Default)]
struct Account {
    holding: Holding,
    dry_until: Option<Instant>,
}

/// Tokens reserved for a request; dropping it settles.
pub(crate) struct Charge {
    bank: Bank,
    customer: String,
    reserved: u64,
    /// The prompt, once it was sent to an upstream that may have run it: counts once.
    prompt: u64,
    answer: u64,
}

impl Charge {
    /// Counts the prompt, which an upstream is about to get.
    pub(crate) fn sent(&mut self, prompt: u64) {
        self.prompt = prompt;
    }

    /// Takes back the counting of the prompt: the only upstreams that got it did not run it.
    pub(crate) fn not_run(&mut self) {
        self.prompt = 0;
    }

    /// Counts tokens of the answer that go to the caller.
    pub(crate) fn delivered(&mut self, tokens: u64) {
        self.answer += tokens;
    }

    /// Returns the tokens that were spent.
    pub(crate) fn spent(&self) -> u64 {
        self.prompt + self.answer
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let (spent, reserved) = (self.spent(), self.reserved);
        if spent > reserved {
            let customer = &self.customer;
            let detail = format_args!("customer={customer} spent={spent} reserved={reserved}");
            self.bank.0.log.note(Event::Excess, detail);
        }
        let spent = spent.min(reserved);
        let mut accounts = self.bank.0.accounts.lock().expect("no panic inside");
        if let Some(account) = accounts.get_mut(&self.customer) {
            account.holding.settle(self.reserved, spent);
        }
    }
}

impl Bank {
    pub(crate) fn open(clock: Clock, log: Arc<Log>) -> Bank {
        Bank(Arc::new(Inner {
            clock,
            log,
            accounts: Mutex::default(),
            wake: Notify::new(),
            looks: watch::channel(0).0,
            means: OnceLock::new(),
            leaving: AtomicBool::new(false),
        }))
    }

    /// Takes what a configuration says is prepaid.
    pub(crate) fn set_prepaid(&self, routing: &Routing) {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for customer in &routing.accounts {
            let Some(prepaid) = customer.prepaid else {
                continue;
            };
            let account = accounts.entry(customer.name.clone()).or_default();
            account.holding.set_prepaid(prepaid);
            account.dry_until = None;
        }
        drop(accounts);
        self.0.wake.notify_one();
    }

    /// Reserves tokens, waiting a little for the store and for other instances.
    ///
    /// # Errors
    ///
    /// Returns why there are none; nothing is held then.
    pub(crate) async fn reserve(
        &self,
        customer: &str,
        tokens: u64,
        deadline: Instant,
    ) -> Result<Charge, Short> {
        let charge = Charge {
            bank: self.clone(),
            customer: customer.to_string(),
            reserved: 0,
            prompt: 0,
            answer: 0,
        };
        match self.first_try(customer, tokens) {
            Tried::Reserved => return Ok(charge.of(tokens)),
            Tried::Refused(short) => return Err(short),
            Tried::Wait => {}
        }
        let _lack = Lack::open(self, customer, tokens);
        let mut looks = self.0.looks.subscribe();
        // The look under way may have begun before this request came.
        let enough = *looks.borrow_and_update() + 2;
        let until = deadline.min(Instant::now() + WAIT_MOST);
        self.0.wake.notify_one();
        loop {
            let ended = timeout_at(until, looks.changed()).await.is_err();
            if self.try_reserve(customer, tokens) {
                return Ok(charge.of(tokens));
            }
            let looked = *looks.borrow_and_update() >= enough;
            if ended || looked {
                return Err(self.refusal(customer, tokens));
            }
            self.0.wake.notify_one();
        }
    }

    fn first_try(&self, customer: &str, tokens: u64) -> Tried {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.entry(customer.to_string()).or_default();
        account.holding.ask(self.0.clock.now(), tokens);
        if account.holding.reserve(tokens) {
            return Tried::Reserved;
        }
        let dry = account.dry_until.is_some_and(|t| Instant::now() < t);
        if dry {
            return Tried::Refused(account.holding.refusal(tokens));
        }
        Tried::Wait
    }

    fn try_reserve(&self, customer: &str, tokens: u64) -> bool {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.get_mut(customer);
        account.is_some_and(|a| a.holding.reserve(tokens))
    }

    fn refusal(&self, customer: &str, tokens: u64) -> Short {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let Some(account) = accounts.get_mut(customer) else {
            return Short::OutOfReach;
        };
        account.dry_until = Some(Instant::now() + DRY);
        account.holding.refusal(tokens)
    }

    /// Returns whether a budget had tokens that nobody holds when its record was read last.
    pub(crate) fn has_free(&self, customer: &str, tokens: u64) -> bool {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        accounts
            .get(customer)
            .is_some_and(|a| a.holding.free() >= tokens)
    }

    /// Debits tokens for another instance.
    pub(crate) fn give(&self, want: &Want) -> u64 {
        let now = self.0.clock.now();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let Some(account) = accounts.get_mut(&want.customer) else {
            return 0;
        };
        let holding = &mut account.holding;
        holding.give(now, want.tokens, want.balance, want.rate)
    }

    /// Returns each customer's balance, demand and what is charged and spent on record.
    pub(crate) fn dump(&self) -> BTreeMap<String, serde_json::Value> {
        let now = self.0.clock.now();
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let row = |(name, a): (&String, &Account)| {
            let known = a.holding.known();
            let value = serde_json::json!({
                "balance": a.holding.balance(),
                "rate": a.holding.rate(now),
                "charged": known.map(|k| k.record.charged()),
                "spent": known.map(|k| k.record.spent()),
                "known_at": known.map(|k| k.at),
            });
            (name.clone(), value)
        };
        accounts.iter().map(row).collect()
    }

    /// Keeps the holdings filled.
    pub(crate) fn spawn(&self, means: Means) {
        assert!(self.0.means.set(means).is_ok(), "spawned once");
        let bank = self.clone();
        tokio::spawn(async move {
            loop {
                let tick = Instant::now() + LOOK_EVERY;
                let _ = timeout_at(tick, bank.0.wake.notified()).await;
                bank.look().await;
                bank.0.looks.send_modify(|n| *n += 1);
                sleep(LOOK_LEAST).await;
            }
        });
    }

    fn means(&self) -> &Means {
        self.0.means.get().expect("set before anything runs")
    }

    /// Looks through all holdings once.
    async fn look(&self) {
        if self.is_leaving() {
            return;
        }
        if !self.wants_change() || self.means().reach.is_out() {
            self.ask_for_missing().await;
            return;
        }
        let change = timeout(CHANGE_MOST, self.change());
        tokio::pin!(change);
        // A store that does not answer shows only after a while, and requests wait.
        if timeout(STORE_FIRST, &mut change).await.is_err() {
            let (_, ()) = tokio::join!(change, self.ask_for_missing());
            return;
        }
        self.ask_for_missing().await;
    }

    async fn ask_for_missing(&self) {
        for customer in self.missing() {
            self.ask_peers(&customer).await;
        }
    }

    fn wants_change(&self) -> bool {
        let (now, me, live) = (self.0.clock.now(), self.me(), self.means().fleet.live());
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let mut holdings = accounts.values_mut().map(|a| &mut a.holding);
        holdings
            .any(|h| h.known().is_none() || h.missing() > 0 || h.plan(now, &me, &live).is_some())
    }

    fn missing(&self) -> Vec<String> {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let lacking = accounts.iter().filter(|(_, a)| a.holding.missing() > 0);
        lacking.map(|(name, _)| name.clone()).collect()
    }

    fn me(&self) -> String {
        self.means().fleet.me().to_string()
    }

    /// Writes the own lines where they should change.
    ///
    /// What was read last is good enough to begin with: a transaction that loses against another
    /// instance's brings the records as they are now.
    async fn change(&self) {
        if self.must_read() && !self.read().await {
            return;
        }
        for _ in 0..TRIES {
            let txn = self.plan(false);
            if txn.put.is_empty() {
                return;
            }
            match self.commit(txn).await {
                Wrote::Done | Wrote::Failed => return,
                Wrote::Lost => {
                    let pause = rand::rng().random_range(0..TRY_PAUSE_MS);
                    sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    /// Returns whether a record was never read, or requests lack tokens by an old one.
    fn must_read(&self) -> bool {
        let now = self.0.clock.now();
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let old = |h: &Holding| match h.known() {
            None => true,
            Some(known) => h.missing() > 0 && now > known.at + RECORDS_OLD_MS,
        };
        accounts.values().any(|a| old(&a.holding))
    }

    /// Reads all records; returns whether the store answered.
    async fn read(&self) -> bool {
        let means = self.means();
        match means.store.list(PREFIX).await {
            Ok(listing) => {
                means.reach.answered();
                self.learn_all(&listing.items);
                true
            }
            Err(failure) => {
                means.reach.failed(&failure);
                false
            }
        }
    }

    async fn commit(&self, txn: Txn) -> Wrote {
        let means = self.means();
        let written = txn.put.clone();
        match means.store.commit(txn).await {
            Ok(Commit::Done(revision)) => {
                means.reach.answered();
                let found = written.into_iter().map(|p| Found {
                    key: p.key,
                    value: p.value,
                    revision,
                });
                let found: Vec<Found> = found.collect();
                self.learn(&found);
                Wrote::Done
            }
            Ok(Commit::Lost(items)) => {
                means.reach.answered();
                self.learn(&items);
                Wrote::Lost
            }
            Ok(Commit::LeaseEnded) => Wrote::Failed,
            Err(failure) => {
                means.reach.failed(&failure);
                let detail = format_args!("what=budgets why={failure:?}");
                self.0.log.note(Event::WriteFailed, detail);
                Wrote::Failed
            }
        }
    }

    /// Returns the transaction that brings the own lines to where they should be.
    fn plan(&self, leaving: bool) -> Txn {
        let (now, me, live) = (self.0.clock.now(), self.me(), self.means().fleet.live());
        let mut txn = Txn::default();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for (name, account) in accounts.iter_mut() {
            if txn.put.len() == RECORDS_MOST {
                break;
            }
            let holding = &mut account.holding;
            let line = if leaving {
                holding.known().is_some().then(|| holding.leave())
            } else {
                holding.plan(now, &me, &live)
            };
            let (Some(line), Some(known)) = (line, holding.known()) else {
                continue;
            };
            let key = format!("{PREFIX}{name}");
            let record = known.record.with(&me, line, &live);
            self.log_grant(name, line, &record, holding);
            txn.expect.push(Expect {
                key: key.clone(),
                revision: known.revision,
            });
            txn.put.push(Put {
                key,
                value: record.to_bytes(),
                lease: 0,
            });
        }
        txn
    }

    fn log_grant(&self, customer: &str, line: Line, record: &Record, holding: &Holding) {
        let detail = format_args!(
            "customer={customer} granted={} returned={} spent={} rate={} balance={} charged={} all_spent={} prepaid={}",
            line.granted,
            line.returned,
            line.spent,
            line.rate,
            holding.balance(),
            record.charged(),
            record.spent(),
            holding.prepaid(),
        );
        self.0.log.note(Event::Grant, detail);
    }

    /// Takes all records as they are now; those that are missing are empty.
    fn learn_all(&self, items: &[Found]) {
        let now = self.0.clock.now();
        let me = self.me();
        {
            let mut accounts = self.0.accounts.lock().expect("no panic inside");
            for (name, account) in accounts.iter_mut() {
                let key = format!("{PREFIX}{name}");
                if items.iter().all(|f| f.key != key) {
                    let empty = Known {
                        record: Record::default(),
                        revision: 0,
                        at: now,
                    };
                    account.holding.learn(&me, empty);
                }
            }
        }
        self.learn(items);
    }

    fn learn(&self, items: &[Found]) {
        let now = self.0.clock.now();
        let me = self.me();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for found in items {
            let name = found.key.strip_prefix(PREFIX).unwrap_or_default();
            let Some(account) = accounts.get_mut(name) else {
                continue;
            };
            match Record::parse(&found.value) {
                Ok(record) => {
                    let known = Known {
                        record,
                        revision: found.revision,
                        at: now,
                    };
                    account.holding.learn(&me, known);
                }
                Err(why) => {
                    let detail = format_args!("key={} why={why}", found.key);
                    self.0.log.note(Event::RecordBroken, detail);
                }
            }
        }
    }

    /// Asks other instances for what a customer's requests lack.
    async fn ask_peers(&self, customer: &str) {
        let means = self.means();
        let others = means.fleet.others();
        for peer in others.iter().take(PEERS_ASKED) {
            let Some(want) = self.want(customer) else {
                return;
            };
            match means.peers.take(peer.addr, &want).await {
                Ok(0) => {}
                Ok(tokens) => self.receive(customer, tokens, &peer.id),
                Err(why) => {
                    let detail = format_args!("customer={customer} from={} failed={why}", peer.id);
                    self.0.log.note(Event::Transfer, detail);
                }
            }
        }
    }

    fn want(&self, customer: &str) -> Option<Want> {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let holding = &accounts.get(customer)?.holding;
        let tokens = holding.missing();
        (tokens > 0).then(|| Want {
            customer: customer.to_string(),
            tokens,
            balance: holding.balance(),
            rate: holding.rate(self.0.clock.now()),
        })
    }

    fn receive(&self, customer: &str, tokens: u64, from: &str) {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        if let Some(account) = accounts.get_mut(customer) {
            account.holding.receive(tokens);
        }
        drop(accounts);
        let detail = format_args!("customer={customer} from={from} tokens={tokens}");
        self.0.log.note(Event::Transfer, detail);
    }

    /// Returns whether a stop has begun to hand back tokens.
    pub(crate) fn is_leaving(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }

    /// Takes tokens from an instance that leaves; returns whether this one serves their customer.
    pub(crate) fn accept(&self, gift: &Gift) -> bool {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let Some(account) = accounts.get_mut(&gift.customer) else {
            return false;
        };
        account.holding.receive(gift.tokens);
        true
    }

    /// Hands back what is not reserved, to the store or to other instances: the last act of a planned
    /// stop. Returns whether all of it went.
    pub(crate) async fn leave(&self) -> bool {
        self.0.leaving.store(true, Ordering::Relaxed);
        // A read first: tokens in a write that may yet land can't be given to anybody else.
        let answers = timeout(LEAVE_STORE, self.read()).await;
        if answers == Ok(true) {
            self.give_back().await
        } else {
            self.give_away().await
        }
    }

    async fn give_back(&self) -> bool {
        for _ in 0..TRIES {
            let txn = self.plan(true);
            if txn.put.is_empty() {
                return true;
            }
            match self.commit(txn).await {
                Wrote::Done => return true,
                Wrote::Failed => return false,
                Wrote::Lost => {}
            }
        }
        false
    }

    /// Gives all tokens to other instances, a customer's to one of them.
    async fn give_away(&self) -> bool {
        let means = self.means();
        let others = self.staying().await;
        let gifts = self.gifts();
        let mut all = true;
        for (i, gift) in gifts.iter().enumerate() {
            let Some(peer) = others.get(i % others.len().max(1)) else {
                return false;
            };
            let given = means.peers.give(peer.addr, gift).await;
            all &= given == Ok(true);
            let detail = format_args!("to={} gift={gift:?} given={given:?}", peer.id);
            self.0.log.note(Event::Transfer, detail);
        }
        all
    }

    /// Returns the instances that answer and stay: tokens sent to one that is gone are lost.
    async fn staying(&self) -> Vec<Member> {
        let means = self.means();
        let mut pings = JoinSet::new();
        for peer in means.fleet.others() {
            let peers = means.peers.clone();
            pings.spawn(async move { peers.ping(peer.addr).await.then_some(peer) });
        }
        let answered = pings.join_all().await;
        answered.into_iter().flatten().collect()
    }

    fn gifts(&self) -> Vec<Gift> {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let gift = |(name, account): (&String, &mut Account)| Gift {
            customer: name.clone(),
            tokens: account.holding.give_all(),
        };
        let gifts = accounts.iter_mut().map(gift);
        gifts.filter(|g| g.tokens > 0).collect()
    }
}

impl Charge {
    fn of(mut self, tokens: u64) -> Charge {
        self.reserved = tokens;
        self
    }
}

/// How a first look at a holding ends.
enum Tried {
    Reserved,
    Refused(Short),
    Wait,
}

/// How a transaction ended.
enum Wrote {
    Done,
    Lost,
    Failed,
}

/// Counts what a waiting request lacks, until it is dropped.
struct Lack<'a> {
    bank: &'a Bank,
    customer: &'a str,
    tokens: u64,
}

impl<'a> Lack<'a> {
    fn open(bank: &'a Bank, customer: &'a str, tokens: u64) -> Lack<'a> {
        bank.with(customer, |h| h.lack(tokens));
        Lack {
            bank,
            customer,
            tokens,
        }
    }
}

impl Drop for Lack<'_> {
    fn drop(&mut self) {
        self.bank
            .with(self.customer, |h| h.lack_no_more(self.tokens));
    }
}

impl Bank {
    fn with(&self, customer: &str, f: impl FnOnce(&mut Holding)) {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        if let Some(account) = accounts.get_mut(customer) {
            f(&mut account.holding);
        }
    }
}

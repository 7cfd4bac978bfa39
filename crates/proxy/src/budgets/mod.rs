//! Budgets: how a token gets from the store to a request, and back. What is held is decided by `escrow`.
//!
//! 1. A customer's home takes tokens out of the budget: one transaction changes the customer's record and the
//!    home's own line in its book (`refill`).
//! 2. A request comes to any instance, which reserves the most that it can cost: of what it has, and of the home for
//!    the rest, in one call (`draw`). A home that has too little asks the store, and beside it the others
//!    (`refill`, `handover`).
//! 3. The request holds them (`charge`) until it ends. What it spent stays spent; the rest is free again.
//! 4. The instance tells the home what was spent and left, and the home takes both over (`settled`).
//! 5. The home writes what is spent into its line, and hands back what it no longer needs (`refill`).
//! 6. An instance that stops hands all back, to the store or to others (`handover`).
//!
//! Whoever gives debits first, and every message tells a total: what is lost on the way is charged to the budget until
//! the next message, and never spent twice.

use std::collections::BTreeMap;
use std::time::Duration;

use charge::Lack;
use clock::Clock;
use conf::Routing;
use kv::Store;

use crate::datagram::Sender;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::store_health::StoreHealth;
pub(crate) use charge::Reservation;
pub(crate) use settled::Settlement;
mod charge;
mod draw;
mod handover;
mod records;
mod refill;
mod settled;

use std::sync::atomic::{AtomicBool, AtomicI64};
use std::sync::{Arc, Mutex, OnceLock};

use escrow::{exceeds_home_capacity, CumulativeTotal, LocalBudget, Rate, ReserveError};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout_at, Instant};

use crate::peers::{Peers, TokenRequest};
use crate::roster::{HomeScope, Homes};

pub(crate) use draw::{DrawRequest, DrawResponse};

/// Longest time that a request waits for tokens: a few calls of the store and of other instances.
const WAIT_MOST: Duration = Duration::from_millis(600);
/// After a search that found nothing, requests that lack tokens are refused at once for this time.
const DRY: Duration = Duration::from_millis(300);
/// A customer whose home has too many draws has a home in each availability zone for so long: what the home in the zone
/// holds is handed back some seconds later, so that changing to and fro costs writes.
const CROWDED_FOR: Duration = Duration::from_secs(10);
/// How often a transaction that lost against others is tried in one look.
const TRIES: usize = 6;

/// What the task of the holdings works with.
pub(crate) struct Dependencies {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) reach: Arc<StoreHealth>,
    pub(crate) fleet: Fleet,
    pub(crate) peers: Peers,
    /// For datagrams to other instances.
    pub(crate) sender: Sender,
    /// Time in which service is to be back after a loss of all instances, in milliseconds, where the settings name one.
    pub(crate) recovery_ms: Option<u64>,
}

/// A handle on the holdings.
#[derive(Clone)]
pub(crate) struct Budgets(Arc<Inner>);

struct Inner {
    clock: Clock,
    log: Arc<Log>,
    accounts: Mutex<BTreeMap<String, Account>>,
    /// The revision of the own book in the store, once it was read; 0 when there is none.
    book: Mutex<Option<i64>>,
    /// The revision of a record that shows a later write of the own book, whose answer was lost; 0 for none.
    book_doubted: AtomicI64,
    /// The same when the own book was read last.
    book_checked: AtomicI64,
    wake: Notify,
    /// Counts the looks that have ended.
    looks: watch::Sender<u64>,
    means: OnceLock<Dependencies>,
    /// Customers of whose ended requests their homes are to be told, with how many times.
    ended: Mutex<BTreeMap<String, u8>>,
    ended_wake: Notify,
    /// Nothing is taken any more.
    leaving: AtomicBool,
}

#[derive(Default)]
struct Account {
    holding: LocalBudget,
    dry_until: Option<Instant>,
    /// Draws that came here.
    draws: Rate,
    /// Until when the customer has a home in each availability zone.
    crowded_until: Option<Instant>,
}

impl Budgets {
    pub(crate) fn open(clock: Clock, log: Arc<Log>) -> Budgets {
        Budgets(Arc::new(Inner {
            clock,
            log,
            accounts: Mutex::default(),
            book: Mutex::default(),
            book_doubted: AtomicI64::new(0),
            book_checked: AtomicI64::new(0),
            wake: Notify::new(),
            looks: watch::channel(0).0,
            ended: Mutex::default(),
            ended_wake: Notify::new(),
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

    /// Reserves tokens, waiting a little for other instances and for the store.
    ///
    /// # Errors
    ///
    /// Returns why there are none; nothing is held then.
    pub(crate) async fn reserve(
        &self,
        customer: &str,
        tokens: u64,
        deadline: Instant,
    ) -> Result<Reservation, ReserveError> {
        let reserved = self.reserve_at_home(customer, tokens).await;
        if let Some(reserved) = reserved {
            return reserved;
        }
        self.ask(customer, tokens, tokens);
        self.reserve_here(customer, tokens, tokens, deadline).await
    }

    /// Counts demand that this instance is to cover, and the whole of what the request can cost.
    fn ask(&self, customer: &str, tokens: u64, size: u64) {
        let now = self.0.clock.now();
        self.open_holding(customer, |h| {
            h.add_demand(now, tokens);
            h.add_request_size(now, size);
        });
    }

    /// Works on a customer's holding, a new one if there is none.
    fn open_holding<T>(&self, customer: &str, f: impl FnOnce(&mut LocalBudget) -> T) -> T {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.entry(customer.to_string()).or_default();
        f(&mut account.holding)
    }

    /// Returns the instances to draw a customer's tokens from; none where this one takes them itself.
    ///
    /// A home that is cut off from the store draws from those that take its place: all callers of a customer may
    /// come to one instance, and nobody else would take tokens for them.
    fn homes(&self, customer: &str) -> Homes {
        let (fleet, area) = (&self.means().fleet, self.area(customer));
        let homes = fleet.preceding_homes(customer, area);
        if homes.is_empty() && self.is_store_unreachable() {
            return fleet.other_homes(customer, area);
        }
        homes
    }

    /// Returns whether this instance holds a customer's tokens for others.
    fn is_home(&self, customer: &str) -> bool {
        let fleet = &self.means().fleet;
        fleet.is_home(customer, HomeScope::Fleet) || fleet.is_home(customer, self.area(customer))
    }

    /// Returns which instances a customer's homes are chosen from.
    fn area(&self, customer: &str) -> HomeScope {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let until = accounts.get(customer).and_then(|a| a.crowded_until);
        match until {
            Some(until) if Instant::now() < until => HomeScope::Zone,
            _ => HomeScope::Fleet,
        }
    }

    /// Records a home's report that it gets more draws of a customer than it answers.
    fn crowded(&self, customer: &str) {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        if let Some(account) = accounts.get_mut(customer) {
            account.crowded_until = Some(Instant::now() + CROWDED_FOR);
        }
    }

    /// Counts a draw that came here; returns whether the customer has too many for one instance.
    fn count_draw(&self, customer: &str) -> bool {
        let now = self.0.clock.now();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let Some(account) = accounts.get_mut(customer) else {
            return false;
        };
        account.draws.add(now, 1);
        exceeds_home_capacity(account.draws.per_second(now))
    }

    fn charge(&self, customer: &str) -> Reservation {
        Reservation {
            bank: self.clone(),
            customer: customer.to_string(),
            reserved: 0,
            prompt: 0,
            answer: 0,
        }
    }

    /// Reserves tokens of the own holding for a request of some size, waiting a little for the store and for other
    /// instances to fill it.
    async fn reserve_here(
        &self,
        customer: &str,
        tokens: u64,
        size: u64,
        deadline: Instant,
    ) -> Result<Reservation, ReserveError> {
        let charge = self.charge(customer);
        match self.first_try(customer, tokens, size) {
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

    fn first_try(&self, customer: &str, tokens: u64, size: u64) -> Tried {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.entry(customer.to_string()).or_default();
        let rationed = self.means().fleet.is_mass_start();
        if rationed && !account.holding.admits(self.0.clock.now(), size) {
            return Tried::Refused(self.why(&account.holding, size));
        }
        if account.holding.reserve(tokens) {
            return Tried::Reserved;
        }
        let dry = account.dry_until.is_some_and(|t| Instant::now() < t);
        if dry {
            return Tried::Refused(self.why(&account.holding, tokens));
        }
        Tried::Wait
    }

    fn try_reserve(&self, customer: &str, tokens: u64) -> bool {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.get_mut(customer);
        account.is_some_and(|a| a.holding.reserve(tokens))
    }

    fn refusal(&self, customer: &str, tokens: u64) -> ReserveError {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let Some(account) = accounts.get_mut(customer) else {
            return ReserveError::OutOfReach { free: false };
        };
        account.dry_until = Some(Instant::now() + DRY);
        self.why(&account.holding, tokens)
    }

    /// Returns why a holding has no tokens for a request: free ones can't be taken while the store is out.
    fn why(&self, holding: &LocalBudget, tokens: u64) -> ReserveError {
        let out = self.is_store_unreachable();
        match holding.reserve_error(tokens) {
            ReserveError::OutOfReach { free } => ReserveError::OutOfReach { free: free && !out },
            exhausted => exhausted,
        }
    }

    /// Returns whether the store is out of reach from here.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.means().reach.is_unavailable()
    }

    pub(crate) fn own_id(&self) -> String {
        self.means().fleet.incarnation().to_string()
    }

    fn tell(&self, to: &str, total: u64) -> CumulativeTotal {
        CumulativeTotal {
            from: self.own_id(),
            to: to.to_string(),
            total,
        }
    }

    /// Debits tokens for another instance.
    pub(crate) fn transfer_share(&self, want: &TokenRequest) -> CumulativeTotal {
        let now = self.0.clock.now();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.get_mut(&want.customer);
        let given = account.map(|a| {
            let holding = &mut a.holding;
            holding.transfer_share(now, &want.from, want.tokens, want.balance, want.rate)
        });
        self.tell(&want.from, given.unwrap_or_default())
    }

    /// Returns each customer's balance, demand and what is charged and spent on record.
    pub(crate) fn dump(&self) -> BTreeMap<String, serde_json::Value> {
        let now = self.0.clock.now();
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let row = |(name, a): (&String, &Account)| {
            let known = a.holding.snapshot();
            let value = serde_json::json!({
                "balance": a.holding.balance(),
                "rate": a.holding.rate(now),
                "charged": known.map(|k| k.record.charged),
                "spent": known.map(|k| k.record.spent),
                "known_at": known.map(|k| k.read_at),
            });
            (name.clone(), value)
        };
        accounts.iter().map(row).collect()
    }

    fn with(&self, customer: &str, f: impl FnOnce(&mut LocalBudget)) {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        if let Some(account) = accounts.get_mut(customer) {
            f(&mut account.holding);
        }
    }
}

/// How a first look at a holding ends.
enum Tried {
    Reserved,
    Refused(ReserveError),
    Wait,
}

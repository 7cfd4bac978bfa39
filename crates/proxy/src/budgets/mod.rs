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

mod draw;
mod records;
mod refill;
mod reservation;
mod settlement;
mod transfer;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicI64};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use clock::Clock;
use conf::Routing;
use escrow::{exceeds_home_capacity, CumulativeTotal, LocalBudget, Rate, ReserveError};
use kv::Store;
use tokio::sync::{watch, Notify};
use tokio::time::{timeout_at, Instant};

use crate::datagram::Sender;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::peers::{Peers, TokenRequest};
use crate::roster::{HomeScope, Homes};
use crate::store_health::StoreHealth;

pub(crate) use draw::{DrawRequest, DrawResponse};
pub(crate) use reservation::Reservation;
use reservation::WaitGuard;
pub(crate) use settlement::Settlement;

/// Longest time that a request waits for tokens: a few calls of the store and of other instances.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(600);
/// After a search that found nothing, requests that lack tokens are refused at once for this time.
const REFUSAL_PERIOD: Duration = Duration::from_millis(300);
/// A customer whose home has too many draws has a home in each availability zone for so long: what the home in the zone
/// holds is handed back some seconds later, so that changing to and fro costs writes.
const ZONE_HOMES_PERIOD: Duration = Duration::from_secs(10);
/// How often a transaction that lost against others is tried in one look.
const MAX_COMMIT_ATTEMPTS: usize = 6;

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
    customers: Mutex<BTreeMap<String, CustomerState>>,
    /// The revision of the own book in the store, once it was read; 0 when there is none.
    ledger_revision: Mutex<Option<i64>>,
    /// The revision of a record that shows a later write of the own book, whose answer was lost; 0 for none.
    unconfirmed_revision: AtomicI64,
    /// The same when the own book was read last.
    checked_revision: AtomicI64,
    refill_requested: Notify,
    /// Counts the looks that have ended.
    refill_cycles: watch::Sender<u64>,
    deps: OnceLock<Dependencies>,
    /// Customers of whose ended requests their homes are to be told, with how many times.
    pending_settlements: Mutex<BTreeMap<String, u8>>,
    settlement_requested: Notify,
    /// Nothing is taken any more.
    shutting_down: AtomicBool,
}

#[derive(Default)]
struct CustomerState {
    budget: LocalBudget,
    refuse_until: Option<Instant>,
    /// Draws that came here.
    draws: Rate,
    /// Until when the customer has a home in each availability zone.
    zone_homes_until: Option<Instant>,
}

impl Budgets {
    pub(crate) fn open(clock: Clock, log: Arc<Log>) -> Budgets {
        Budgets(Arc::new(Inner {
            clock,
            log,
            customers: Mutex::default(),
            ledger_revision: Mutex::default(),
            unconfirmed_revision: AtomicI64::new(0),
            checked_revision: AtomicI64::new(0),
            refill_requested: Notify::new(),
            refill_cycles: watch::channel(0).0,
            pending_settlements: Mutex::default(),
            settlement_requested: Notify::new(),
            deps: OnceLock::new(),
            shutting_down: AtomicBool::new(false),
        }))
    }

    /// Takes what a configuration says is prepaid.
    pub(crate) fn set_prepaid(&self, routing: &Routing) {
        let mut customers = self.0.customers.lock().expect("no panic inside");
        for customer in &routing.accounts {
            let Some(prepaid) = customer.prepaid else {
                continue;
            };
            let state = customers.entry(customer.name.clone()).or_default();
            state.budget.set_prepaid(prepaid);
            state.refuse_until = None;
        }
        drop(customers);
        self.0.refill_requested.notify_one();
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
        self.record_demand(customer, tokens, tokens);
        self.reserve_here(customer, tokens, tokens, deadline).await
    }

    /// Counts demand that this instance is to cover, and the whole of what the request can cost.
    fn record_demand(&self, customer: &str, tokens: u64, size: u64) {
        let now = self.0.clock.now();
        self.with_budget(customer, |b| {
            b.add_demand(now, tokens);
            b.add_request_size(now, size);
        });
    }

    /// Works on a customer's holding, a new one if there is none.
    fn with_budget<T>(&self, customer: &str, f: impl FnOnce(&mut LocalBudget) -> T) -> T {
        let mut customers = self.0.customers.lock().expect("no panic inside");
        let state = customers.entry(customer.to_string()).or_default();
        f(&mut state.budget)
    }

    /// Returns the instances to draw a customer's tokens from; none where this one takes them itself.
    ///
    /// A home that is cut off from the store draws from those that take its place: all callers of a customer may
    /// come to one instance, and nobody else would take tokens for them.
    fn homes(&self, customer: &str) -> Homes {
        let (fleet, area) = (&self.deps().fleet, self.area(customer));
        let homes = fleet.preceding_homes(customer, area);
        if homes.is_empty() && self.is_store_unreachable() {
            return fleet.other_homes(customer, area);
        }
        homes
    }

    /// Returns whether this instance holds a customer's tokens for others.
    fn is_home(&self, customer: &str) -> bool {
        let fleet = &self.deps().fleet;
        fleet.is_home(customer, HomeScope::Fleet) || fleet.is_home(customer, self.area(customer))
    }

    /// Returns which instances a customer's homes are chosen from.
    fn area(&self, customer: &str) -> HomeScope {
        let customers = self.0.customers.lock().expect("no panic inside");
        let until = customers.get(customer).and_then(|s| s.zone_homes_until);
        match until {
            Some(until) if Instant::now() < until => HomeScope::Zone,
            _ => HomeScope::Fleet,
        }
    }

    /// Records a home's report that it gets more draws of a customer than it answers.
    fn use_zone_homes(&self, customer: &str) {
        let mut customers = self.0.customers.lock().expect("no panic inside");
        if let Some(state) = customers.get_mut(customer) {
            state.zone_homes_until = Some(Instant::now() + ZONE_HOMES_PERIOD);
        }
    }

    /// Counts a draw that came here; returns whether the customer has too many for one instance.
    fn record_draw(&self, customer: &str) -> bool {
        let now = self.0.clock.now();
        let mut customers = self.0.customers.lock().expect("no panic inside");
        let Some(state) = customers.get_mut(customer) else {
            return false;
        };
        state.draws.add(now, 1);
        exceeds_home_capacity(state.draws.per_second(now))
    }

    fn new_reservation(&self, customer: &str) -> Reservation {
        Reservation {
            budgets: self.clone(),
            customer: customer.to_string(),
            reserved: 0,
            prompt: 0,
            delivered: 0,
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
        let reservation = self.new_reservation(customer);
        match self.first_attempt(customer, tokens, size) {
            FirstAttempt::Reserved => return Ok(reservation.with_reserved(tokens)),
            FirstAttempt::Refused(error) => return Err(error),
            FirstAttempt::Wait => {}
        }
        let _wait = WaitGuard::new(self, customer, tokens);
        let mut cycles = self.0.refill_cycles.subscribe();
        // The look under way may have begun before this request came.
        let last_cycle = *cycles.borrow_and_update() + 2;
        let until = deadline.min(Instant::now() + MAX_TOKEN_WAIT);
        self.0.refill_requested.notify_one();
        loop {
            let timed_out = timeout_at(until, cycles.changed()).await.is_err();
            if self.try_reserve(customer, tokens) {
                return Ok(reservation.with_reserved(tokens));
            }
            let searched = *cycles.borrow_and_update() >= last_cycle;
            if timed_out || searched {
                return Err(self.refuse(customer, tokens));
            }
            self.0.refill_requested.notify_one();
        }
    }

    fn first_attempt(&self, customer: &str, tokens: u64, size: u64) -> FirstAttempt {
        let mut customers = self.0.customers.lock().expect("no panic inside");
        let state = customers.entry(customer.to_string()).or_default();
        let restarted = self.deps().fleet.is_mass_start();
        if restarted && !state.budget.admits(self.0.clock.now(), size) {
            return FirstAttempt::Refused(self.reserve_error(&state.budget, size));
        }
        if state.budget.reserve(tokens) {
            return FirstAttempt::Reserved;
        }
        let refused_recently = state.refuse_until.is_some_and(|t| Instant::now() < t);
        if refused_recently {
            return FirstAttempt::Refused(self.reserve_error(&state.budget, tokens));
        }
        FirstAttempt::Wait
    }

    fn try_reserve(&self, customer: &str, tokens: u64) -> bool {
        let mut customers = self.0.customers.lock().expect("no panic inside");
        let state = customers.get_mut(customer);
        state.is_some_and(|s| s.budget.reserve(tokens))
    }

    fn refuse(&self, customer: &str, tokens: u64) -> ReserveError {
        let mut customers = self.0.customers.lock().expect("no panic inside");
        let Some(state) = customers.get_mut(customer) else {
            return ReserveError::OutOfReach { free: false };
        };
        state.refuse_until = Some(Instant::now() + REFUSAL_PERIOD);
        self.reserve_error(&state.budget, tokens)
    }

    /// Returns why a holding has no tokens for a request: free ones can't be taken while the store is out.
    fn reserve_error(&self, budget: &LocalBudget, tokens: u64) -> ReserveError {
        let unreachable = self.is_store_unreachable();
        match budget.reserve_error(tokens) {
            ReserveError::OutOfReach { free } => ReserveError::OutOfReach {
                free: free && !unreachable,
            },
            exhausted => exhausted,
        }
    }

    /// Returns whether the store is out of reach from here.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.deps().reach.is_unavailable()
    }

    pub(crate) fn own_id(&self) -> String {
        self.deps().fleet.incarnation().to_string()
    }

    fn cumulative_total(&self, to: &str, total: u64) -> CumulativeTotal {
        CumulativeTotal {
            from: self.own_id(),
            to: to.to_string(),
            total,
        }
    }

    /// Debits tokens for another instance.
    pub(crate) fn transfer_share(&self, want: &TokenRequest) -> CumulativeTotal {
        let now = self.0.clock.now();
        let mut customers = self.0.customers.lock().expect("no panic inside");
        let state = customers.get_mut(&want.customer);
        let total = state.map(|s| {
            let budget = &mut s.budget;
            budget.transfer_share(now, &want.from, want.tokens, want.balance, want.rate)
        });
        self.cumulative_total(&want.from, total.unwrap_or_default())
    }

    /// Returns each customer's balance, demand and what is charged and spent on record.
    pub(crate) fn dump(&self) -> BTreeMap<String, serde_json::Value> {
        let now = self.0.clock.now();
        let customers = self.0.customers.lock().expect("no panic inside");
        let row = |(name, s): (&String, &CustomerState)| {
            let snapshot = s.budget.snapshot();
            let value = serde_json::json!({
                "balance": s.budget.balance(),
                "rate": s.budget.rate(now),
                "charged": snapshot.map(|s| s.record.charged),
                "spent": snapshot.map(|s| s.record.spent),
                "known_at": snapshot.map(|s| s.read_at),
            });
            (name.clone(), value)
        };
        customers.iter().map(row).collect()
    }

    fn with_known_budget(&self, customer: &str, f: impl FnOnce(&mut LocalBudget)) {
        let mut customers = self.0.customers.lock().expect("no panic inside");
        if let Some(state) = customers.get_mut(customer) {
            f(&mut state.budget);
        }
    }
}

/// How a first look at a holding ends.
enum FirstAttempt {
    Reserved,
    Refused(ReserveError),
    Wait,
}

//! Prepaid token budgets: how tokens get from the store to a request and back. `escrow` decides how
//! many an instance holds.
//!
//! 1. A customer's home takes tokens from the budget: one transaction changes the customer's record
//!    and the home's own ledger entry (`refill`).
//! 2. A request arrives at any instance, which reserves the most that the request can cost: from
//!    the tokens that it holds, and the rest from the home, in one call (`draw`). A home that holds
//!    too few asks the store and, in parallel, other instances (`refill`, `transfer`).
//! 3. The request holds the tokens until it ends (`reservation`). Those that it did not spend can
//!    be reserved again.
//!    A prompt that may have run stays charged until it is known whether it did (`uncertain`).
//! 4. The instance forwards to the home what was spent, and transfers to it what is left
//!    (`settlement`).
//! 5. The home reports the spent tokens in its ledger entry, and returns those that it no longer
//!    needs (`refill`).
//! 6. An instance that stops returns all tokens to the store, or transfers them to other instances
//!    (`transfer`).
//!
//! The sender debits tokens before it sends them, and each message carries a cumulative total.
//! Tokens in a lost message stay charged to the budget until the next message arrives, and are
//! never spent twice.

mod draw;
mod records;
mod refill;
mod reservation;
mod settlement;
mod transfer;
mod uncertain;

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicI64};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use clock::Clock;
use conf::RoutingConfig;
use escrow::{
    exceeds_home_capacity, Claim, CumulativeTotal, LocalBudget, ReserveError, ShortageOutcome,
    UncertainPrompts,
};
use kv::Store;
use place::Pool;
use rate::Rate;
use reservation::WaitGuard;
use tokio::sync::{watch, Notify};
use tokio::time::{timeout_at, Instant};

use crate::datagram::Sender;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::peers::{PeerClients, TokenRequest};
use crate::roster::{HomeScope, Homes};
use crate::store_health::StoreHealth;

pub(crate) use draw::{DrawRequest, DrawResponse};
pub(crate) use reservation::Reservation;
pub(crate) use settlement::Settlement;

/// Maximum time that a request waits for tokens: a few calls to the store and to other instances.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(600);
/// Maximum time that a request waits for tokens that are free in the budget while the store is
/// available. A write may take longer than `MAX_TOKEN_WAIT` beside a burst, and a caller that is
/// refused has to come back later still.
const MAX_FREE_TOKEN_WAIT: Duration = Duration::from_millis(1_500);
/// How long requests that the balance does not cover are refused immediately after a search for
/// tokens has failed.
const REFUSAL_PERIOD: Duration = Duration::from_millis(300);
/// The same while the store is unavailable, after a search that was finished: other instances have
/// nothing more to give for a while, and draws had better go on to the next home at once.
const OUTAGE_REFUSAL_PERIOD: Duration = Duration::from_secs(1);
/// How long a customer whose home gets too many draws has a home in each availability zone. The
/// zone homes return their tokens some seconds later, so switching back and forth costs writes.
const ZONE_HOMES_PERIOD: Duration = Duration::from_secs(10);
/// Time constant of the rate of draws, in milliseconds: a second home is needed for a lasting rate, not for a burst of a
/// second.
const DRAWS_TIME_CONSTANT_MS: f64 = 4_000.0;
/// Maximum attempts at a transaction that conflicts with those of other instances, in one refill
/// cycle or stop.
const MAX_COMMIT_ATTEMPTS: usize = 6;

/// What the budgets need to call the store and other instances.
pub(crate) struct BudgetDeps {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) store_health: Arc<StoreHealth>,
    pub(crate) fleet: Fleet,
    pub(crate) peer_clients: PeerClients,
    /// For datagrams to other instances.
    pub(crate) sender: Sender,
    /// Time until service is back after a failure of all instances, in milliseconds, if the
    /// settings specify it.
    pub(crate) recovery_ms: Option<u64>,
    /// The upstreams that run the prompts.
    pub(crate) pool: Arc<Mutex<Pool>>,
}

/// Handle to the budgets of all customers at this instance; clones share it.
#[derive(Clone)]
pub(crate) struct Budgets(Arc<Inner>);

struct Inner {
    clock: Clock,
    log: Arc<Log>,
    customers: Mutex<BTreeMap<String, CustomerState>>,
    /// Revision of the own ledger in the store, once it was read; 0 if the store has none.
    ledger_revision: Mutex<Option<i64>>,
    /// Revision of a record that includes a later write of the own ledger whose response was lost;
    /// 0 if none does.
    unconfirmed_revision: AtomicI64,
    /// Value of `unconfirmed_revision` when the own ledger was last read.
    checked_revision: AtomicI64,
    refill_requested: Notify,
    /// Counts finished searches for tokens. Waiting requests try again at each change, and when they
    /// are notified without one.
    finished_searches: watch::Sender<u64>,
    deps: OnceLock<BudgetDeps>,
    /// Prompts that may have run, whose tokens may be released later.
    uncertain: Mutex<UncertainPrompts>,
    /// Customers whose homes are to be sent a settlement, with the number of times left.
    pending_settlements: Mutex<BTreeMap<String, u8>>,
    settlement_requested: Notify,
    /// Set when a planned stop begins to return tokens: from then on, none are taken from the
    /// budgets.
    shutting_down: AtomicBool,
}

struct CustomerState {
    budget: LocalBudget,
    /// Until when requests that the balance does not cover are refused immediately.
    refuse_until: Option<Instant>,
    /// Draws by other instances.
    draws: Rate,
    /// Until when the customer has a home in each availability zone.
    zone_homes_until: Option<Instant>,
}

impl Default for CustomerState {
    fn default() -> CustomerState {
        CustomerState {
            budget: LocalBudget::default(),
            refuse_until: None,
            draws: Rate::with_time_constant(DRAWS_TIME_CONSTANT_MS),
            zone_homes_until: None,
        }
    }
}

impl Budgets {
    pub(crate) fn new(clock: Clock, log: Arc<Log>) -> Budgets {
        Budgets(Arc::new(Inner {
            clock,
            log,
            customers: Mutex::default(),
            ledger_revision: Mutex::default(),
            unconfirmed_revision: AtomicI64::new(0),
            checked_revision: AtomicI64::new(0),
            refill_requested: Notify::new(),
            finished_searches: watch::channel(0).0,
            uncertain: Mutex::default(),
            pending_settlements: Mutex::default(),
            settlement_requested: Notify::new(),
            deps: OnceLock::new(),
            shutting_down: AtomicBool::new(false),
        }))
    }

    /// Sets the prepaid amounts of a configuration.
    pub(crate) fn set_prepaid(&self, routing: &RoutingConfig) {
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        for customer in &routing.accounts {
            let Some(prepaid) = customer.prepaid_tokens else {
                continue;
            };
            let state = customers.entry(customer.name.clone()).or_default();
            state.budget.set_prepaid(prepaid);
            state.refuse_until = None;
        }
        drop(customers);
        self.0.refill_requested.notify_one();
    }

    /// Reserves tokens, waiting briefly for other instances and for the store if this one holds too
    /// few.
    ///
    /// # Errors
    ///
    /// Returns why the tokens cannot be reserved; none are held then.
    pub(crate) async fn reserve(
        &self,
        customer: &str,
        claim: Claim,
        deadline: Instant,
    ) -> Result<Reservation, ReserveError> {
        let reserved = self.reserve_at_home(customer, claim, deadline).await;
        if let Some(reserved) = reserved {
            return reserved;
        }
        self.record_demand(customer, claim.size, claim);
        self.reserve_here(customer, claim.size, claim, deadline)
            .await
    }

    /// Records demand that this instance has to cover, and what the request as a whole claims.
    fn record_demand(&self, customer: &str, tokens: u64, claim: Claim) {
        let now = self.0.clock.now();
        self.with_budget(customer, |b| {
            b.add_demand(now, tokens);
            b.add_claim(now, claim);
        });
    }

    /// Calls `f` with a customer's budget, which is created if there is none.
    fn with_budget<T>(&self, customer: &str, f: impl FnOnce(&mut LocalBudget) -> T) -> T {
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let state = customers.entry(customer.to_string()).or_default();
        f(&mut state.budget)
    }

    /// Returns the instances to draw a customer's tokens from; none if this one takes them from the
    /// budget itself.
    ///
    /// A home to which the store is unavailable draws from the instances that would replace it: all
    /// callers of a customer may use this instance, and no other one would take tokens for them.
    fn homes(&self, customer: &str) -> Homes {
        let (fleet, scope) = (&self.deps().fleet, self.home_scope(customer));
        let homes = fleet.preceding_homes(customer, scope);
        if homes.is_empty() && self.is_store_unavailable() {
            return fleet.other_homes(customer, scope);
        }
        homes
    }

    /// Returns whether this instance is a customer's home, which holds the tokens for others.
    fn is_home(&self, customer: &str) -> bool {
        let fleet = &self.deps().fleet;
        fleet.is_home(customer, HomeScope::Fleet)
            || fleet.is_home(customer, self.home_scope(customer))
    }

    /// Returns which instances a customer's homes are chosen from at present.
    fn home_scope(&self, customer: &str) -> HomeScope {
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let until = customers.get(customer).and_then(|s| s.zone_homes_until);
        match until {
            Some(until) if Instant::now() < until => HomeScope::Zone,
            _ => HomeScope::Fleet,
        }
    }

    /// Uses a home in each availability zone for a while, because the home reported more draws than
    /// it answers.
    fn use_zone_homes(&self, customer: &str) {
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        if let Some(state) = customers.get_mut(customer) {
            state.zone_homes_until = Some(Instant::now() + ZONE_HOMES_PERIOD);
        }
    }

    /// Counts a draw by another instance; returns whether the customer has too many for one home.
    fn record_draw(&self, customer: &str) -> bool {
        let now = self.0.clock.now();
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let Some(state) = customers.get_mut(customer) else {
            return false;
        };
        state.draws.add(now, 1.0);
        exceeds_home_capacity(state.draws.per_second(now) as u64)
    }

    fn new_reservation(&self, customer: &str) -> Reservation {
        Reservation::new(self.clone(), customer)
    }

    /// Reserves tokens that this instance holds, for a request with the given claim. If it holds too
    /// few, it waits briefly for the store and for other instances to provide them.
    async fn reserve_here(
        &self,
        customer: &str,
        tokens: u64,
        claim: Claim,
        deadline: Instant,
    ) -> Result<Reservation, ReserveError> {
        let reservation = self.new_reservation(customer);
        match self.first_attempt(customer, tokens, claim) {
            FirstAttempt::Reserved => return Ok(reservation.with_reserved(tokens)),
            FirstAttempt::Refused(error) => return Err(error),
            FirstAttempt::Wait => {}
        }
        let _wait = WaitGuard::new(self, customer, tokens);
        let mut searches = self.0.finished_searches.subscribe();
        // The search in progress may have begun before this request arrived, so the end of the next
        // one is awaited.
        let last_search = *searches.borrow_and_update() + 2;
        let began_at = Instant::now();
        self.0.refill_requested.notify_one();
        loop {
            let grantable = self.is_grantable(self.current_error(customer, tokens));
            let max_wait = if grantable {
                MAX_FREE_TOKEN_WAIT
            } else {
                MAX_TOKEN_WAIT
            };
            let until = deadline.min(began_at + max_wait);
            let timed_out = timeout_at(until, searches.changed()).await.is_err();
            if self.try_reserve(customer, tokens) {
                return Ok(reservation.with_reserved(tokens));
            }
            let searched = *searches.borrow_and_update() >= last_search;
            let grantable = self.is_grantable(self.current_error(customer, tokens));
            if timed_out || (searched && !grantable) {
                return Err(self.refuse(customer, tokens, searched));
            }
            self.0.refill_requested.notify_one();
        }
    }

    fn first_attempt(&self, customer: &str, tokens: u64, claim: Claim) -> FirstAttempt {
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let state = customers.entry(customer.to_string()).or_default();
        if self.withholds(&state.budget, claim.size) {
            return FirstAttempt::Refused(self.reserve_error(&state.budget, claim.size));
        }
        match self.reserve_in_order(&mut state.budget, tokens, claim) {
            ShortageOutcome::Reserved => return FirstAttempt::Reserved,
            ShortageOutcome::Deferred => {
                return FirstAttempt::Refused(self.reserve_error(&state.budget, tokens))
            }
            ShortageOutcome::Lacking => {}
        }
        let refused_recently = state.refuse_until.is_some_and(|t| Instant::now() < t);
        let error = self.reserve_error(&state.budget, tokens);
        if refused_recently && !self.is_grantable(error) {
            return FirstAttempt::Refused(error);
        }
        FirstAttempt::Wait
    }

    /// Returns whether the tokens left after a failure of all instances are withheld from requests
    /// of the given size.
    fn withholds(&self, budget: &LocalBudget, size: u64) -> bool {
        self.deps().fleet.is_mass_start() && !budget.admits(self.0.clock.now(), size)
    }

    fn is_withheld(&self, customer: &str, size: u64) -> bool {
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let state = customers.get(customer);
        state.is_some_and(|s| self.withholds(&s.budget, size))
    }

    /// Returns why the tokens of a request are missing here at present.
    fn current_error(&self, customer: &str, tokens: u64) -> ReserveError {
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let state = customers.get(customer);
        state.map_or(ReserveError::OutOfReach { free: false }, |s| {
            self.reserve_error(&s.budget, tokens)
        })
    }

    /// Returns whether missing tokens are free and this instance takes them with its next write, so
    /// that a request had better wait for it.
    fn is_grantable(&self, error: ReserveError) -> bool {
        error == ReserveError::OutOfReach { free: true } && !self.is_shutting_down()
    }

    /// Reserves tokens that this instance holds; while the store is unavailable, only those that more
    /// urgent requests don't need. Free tokens count as out of reach then, so that a deferred request
    /// is refused at once and not asked for again.
    fn reserve_in_order(
        &self,
        budget: &mut LocalBudget,
        tokens: u64,
        claim: Claim,
    ) -> ShortageOutcome {
        let outage = self.deps().store_health.outage();
        match outage.filter(|_| self.is_store_unavailable()) {
            Some(outage) => {
                let now = self.0.clock.now();
                budget.reserve_in_shortage(now, tokens, claim, outage.remaining_ms())
            }
            None if budget.reserve(tokens) => ShortageOutcome::Reserved,
            None => ShortageOutcome::Lacking,
        }
    }

    fn try_reserve(&self, customer: &str, tokens: u64) -> bool {
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let state = customers.get_mut(customer);
        state.is_some_and(|s| s.budget.reserve(tokens))
    }

    /// Returns why a request is refused that has waited for tokens, and refuses others for a while.
    fn refuse(&self, customer: &str, tokens: u64, searched: bool) -> ReserveError {
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let Some(state) = customers.get_mut(customer) else {
            return ReserveError::OutOfReach { free: false };
        };
        let period = if searched && self.is_store_unavailable() {
            OUTAGE_REFUSAL_PERIOD
        } else {
            REFUSAL_PERIOD
        };
        state.refuse_until = Some(Instant::now() + period);
        self.reserve_error(&state.budget, tokens)
    }

    /// Returns why a budget has too few tokens here for a request. Free tokens do not count while
    /// the store is unavailable, because they cannot be taken then.
    fn reserve_error(&self, budget: &LocalBudget, tokens: u64) -> ReserveError {
        let unavailable = self.is_store_unavailable();
        match budget.reserve_error(tokens) {
            ReserveError::OutOfReach { free } => ReserveError::OutOfReach {
                free: free && !unavailable,
            },
            exhausted => exhausted,
        }
    }

    /// Returns whether the store is unavailable to this instance.
    pub(crate) fn is_store_unavailable(&self) -> bool {
        self.deps().store_health.is_unavailable()
    }

    /// Returns the time after which a caller should come back that was refused for lack of tokens, in
    /// milliseconds, given the time that it still waits.
    pub(crate) fn retry_ms(&self, free: bool, remaining_ms: u64) -> u64 {
        let outage = self.deps().store_health.outage();
        escrow::retry_ms(outage, free, remaining_ms, rand::random())
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

    /// Debits tokens for another instance that asks for them; returns the total transferred to it.
    pub(crate) fn transfer_share(&self, request: &TokenRequest) -> CumulativeTotal {
        let now = self.0.clock.now();
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let state = customers.get_mut(&request.customer);
        let total = state.map(|s| {
            let budget = &mut s.budget;
            budget.transfer_share(
                now,
                &request.from,
                request.tokens,
                request.balance,
                request.rate,
            )
        });
        self.cumulative_total(&request.from, total.unwrap_or_default())
    }

    /// Returns the tokens held here, and those held back of the customers whose home this is.
    pub(crate) fn tokens_held(&self) -> (u64, u64) {
        if self.0.deps.get().is_none() {
            return (0, 0);
        }
        let now = self.0.clock.now();
        let names = self.customer_names().into_iter();
        let homes: HashSet<String> = names.filter(|c| self.is_home(c)).collect();
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let held = customers.values().map(|s| s.budget.balance()).sum();
        let at_home = customers.iter().filter(|(name, _)| homes.contains(*name));
        let held_back = at_home.map(|(_, s)| s.budget.held_back(now)).sum();
        (held, held_back)
    }

    /// Returns each customer's balance and demand, and the charged and spent totals of its record.
    pub(crate) fn dump(&self) -> BTreeMap<String, serde_json::Value> {
        let now = self.0.clock.now();
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let row = |(name, s): (&String, &CustomerState)| {
            let snapshot = s.budget.snapshot();
            let value = serde_json::json!({
                "balance": s.budget.balance(),
                "uncertain": s.budget.uncertain(),
                "rate": s.budget.rate(now),
                "usual_rate": s.budget.usual_rate(now),
                "held_back": s.budget.held_back(now),
                "charged": snapshot.map(|s| s.record.charged),
                "spent": snapshot.map(|s| s.record.spent),
                "known_at": snapshot.map(|s| s.read_at),
            });
            (name.clone(), value)
        };
        customers.iter().map(row).collect()
    }

    fn with_known_budget(&self, customer: &str, f: impl FnOnce(&mut LocalBudget)) {
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        if let Some(state) = customers.get_mut(customer) {
            f(&mut state.budget);
        }
    }
}

/// Result of the first attempt to reserve tokens.
enum FirstAttempt {
    Reserved,
    Refused(ReserveError),
    Wait,
}

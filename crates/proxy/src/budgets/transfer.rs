//! Transfers of tokens between instances, and their return to the store at a planned stop.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use escrow::{CumulativeTotal, LocalBudget};
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::refill::{CommitOutcome, Scope};
use super::{Budgets, MAX_COMMIT_ATTEMPTS};
use crate::event::Event;
use crate::fleet::Member;
use crate::peers::{TokenRequest, TokenTransfer, CALL_TIMEOUT};
use crate::roster::HomeScope;

/// How long a stopping instance waits for the store before it transfers its tokens to other
/// instances.
const SHUTDOWN_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of other instances asked for a customer's tokens in one search.
const MAX_PEERS_ASKED: usize = 8;

impl Budgets {
    /// Asks other instances for the tokens that a customer's waiting requests need.
    pub(super) async fn request_from_peers(&self, customer: &str) {
        for peer in self.peers_to_ask(customer).iter().take(MAX_PEERS_ASKED) {
            let Some(request) = self.token_request(customer) else {
                return;
            };
            let (budgets, from) = (self.clone(), peer.clone());
            let call = async move {
                let total = budgets
                    .deps()
                    .peer_clients
                    .request_tokens(from.addr, &request)
                    .await?;
                budgets.receive_tokens(&request.customer, &total);
                Ok(())
            };
            if let Err(why) = self.call_detached(peer, CALL_TIMEOUT, call).await {
                let detail = format_args!("customer={customer} from={} failed={why}", peer.id);
                self.0.log.event(Event::TokenTransfer, detail);
            }
        }
    }

    /// Returns the other instances in the order in which they are asked: the customer's homes,
    /// those of the own zone, and the rest. Each group is shuffled, because it is not known which
    /// instances hold tokens.
    fn peers_to_ask(&self, customer: &str) -> Vec<Arc<Member>> {
        let fleet = &self.deps().fleet;
        let homes = fleet.other_homes(customer, HomeScope::Fleet);
        let mut peers = fleet.peers();
        peers.shuffle(&mut rand::rng());
        let is_home = |m: &Member| homes.iter().any(|h| h.id == m.id);
        peers.sort_by_key(|m| (!is_home(m), m.zone != fleet.zone()));
        peers
    }

    fn token_request(&self, customer: &str) -> Option<TokenRequest> {
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let budget = &customers.get(customer)?.budget;
        let tokens = budget.shortfall();
        (tokens > 0).then(|| TokenRequest {
            from: self.own_id(),
            customer: customer.to_string(),
            tokens,
            balance: budget.balance(),
            rate: budget.rate(self.0.clock.now()),
        })
    }

    fn receive_tokens(&self, customer: &str, total: &CumulativeTotal) {
        let (own_id, from) = (self.own_id(), &total.from);
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let state = customers.get_mut(customer);
        let tokens = state.map_or(0, |s| s.budget.receive_tokens(&own_id, total));
        drop(customers);
        if tokens == 0 {
            return;
        }
        let detail = format_args!("customer={customer} from={from} tokens={tokens}");
        self.0.log.event(Event::TokenTransfer, detail);
    }

    /// Returns whether a planned stop has begun to return tokens.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.0.shutting_down.load(Ordering::Relaxed)
    }

    /// Receives the tokens of an instance that stops; returns whether they are meant for this
    /// incarnation and it knows their customer.
    pub(crate) fn receive_transfer(&self, transfer: &TokenTransfer) -> bool {
        let own_id = self.own_id();
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let Some(state) = customers.get_mut(&transfer.customer) else {
            return false;
        };
        state.budget.receive_tokens(&own_id, &transfer.transferred);
        state.budget.receive_spending(&own_id, &transfer.spent);
        transfer.transferred.to == own_id
    }

    /// Releases all tokens that are not reserved, to the store or to other instances, at a planned
    /// stop. From then on, no tokens are taken from the budgets. Returns whether all of them were
    /// released.
    pub(crate) async fn release_all(&self) -> bool {
        self.0.shutting_down.store(true, Ordering::Relaxed);
        // A read shows whether the store answers. A write without a response may still take effect,
        // so its tokens could not be transferred to other instances.
        let store_answered = timeout(
            SHUTDOWN_READ_TIMEOUT,
            self.read(&self.customers_to_release()),
        )
        .await;
        if store_answered == Ok(true) {
            self.return_to_store().await
        } else {
            self.transfer_to_peers().await
        }
    }

    async fn return_to_store(&self) -> bool {
        let mut conflicts = 0;
        while conflicts < MAX_COMMIT_ATTEMPTS {
            if self.is_ledger_outdated() && !self.read_ledger().await {
                return false;
            }
            let txn = self.plan_txn(Scope::Shutdown);
            if txn.puts.is_empty() {
                if self.is_ledger_outdated() {
                    conflicts += 1;
                    continue;
                }
                return true;
            }
            match self.commit(txn).await {
                // A transaction covers a limited number of customers: the others follow.
                CommitOutcome::Committed => {}
                CommitOutcome::Failed => return false,
                CommitOutcome::Conflict => conflicts += 1,
            }
        }
        false
    }

    /// Transfers all tokens to other instances, those of a customer to one of them.
    async fn transfer_to_peers(&self) -> bool {
        let deps = self.deps();
        let peers = self.available_peers().await;
        let mut complete = true;
        for (i, customer) in self.customers_to_release().iter().enumerate() {
            let Some(peer) = peers.get(i % peers.len().max(1)) else {
                return false;
            };
            let transfer = self.final_transfer(peer, customer);
            let accepted = deps
                .peer_clients
                .transfer_tokens(peer.addr, &transfer)
                .await;
            complete &= accepted == Ok(true);
            let detail = format_args!("to={} gift={transfer:?} given={accepted:?}", peer.id);
            self.0.log.event(Event::TokenTransfer, detail);
        }
        complete
    }

    /// Returns the instances that answer and are not stopping: tokens sent to one that is gone are
    /// lost.
    async fn available_peers(&self) -> Vec<Member> {
        let deps = self.deps();
        let mut pings = JoinSet::new();
        for peer in deps.fleet.peers() {
            let peer_clients = deps.peer_clients.clone();
            pings.spawn(async move {
                // The list may still show its previous incarnation.
                let id = peer_clients.ping(peer.addr).await?;
                Some(Member {
                    id,
                    ..Member::clone(&peer)
                })
            });
        }
        let answered = pings.join_all().await;
        answered.into_iter().flatten().collect()
    }

    /// Returns the customers with tokens left here, or with spent tokens that are not reported yet.
    fn customers_to_release(&self) -> Vec<String> {
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let holds = |b: &LocalBudget| b.balance() > 0 || b.has_unreported_spending();
        let holders = customers.iter().filter(|(_, s)| holds(&s.budget));
        holders.map(|(name, _)| name.clone()).collect()
    }

    /// Debits all tokens of a customer that are left here for another instance, and forwards what
    /// was spent.
    fn final_transfer(&self, peer: &Member, customer: &str) -> TokenTransfer {
        self.with_budget(customer, |b| TokenTransfer {
            customer: customer.to_string(),
            transferred: self.cumulative_total(&peer.id, b.transfer_all(&peer.id)),
            spent: self.cumulative_total(&peer.id, b.forward_spending(&peer.id)),
        })
    }
}

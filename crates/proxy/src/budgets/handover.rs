//! Tokens between instances, and back to the store at a stop.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use escrow::{CumulativeTotal, LocalBudget};
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::refill::{Scope, Wrote};
use super::{Budgets, TRIES};
use crate::event::Event;
use crate::fleet::Member;
use crate::peers::{TokenHandover, TokenRequest};
use crate::roster::HomeScope;

/// A stopping instance tries the store for so long before it gives its tokens to others.
const LEAVE_STORE: Duration = Duration::from_millis(250);
/// Other instances that are asked in one look.
const PEERS_ASKED: usize = 8;

impl Budgets {
    /// Asks other instances for what a customer's requests lack.
    pub(super) async fn ask_peers(&self, customer: &str) {
        for peer in self.askable(customer).iter().take(PEERS_ASKED) {
            let Some(want) = self.want(customer) else {
                return;
            };
            let (bank, from) = (self.clone(), peer.clone());
            let call = async move {
                let given = bank.means().peers.request_tokens(from.addr, &want).await?;
                bank.receive(&want.customer, &given);
                Ok(())
            };
            if let Err(why) = self.debiting(peer, call).await {
                let detail = format_args!("customer={customer} from={} failed={why}", peer.id);
                self.0.log.event(Event::TokenTransfer, detail);
            }
        }
    }

    /// Returns the other instances in the order in which they are asked: the customer's homes, those of
    /// the own zone, and among them each time others, since no one knows who has tokens.
    fn askable(&self, customer: &str) -> Vec<Arc<Member>> {
        let fleet = &self.means().fleet;
        let homes = fleet.other_homes(customer, HomeScope::Fleet);
        let mut others = fleet.peers();
        others.shuffle(&mut rand::rng());
        let is_home = |m: &Member| homes.iter().any(|h| h.id == m.id);
        others.sort_by_key(|m| (!is_home(m), m.zone != fleet.zone()));
        others
    }

    fn want(&self, customer: &str) -> Option<TokenRequest> {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let holding = &accounts.get(customer)?.holding;
        let tokens = holding.shortfall();
        (tokens > 0).then(|| TokenRequest {
            from: self.own_id(),
            customer: customer.to_string(),
            tokens,
            balance: holding.balance(),
            rate: holding.rate(self.0.clock.now()),
        })
    }

    fn receive(&self, customer: &str, given: &CumulativeTotal) {
        let (me, from) = (self.own_id(), &given.from);
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.get_mut(customer);
        let tokens = account.map_or(0, |a| a.holding.receive_tokens(&me, given));
        drop(accounts);
        if tokens == 0 {
            return;
        }
        let detail = format_args!("customer={customer} from={from} tokens={tokens}");
        self.0.log.event(Event::TokenTransfer, detail);
    }

    /// Returns whether a stop has begun to hand back tokens.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }

    /// Takes tokens from an instance that leaves; returns whether this one serves their customer.
    pub(crate) fn receive_transfer(&self, gift: &TokenHandover) -> bool {
        let me = self.own_id();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let Some(account) = accounts.get_mut(&gift.customer) else {
            return false;
        };
        account.holding.receive_tokens(&me, &gift.given);
        account.holding.receive_spending(&me, &gift.spent);
        gift.given.to == me
    }

    /// Hands back what is not reserved, to the store or to other instances: the last act of a planned
    /// stop. Returns whether all of it went.
    pub(crate) async fn release_all(&self) -> bool {
        self.0.leaving.store(true, Ordering::Relaxed);
        // A read first: tokens in a write that may yet land can't be given to anybody else.
        let answers = timeout(LEAVE_STORE, self.read(&self.holders())).await;
        if answers == Ok(true) {
            self.give_back().await
        } else {
            self.give_away().await
        }
    }

    async fn give_back(&self) -> bool {
        let mut lost = 0;
        while lost < TRIES {
            if self.is_book_outdated() && !self.read_book().await {
                return false;
            }
            let txn = self.plan(Scope::Leaving);
            if txn.put.is_empty() {
                if self.is_book_outdated() {
                    lost += 1;
                    continue;
                }
                return true;
            }
            match self.commit(txn).await {
                // A transaction takes a part of many customers only.
                Wrote::Done => {}
                Wrote::Failed => return false,
                Wrote::Lost => lost += 1,
            }
        }
        false
    }

    /// Gives all tokens to other instances, a customer's to one of them.
    async fn give_away(&self) -> bool {
        let means = self.means();
        let others = self.staying().await;
        let mut all = true;
        for (i, customer) in self.holders().iter().enumerate() {
            let Some(peer) = others.get(i % others.len().max(1)) else {
                return false;
            };
            let gift = self.gift(peer, customer);
            let given = means.peers.hand_over_tokens(peer.addr, &gift).await;
            all &= given == Ok(true);
            let detail = format_args!("to={} gift={gift:?} given={given:?}", peer.id);
            self.0.log.event(Event::TokenTransfer, detail);
        }
        all
    }

    /// Returns the instances that answer and stay: tokens sent to one that is gone are lost.
    async fn staying(&self) -> Vec<Member> {
        let means = self.means();
        let mut pings = JoinSet::new();
        for peer in means.fleet.peers() {
            let peers = means.peers.clone();
            pings.spawn(async move {
                // The list may show one that was there before.
                let id = peers.ping(peer.addr).await?;
                Some(Member {
                    id,
                    ..Member::clone(&peer)
                })
            });
        }
        let answered = pings.join_all().await;
        answered.into_iter().flatten().collect()
    }

    /// Returns the customers of which tokens are left here, or were spent without a word in the store.
    fn holders(&self) -> Vec<String> {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let left = |h: &LocalBudget| h.balance() > 0 || h.has_unreported_spending();
        let left = accounts.iter().filter(|(_, a)| left(&a.holding));
        left.map(|(name, _)| name.clone()).collect()
    }

    /// Debits all that is left of a customer's tokens, for another instance, and passes on what was spent.
    fn gift(&self, peer: &Member, customer: &str) -> TokenHandover {
        self.open_holding(customer, |h| TokenHandover {
            customer: customer.to_string(),
            given: self.tell(&peer.id, h.transfer_all(&peer.id)),
            spent: self.tell(&peer.id, h.forward_spending(&peer.id)),
        })
    }
}

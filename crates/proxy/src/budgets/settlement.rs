//! Settlements: when requests have ended, an instance that draws from a home forwards to it what
//! they spent, and transfers to it what they left, which others can then draw at once.
//!
//! Without settlements, the last part of a budget would be split over all instances into pieces
//! smaller than a prompt, and the home would take spent tokens for unspent ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use escrow::CumulativeTotal;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Budgets;
use crate::datagram::Datagram;
use crate::fleet::Member;

/// Requests that end within this time are settled together.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// How often each settlement is sent, because a datagram may be lost. Receiving a total twice
/// changes nothing.
const SEND_COUNT: u8 = 2;
/// Maximum number of customers in one datagram, so that it fits in a packet.
const MAX_PER_DATAGRAM: usize = 6;

/// The settlement of one customer's requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Settlement {
    customer: String,
    /// Total of tokens that the sender has transferred to the home.
    #[serde(rename = "given")]
    transferred: CumulativeTotal,
    /// Total of spent tokens that the sender has forwarded to the home.
    spent: CumulativeTotal,
}

impl Budgets {
    /// Schedules a settlement for a customer, one of whose requests has ended.
    pub(super) fn request_settlement(&self, customer: &str) {
        let mut pending = self
            .0
            .pending_settlements
            .lock()
            .expect("lock not poisoned");
        pending.insert(customer.to_string(), SEND_COUNT);
        self.0.settlement_requested.notify_one();
    }

    /// Sends the scheduled settlements to the homes.
    pub(super) async fn send_settlements(self) {
        let sender = &self.deps().sender;
        loop {
            self.0.settlement_requested.notified().await;
            sleep(BATCH_DELAY).await;
            for (addr, settlements) in self.take_pending_settlements() {
                for settlements in settlements.chunks(MAX_PER_DATAGRAM) {
                    sender.send(&Datagram::Settlements(settlements.to_vec()), [addr]);
                }
            }
        }
    }

    /// Returns the settlements that are due, by the address of the home.
    fn take_pending_settlements(&self) -> BTreeMap<SocketAddr, Vec<Settlement>> {
        let mut pending = self
            .0
            .pending_settlements
            .lock()
            .expect("lock not poisoned");
        let customers: Vec<String> = pending.keys().cloned().collect();
        pending.retain(|_, remaining| {
            *remaining -= 1;
            *remaining > 0
        });
        if !pending.is_empty() {
            self.0.settlement_requested.notify_one();
        }
        drop(pending);
        let mut settlements: BTreeMap<SocketAddr, Vec<Settlement>> = BTreeMap::new();
        for customer in customers {
            let homes = self
                .deps()
                .fleet
                .preceding_homes(&customer, self.home_scope(&customer));
            // Tokens transferred to an instance that is gone could not be used any more, and
            // spending forwarded to it would never be recorded. The own ledger entry reports it
            // instead.
            let peer_clients = &self.deps().peer_clients;
            let home = homes
                .first()
                .filter(|h| !peer_clients.is_unresponsive(h.addr));
            if let Some(home) = home {
                let batch = settlements.entry(home.addr).or_default();
                batch.extend(self.settlement(home, customer));
            }
        }
        settlements
    }

    fn settlement(&self, home: &Member, customer: String) -> Option<Settlement> {
        let now = self.0.clock.now();
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        let budget = &mut customers.get_mut(&customer)?.budget;
        Some(Settlement {
            transferred: self.cumulative_total(&home.id, budget.transfer_idle(now, &home.id)),
            spent: self.cumulative_total(&home.id, budget.forward_spending(&home.id)),
            customer,
        })
    }

    /// Applies the settlements of an instance that draws from this one.
    pub(crate) fn receive_settlements(&self, settlements: &[Settlement]) {
        let own_id = self.own_id();
        let mut covered = false;
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        for settlement in settlements {
            let Some(state) = customers.get_mut(&settlement.customer) else {
                continue;
            };
            let budget = &mut state.budget;
            budget.receive_spending(&own_id, &settlement.spent);
            let received = budget.receive_tokens(&own_id, &settlement.transferred);
            covered |= received > 0 && budget.shortfall() == 0 && budget.has_waiting_requests();
        }
        drop(customers);
        if covered {
            self.notify_waiting();
        }
    }
}

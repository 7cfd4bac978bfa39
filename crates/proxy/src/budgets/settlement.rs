//! What an instance that draws from a home tells it when requests have ended: what they spent, and what
//! they left, which the home can lend to others at once.
//!
//! Without it the last part of a budget lies in as many pieces as there are instances, each smaller than a
//! prompt, and the home takes what is spent for what may still be lent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use escrow::CumulativeTotal;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Budgets;
use crate::datagram::Datagram;
use crate::fleet::Member;

/// Requests that end within this time are told of together.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Each word is said so many times, since a datagram may be lost: totals come to the same said twice.
const SEND_COUNT: u8 = 2;
/// Customers in one datagram: it fits in a packet.
const MAX_PER_DATAGRAM: usize = 6;

/// One customer's word.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Settlement {
    customer: String,
    /// What the teller has given to the home.
    #[serde(rename = "given")]
    transferred: CumulativeTotal,
    /// What the teller has spent and passed on to the home.
    spent: CumulativeTotal,
}

impl Budgets {
    /// Notes that a request of a customer has ended.
    pub(super) fn request_settlement(&self, customer: &str) {
        let mut pending = self.0.pending_settlements.lock().expect("no panic inside");
        pending.insert(customer.to_string(), SEND_COUNT);
        self.0.settlement_requested.notify_one();
    }

    /// Tells homes of requests that have ended.
    pub(super) async fn send_settlements(self) {
        let sender = &self.deps().sender;
        loop {
            self.0.settlement_requested.notified().await;
            sleep(BATCH_DELAY).await;
            for (addr, settlements) in self.take_pending_settlements() {
                for settlements in settlements.chunks(MAX_PER_DATAGRAM) {
                    sender.send(&Datagram::Settled(settlements.to_vec()), [addr]);
                }
            }
        }
    }

    /// Takes the customers of which something is to be told, by the address of their home.
    fn take_pending_settlements(&self) -> BTreeMap<SocketAddr, Vec<Settlement>> {
        let mut pending = self.0.pending_settlements.lock().expect("no panic inside");
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
                .preceding_homes(&customer, self.area(&customer));
            // What is passed on to one that is gone is out of reach, and never on record: the own line tells of it.
            let peers = &self.deps().peers;
            let home = homes.first().filter(|h| !peers.is_unresponsive(h.addr));
            if let Some(home) = home {
                let batch = settlements.entry(home.addr).or_default();
                batch.extend(self.settlement(home, customer));
            }
        }
        settlements
    }

    fn settlement(&self, home: &Member, customer: String) -> Option<Settlement> {
        let now = self.0.clock.now();
        let mut customers = self.0.customers.lock().expect("no panic inside");
        let budget = &mut customers.get_mut(&customer)?.budget;
        Some(Settlement {
            transferred: self.cumulative_total(&home.id, budget.transfer_idle(now, &home.id)),
            spent: self.cumulative_total(&home.id, budget.forward_spending(&home.id)),
            customer,
        })
    }

    /// Takes the word of an instance that draws from this one.
    pub(crate) fn receive_settlements(&self, settlements: &[Settlement]) {
        let own_id = self.own_id();
        let mut covered = false;
        let mut customers = self.0.customers.lock().expect("no panic inside");
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

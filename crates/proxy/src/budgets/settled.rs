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
const TOGETHER: Duration = Duration::from_millis(40);
/// Each word is said so many times, since a datagram may be lost: totals come to the same said twice.
const TIMES: u8 = 2;
/// Customers in one datagram: it fits in a packet.
const TOLD_MOST: usize = 6;

/// One customer's word.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Settlement {
    customer: String,
    /// What the teller has given to the home.
    given: CumulativeTotal,
    /// What the teller has spent and passed on to the home.
    spent: CumulativeTotal,
}

impl Budgets {
    /// Notes that a request of a customer has ended.
    pub(super) fn ended(&self, customer: &str) {
        let mut ended = self.0.ended.lock().expect("no panic inside");
        ended.insert(customer.to_string(), TIMES);
        self.0.ended_wake.notify_one();
    }

    /// Tells homes of requests that have ended.
    pub(super) async fn settle(self) {
        let sender = &self.means().sender;
        loop {
            self.0.ended_wake.notified().await;
            sleep(TOGETHER).await;
            for (addr, told) in self.untold() {
                for told in told.chunks(TOLD_MOST) {
                    sender.send(&Datagram::Settled(told.to_vec()), [addr]);
                }
            }
        }
    }

    /// Takes the customers of which something is to be told, by the address of their home.
    fn untold(&self) -> BTreeMap<SocketAddr, Vec<Settlement>> {
        let mut ended = self.0.ended.lock().expect("no panic inside");
        let customers: Vec<String> = ended.keys().cloned().collect();
        ended.retain(|_, times| {
            *times -= 1;
            *times > 0
        });
        if !ended.is_empty() {
            self.0.ended_wake.notify_one();
        }
        drop(ended);
        let mut told: BTreeMap<SocketAddr, Vec<Settlement>> = BTreeMap::new();
        for customer in customers {
            let homes = self
                .means()
                .fleet
                .preceding_homes(&customer, self.area(&customer));
            // What is passed on to one that is gone is out of reach, and never on record: the own line tells of it.
            let peers = &self.means().peers;
            let home = homes.first().filter(|h| !peers.is_unresponsive(h.addr));
            if let Some(home) = home {
                let rows = told.entry(home.addr).or_default();
                rows.extend(self.settled_row(home, customer));
            }
        }
        told
    }

    fn settled_row(&self, home: &Member, customer: String) -> Option<Settlement> {
        let now = self.0.clock.now();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let holding = &mut accounts.get_mut(&customer)?.holding;
        Some(Settlement {
            given: self.tell(&home.id, holding.transfer_idle(now, &home.id)),
            spent: self.tell(&home.id, holding.forward_spending(&home.id)),
            customer,
        })
    }

    /// Takes the word of an instance that draws from this one.
    pub(crate) fn receive_settlements(&self, told: &[Settlement]) {
        let me = self.own_id();
        let mut awaited = false;
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for word in told {
            let Some(account) = accounts.get_mut(&word.customer) else {
                continue;
            };
            let holding = &mut account.holding;
            holding.receive_spending(&me, &word.spent);
            let news = holding.receive_tokens(&me, &word.given);
            awaited |= news > 0 && holding.shortfall() == 0 && holding.has_waiting_requests();
        }
        drop(accounts);
        if awaited {
            self.looked();
        }
    }
}

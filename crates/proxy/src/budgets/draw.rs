//! Tokens that a request needs from its customer's home, and the home's side of it.

use std::future::Future;
use std::time::Duration;

use escrow::{CumulativeTotal, ReserveError};
use serde::{Deserialize, Serialize};
use tokio::time::{timeout, Instant};

use super::{Budgets, Reservation};
use crate::datagram::Sender;
use crate::event::Event;
use crate::fleet::Member;
use crate::peers::CALL_TIMEOUT;
use crate::roster::HomeScope;

/// A home waits so long for the store and for other homes: less than the instance that draws waits for
/// the home.
const DRAW_TIMEOUT: Duration = Duration::from_millis(150);

/// A call for the tokens of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DrawRequest {
    customer: String,
    /// Tokens that the request needs beyond what the caller has.
    tokens: u64,
    /// The most that the whole request can cost.
    size: u64,
    /// What the caller has passed on to this home of what it has spent, in words before: they may be lost.
    spent: CumulativeTotal,
    /// What is prepaid by the configuration of the caller.
    prepaid: u64,
    /// Whether it goes to the home of the caller's availability zone, since the customer's first home has too many.
    #[serde(rename = "zone", default)]
    to_zone_home: bool,
}

/// A home's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DrawResponse {
    /// The tokens are debited there.
    Tokens(CumulativeTotal),
    /// The budget does not cover them.
    Exhausted,
    /// There are none in reach; whether the budget had free ones.
    OutOfReach {
        /// Nobody holds them.
        free: bool,
    },
    /// There are none here, and the store is out of reach from here.
    #[serde(rename = "CutOff")]
    StoreUnreachable,
    /// This instance does not know the budget as the caller does, or stops.
    #[serde(rename = "NotHere")]
    Unavailable,
    /// The customer has more draws than one instance answers: the home of the caller's availability zone is to be asked.
    #[serde(rename = "Crowded")]
    OverCapacity,
}

impl Budgets {
    /// Reserves tokens with the help of the customer's homes; `None` when none of them is of help.
    pub(super) async fn reserve_at_home(
        &self,
        customer: &str,
        tokens: u64,
    ) -> Option<Result<Reservation, ReserveError>> {
        let mut homes = self.homes(customer);
        if homes.is_empty() {
            return None;
        }
        let mut reservation = self.new_reservation(customer);
        reservation.reserved = self.reserve_up_to(customer, tokens);
        let shortfall = tokens - reservation.reserved;
        if shortfall == 0 {
            return Some(Ok(reservation));
        }
        let mut unreachable = 0;
        let mut asked = 0;
        while let Some(home) = homes.get(asked).cloned() {
            asked += 1;
            match self.draw_from(&home, customer, shortfall, tokens).await {
                DrawResponse::Tokens(_) if self.try_reserve(customer, shortfall) => {
                    reservation.reserved = tokens;
                    return Some(Ok(reservation));
                }
                // Another request was quicker.
                DrawResponse::Tokens(_) => return None,
                DrawResponse::Exhausted => return Some(Err(ReserveError::Exhausted)),
                DrawResponse::OutOfReach { free } => {
                    return Some(Err(ReserveError::OutOfReach { free }))
                }
                DrawResponse::StoreUnreachable => unreachable += 1,
                DrawResponse::Unavailable => {}
                DrawResponse::OverCapacity => {
                    self.use_zone_homes(customer);
                    homes = self.homes(customer);
                    (asked, unreachable) = (0, 0);
                }
            }
        }
        // The home has asked all others, unless that is this one: there is nothing to wait for.
        let all_unreachable = unreachable == homes.len() && !self.is_home(customer);
        let out_of_reach = all_unreachable && self.is_store_unreachable();
        out_of_reach.then_some(Err(ReserveError::OutOfReach { free: false }))
    }

    /// Calls a home.
    async fn draw_from(
        &self,
        home: &Member,
        customer: &str,
        tokens: u64,
        size: u64,
    ) -> DrawResponse {
        let draw = self.draw_request(home, customer, tokens, size);
        let bytes = serde_json::to_vec(&draw).map_or(0, |d| d.len());
        let Sender { fleet, traffic, .. } = &self.deps().sender;
        traffic.record("draws", fleet.roster().is_same_zone(home.addr), bytes);
        let (budgets, addr) = (self.clone(), home.addr);
        let call = async move {
            let response = budgets.deps().peers.draw_tokens(addr, &draw).await?;
            if let DrawResponse::Tokens(received) = &response {
                budgets.with_known_budget(&draw.customer, |b| {
                    b.receive_tokens(&draw.spent.from, received);
                });
            }
            Ok(response)
        };
        self.call_detached(home, call).await.unwrap_or_else(|why| {
            let detail = format_args!("customer={customer} from={} failed={why}", home.id);
            self.0.log.event(Event::TokenTransfer, detail);
            DrawResponse::Unavailable
        })
    }

    /// Waits a little for a call that may debit tokens at another instance. The call goes on when the
    /// wait, or the request that it is for, ends: what it brings late is kept here.
    pub(super) async fn call_detached<T: Send + 'static>(
        &self,
        peer: &Member,
        call: impl Future<Output = Result<T, String>> + Send + 'static,
    ) -> Result<T, String> {
        match timeout(CALL_TIMEOUT, tokio::spawn(call)).await {
            Ok(result) => result.expect("a call does not panic"),
            Err(_) => {
                self.deps().peers.back_off(peer.addr);
                Err("no answer in time".to_string())
            }
        }
    }

    fn draw_request(&self, home: &Member, customer: &str, tokens: u64, size: u64) -> DrawRequest {
        let to_zone_home = self.area(customer) == HomeScope::Zone;
        self.with_budget(customer, |b| DrawRequest {
            customer: customer.to_string(),
            tokens,
            size,
            spent: self.cumulative_total(&home.id, b.forwarded_spending(&home.id)),
            prepaid: b.prepaid(),
            to_zone_home,
        })
    }

    /// Answers an instance that draws from this one.
    pub(crate) async fn handle_draw(&self, draw: &DrawRequest) -> DrawResponse {
        let own_id = self.own_id();
        self.with_known_budget(&draw.customer, |b| b.receive_spending(&own_id, &draw.spent));
        if draw.spent.to != own_id
            || self.is_shutting_down()
            || self.prepaid(&draw.customer) < draw.prepaid
        {
            return DrawResponse::Unavailable;
        }
        if self.record_draw(&draw.customer) && !draw.to_zone_home {
            return DrawResponse::OverCapacity;
        }
        let until = Instant::now() + DRAW_TIMEOUT;
        // Those that take a home's place are asked all at once while nobody reaches the store: were each to count
        // the demand, each would take tokens for all of it afterwards.
        let is_home = draw.to_zone_home || self.is_home(&draw.customer);
        if is_home || !self.is_store_unreachable() {
            self.record_demand(&draw.customer, draw.tokens, draw.size);
        }
        let reserved = self.reserve_here(&draw.customer, draw.tokens, draw.size, until);
        match reserved.await {
            Ok(reservation) => {
                let total = reservation.transfer_to(&draw.spent.from);
                DrawResponse::Tokens(self.cumulative_total(&draw.spent.from, total))
            }
            // By an older configuration the caller may know better.
            Err(ReserveError::Exhausted) if self.prepaid(&draw.customer) > draw.prepaid => {
                DrawResponse::Unavailable
            }
            Err(ReserveError::Exhausted) => DrawResponse::Exhausted,
            // The next one may reach the store.
            Err(ReserveError::OutOfReach { .. }) if self.is_store_unreachable() => {
                DrawResponse::StoreUnreachable
            }
            Err(ReserveError::OutOfReach { free }) => DrawResponse::OutOfReach { free },
        }
    }

    fn prepaid(&self, customer: &str) -> u64 {
        let customers = self.0.customers.lock().expect("no panic inside");
        customers.get(customer).map_or(0, |s| s.budget.prepaid())
    }

    fn reserve_up_to(&self, customer: &str, tokens: u64) -> u64 {
        self.with_budget(customer, |b| b.reserve_up_to(tokens))
    }
}

//! Draws, by which an instance gets the tokens that a request needs from the customer's home.

use std::future::Future;
use std::time::Duration;

use escrow::{Claim, CumulativeTotal, ReserveError};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::{Budgets, Reservation, MAX_FREE_TOKEN_WAIT};
use crate::datagram::Sender;
use crate::event::Event;
use crate::fleet::Member;
use crate::peers::CALL_TIMEOUT;
use crate::roster::HomeScope;

/// How long a home waits for the store and for other instances: less than the drawing instance
/// waits for the home.
const DRAW_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a call to an instance that has responded to others since the call began: it is alive,
/// and the next one to ask may be no faster.
const SLOW_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before a draw is repeated because the home is about to get the tokens: a home that answers
/// at once is not called in a tight loop.
const REDRAW_PAUSE: Duration = Duration::from_millis(30);

/// A request to a home for the tokens of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DrawRequest {
    customer: String,
    /// Tokens that the request needs beyond those that the drawing instance holds.
    tokens: u64,
    /// The most that the request as a whole can cost.
    size: u64,
    /// Total of spent tokens that the drawing instance has forwarded to this home: earlier messages
    /// with it may have been lost.
    spent: CumulativeTotal,
    /// Prepaid amount in the configuration of the drawing instance.
    prepaid: u64,
    /// Whether it is sent to the home in the drawing instance's availability zone, because the
    /// customer's home gets too many draws.
    #[serde(rename = "zone", default)]
    to_zone_home: bool,
    /// Whether the same request has drawn from this home before: its demand is counted already.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    repeated: bool,
    /// Priority of the request; `None` if the drawing instance does not tell. It counts as the least
    /// urgent one then, so that it does not displace those that are known to be urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    priority: Option<u8>,
}

impl DrawRequest {
    /// Returns what the request as a whole claims.
    pub(crate) fn claim(&self) -> Claim {
        Claim {
            priority: self.priority.unwrap_or(conf::MAX_PRIORITY),
            size: self.size,
        }
    }
}

/// A home's response to a draw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DrawResponse {
    /// The home has debited the tokens; contains the total transferred to the drawing instance.
    Tokens(CumulativeTotal),
    /// The budget does not cover the tokens.
    Exhausted,
    /// The budget may cover the tokens, but the home could not get them.
    OutOfReach {
        /// Whether enough tokens were free, held by no instance.
        free: bool,
        /// Whether the home is taking them from the budget: the draw is worth repeating.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pending: bool,
    },
    /// This instance holds too few tokens, and the store is unavailable to it.
    #[serde(rename = "CutOff")]
    StoreUnavailable,
    /// This instance is another incarnation than the one that was asked, is stopping, or can't
    /// decide because its configuration has another prepaid amount.
    #[serde(rename = "NotHere")]
    HomeUnavailable,
    /// The customer has more draws than one instance answers: the drawing instance is to ask the
    /// home in its availability zone.
    #[serde(rename = "Crowded")]
    OverCapacity,
}

impl Budgets {
    /// Reserves tokens until the deadline, drawing those that are missing here from the customer's
    /// homes. Returns `None` if this instance has to reserve them without the homes.
    pub(super) async fn reserve_at_home(
        &self,
        customer: &str,
        claim: Claim,
        deadline: Instant,
    ) -> Option<Result<Reservation, ReserveError>> {
        let tokens = claim.size;
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
        let until = deadline.min(Instant::now() + MAX_FREE_TOKEN_WAIT);
        let mut repeated = false;
        let mut unavailable = 0;
        let mut asked = 0;
        while let Some(home) = homes.get(asked).cloned() {
            asked += 1;
            let draw = DrawRequest {
                repeated,
                ..self.draw_request(&home, customer, shortfall, claim)
            };
            repeated = false;
            // The call continues after the deadline.
            let Ok(response) = timeout_at(deadline, self.draw_from(&home, draw)).await else {
                return Some(Err(ReserveError::OutOfReach { free: false }));
            };
            match response {
                DrawResponse::Tokens(_) if self.try_reserve(customer, shortfall) => {
                    reservation.reserved = tokens;
                    return Some(Ok(reservation));
                }
                // Another request has reserved them meanwhile.
                DrawResponse::Tokens(_) => return None,
                DrawResponse::Exhausted => return Some(Err(ReserveError::Exhausted)),
                DrawResponse::OutOfReach { pending: true, .. } if Instant::now() < until => {
                    sleep(REDRAW_PAUSE).await;
                    if self.try_reserve(customer, shortfall) {
                        reservation.reserved = tokens;
                        return Some(Ok(reservation));
                    }
                    repeated = true;
                    asked -= 1;
                }
                DrawResponse::OutOfReach { free, .. } => {
                    return Some(Err(ReserveError::OutOfReach { free }))
                }
                DrawResponse::StoreUnavailable => unavailable += 1,
                DrawResponse::HomeUnavailable => {}
                DrawResponse::OverCapacity => {
                    self.use_zone_homes(customer);
                    homes = self.homes(customer);
                    (asked, unavailable) = (0, 0);
                }
            }
        }
        // Unless this instance is a home itself, the homes have asked the other instances, so there
        // is nothing to wait for.
        let all_unavailable = unavailable == homes.len() && !self.is_home(customer);
        let out_of_reach = all_unavailable && self.is_store_unavailable();
        out_of_reach.then_some(Err(ReserveError::OutOfReach { free: false }))
    }

    /// Draws tokens from a home.
    async fn draw_from(&self, home: &Member, draw: DrawRequest) -> DrawResponse {
        let customer = draw.customer.clone();
        let bytes = serde_json::to_vec(&draw).map_or(0, |d| d.len());
        let Sender { fleet, traffic, .. } = &self.deps().sender;
        traffic.record("draws", fleet.roster().is_same_zone(home.addr), bytes);
        let (budgets, addr) = (self.clone(), home.addr);
        let call = async move {
            let response = budgets.deps().peer_clients.draw_tokens(addr, &draw).await?;
            if let DrawResponse::Tokens(received) = &response {
                budgets.with_known_budget(&draw.customer, |b| {
                    b.receive_tokens(&draw.spent.from, received);
                });
            }
            Ok(response)
        };
        self.call_detached(home, SLOW_CALL_TIMEOUT, call)
            .await
            .unwrap_or_else(|why| {
                let detail = format_args!("customer={customer} from={} failed={why}", home.id);
                self.0.log.event(Event::TokenTransfer, detail);
                DrawResponse::HomeUnavailable
            })
    }

    /// Waits briefly for a call that may debit tokens at another instance. The call continues after
    /// the wait, or the request that it is made for, has ended: tokens in a late response are
    /// received as well. An instance that has responded to others meanwhile is waited for until
    /// `slow_timeout`.
    pub(super) async fn call_detached<T: Send + 'static>(
        &self,
        peer: &Member,
        slow_timeout: Duration,
        call: impl Future<Output = Result<T, String>> + Send + 'static,
    ) -> Result<T, String> {
        let began_at = Instant::now();
        let peer_clients = &self.deps().peer_clients;
        let mut call = tokio::spawn(call);
        let mut result = timeout(CALL_TIMEOUT, &mut call).await;
        if result.is_err() && peer_clients.has_responded_since(peer.addr, began_at) {
            result = timeout_at(began_at + slow_timeout, call).await;
        }
        match result {
            Ok(result) => result.expect("calls to other instances do not panic"),
            Err(_) => {
                peer_clients.record_failure(peer.addr, began_at);
                Err("timed out".to_string())
            }
        }
    }

    fn draw_request(
        &self,
        home: &Member,
        customer: &str,
        tokens: u64,
        claim: Claim,
    ) -> DrawRequest {
        let to_zone_home = self.home_scope(customer) == HomeScope::Zone;
        self.with_budget(customer, |b| DrawRequest {
            customer: customer.to_string(),
            tokens,
            size: claim.size,
            spent: self.cumulative_total(&home.id, b.forwarded_spending(&home.id)),
            prepaid: b.prepaid(),
            to_zone_home,
            repeated: false,
            priority: Some(claim.priority),
        })
    }

    /// Answers a draw by another instance.
    pub(crate) async fn handle_draw(&self, draw: &DrawRequest) -> DrawResponse {
        let own_id = self.own_id();
        self.with_known_budget(&draw.customer, |b| b.receive_spending(&own_id, &draw.spent));
        if draw.spent.to != own_id
            || self.is_shutting_down()
            || self.prepaid(&draw.customer) < draw.prepaid
        {
            return DrawResponse::HomeUnavailable;
        }
        if !draw.repeated && self.record_draw(&draw.customer) && !draw.to_zone_home {
            return DrawResponse::OverCapacity;
        }
        let until = Instant::now() + DRAW_TIMEOUT;
        // While the store is unavailable to all instances, a request asks each instance that may
        // replace the home. If each counted the demand, each would later take tokens for all of it.
        let is_home = draw.to_zone_home || self.is_home(&draw.customer);
        if !draw.repeated && (is_home || !self.is_store_unavailable()) {
            self.record_demand(&draw.customer, draw.tokens, draw.claim());
        }
        let reserved = self.reserve_here(&draw.customer, draw.tokens, draw.claim(), until);
        match reserved.await {
            Ok(reservation) => {
                let total = reservation.transfer_to(&draw.spent.from);
                DrawResponse::Tokens(self.cumulative_total(&draw.spent.from, total))
            }
            // The two configurations have different versions: the drawing instance decides by its
            // own.
            Err(ReserveError::Exhausted) if self.prepaid(&draw.customer) > draw.prepaid => {
                DrawResponse::HomeUnavailable
            }
            Err(ReserveError::Exhausted) => DrawResponse::Exhausted,
            // The store may be available to the next instance that is asked.
            Err(ReserveError::OutOfReach { .. }) if self.is_store_unavailable() => {
                DrawResponse::StoreUnavailable
            }
            Err(error @ ReserveError::OutOfReach { free }) => DrawResponse::OutOfReach {
                free,
                pending: self.is_grantable(error) && !self.is_withheld(&draw.customer, draw.size),
            },
        }
    }

    fn prepaid(&self, customer: &str) -> u64 {
        let customers = self.0.customers.lock().expect("lock not poisoned");
        customers.get(customer).map_or(0, |s| s.budget.prepaid())
    }

    fn reserve_up_to(&self, customer: &str, tokens: u64) -> u64 {
        self.with_budget(customer, |b| b.reserve_up_to(tokens))
    }
}

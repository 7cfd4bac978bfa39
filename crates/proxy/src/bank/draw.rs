//! Tokens that a request needs from its customer's home, and the home's side of it.

use std::time::Duration;

use escrow::Short;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{Bank, Charge};
use crate::event::Event;
use crate::fleet::Member;

/// A home waits so long for the store and for other homes: less than the call of the instance that
/// draws may take, since tokens that are debited for a call that has ended are lost to the budget.
const DRAW_WAIT: Duration = Duration::from_millis(150);

/// A call for the tokens of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Draw {
    customer: String,
    /// Tokens that the request needs beyond what the caller has.
    tokens: u64,
    /// Tokens that the caller has spent and not told of yet.
    spent: u64,
    /// What is prepaid by the configuration of the caller.
    prepaid: u64,
}

/// A home's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Drawn {
    /// The tokens are debited there.
    Tokens,
    /// The budget does not cover them.
    Exhausted,
    /// There are none in reach; whether the budget had free ones.
    OutOfReach {
        /// Nobody holds them.
        free: bool,
    },
    /// This instance does not know the budget as the caller does, or stops.
    NotHere,
}

impl Bank {
    /// Reserves tokens with the help of the customer's homes; `None` when none of them is of help.
    pub(super) async fn reserve_at_home(
        &self,
        homes: &[Member],
        customer: &str,
        tokens: u64,
    ) -> Option<Result<Charge, Short>> {
        let mut charge = self.charge(customer);
        charge.reserved = self.reserve_part(customer, tokens);
        let lacking = tokens - charge.reserved;
        if lacking == 0 {
            return Some(Ok(charge));
        }
        for home in homes {
            match self.draw_from(home, customer, lacking).await {
                Drawn::Tokens if self.try_reserve(customer, lacking) => {
                    charge.reserved = tokens;
                    return Some(Ok(charge));
                }
                // Another request was quicker.
                Drawn::Tokens => return None,
                Drawn::Exhausted => return Some(Err(Short::Exhausted)),
                Drawn::OutOfReach { free } => return Some(Err(Short::OutOfReach { free })),
                Drawn::NotHere => {}
            }
        }
        None
    }

    /// Calls a home. The call goes on when the request ends: what the home has debited is kept here.
    async fn draw_from(&self, home: &Member, customer: &str, tokens: u64) -> Drawn {
        let draw = self.draw(customer, tokens);
        let (bank, home) = (self.clone(), home.clone());
        let call = tokio::spawn(async move {
            match bank.means().peers.draw(home.addr, &draw).await {
                Ok(Drawn::Tokens) => {
                    bank.with(&draw.customer, |h| h.receive(draw.tokens));
                    Drawn::Tokens
                }
                Ok(drawn) => drawn,
                Err(why) => {
                    let detail = format_args!(
                        "customer={} drawn={} from={} failed={why}",
                        draw.customer, draw.tokens, home.id
                    );
                    bank.0.log.note(Event::Transfer, detail);
                    Drawn::NotHere
                }
            }
        });
        call.await.expect("a call does not panic")
    }

    fn draw(&self, customer: &str, tokens: u64) -> Draw {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.entry(customer.to_string()).or_default();
        Draw {
            customer: customer.to_string(),
            tokens,
            spent: account.holding.pass_on(),
            prepaid: account.holding.prepaid(),
        }
    }

    /// Answers an instance that draws from this one.
    pub(crate) async fn drawn(&self, draw: &Draw) -> Drawn {
        self.with(&draw.customer, |h| h.hear(draw.spent));
        if self.is_leaving() || self.prepaid(&draw.customer) < draw.prepaid {
            return Drawn::NotHere;
        }
        let until = Instant::now() + DRAW_WAIT;
        match self.reserve_here(&draw.customer, draw.tokens, until).await {
            Ok(charge) => {
                charge.hand_over();
                Drawn::Tokens
            }
            // By an older configuration the caller may know better.
            Err(Short::Exhausted) if self.prepaid(&draw.customer) > draw.prepaid => Drawn::NotHere,
            Err(Short::Exhausted) => Drawn::Exhausted,
            Err(Short::OutOfReach { free }) => Drawn::OutOfReach { free },
        }
    }

    fn prepaid(&self, customer: &str) -> u64 {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        accounts.get(customer).map_or(0, |a| a.holding.prepaid())
    }

    fn reserve_part(&self, customer: &str, tokens: u64) -> u64 {
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let account = accounts.entry(customer.to_string()).or_default();
        account.holding.reserve_part(tokens)
    }
}

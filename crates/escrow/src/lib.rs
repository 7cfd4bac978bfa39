//! Prepaid budgets: how many tokens an instance takes from a customer's budget, holds, returns and transfers.
//!
//! The store has one record per customer, the only source of truth: sums over all incarnations that ever took
//! tokens. The counters of a single incarnation, which only grow, are in the ledger of its instance. Tokens that an
//! incarnation took stay charged until it returns them itself, because one that vanished may have spent all of them.
//! The sum of all tokens taken therefore never exceeds the prepaid amount, whichever instances crash, freeze or are
//! cut off.
//!
//! A prompt that was sent and not answered may have run. Its tokens stay charged, but do not count as spent, until the
//! upstreams that got it are gone.
//!
//! A customer's tokens are normally held by one instance, its home, from which the others draw.
//!
//! No I/O, clock or randomness: the time is passed with each event, in milliseconds.

mod demand;
mod holdback;
mod home;
mod local_budget;
mod mul_div;
mod record;
mod request_sizes;
mod retry;
mod totals;
mod uncertain_prompts;
mod urgency;
mod usual_rate;

pub use home::{
    exceeds_home_capacity, home_candidates, home_capacity, rendezvous_select, HOME_CANDIDATES,
};
pub use local_budget::{LocalBudget, RecordSnapshot, ReserveError, ShortageOutcome};
pub use record::{BudgetRecord, Ledger, LedgerEntry};
pub use retry::{retry_ms, Outage};
pub use totals::CumulativeTotal;
pub use uncertain_prompts::{GoneUpstream, SentPrompt, UncertainPrompt, UncertainPrompts};
pub use urgency::Claim;

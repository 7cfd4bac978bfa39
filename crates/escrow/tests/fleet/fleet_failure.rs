//! Failures of all instances at once, with budgets that last for different times.

use crate::simulation::{Outcome, Simulation, REQUEST_INTERVAL_MS, RESTART_DELAY_MS};

/// Tokens that each request asks for and spends.
const TOKENS: u64 = 5_000;
/// Demand of all requests.
const TOKENS_PER_SEC: u64 = TOKENS * 1_000 / REQUEST_INTERVAL_MS;

/// Guards against requests that are refused with advice to retry although their customers' budgets are not spent.
/// Twelve seconds after all processes were killed, three quarters of the requests were refused, and this lasted until
/// the end.
///
/// The store is unreachable twice. A moment after it is back, homes hold up to ten seconds of demand again, and all are
/// killed. What they held stays charged, as it may have been spent. The rest is soon spent, and no request fits any
/// more, although a tenth of the budget or more was never used. The cause was that homes could hold a share of the
/// remaining tokens, even if the customer had none left for the time after the failure.
#[test]
fn customers_are_served_after_a_fleet_failure() {
    let mut total = Outcome::default();
    for budget_secs in 24..60 {
        let mut simulation = Simulation::new(TOKENS_PER_SEC * budget_secs, 1, &[TOKENS]);
        simulation.run(0, 5_300, true);
        simulation.run(5_300, 13_500, false);
        simulation.run(13_500, 24_000, true);
        simulation.run(24_000, 32_600, false);
        simulation.run(32_600, 34_000, true);
        simulation.crash();
        let restart_at = 34_000 + RESTART_DELAY_MS;
        simulation.run(restart_at, restart_at + 12_000, true);
        let outcome = simulation.run(restart_at + 12_000, restart_at + 17_000, true);
        total.served += outcome.served;
        total.refused += outcome.refused;
    }
    // A quarter is the minimum; these customers are only of the kind that is hardest to serve.
    assert!(total.served > total.refused, "{total:?}");
}

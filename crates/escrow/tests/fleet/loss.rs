//! Days that end with the loss of all instances at once, by customers whose budgets last longer and shorter.

use crate::day::{Day, Fared, DOWN_MS, GAP_MS};

/// What each request asks for, and spends.
const TOKENS: u64 = 5_000;
/// What they ask for together, in tokens a second.
const RATE: u64 = TOKENS * 1_000 / GAP_MS;

/// Symptom: twelve seconds after all processes were killed three quarters of the requests are refused, to the
/// end, "come back", of customers whose budgets were not spent. Sequence: the store is out of reach for
/// everybody, twice; a moment after it is back, homes hold up to ten seconds of demand again; all are
/// killed. What they held stays charged, since it may have been spent; the rest is soon gone, and no request fits
/// any more though a tenth and more of the budget was never used. Cause: what homes hold was bounded by a share of
/// what is left, also where the customer had nothing to go on with after its loss.
#[test]
fn after_the_loss_of_all_customers_are_served_or_at_their_end() {
    let mut sum = Fared::default();
    for lasts_s in 24..60 {
        let mut day = Day::open(RATE * lasts_s, 1, &[TOKENS]);
        day.play(0, 5_300, true);
        day.play(5_300, 13_500, false);
        day.play(13_500, 24_000, true);
        day.play(24_000, 32_600, false);
        day.play(32_600, 34_000, true);
        day.lose();
        let back = 34_000 + DOWN_MS;
        day.play(back, back + 12_000, true);
        let late = day.play(back + 12_000, back + 17_000, true);
        sum.served += late.served;
        sum.refused += late.refused;
    }
    // A quarter is the least; these are customers of the hardest kind only.
    assert!(sum.served > sum.refused, "{sum:?}");
}

//! Connections to an upstream, out of those that all instances share.

use place::max_connections;

/// Guards against an instance that carries a caller's whole load and has a hundredth of the connections for it.
#[test]
fn one_that_carries_much_has_room_for_it() {
    for sharers in [80, 300, 970] {
        let own = max_connections(540, sharers).expect("a bound");
        assert!(own >= 50, "{own} at {sharers}");
    }
    assert_eq!(max_connections(0, 80), None, "no bound is named");
    assert_eq!(max_connections(3, 970), Some(1), "it can be reached at all");
}

/// Four instances at their most and all others at an equal part of what is left keep to the bound.
#[test]
fn a_few_that_carry_much_leave_the_others_their_part() {
    for sharers in [9, 80, 300] {
        let own = max_connections(540, sharers).expect("a bound");
        assert!(4 * own < 540, "{own} at {sharers}");
        assert!(max_connections(540, sharers + 1).expect("a bound") <= own);
    }
}

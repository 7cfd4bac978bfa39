//! Limit on the connections to an upstream that all instances share.

use place::max_connections;

/// Guards against an instance that serves the whole load of a caller with a hundredth of the connections.
#[test]
fn an_instance_with_a_heavy_load_has_enough_connections() {
    for sharers in [80, 300, 970] {
        let own = max_connections(540, sharers).expect("a limit");
        assert!(own >= 50, "{own} at {sharers}");
    }
    assert_eq!(max_connections(0, 80), None, "no limit");
    assert_eq!(max_connections(3, 970), Some(1), "it can be reached at all");
}

/// Guards against a few instances with a heavy load that use up the connections: four of them at their maximum
/// leave some for the equal shares of the others.
#[test]
fn a_few_instances_with_a_heavy_load_leave_connections_to_the_others() {
    for sharers in [9, 80, 300] {
        let own = max_connections(540, sharers).expect("a limit");
        assert!(4 * own < 540, "{own} at {sharers}");
        assert!(max_connections(540, sharers + 1).expect("a limit") <= own);
    }
}

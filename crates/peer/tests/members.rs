//! What instances know of each other.

use peer::{Member, Members, Standing};
use rand::rngs::StdRng;
use rand::SeedableRng;

fn member(id: &str, beat: u64, standing: Standing) -> Member {
    Member {
        id: id.to_string(),
        region: "r".to_string(),
        zone: "z".to_string(),
        peer_addr: String::new(),
        standing,
        beat,
        revision: 0,
    }
}

/// Symptom: an instance that has left comes back to life in a peer's table.
/// Sequence: it says that it left; a message from before arrives later.
/// Cause: the later message counted, not the later heartbeat.
#[test]
fn older_heartbeats_change_nothing() {
    let mut members = Members::open(member("a.1", 1, Standing::Live));
    members.hear(0, vec![member("b.1", 9, Standing::Left)]);
    members.hear(1, vec![member("b.1", 8, Standing::Live)]);
    let live: Vec<String> = members.live(1).into_iter().map(|m| m.id).collect();
    assert_eq!(live, ["a.1"]);
}

#[test]
fn silence_is_suspected_and_a_beat_ends_it() {
    let mut members = Members::open(member("a.1", 1, Standing::Live));
    members.hear(0, vec![member("b.1", 1, Standing::Live)]);
    assert_eq!(members.live(1_000).len(), 2);
    assert_eq!(members.silent(5_000), ["b.1"]);
    members.hear(5_000, vec![member("b.1", 2, Standing::Live)]);
    assert!(members.silent(5_001).is_empty());
}

/// Symptom: control traffic grows with the square of the fleet.
/// Cause: a message that lists everybody.
#[test]
fn messages_are_bounded() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut members = Members::open(member("a.1", 1, Standing::Live));
    let told = (0..900).map(|i| member(&format!("b{i}.1"), 1, Standing::Live));
    members.hear(0, told.collect());
    assert!(members.tell(1, &mut rng).len() <= 24);
}

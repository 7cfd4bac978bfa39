//! What instances know of each other.

use peer::{Heartbeat, Member, Membership, MembershipUpdate, Status};
use rand::rngs::StdRng;
use rand::SeedableRng;

fn member(id: &str, beat: u64, standing: Status) -> Member {
    Member {
        id: id.to_string(),
        region: "r".to_string(),
        zone: "z".to_string(),
        peer_addr: String::new(),
        status: standing,
        heartbeat: beat,
        revision: 0,
    }
}

fn whole(members: Vec<Member>) -> MembershipUpdate {
    MembershipUpdate {
        members,
        heartbeats: Vec::new(),
    }
}

#[test]
fn beat_alone_keeps_a_member_alive() {
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    members.merge(0, whole(vec![member("b.1", 1, Status::Live)]));
    let beat = MembershipUpdate {
        members: Vec::new(),
        heartbeats: vec![
            Heartbeat("b.1".to_string(), 2, 7),
            Heartbeat("unknown.1".to_string(), 1, 1),
        ],
    };
    members.merge(3_900, beat);
    let live = members.live(7_000);
    assert_eq!((live.len(), live[1].revision), (2, 7));
}

/// Symptom: an instance that has left comes back to life in a peer's table.
/// Sequence: it says that it left; a message from before arrives later.
/// Cause: the later message counted, not the later heartbeat.
#[test]
fn older_heartbeats_change_nothing() {
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    members.merge(0, whole(vec![member("b.1", 9, Status::Left)]));
    members.merge(1, whole(vec![member("b.1", 8, Status::Live)]));
    let live: Vec<String> = members.live(1).into_iter().map(|m| m.id).collect();
    assert_eq!(live, ["a.1"]);
}

#[test]
fn silence_is_suspected_and_a_beat_ends_it() {
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    members.merge(0, whole(vec![member("b.1", 1, Status::Live)]));
    assert_eq!(members.live(1_000).len(), 2);
    assert_eq!(members.silent_or_left(5_000), ["b.1"]);
    members.merge(5_000, whole(vec![member("b.1", 2, Status::Live)]));
    assert!(members.silent_or_left(5_001).is_empty());
}

/// Symptom: control traffic grows with the square of the fleet.
/// Cause: a message that lists everybody.
#[test]
fn messages_are_bounded() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    let told = (0..900).map(|i| member(&format!("b{i}.1"), 1, Status::Live));
    members.merge(0, whole(told.collect()));
    let told = members.compose_update(20_000, &mut rng);
    assert!(told.members.len() + told.heartbeats.len() <= 33);
    let told = members.compose_update(1, &mut rng);
    assert!(told.members.len() <= 9 && told.heartbeats.len() <= 24);
}

/// Symptom: in a larger fleet living instances are suspected now and then, and homes move.
/// Sequence: 300 instances; each message tells of 24, so one of them is heard of every few seconds.
/// Cause: a limit of silence that does not know the fleet's size.
#[test]
fn larger_fleets_suspect_later() {
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    let told = (0..300).map(|i| member(&format!("b{i}.1"), 1, Status::Live));
    members.merge(0, whole(told.collect()));
    assert_eq!(members.live(30_000).len(), 301);
    assert_eq!(members.live(46_000).len(), 1);
}

//! Tests of the membership of instances.

use peer::{Heartbeat, Member, Membership, MembershipUpdate, Status};
use rand::rngs::StdRng;
use rand::SeedableRng;

fn member(id: &str, heartbeat: u64, status: Status) -> Member {
    Member {
        id: id.to_string(),
        region: "r".to_string(),
        zone: "z".to_string(),
        peer_addr: String::new(),
        status,
        heartbeat,
        revision: 0,
    }
}

fn update(members: Vec<Member>) -> MembershipUpdate {
    MembershipUpdate {
        members,
        heartbeats: Vec::new(),
    }
}

#[test]
fn heartbeat_without_member_keeps_it_live() {
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    members.merge(0, update(vec![member("b.1", 1, Status::Live)]));
    let heartbeats = MembershipUpdate {
        members: Vec::new(),
        heartbeats: vec![
            Heartbeat("b.1".to_string(), 2, 7),
            Heartbeat("unknown.1".to_string(), 1, 1),
        ],
    };
    members.merge(3_900, heartbeats);
    let live = members.live(7_000);
    assert_eq!((live.len(), live[1].revision), (2, 7));
}

/// An instance that has left must not count as live again when an update from before arrives late: the
/// heartbeat decides which update is newer, not the order of arrival.
#[test]
fn older_heartbeats_are_ignored() {
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    members.merge(0, update(vec![member("b.1", 9, Status::Left)]));
    members.merge(1, update(vec![member("b.1", 8, Status::Live)]));
    let live: Vec<String> = members.live(1).into_iter().map(|m| m.id).collect();
    assert_eq!(live, ["a.1"]);
}

#[test]
fn silent_member_is_suspected_until_its_next_heartbeat() {
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    members.merge(0, update(vec![member("b.1", 1, Status::Live)]));
    assert_eq!(members.live(1_000).len(), 2);
    assert_eq!(members.silent_or_left(5_000), ["b.1"]);
    members.merge(5_000, update(vec![member("b.1", 2, Status::Live)]));
    assert!(members.silent_or_left(5_001).is_empty());
}

/// If an update contained all members, the gossip traffic would grow with the square of the fleet.
#[test]
fn update_size_is_limited() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    let others = (0..900).map(|i| member(&format!("b{i}.1"), 1, Status::Live));
    members.merge(0, update(others.collect()));
    let sent = members.compose_update(20_000, &mut rng);
    assert!(sent.members.len() + sent.heartbeats.len() <= 33);
    let sent = members.compose_update(1, &mut rng);
    assert!(sent.members.len() <= 9 && sent.heartbeats.len() <= 24);
}

/// With a fixed timeout, running instances of a larger fleet would be suspected now and then, and homes
/// would move: with 300 instances and 24 heartbeats per update, those of one instance arrive only every
/// few seconds.
#[test]
fn suspect_timeout_grows_with_the_fleet() {
    let mut members = Membership::new(member("a.1", 1, Status::Live));
    let others = (0..300).map(|i| member(&format!("b{i}.1"), 1, Status::Live));
    members.merge(0, update(others.collect()));
    assert_eq!(members.live(30_000).len(), 301);
    assert_eq!(members.live(46_000).len(), 1);
}

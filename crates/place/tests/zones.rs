//! Zones that are evacuated.

use std::net::SocketAddr;

use place::{Denied, Pool, Spec, Want};

fn spec(id: &str, zone: &str) -> Spec {
    Spec {
        id: id.to_string(),
        born: None,
        service: "pool".to_string(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9000)),
        zone: zone.to_string(),
        slots: 64,
        leaving: false,
    }
}

fn want<'a>() -> Want<'a> {
    Want {
        service: "pool",
        zone: "a",
        parts: &[],
        prompt: 0,
        tried: &[],
        deadline: 1_000_000,
        repeatable: true,
        random: 7,
    }
}

/// Two zones with an upstream each.
fn pool() -> Pool {
    let mut pool = Pool::default();
    pool.list(spec("u1", "a"));
    pool.list(spec("u2", "b"));
    pool
}

/// Guards against requests that reach an evacuated zone: chosen before, chosen after, or by an entry that came late.
#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let mut pool = pool();
    let before = pool.choose(10, &want()).unwrap();
    assert_eq!(before.spec.zone, "a", "the own zone first");
    pool.evacuate("a", true);
    assert!(!pool.may_send(20, &before), "chosen before");
    pool.list(spec("u1", "a"));
    pool.list(spec("u3", "a"));
    for _ in 0..20 {
        assert_eq!(pool.choose(30, &want()).unwrap().spec.id, "u2");
    }
    pool.evacuate("b", true);
    assert_eq!(pool.choose(40, &want()).unwrap_err(), Denied::Evacuated);
    pool.evacuate("b", false);
    assert_eq!(pool.choose(60, &want()).unwrap().spec.id, "u2");
}

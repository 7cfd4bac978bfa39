//! The deltas between replicas: what a reader passes on to its followers.

use relay::{Delta, Entry, Replica};

fn entry(key: &str, value: &str, revision: i64) -> Entry {
    Entry {
        key: key.to_string(),
        value: Some(value.to_string()),
        revision,
    }
}

fn deletion(key: &str, revision: i64) -> Entry {
    Entry {
        key: key.to_string(),
        value: None,
        revision,
    }
}

/// Returns a follower after it has applied all that it lacks of a reader's replica.
fn follow(mut follower: Replica, reader: &Replica) -> Replica {
    let delta = reader.delta_since(follower.revision());
    follower.apply_delta(&delta, reader.revision());
    follower
}

fn values(replica: &Replica) -> Vec<(String, String)> {
    let Delta::All(entries) = replica.delta_since(-1) else {
        panic!("expected all keys");
    };
    let value = |e: Entry| (e.key, e.value.expect("a live key"));
    entries.into_iter().map(value).collect()
}

#[test]
fn a_follower_gets_only_what_it_lacks() {
    let mut reader = Replica::default();
    reader.apply_list(&[entry("a", "1", 3), entry("b", "1", 5)], 10);
    let follower = follow(Replica::default(), &reader);
    assert_eq!(values(&follower), values(&reader));
    reader.apply_changes([entry("a", "2", 12), deletion("b", 14)]);
    assert_eq!(
        reader.delta_since(follower.revision()),
        Delta::Changed(vec![entry("a", "2", 12), deletion("b", 14)])
    );
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), [("a".to_string(), "2".to_string())]);
    assert_eq!(
        reader.delta_since(follower.revision()),
        Delta::Changed(vec![])
    );
}

/// Guards against losing the second of two keys that one transaction wrote, since both have the same revision.
#[test]
fn all_keys_of_a_transaction_are_applied() {
    let mut reader = Replica::default();
    reader.apply_list(&[], 10);
    reader.apply_changes([entry("a", "1", 11), entry("b", "1", 11)]);
    assert_eq!(values(&reader).len(), 2);
    let follower = follow(Replica::default(), &reader);
    assert_eq!(values(&follower).len(), 2);
}

#[test]
fn a_list_reveals_deletions() {
    let mut reader = Replica::default();
    reader.apply_list(&[entry("a", "1", 3), entry("b", "1", 5)], 10);
    let follower = follow(Replica::default(), &reader);
    // The reader was partitioned from the store, and lists the keys again.
    reader.apply_list(&[entry("a", "1", 3), entry("c", "1", 15)], 20);
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
    // Another list without changes: the delta is empty, and a follower that has fetched it does not fetch it again.
    reader.apply_list(&[entry("a", "1", 3), entry("c", "1", 15)], 30);
    assert_eq!(
        reader.delta_since(follower.revision()),
        Delta::Changed(vec![])
    );
}

#[test]
fn older_lists_and_changes_are_ignored() {
    let mut replica = Replica::default();
    replica.apply_list(&[entry("a", "2", 12)], 12);
    replica.apply_list(&[entry("a", "1", 3)], 10);
    replica.apply_changes([entry("a", "1", 3)]);
    assert_eq!(values(&replica), [("a".to_string(), "2".to_string())]);
}

/// Guards against sending the full list, with all its bytes, when a few keys have changed many times.
#[test]
fn a_follower_that_is_far_behind_gets_the_latest_change_of_each_key() {
    let mut reader = Replica::default();
    reader.apply_list(&[entry("a", "0", 1)], 1);
    let follower = follow(Replica::default(), &reader);
    for revision in 2..1_000 {
        reader.apply_changes([entry("a", "x", revision), entry("b", "y", revision)]);
    }
    for behind in [follower.revision(), 990] {
        let latest = vec![entry("a", "x", 999), entry("b", "y", 999)];
        assert_eq!(reader.delta_since(behind), Delta::Changed(latest));
    }
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
}

/// Guards against deleted keys that stay forever at an instance that was disconnected while the reader evicted tombstones.
#[test]
fn a_follower_that_lacks_an_evicted_tombstone_gets_all_keys() {
    let mut reader = Replica::default();
    let key = |i: i64| format!("k{i:04}");
    let all: Vec<Entry> = (0..1_000).map(|i| entry(&key(i), "v", 1)).collect();
    reader.apply_list(&all, 1);
    let follower = follow(Replica::default(), &reader);
    for i in 0..800 {
        reader.apply_changes([deletion(&key(i), 2 + i)]);
    }
    assert!(matches!(
        reader.delta_since(follower.revision()),
        Delta::All(_)
    ));
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
    assert_eq!(values(&follower).len(), 200);
}

/// Guards against sending full lists to a whole zone when a release replaces a large part of the upstreams.
#[test]
fn nearly_half_of_ten_thousand_keys_are_replaced_without_a_full_list() {
    let mut reader = Replica::default();
    let key = |i: i64| format!("k{i:05}");
    let all: Vec<Entry> = (0..10_000).map(|i| entry(&key(i), "v", 1)).collect();
    reader.apply_list(&all, 1);
    let follower = follow(Replica::default(), &reader);
    for i in 0..4_500 {
        reader.apply_changes([deletion(&key(i), 2 + 2 * i)]);
        reader.apply_changes([entry(&key(10_000 + i), "new", 3 + 2 * i)]);
    }
    let delta = reader.delta_since(follower.revision());
    assert!(matches!(&delta, Delta::Changed(c) if c.len() == 9_000));
    assert_eq!(values(&follow(follower, &reader)), values(&reader));
}

/// Guards against changes that are lost when they are fetched in pages while keys change, and against single messages of megabytes.
#[test]
fn no_change_is_lost_when_keys_change_between_pages() {
    let mut reader = Replica::default();
    let key = |i: i64| format!("k{i:04}");
    let value = "v".repeat(200);
    let all: Vec<Entry> = (0..2_000).map(|i| entry(&key(i), &value, 1)).collect();
    reader.apply_list(&all, 1);
    let mut follower = Replica::default();
    for fetch in 0..2 {
        let known = follower.revision();
        let revision = reader.revision();
        let (mut delta, mut next, mut pages) = (None, None, 0);
        loop {
            let page = reader.delta_page(known, next.as_ref());
            let bytes: usize = page.delta.entries().iter().map(|e| e.key.len() + 200).sum();
            assert!(bytes <= 40_000, "{bytes}");
            match &mut delta {
                None => delta = Some(page.delta),
                Some(delta) => assert!(delta.append(page.delta)),
            }
            pages += 1;
            let at = reader.revision();
            reader.apply_changes([deletion(&key(pages), at + 1), entry("new", &value, at + 2)]);
            reader.apply_changes([entry(&key(1_990 - pages), "changed", at + 3)]);
            match page.next {
                Some(cursor) => next = Some(cursor),
                None => break,
            }
        }
        assert!(pages > 10 || fetch > 0);
        follower.apply_delta(&delta.expect("a page"), revision);
        assert_eq!(follower.revision(), revision);
    }
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
}

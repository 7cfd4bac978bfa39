//! What an instance passes on to another one.

use relay::{Delta, Entry, Replica};

fn entry(key: &str, value: &str, revision: i64) -> Entry {
    Entry {
        key: key.to_string(),
        value: Some(value.to_string()),
        revision,
    }
}

fn gone(key: &str, revision: i64) -> Entry {
    Entry {
        key: key.to_string(),
        value: None,
        revision,
    }
}

/// Returns what a follower knows that was at a revision, and took all since then.
fn follow(mut follower: Replica, reader: &Replica) -> Replica {
    let since = reader.delta_since(follower.revision());
    follower.apply_delta(&since, reader.revision());
    follower
}

fn values(board: &Replica) -> Vec<(String, String)> {
    let Delta::All(entries) = board.delta_since(-1) else {
        panic!("all keys are more than any changes");
    };
    let value = |e: Entry| (e.key, e.value.expect("a key that is there"));
    entries.into_iter().map(value).collect()
}

#[test]
fn a_follower_gets_what_it_lacks_and_no_more() {
    let mut reader = Replica::default();
    reader.apply_list(&[entry("a", "1", 3), entry("b", "1", 5)], 10);
    let follower = follow(Replica::default(), &reader);
    assert_eq!(values(&follower), values(&reader));
    reader.apply_changes([entry("a", "2", 12), gone("b", 14)]);
    assert_eq!(
        reader.delta_since(follower.revision()),
        Delta::Changed(vec![entry("a", "2", 12), gone("b", 14)])
    );
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), [("a".to_string(), "2".to_string())]);
    assert_eq!(
        reader.delta_since(follower.revision()),
        Delta::Changed(vec![])
    );
}

/// Symptom: of two keys that one transaction wrote the second was not seen.
#[test]
fn keys_of_one_transaction_have_one_revision() {
    let mut reader = Replica::default();
    reader.apply_list(&[], 10);
    reader.apply_changes([entry("a", "1", 11), entry("b", "1", 11)]);
    assert_eq!(values(&reader).len(), 2);
    let follower = follow(Replica::default(), &reader);
    assert_eq!(values(&follower).len(), 2);
}

#[test]
fn a_list_tells_what_was_deleted_meanwhile() {
    let mut reader = Replica::default();
    reader.apply_list(&[entry("a", "1", 3), entry("b", "1", 5)], 10);
    let follower = follow(Replica::default(), &reader);
    // The reader was cut off, and lists again.
    reader.apply_list(&[entry("a", "1", 3), entry("c", "1", 15)], 20);
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
    // One more list without news: nothing is passed on, and a follower that asked once need not ask again.
    reader.apply_list(&[entry("a", "1", 3), entry("c", "1", 15)], 30);
    assert_eq!(
        reader.delta_since(follower.revision()),
        Delta::Changed(vec![])
    );
}

#[test]
fn nothing_goes_back() {
    let mut board = Replica::default();
    board.apply_list(&[entry("a", "2", 12)], 12);
    board.apply_list(&[entry("a", "1", 3)], 10);
    board.apply_changes([entry("a", "1", 3)]);
    assert_eq!(values(&board), [("a".to_string(), "2".to_string())]);
}

/// Guards against full lists, with all their bytes, where a few keys have changed many times.
#[test]
fn one_that_is_far_behind_gets_the_newest_change_of_each_key() {
    let mut reader = Replica::default();
    reader.apply_list(&[entry("a", "0", 1)], 1);
    let follower = follow(Replica::default(), &reader);
    for revision in 2..1_000 {
        reader.apply_changes([entry("a", "x", revision), entry("b", "y", revision)]);
    }
    for behind in [follower.revision(), 990] {
        let newest = vec![entry("a", "x", 999), entry("b", "y", 999)];
        assert_eq!(reader.delta_since(behind), Delta::Changed(newest));
    }
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
}

/// Guards against keys that stay for good at an instance that was away while more were deleted than are remembered.
#[test]
fn one_that_lacks_a_forgotten_deletion_gets_everything() {
    let mut reader = Replica::default();
    let key = |i: i64| format!("k{i:04}");
    let all: Vec<Entry> = (0..1_000).map(|i| entry(&key(i), "v", 1)).collect();
    reader.apply_list(&all, 1);
    let follower = follow(Replica::default(), &reader);
    for i in 0..800 {
        reader.apply_changes([gone(&key(i), 2 + i)]);
    }
    assert!(matches!(
        reader.delta_since(follower.revision()),
        Delta::All(_)
    ));
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
    assert_eq!(values(&follower).len(), 200);
}

/// Guards against full lists to a whole zone when a release replaces a large part of the upstreams.
#[test]
fn half_of_ten_thousand_keys_may_change_before_all_are_passed_on() {
    let mut reader = Replica::default();
    let key = |i: i64| format!("k{i:05}");
    let all: Vec<Entry> = (0..10_000).map(|i| entry(&key(i), "v", 1)).collect();
    reader.apply_list(&all, 1);
    let follower = follow(Replica::default(), &reader);
    for i in 0..4_500 {
        reader.apply_changes([gone(&key(i), 2 + 2 * i)]);
        reader.apply_changes([entry(&key(10_000 + i), "new", 3 + 2 * i)]);
    }
    let since = reader.delta_since(follower.revision());
    assert!(matches!(&since, Delta::Changed(c) if c.len() == 9_000));
    assert_eq!(values(&follow(follower, &reader)), values(&reader));
}

/// Guards against changes that are lost, or come in one message of megabytes, when they are fetched in pages while more of them
/// are made.
#[test]
fn pages_that_are_fetched_while_keys_change_lose_nothing() {
    let mut reader = Replica::default();
    let key = |i: i64| format!("k{i:04}");
    let value = "v".repeat(200);
    let all: Vec<Entry> = (0..2_000).map(|i| entry(&key(i), &value, 1)).collect();
    reader.apply_list(&all, 1);
    let mut follower = Replica::default();
    for behind in 0..2 {
        let known = follower.revision();
        let revision = reader.revision();
        let (mut since, mut next, mut pages) = (None, None, 0);
        loop {
            let page = reader.delta_page(known, next.as_ref());
            let bytes: usize = page.delta.entries().iter().map(|e| e.key.len() + 200).sum();
            assert!(bytes <= 40_000, "{bytes}");
            match &mut since {
                None => since = Some(page.delta),
                Some(since) => assert!(since.append(page.delta)),
            }
            pages += 1;
            let at = reader.revision();
            reader.apply_changes([gone(&key(pages), at + 1), entry("new", &value, at + 2)]);
            reader.apply_changes([entry(&key(1_990 - pages), "changed", at + 3)]);
            match page.next {
                Some(cursor) => next = Some(cursor),
                None => break,
            }
        }
        assert!(pages > 10 || behind > 0);
        follower.apply_delta(&since.expect("a page"), revision);
        assert_eq!(follower.revision(), revision);
    }
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
}

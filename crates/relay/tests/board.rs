//! What an instance passes on to another one.

use relay::{Board, Entry, Since};

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
fn follow(mut follower: Board, reader: &Board) -> Board {
    let since = reader.since(follower.revision());
    follower.follow(&since, reader.revision());
    follower
}

fn values(board: &Board) -> Vec<(String, String)> {
    let Since::All(entries) = board.since(-1) else {
        panic!("all keys are more than any changes");
    };
    let value = |e: Entry| (e.key, e.value.expect("a key that is there"));
    entries.into_iter().map(value).collect()
}

#[test]
fn a_follower_gets_what_it_lacks_and_no_more() {
    let mut reader = Board::default();
    reader.list(vec![entry("a", "1", 3), entry("b", "1", 5)], 10);
    let follower = follow(Board::default(), &reader);
    assert_eq!(values(&follower), values(&reader));
    reader.change([entry("a", "2", 12), gone("b", 14)]);
    assert_eq!(
        reader.since(follower.revision()),
        Since::Changed(vec![entry("a", "2", 12), gone("b", 14)])
    );
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), [("a".to_string(), "2".to_string())]);
    assert_eq!(reader.since(follower.revision()), Since::Changed(vec![]));
}

/// Symptom: of two keys that one transaction wrote the second was not seen.
#[test]
fn keys_of_one_transaction_have_one_revision() {
    let mut reader = Board::default();
    reader.list(Vec::new(), 10);
    reader.change([entry("a", "1", 11), entry("b", "1", 11)]);
    assert_eq!(values(&reader).len(), 2);
    let follower = follow(Board::default(), &reader);
    assert_eq!(values(&follower).len(), 2);
}

#[test]
fn a_list_tells_what_was_deleted_meanwhile() {
    let mut reader = Board::default();
    reader.list(vec![entry("a", "1", 3), entry("b", "1", 5)], 10);
    let follower = follow(Board::default(), &reader);
    // The reader was cut off, and lists again.
    reader.list(vec![entry("a", "1", 3), entry("c", "1", 15)], 20);
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
    // One more list without news: nothing is passed on, and a follower that asked once need not ask again.
    reader.list(vec![entry("a", "1", 3), entry("c", "1", 15)], 30);
    assert_eq!(reader.since(follower.revision()), Since::Changed(vec![]));
}

#[test]
fn nothing_goes_back() {
    let mut board = Board::default();
    board.list(vec![entry("a", "2", 12)], 12);
    board.list(vec![entry("a", "1", 3)], 10);
    board.change([entry("a", "1", 3)]);
    assert_eq!(values(&board), [("a".to_string(), "2".to_string())]);
}

#[test]
fn one_that_is_far_behind_gets_everything() {
    let mut reader = Board::default();
    reader.list(vec![entry("a", "0", 1)], 1);
    let follower = follow(Board::default(), &reader);
    for revision in 2..1_000 {
        reader.change([entry("a", "x", revision), entry("b", "y", revision)]);
    }
    assert!(matches!(reader.since(follower.revision()), Since::All(_)));
    let follower = follow(follower, &reader);
    assert_eq!(values(&follower), values(&reader));
    assert!(matches!(reader.since(990), Since::Changed(c) if c.len() == 18));
}

//! A request is identified by what its caller sent.

use suspect::Digest;

fn of(parts: [&str; 3]) -> Digest {
    Digest::of(parts.map(str::as_bytes))
}

#[test]
fn same_request_has_same_digest() {
    assert_eq!(of(["c", "/a", "body"]), of(["c", "/a", "body"]));
}

#[test]
fn a_difference_in_one_part_changes_the_digest() {
    let one = of(["c", "/a", "body"]);
    assert_ne!(one, of(["d", "/a", "body"]), "another customer");
    assert_ne!(one, of(["c", "/b", "body"]), "another path");
    assert_ne!(one, of(["c", "/a", "bodY"]), "another body");
    assert_ne!(
        one,
        of(["c", "/ab", "ody"]),
        "the same bytes, split elsewhere"
    );
}

#[test]
fn display_shows_the_first_half_unless_a_precision_is_given() {
    let digest = of(["c", "/a", "body"]);
    assert_eq!(digest.to_string().len(), 16);
    assert!(format!("{digest:.32}").starts_with(&digest.to_string()));
}

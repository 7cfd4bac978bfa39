//! A request is known again by what its caller sent.

use suspect::Digest;

fn of(parts: [&str; 3]) -> Digest {
    Digest::of(parts.map(str::as_bytes))
}

#[test]
fn the_same_request_has_the_same_digest() {
    assert_eq!(of(["c", "/a", "body"]), of(["c", "/a", "body"]));
}

#[test]
fn what_differs_in_one_part_is_another_request() {
    let one = of(["c", "/a", "body"]);
    assert_ne!(one, of(["d", "/a", "body"]), "another customer");
    assert_ne!(one, of(["c", "/b", "body"]), "another path");
    assert_ne!(one, of(["c", "/a", "bodY"]), "another body");
    assert_ne!(
        one,
        of(["c", "/ab", "ody"]),
        "the same bytes, cut elsewhere"
    );
}

#[test]
fn a_log_shows_half_of_it() {
    let digest = of(["c", "/a", "body"]);
    assert_eq!(digest.to_string().len(), 16);
    assert!(format!("{digest:.32}").starts_with(&digest.to_string()));
}

//! The news that instances of other versions ask for and get: its encoding stays.

use super::{Have, News};
use crate::encoding::assert_kept;

#[test]
fn news_between_instances_keeps_its_encoding() {
    assert_kept::<Have>(include_str!("../data/outer/have.json"));
    assert_kept::<News>(include_str!("../data/outer/news.json"));
}

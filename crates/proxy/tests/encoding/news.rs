//! The news that instances of other versions ask for and get: its encoding stays.

use super::{SyncRequest, SyncResponse};
use crate::encoding::assert_kept;

#[test]
fn news_between_instances_keeps_its_encoding() {
    assert_kept::<SyncRequest>(include_str!("../data/outer/have.json"));
    assert_kept::<SyncResponse>(include_str!("../data/outer/news.json"));
}

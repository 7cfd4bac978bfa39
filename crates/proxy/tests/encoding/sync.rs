//! The encoding of sync requests and responses, which instances of other versions read and write:
//! it must not change.

use super::{SyncRequest, SyncResponse};
use crate::encoding::assert_round_trip;

#[test]
fn sync_messages_keep_their_encoding() {
    assert_round_trip::<SyncRequest>(include_str!("../data/outer/have.json"));
    assert_round_trip::<SyncResponse>(include_str!("../data/outer/news.json"));
}

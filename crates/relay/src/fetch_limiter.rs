//! Limits how many instances fetch something large from this one at the same time.
//!
//! If all were served at once, each would get a small share of the link, and it would take long until any of them could pass the
//! data on. A rejected instance fetches from another one that has the data by then.

use smallvec::SmallVec;

/// Maximum number of concurrent fetches of the whole list of upstreams, by instances that have just started.
const MAX_LIST_FETCHES: usize = 2;
/// A list fetch that requested no page for this time, in milliseconds, counts as ended.
const LIST_FETCH_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of concurrent fetches of the configuration.
const MAX_CONFIG_FETCHES: usize = 4;
/// A configuration fetch counts as ended after this time, in milliseconds, in which a narrow link carries as many configurations
/// as may be fetched at once.
const CONFIG_FETCH_TIMEOUT_MS: u64 = 150;

/// A fetch that was admitted.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    id: u64,
    expires_at: u64,
}

/// The fetches of one kind that an instance serves.
#[derive(Clone, Debug)]
pub struct FetchLimiter {
    max_fetches: usize,
    timeout_ms: u64,
    fetches: SmallVec<[Fetch; MAX_CONFIG_FETCHES]>,
}

impl FetchLimiter {
    /// Returns a limiter for fetches of the whole list of upstreams.
    pub fn for_lists() -> FetchLimiter {
        FetchLimiter::new(MAX_LIST_FETCHES, LIST_FETCH_TIMEOUT_MS)
    }

    /// Returns a limiter for fetches of the configuration.
    pub fn for_configs() -> FetchLimiter {
        FetchLimiter::new(MAX_CONFIG_FETCHES, CONFIG_FETCH_TIMEOUT_MS)
    }

    fn new(max_fetches: usize, timeout_ms: u64) -> FetchLimiter {
        FetchLimiter {
            max_fetches,
            timeout_ms,
            fetches: SmallVec::new(),
        }
    }

    /// Returns whether the next page of a fetch is served. The id is the same for all pages of a fetch; one that was admitted is
    /// served until it ends.
    pub fn admit(&mut self, now: u64, id: u64) -> bool {
        self.fetches.retain(|f| now < f.expires_at);
        let expires_at = now + self.timeout_ms;
        if let Some(fetch) = self.fetches.iter_mut().find(|f| f.id == id) {
            fetch.expires_at = expires_at;
            return true;
        }
        let has_capacity = self.fetches.len() < self.max_fetches;
        if has_capacity {
            self.fetches.push(Fetch { id, expires_at });
        }
        has_capacity
    }

    /// Ends a fetch whose last page was served.
    pub fn release(&mut self, id: u64) {
        self.fetches.retain(|f| f.id != id);
    }
}

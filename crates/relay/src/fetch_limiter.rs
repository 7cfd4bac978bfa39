//! How many instances fetch something large from this one at the same time.
//!
//! Were all that ask served at once, each would get a small part of the link, and none could pass anything on for long. Those that are
//! turned away find another instance that has it by then.

use smallvec::SmallVec;

/// Fetches of all upstreams, by instances that have just started, that are served at once.
const LISTS_MOST: usize = 2;
/// One that asked for no page for so long, in milliseconds, has ended.
const LIST_ENDED_MS: u64 = 1_000;
/// Configurations that are sent at once.
const CONFIGS_MOST: usize = 4;
/// So many take so long together, in milliseconds, over a narrow link.
const CONFIG_ENDED_MS: u64 = 150;

/// A fetch that is served.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    id: u64,
    ends_at: u64,
}

/// The fetches of one kind that one instance serves.
#[derive(Clone, Debug)]
pub struct FetchLimiter {
    most: usize,
    ended_ms: u64,
    fetches: SmallVec<[Fetch; CONFIGS_MOST]>,
}

impl FetchLimiter {
    /// Returns none of the fetches of all upstreams.
    pub fn for_lists() -> FetchLimiter {
        FetchLimiter::new(LISTS_MOST, LIST_ENDED_MS)
    }

    /// Returns none of the fetches of a configuration.
    pub fn for_configs() -> FetchLimiter {
        FetchLimiter::new(CONFIGS_MOST, CONFIG_ENDED_MS)
    }

    fn new(most: usize, ended_ms: u64) -> FetchLimiter {
        FetchLimiter {
            most,
            ended_ms,
            fetches: SmallVec::new(),
        }
    }

    /// Returns whether a page is to be given to a fetch, named by a number of its own.
    pub fn admit(&mut self, now: u64, id: u64) -> bool {
        self.fetches.retain(|f| now < f.ends_at);
        let ends_at = now + self.ended_ms;
        if let Some(fetch) = self.fetches.iter_mut().find(|f| f.id == id) {
            fetch.ends_at = ends_at;
            return true;
        }
        let free = self.fetches.len() < self.most;
        if free {
            self.fetches.push(Fetch { id, ends_at });
        }
        free
    }

    /// Takes that a fetch got its last page.
    pub fn release(&mut self, id: u64) {
        self.fetches.retain(|f| f.id != id);
    }
}

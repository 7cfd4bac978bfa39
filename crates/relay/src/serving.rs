//! How many instances that have just started fetch everything from this one at the same time.
//!
//! Were all that ask served at once, each would get a small part of the link, and none could pass anything on for long. Those that are
//! turned away find another instance that has everything by then.

use smallvec::SmallVec;

/// Fetches of everything that are served at once.
const FETCHES_MOST: usize = 2;
/// A fetch that asked for no page for so long, in milliseconds, has ended.
const ENDED_AFTER_MS: u64 = 1_000;

/// A fetch that is served.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    id: u64,
    ends_at: u64,
}

/// The fetches that one instance serves.
#[derive(Clone, Debug, Default)]
pub struct Serving(SmallVec<[Fetch; FETCHES_MOST]>);

impl Serving {
    /// Returns whether a page is to be given to a fetch, named by a number of its own.
    pub fn admit(&mut self, now: u64, id: u64) -> bool {
        self.0.retain(|f| now < f.ends_at);
        let ends_at = now + ENDED_AFTER_MS;
        if let Some(fetch) = self.0.iter_mut().find(|f| f.id == id) {
            fetch.ends_at = ends_at;
            return true;
        }
        let free = self.0.len() < FETCHES_MOST;
        if free {
            self.0.push(Fetch { id, ends_at });
        }
        free
    }

    /// Takes that a fetch got its last page.
    pub fn end(&mut self, id: u64) {
        self.0.retain(|f| f.id != id);
    }
}

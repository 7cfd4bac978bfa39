//! Engines other than the first-ranked ones at which prefixes were read.

use std::collections::HashMap;

/// Time for which a copy is remembered, in milliseconds. The engine may evict it before; whoever looks for it
/// asks that engine's account as well.
const TTL_MS: u64 = 60_000;
/// Maximum number of copies of one engine's prefixes, to bound memory: at this number the expired ones are
/// dropped, and all of them if none has expired.
const MAX_COPIES: usize = 512;

/// For each prefix for which an engine ranks first, the other engine that read it last, with the time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Copies(HashMap<u64, (u64, u64)>);

impl Copies {
    pub(crate) fn record(&mut self, now: u64, prefix: u64, engine: u64) {
        if self.0.len() >= MAX_COPIES {
            self.0.retain(|_, (_, read_at)| now < *read_at + TTL_MS);
        }
        if self.0.len() >= MAX_COPIES {
            self.0.clear();
        }
        self.0.insert(prefix, (engine, now));
    }

    pub(crate) fn find(&self, now: u64, prefix: u64) -> Option<u64> {
        let copy = self.0.get(&prefix);
        let copy = copy.filter(|(_, read_at)| now < *read_at + TTL_MS);
        copy.map(|(engine, _)| *engine)
    }
}

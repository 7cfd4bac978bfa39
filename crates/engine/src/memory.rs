//! Model of one engine's memory: what running requests hold, and the prompt segments that are cached.

use std::collections::{BTreeMap, HashMap};

/// Time since its last use after which a segment counts as evicted if its size or the engine's capacity is
/// not known, in milliseconds.
const UNSIZED_TTL_MS: u64 = 20_000;
/// Maximum number of segments of one engine, to bound this instance's memory; the least recently used ones
/// are dropped. Segments of some hundred tokens fill an engine before that.
const MAX_SEGMENTS: usize = 1_024;

/// A segment of a prompt that is entered in an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Identifies the segment.
    pub id: u64,
    /// Number of tokens; none if the sender does not say.
    pub tokens: Option<u32>,
}

/// The memory of an engine as its account knows it, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryReport {
    /// What entered attempts hold: their prompts and expected outputs.
    pub held: u64,
    /// The rest of the memory. Cached segments count as free, since they are evicted if need be.
    pub free: u64,
    /// What cached segments take.
    pub cached: u64,
    /// The part of these that other prompts may share.
    pub shared: u64,
}

impl MemoryReport {
    /// Returns the report with figures that are possible at an engine with a capacity, and whether any had
    /// to be changed.
    pub fn bounded(self, capacity: u64) -> (MemoryReport, bool) {
        let free = self.free.min(capacity);
        let cached = self.cached.min(capacity);
        let bounded = MemoryReport {
            held: self.held.min(capacity),
            free,
            cached,
            shared: self.shared.min(cached),
        };
        (bounded, bounded != self)
    }
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    /// 0 if the size is not known.
    tokens: u64,
    is_sized: bool,
    is_shared: bool,
    used_at: u64,
    /// Position in the order of last use.
    position: u64,
}

/// The memory of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    /// Number of tokens that fit; 0 if unknown.
    capacity: u64,
    segments: HashMap<u64, Cached>,
    /// Segments in the order of their last use.
    order: BTreeMap<u64, u64>,
    uses: u64,
    cached: u64,
    shared: u64,
}

impl Memory {
    pub(crate) fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Returns how much an attempt with a prompt and an expected output holds; nothing if the size of
    /// either or of the engine is not known.
    pub(crate) fn held_by(&self, prompt_tokens: u32, output_tokens: Option<u32>) -> u64 {
        let output = output_tokens.unwrap_or_default();
        let tokens = u64::from(prompt_tokens) + u64::from(output);
        output_tokens.map_or(0, |_| tokens.min(self.capacity))
    }

    /// Records the use of the segments of a prompt that others may share. The first ones are evicted last,
    /// since the later ones can't be used without them.
    pub(crate) fn touch_shared(&mut self, now: u64, segments: &[Segment]) {
        for segment in segments.iter().rev() {
            self.touch(now, *segment, true);
        }
    }

    /// Records that the part of a prompt that no other one shares is cached.
    pub(crate) fn touch_own(&mut self, now: u64, id: u64, tokens: u64) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if self.capacity > 0 && tokens > 0 {
            let segment = Segment {
                id,
                tokens: Some(tokens),
            };
            self.touch(now, segment, false);
        }
    }

    fn touch(&mut self, now: u64, segment: Segment, is_shared: bool) {
        self.remove(segment.id);
        let is_sized = self.capacity > 0 && segment.tokens.is_some();
        let tokens = u64::from(segment.tokens.unwrap_or_default());
        let tokens = if is_sized {
            tokens.min(self.capacity)
        } else {
            0
        };
        self.uses += 1;
        let cached = Cached {
            tokens,
            is_sized,
            is_shared,
            used_at: now,
            position: self.uses,
        };
        self.segments.insert(segment.id, cached);
        self.order.insert(self.uses, segment.id);
        self.cached += tokens;
        self.shared += if is_shared { tokens } else { 0 };
    }

    fn remove(&mut self, id: u64) {
        if let Some(removed) = self.segments.remove(&id) {
            self.order.remove(&removed.position);
            self.cached -= removed.tokens;
            self.shared -= if removed.is_shared { removed.tokens } else { 0 };
        }
    }

    /// Evicts the least recently used segments until the others and what running requests hold fit.
    pub(crate) fn evict(&mut self, held: u64) {
        let available = self.capacity.saturating_sub(held);
        while self.segments.len() > MAX_SEGMENTS || (self.cached > available && self.capacity > 0) {
            let Some((_, id)) = self.order.pop_first() else {
                return;
            };
            self.remove(id);
        }
    }

    /// Returns how many of the first segments of a prompt are cached.
    pub(crate) fn leading(&self, now: u64, ids: &[u64]) -> usize {
        ids.iter().take_while(|id| self.contains(now, **id)).count()
    }

    fn contains(&self, now: u64, id: u64) -> bool {
        let has_capacity = self.capacity > 0;
        let is_present =
            |c: &Cached| (c.is_sized && has_capacity) || now < c.used_at + UNSIZED_TTL_MS;
        self.segments.get(&id).is_some_and(is_present)
    }

    /// Returns what the cached segments take.
    pub(crate) fn cached(&self) -> u64 {
        self.cached
    }

    /// Returns the state of the memory while running requests hold some tokens; none if the capacity is
    /// not known.
    pub(crate) fn report(&self, held: u64) -> Option<MemoryReport> {
        let held = held.min(self.capacity);
        (self.capacity > 0).then(|| MemoryReport {
            held,
            free: self.capacity - held,
            cached: self.cached,
            shared: self.shared,
        })
    }
}

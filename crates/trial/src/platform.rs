//! The fake platform: one record per shard, segments of bills, and faults.

use std::collections::BTreeMap;

use budget::msg::RecordSnapshot;
use budget::ShardRecord;

/// Active faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether all calls are refused before they take effect.
    pub down: bool,
    /// Delay of every call, in milliseconds. A call that outlasts the timeout of its client still
    /// takes effect.
    pub delay_ms: u64,
    /// Percentage of the replies that are lost after the call took effect.
    pub reply_loss_pct: u32,
}

/// Stored records and segments.
#[derive(Debug, Default)]
pub struct Platform {
    revision: i64,
    records: BTreeMap<u32, RecordSnapshot>,
    segments: BTreeMap<String, budget::record::BillSegment>,
    /// Active faults.
    pub faults: Faults,
    /// Reads that arrived.
    pub reads: u64,
    /// Writes that arrived.
    pub writes: u64,
}

impl Platform {
    /// Reads a record.
    pub fn read(&mut self, shard: u32) -> Option<RecordSnapshot> {
        self.reads += 1;
        self.records.get(&shard).cloned()
    }

    /// Writes a record if its revision is still `base`.
    ///
    /// # Errors
    ///
    /// Returns the stored record, if any, if its revision is a different one.
    pub fn write(
        &mut self,
        shard: u32,
        base: i64,
        record: ShardRecord,
    ) -> Result<i64, Option<RecordSnapshot>> {
        self.writes += 1;
        let current = self.records.get(&shard);
        if current.map_or(0, |s| s.revision) != base {
            return Err(current.cloned());
        }
        self.revision += 1;
        let revision = self.revision;
        self.records
            .insert(shard, RecordSnapshot { revision, record });
        Ok(revision)
    }

    /// Writes a segment of archived bills.
    pub fn write_segment(&mut self, name: String, segment: budget::record::BillSegment) {
        self.writes += 1;
        self.segments.insert(name, segment);
    }

    /// Reads a segment of archived bills.
    pub fn read_segment(&mut self, name: &str) -> Option<budget::record::BillSegment> {
        self.reads += 1;
        self.segments.get(name).cloned()
    }

    /// Returns the stored records.
    pub fn records(&self) -> impl Iterator<Item = &ShardRecord> {
        self.records.values().map(|s| &s.record)
    }

    /// Returns all bills of an account, from segments and records.
    pub fn bills(&self, account: &str) -> Vec<budget::Bill> {
        let mut bills = Vec::new();
        for (shard, stored) in &self.records {
            let record = &stored.record;
            let mut next = record.last_segment.clone();
            while let Some(name) = next {
                let segment = &self.segments[&format!("{shard}/{name}")];
                bills.extend(segment.bills.get(account).cloned().unwrap_or_default());
                next = segment.prev.clone();
            }
            if let Some(account) = record.accounts.get(account) {
                bills.extend(account.bills.iter().cloned());
            }
        }
        bills
    }
}

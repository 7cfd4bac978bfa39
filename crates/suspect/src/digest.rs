//! Identifies a request by its content, whatever its id and whichever instance receives it.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Number of hexadecimal digits that `Display` shows unless a precision is given, as in log lines.
const DEFAULT_DIGITS: usize = 16;

/// Identifies a request by what its caller sent. It is half of a SHA-256 hash, so that nobody can
/// make a request that is taken for somebody else's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(u64, u64);

impl Digest {
    /// Returns the digest of the parts that identify a request: its customer, method, host, target
    /// and body.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
        let mut hash = Sha256::new();
        for part in parts {
            // The length prefix keeps bytes from moving from one part to the next without changing
            // the hash.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let bytes = hash.finalize();
        let half = |from: usize| {
            let eight = bytes[from..from + 8].try_into().expect("eight bytes");
            u64::from_be_bytes(eight)
        };
        Digest(half(0), half(8))
    }

    /// Returns a short hash, by which the requests at the crashes of one segment are told apart.
    pub(crate) fn tag(&self) -> u32 {
        self.1 as u32
    }

    /// Returns the hash key by which the instances that own the request's record are selected.
    pub fn placement_key(&self) -> u64 {
        self.0
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let all = format!("{:016x}{:016x}", self.0, self.1);
        let digits = f.precision().unwrap_or(DEFAULT_DIGITS);
        f.write_str(&all[..digits.min(all.len())])
    }
}

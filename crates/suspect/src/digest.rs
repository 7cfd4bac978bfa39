//! What a request is, whatever its id and whichever instance it comes to.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Hexadecimal digits of a digest that a line of a log shows.
const SHOWN: usize = 16;

/// A request, known again by what its caller sent: half of a SHA-256, so that nobody can make a request that is taken for
/// somebody else's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(u64, u64);

impl Digest {
    /// Returns the digest of a request, of all that makes it this request: its customer, method, host, target, body.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
        let mut hash = Sha256::new();
        for part in parts {
            // Its length keeps bytes from passing from one part to the next.
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

    /// Returns a number by which instances share out requests.
    pub fn placement_key(&self) -> u64 {
        self.0
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let all = format!("{:016x}{:016x}", self.0, self.1);
        let shown = f.precision().unwrap_or(SHOWN);
        f.write_str(&all[..shown.min(all.len())])
    }
}

//! Faults that happen at a time.

/// One fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed; another with its name starts some seconds later.
    Kill(usize),
    /// An instance is paused for a time, in milliseconds.
    Freeze(usize, u64),
    /// An instance stops as planned; another with its name starts then.
    Stop(usize),
    /// The platform is reached by nobody.
    Down(bool),
    /// The platform takes this long, in milliseconds.
    Slow(u64),
    /// This percentage of the platform's answers is lost.
    Lose(u32),
    /// A zone is cut from the others, and from the platform.
    Cut(usize, bool),
    /// A zone is cut from the others, but not from the platform.
    CutPeers(usize, bool),
    /// A budget is topped up by some tokens, at an instance of a zone.
    TopUp(usize, u64, usize),
}

//! Which owner to ask when one of them does not answer.

/// Points of questions in a row without an answer after which an owner counts as silent: a single datagram
/// may be lost or late.
const SILENT_AFTER: u32 = 4;
/// Points of a question without an answer while another owner has answered the same request.
const OTHERS_ANSWERED_POINTS: u32 = 2;
/// Points of one without an answer from anybody: most likely, the fault is on the own side.
const NONE_ANSWERED_POINTS: u32 = 1;
/// Time for which a silent owner is not asked, in milliseconds: short compared with an outage, and each
/// further attempt costs one request the wait for an answer.
const SILENT_MS: u64 = 1_000;

/// What one owner's answers show.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    points: u32,
    until: u64,
}

impl Silence {
    /// Records that an owner answered.
    pub fn record_answer(&mut self) {
        *self = Silence::default();
    }

    /// Records that an owner did not answer in time, and whether another one has answered the same request;
    /// returns whether it counts as silent from now on.
    pub fn record_timeout(&mut self, now: u64, others_answered: bool) -> bool {
        let points = if others_answered {
            OTHERS_ANSWERED_POINTS
        } else {
            NONE_ANSWERED_POINTS
        };
        self.points = self.points.saturating_add(points);
        if self.points < SILENT_AFTER {
            return false;
        }
        let newly_silent = !self.is_silent(now);
        self.until = now + SILENT_MS;
        newly_silent
    }

    /// Returns whether an owner is not asked at present.
    pub fn is_silent(&self, now: u64) -> bool {
        now < self.until
    }
}

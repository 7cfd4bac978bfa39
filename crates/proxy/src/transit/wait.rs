//! Waiting for an instance that forwards requests.

use std::time::Duration;

use tokio::time::{sleep_until, Instant};
use transit::Mode;

use super::{unasked, Transit};

/// Pause before instances that were asked and are not left out are asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(50);

impl Transit {
    /// Wakes the requests that wait for an instance that forwards them.
    pub(super) fn notify_peer_change(&self) {
        self.0.peer_changes.send_modify(|n| *n += 1);
    }

    /// Waits until a request for a service may be tried again: another instance may be asked to forward it, its path
    /// may be restored, or there may be nothing left to wait for. Returns false without such an event before
    /// `until`, and at once if no instance is only at capacity.
    pub(crate) async fn wait_for_forwarder(
        &self,
        service: &str,
        regions: &[String],
        until: Instant,
    ) -> bool {
        // What changes after this point ends the wait; what changed before is seen below.
        let mut peer_changes = self.0.peer_changes.subscribe();
        let mut modes = self.0.mode_changes.subscribe();
        let is_lost = self.mode(service) != Mode::Direct;
        if !is_lost || !self.is_any_full(service, regions) {
            return false;
        }
        let eligible_at = self.peers().next_eligible_at(&unasked(service, regions));
        let at = eligible_at.map_or(until, |at| self.0.clock.at(at).min(until));
        let earliest = Instant::now() + ASK_AGAIN_AFTER;
        let at = if at <= Instant::now() { earliest } else { at };
        // The senders are owned by this handle.
        tokio::select! {
            _ = peer_changes.changed() => {}
            _ = modes.changed() => {}
            () = sleep_until(at.min(until)) => {}
        }
        Instant::now() < until
    }
}

#[cfg(test)]
#[path = "../../tests/unit/forwarder_wait.rs"]
mod tests;

//! Limits that two processes of one workload manager share.
//!
//! While a peer process runs, this process has a share of such a limit; otherwise it has all of it.
//! [`PeerPresence`] is the one owner of the value that decides this. Nothing outside this module
//! reads a share except through a [`SharedLimit`], and a task that waits for capacity under one
//! waits in [`SharedLimit::wait_until`]. So whoever changes the value wakes all who wait for it.

use super::Limits;
use std::sync::Arc;
use tokio::sync::{Notify, watch};

/// A process with a running peer has this part of a limit: (numerator, denominator). It is less than
/// half because each process also keeps its own descriptors and program text.
const SHARE_WITH_PEER: (usize, usize) = (2, 5);

/// Whether a peer process runs. All clones of the limits have the same one.
#[derive(Clone, Debug)]
pub(super) struct PeerPresence(Arc<watch::Sender<bool>>);

impl Default for PeerPresence {
    fn default() -> Self {
        PeerPresence(Arc::new(watch::Sender::new(false)))
    }
}

impl PeerPresence {
    /// Stores whether a peer process runs, and wakes all tasks that wait under a shared limit if
    /// that changes it. Returns whether it does.
    pub(super) fn set(&self, is_running: bool) -> bool {
        let replace = |present: &mut bool| std::mem::replace(present, is_running) != is_running;
        self.0.send_if_modified(replace)
    }

    /// Returns this process's share of a limit. It is at least 1 unless the limit is 0, so that a
    /// small limit stops neither process.
    pub(super) fn share(&self, total: usize) -> usize {
        let (numerator, denominator) = SHARE_WITH_PEER;
        if *self.0.borrow() {
            (total * numerator / denominator).max(total.min(1))
        } else {
            total
        }
    }
}

/// A limit, in connections or bytes, that applies to the whole workload manager.
#[derive(Clone, Debug)]
pub(crate) struct SharedLimit {
    limits: Arc<Limits>,
    total: usize,
}

/// Resolves when this process's share of a limit changes.
pub(crate) struct ShareChanges(watch::Receiver<bool>);

impl SharedLimit {
    /// Creates a limit of `total` for both processes together.
    pub(crate) fn new(limits: &Arc<Limits>, total: usize) -> SharedLimit {
        SharedLimit {
            limits: limits.clone(),
            total,
        }
    }

    /// What both processes together may use.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// What this process may use now.
    pub(crate) fn capacity(&self) -> usize {
        self.limits.peer_presence.share(self.total)
    }

    /// Observes the changes of the share from now on.
    pub(crate) fn changes(&self) -> ShareChanges {
        ShareChanges(self.limits.peer_presence.0.subscribe())
    }

    /// Waits until the condition holds. It is checked at once, each time that `released` is
    /// notified, and each time that the share changes.
    pub(crate) async fn wait_until(&self, released: &Notify, mut condition: impl FnMut() -> bool) {
        let mut changes = self.changes();
        loop {
            // `notify_one` stores a permit and the subscription is older than the check, so neither
            // a release nor a change between the check and the wait is missed.
            if condition() {
                return;
            }
            tokio::select! {
                () = released.notified() => {}
                () = changes.next() => {}
            }
        }
    }
}

impl ShareChanges {
    /// Waits for the next change. Cancelling this future loses no change.
    pub(crate) async fn next(&mut self) {
        if self.0.changed().await.is_err() {
            // The limits are gone, so the share cannot change any more.
            std::future::pending().await
        }
    }
}

#[cfg(test)]
mod tests;

//! Limits that two processes of one workload manager share.
//!
//! While a peer process runs, this process has a share of such a limit; otherwise it has all of it.
//! [`PeerPresence`] is the one owner of what decides this. Nothing outside this module
//! reads a share except through a [`SharedLimit`], and a task that waits for capacity under one
//! waits in [`SharedLimit::wait_until`]. So whoever changes the value wakes all who wait for it.

use super::Limits;
use std::sync::Arc;
use tokio::sync::{Notify, watch};

/// A process with a running peer has this part of a limit: (numerator, denominator). It is less than
/// half because each process also keeps its own descriptors and program text.
const SHARE_WITH_PEER: (usize, usize) = (2, 5);

/// What the peer process uses of the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerUse {
    /// No peer process runs, or it does not accept clients yet.
    #[default]
    Nothing,
    /// Its share of every limit.
    Share,
    /// The peer accepts no more clients, and has at most this number of client connections left. It
    /// uses its share of the other limits.
    ClosingClientConnections(usize),
}

/// What the peer process uses. All clones of the limits have the same one.
#[derive(Clone, Debug)]
pub(super) struct PeerPresence(Arc<watch::Sender<PeerUse>>);

impl Default for PeerPresence {
    fn default() -> Self {
        PeerPresence(Arc::new(watch::Sender::default()))
    }
}

impl PeerPresence {
    /// Stores what the peer process uses, and wakes all tasks that wait under a shared limit if that
    /// has changed. Returns whether it has.
    pub(super) fn set(&self, peer_use: PeerUse) -> bool {
        let replace = |stored: &mut PeerUse| std::mem::replace(stored, peer_use) != peer_use;
        self.0.send_if_modified(replace)
    }
}

/// What is limited, as far as the shares differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resource {
    /// Connections of the front end whose listening socket both processes have.
    ClientConnections,
    Other,
}

/// A limit, in connections or bytes, that applies to the whole workload manager.
#[derive(Clone, Debug)]
pub(crate) struct SharedLimit {
    limits: Arc<Limits>,
    total: usize,
    resource: Resource,
}

/// Resolves when this process's share of a limit changes.
pub(crate) struct ShareChanges(watch::Receiver<PeerUse>);

impl SharedLimit {
    /// Creates a limit of `total` for both processes together.
    pub(crate) fn new(limits: &Arc<Limits>, total: usize) -> SharedLimit {
        SharedLimit {
            limits: limits.clone(),
            total,
            resource: Resource::Other,
        }
    }

    /// Creates the limit on the connections of the front end whose listening socket both processes
    /// have. Of this one, a process may use whatever a closing peer does not use any more.
    pub(crate) fn of_client_connections(limits: &Arc<Limits>) -> SharedLimit {
        SharedLimit {
            resource: Resource::ClientConnections,
            ..SharedLimit::new(limits, limits.client_connections)
        }
    }

    /// What both processes together may use.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// What this process may use now.
    pub(crate) fn capacity(&self) -> usize {
        match (self.peer_use(), self.resource) {
            (PeerUse::Nothing, _) => self.total,
            (PeerUse::ClosingClientConnections(open), Resource::ClientConnections) => {
                self.total.saturating_sub(open).max(self.share_with_peer())
            }
            (PeerUse::Share | PeerUse::ClosingClientConnections(_), _) => self.share_with_peer(),
        }
    }

    /// What this process may keep of what it has held since before its share became smaller: all that
    /// the share of its peer leaves. So both together stay within the limit.
    pub(crate) fn retained_capacity(&self) -> usize {
        match self.peer_use() {
            PeerUse::Nothing => self.total,
            PeerUse::Share | PeerUse::ClosingClientConnections(_) => {
                self.capacity().max(self.total - self.share_with_peer())
            }
        }
    }

    fn peer_use(&self) -> PeerUse {
        *self.limits.peer_presence.0.borrow()
    }

    /// Returns the share of each of two processes. It is at least 1 unless the limit is 0, so that a
    /// small limit stops neither process.
    fn share_with_peer(&self) -> usize {
        let (numerator, denominator) = SHARE_WITH_PEER;
        (self.total * numerator / denominator).max(self.total.min(1))
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

//! All limits on sizes, counts and times. They are computed once at the start and passed to all
//! actors as one [`Limits`]. They bound all queues, buffers and connections, so the resources that
//! the program may use can be read in one place.
//!
//! `table` has each limit with its unit, value and reason. `basis` has the resources of the machine
//! and the settings from which the values are computed. `shared_limit` has the part of a limit that this
//! process may use while a peer process runs. `memory_account` has the accounts of memory that several
//! owners share.

mod basis;
mod memory_account;
mod shared_limit;
mod table;

#[cfg(test)]
mod tests;

pub(crate) use memory_account::{AccountSize, MemoryAccount, MemoryOwner, MemoryReservation};
pub(crate) use shared_limit::{PeerUse, ShareChanges, SharedLimit};
pub use table::Limits;

impl Limits {
    /// Stores what the peer process uses, for all clones of these limits, and wakes all tasks that
    /// wait under a limit that the two processes share. Returns whether that has changed.
    pub(crate) fn set_peer_use(&self, peer_use: PeerUse) -> bool {
        self.peer_presence.set(peer_use)
    }
}

//! All limits on sizes, counts and times. They are computed once at the start and passed to all
//! actors as one [`Limits`]. They bound all queues, buffers and connections, so the resources that
//! the program may use can be read in one place.
//!
//! `table` has each limit with its unit, value and reason. `basis` has the resources of the machine
//! and the settings from which the values are computed. `memory_account` has the accounts of memory
//! that several owners share.

mod basis;
mod memory_account;
mod table;

#[cfg(test)]
mod tests;

pub(crate) use memory_account::{AccountSize, MemoryAccount, MemoryOwner, MemoryReservation};
pub use table::Limits;

use std::sync::atomic::Ordering;

impl Limits {
    /// Returns this process's share of a limit, in connections or bytes, that applies to the whole
    /// workload manager. While a peer process runs, the share is two fifths of `total`. It is less
    /// than half because each process also keeps its own descriptors and program text.
    pub(crate) fn share(&self, total: usize) -> usize {
        if self.has_peer_process.load(Ordering::Relaxed) {
            total * 2 / 5
        } else {
            total
        }
    }

    /// Stores whether a peer process runs, for all clones of these limits, and returns the previous
    /// value. Relaxed ordering is enough: the flag publishes no other data, and an actor that reads
    /// the old value uses the new one when it next reads the flag.
    pub(crate) fn set_peer_process(&self, is_running: bool) -> bool {
        self.has_peer_process.swap(is_running, Ordering::Relaxed)
    }
}

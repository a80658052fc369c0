//! Every bound on sizes, counts and times, computed once at the start and handed to all actors as one [`Limits`].
//! Queues, buffers and connections are bounded by it, so what the program may hold can be read in one place.
//!
//! `table` has each limit with its unit, value and reason; `basis` has the figures of the machine that the values
//! follow; `memory_pool` has the reservations of bytes that several actors share.

mod basis;
mod memory_pool;
mod table;

#[cfg(test)]
mod tests;

pub(crate) use memory_pool::{MemoryPool, MemoryReservation};
pub use table::Limits;

use std::sync::atomic::Ordering;

impl Limits {
    /// This process's part of a count or of bytes that are bounded for the whole workload manager. While a peer process
    /// lives that is two fifths: a little under half, as neither process gives up its own descriptors and text.
    pub(crate) fn share(&self, total: usize) -> usize {
        if self.has_peer_process.load(Ordering::Relaxed) {
            total * 2 / 5
        } else {
            total
        }
    }

    /// Sets whether a peer process lives, for all clones of these limits; returns what was set before. Relaxed is
    /// enough: the flag publishes nothing else, and a bound that is read a moment late is made up at the next use.
    pub(crate) fn set_peer_process(&self, is_running: bool) -> bool {
        self.has_peer_process.swap(is_running, Ordering::Relaxed)
    }
}

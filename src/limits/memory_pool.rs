//! Memory reservations of several actors under a common limit.
//!
//! Relaxed ordering is enough: the sum publishes no other data, and each addition and subtraction
//! is atomic.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The sum of the bytes that all actors have reserved.
#[derive(Debug, Default)]
pub(crate) struct MemoryPool {
    reserved_bytes: AtomicUsize,
}

/// The bytes that one actor has reserved. They are returned to the pool on drop.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    pool: Arc<MemoryPool>,
    bytes: usize,
}

impl MemoryReservation {
    /// Creates a reservation of 0 bytes.
    pub(crate) fn new(pool: &Arc<MemoryPool>) -> MemoryReservation {
        MemoryReservation {
            pool: pool.clone(),
            bytes: 0,
        }
    }

    /// Changes the reservation to `bytes`, even if the pool then exceeds `max_pool_bytes`. Returns
    /// false if the reservation has grown and the pool exceeds that limit. The caller must then
    /// release the memory that it holds.
    pub(crate) fn set(&mut self, bytes: usize, max_pool_bytes: usize) -> bool {
        let before = std::mem::replace(&mut self.bytes, bytes);
        let reserved = &self.pool.reserved_bytes;
        let total = reserved.fetch_add(bytes, Ordering::Relaxed) + bytes - before;
        reserved.fetch_sub(before, Ordering::Relaxed);
        total <= max_pool_bytes || bytes <= before
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.pool
            .reserved_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

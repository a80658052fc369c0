//! Bytes that several actors reserve from one bound.
//!
//! Relaxed accesses are enough: the sum guards no other memory, and each addition and subtraction is atomic by itself.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes reserved by all actors together.
#[derive(Debug, Default)]
pub(crate) struct MemoryPool {
    reserved_bytes: AtomicUsize,
}

/// The bytes that one actor has reserved; returned to the pool on drop.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    pool: Arc<MemoryPool>,
    bytes: usize,
}

impl MemoryReservation {
    /// A reservation of no bytes.
    pub(crate) fn new(pool: &Arc<MemoryPool>) -> MemoryReservation {
        MemoryReservation {
            pool: pool.clone(),
            bytes: 0,
        }
    }

    /// Reserves `bytes` in place of what was reserved before, in any case. Returns false where that is more than before
    /// and the pool then exceeds `max_pool_bytes`: the caller gives up what it holds.
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

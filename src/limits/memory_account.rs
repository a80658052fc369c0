//! Accounts of memory that several owners share under one limit.
//!
//! Every byte on an account has an owner: a client connection, or a result that arrives from an
//! engine. Half of the limit is divided into quotas, one for each possible owner; an owner always
//! gets its quota, whatever the others hold. Beyond its quota, it may hold at most half of what is
//! left of the other half. So owners that need much memory are refused first, and what they hold
//! does not concern an owner that needs little.
//!
//! Relaxed ordering is enough: the sums publish no other data, and each addition and subtraction is
//! atomic.

use super::{Limits, SharedLimit};
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// The limit of an account is divided by this to get the part for the owners' quotas.
const QUOTAS_DIVISOR: usize = 2;

/// What is left for the excess of all owners over their quotas is divided by this to get the largest
/// excess of one owner.
const EXCESS_DIVISOR: usize = 2;

/// How much memory an account has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AccountSize {
    /// Memory of all owners together, in bytes. Peer processes share it.
    pub(crate) limit_bytes: usize,
    /// Number of owners that get a quota; 0 if there are no quotas.
    pub(crate) owners: usize,
}

/// Memory that all owners on the account together may hold.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    limit: SharedLimit,
    /// Number of owners that get a quota; 0 if there are no quotas.
    owners: usize,
    held_bytes: AtomicUsize,
    /// Sum of what each owner holds beyond its quota.
    excess_bytes: AtomicUsize,
}

impl MemoryAccount {
    pub(crate) fn new(limits: &Arc<Limits>, size: AccountSize) -> Arc<MemoryAccount> {
        Arc::new(MemoryAccount {
            limit: SharedLimit::new(limits, size.limit_bytes),
            owners: size.owners,
            held_bytes: AtomicUsize::new(0),
            excess_bytes: AtomicUsize::new(0),
        })
    }

    /// Adds an owner that holds nothing yet.
    pub(crate) fn add_owner(self: &Arc<Self>) -> Arc<MemoryOwner> {
        Arc::new(MemoryOwner {
            account: self.clone(),
            held_bytes: AtomicUsize::new(0),
            released: Notify::new(),
        })
    }

    /// The bytes that all owners hold.
    #[cfg(test)]
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    fn quota_bytes(&self) -> usize {
        (self.limit.total() / QUOTAS_DIVISOR)
            .checked_div(self.owners)
            .unwrap_or(0)
    }

    fn excess_of(&self, held_bytes: usize) -> usize {
        held_bytes.saturating_sub(self.quota_bytes())
    }

    /// Whether an owner may hold this much, which is already counted.
    fn allows(&self, held_bytes: usize) -> bool {
        let limit = self.limit.capacity();
        if self.held_bytes.load(Ordering::Relaxed) > limit {
            return false;
        }
        let excess_limit = match self.owners {
            0 => limit,
            _ => limit - limit / QUOTAS_DIVISOR,
        };
        let excess_left = excess_limit.saturating_sub(self.excess_bytes.load(Ordering::Relaxed));
        let excess = self.excess_of(held_bytes);
        excess == 0 || excess <= excess_left / EXCESS_DIVISOR
    }
}

/// One owner of memory on an account.
#[derive(Debug)]
pub(crate) struct MemoryOwner {
    account: Arc<MemoryAccount>,
    held_bytes: AtomicUsize,
    /// Notified when the owner releases memory.
    released: Notify,
}

impl MemoryOwner {
    /// Reserves memory. Returns `None` if the owner would then hold more than its share.
    pub(crate) fn reserve(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation::new(self);
        reservation.set(bytes).then_some(reservation)
    }

    /// Waits until the owner is within its share or holds nothing. So it waits for its own releases
    /// only, whatever the others hold, or until this process has a larger part of the limit.
    pub(crate) async fn within_share(&self) {
        let is_within_share = || {
            let held_bytes = self.held_bytes.load(Ordering::Relaxed);
            held_bytes == 0 || self.account.allows(held_bytes)
        };
        let limit = &self.account.limit;
        limit.wait_until(&self.released, is_within_share).await;
    }

    /// Replaces a part of what the owner holds by another number of bytes. Returns what it holds now.
    fn replace(&self, before: usize, after: usize) -> usize {
        let change = |held: usize| held + after - before;
        let held_before = self
            .held_bytes
            .update(Ordering::Relaxed, Ordering::Relaxed, change);
        let held_after = change(held_before);
        let account = &self.account;
        replace(&account.held_bytes, before, after);
        replace(
            &account.excess_bytes,
            account.excess_of(held_before),
            account.excess_of(held_after),
        );
        if held_after < held_before {
            self.released.notify_one();
        }
        held_after
    }
}

/// Replaces a part of a sum by another number.
fn replace(sum: &AtomicUsize, before: usize, after: usize) {
    sum.fetch_add(after, Ordering::Relaxed);
    sum.fetch_sub(before, Ordering::Relaxed);
}

/// Memory that an owner holds. It is returned on drop.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    owner: Arc<MemoryOwner>,
    bytes: usize,
}

impl MemoryReservation {
    /// Creates a reservation of 0 bytes.
    pub(crate) fn new(owner: &Arc<MemoryOwner>) -> MemoryReservation {
        MemoryReservation {
            owner: owner.clone(),
            bytes: 0,
        }
    }

    /// Changes the reservation to `bytes` in any case. Returns false if it has grown and the owner
    /// now holds more than its share. The caller must then release the memory.
    pub(crate) fn set(&mut self, bytes: usize) -> bool {
        let before = std::mem::replace(&mut self.bytes, bytes);
        let held_bytes = self.owner.replace(before, bytes);
        bytes <= before || self.owner.account.allows(held_bytes)
    }

    /// Enlarges the reservation to `bytes` if the owner stays within its share. Otherwise returns
    /// false and changes nothing.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let before = self.bytes;
        let is_granted = self.set(bytes);
        if !is_granted {
            self.set(before);
        }
        is_granted
    }

    /// Attaches the reservation to this data. It is returned when the last slice of the data is
    /// dropped.
    pub(crate) fn attach_to(self, data: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            data,
            _reservation: self,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Data with the reservation of its memory.
struct ReservedBytes {
    data: Vec<u8>,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

#[cfg(test)]
mod tests;

//! Leases on order keys. During a hot restart two processes serve as one workload manager, and the
//! dispatcher of each orders only its own requests of a key. A process therefore acquires a lease
//! on a key before it submits a request with that key to its dispatcher. It holds the lease until
//! no request of the key is open and the key's pause is over. Meanwhile the other process holds
//! back its requests of the key and does not submit them to its dispatcher, so that the wait
//! affects no engine's statistics.
//!
//! A key is paused for a time from the settings after an attempt of one of its requests that may
//! still run.
//!
//! Sans-I/O: keys are locked through a port, [`OrderLocks`].

use super::OrderKey;
use crate::decision::{Millis, RequestId};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// How long a lease admits new requests while a peer process runs, in ms. Requests that arrive
/// later wait for the next lease.
const MAX_LEASE_MS: Millis = 500.0;

/// How long a process that has released a key does not acquire it again for waiting requests, in
/// ms. A peer tries to acquire the key every 50 ms and so gets it first.
const REACQUIRE_DELAY_MS: Millis = 120.0;

/// A set of peer processes of one workload manager, with one bit for each process slot in the lock
/// file.
pub type PeerProcesses = u64;

/// Locks on order keys, shared by all processes of one workload manager. The locks of a process are
/// released when it ends. No call blocks.
pub trait OrderLocks: Send {
    /// Tries to lock a key. Returns false if another process holds the lock.
    fn try_lock(&mut self, key: OrderKey) -> bool;
    /// Unlocks a key.
    fn unlock(&mut self, key: OrderKey);
    /// The peer processes that are running.
    fn live_peers(&mut self) -> PeerProcesses;
    /// Whether any of these ended processes may have held a key when it ended.
    fn may_have_held_keys_at_exit(&mut self, ended: PeerProcesses) -> bool;
    /// Whether any process that ended before this one started may have held a key when it ended.
    fn earlier_process_may_have_held_keys(&self) -> bool;
}

/// A lease that this process holds.
struct Lease {
    /// Number of open requests of the key that were submitted to the dispatcher.
    open_requests: usize,
    acquired_at: Millis,
    paused_until: Millis,
}

/// The requests that wait for the lease on one key.
#[derive(Default)]
struct WaitingRequests {
    /// In order of arrival.
    ids: VecDeque<RequestId>,
    /// The earliest time at which this process tries to acquire the key again.
    not_before: Millis,
}

/// The leases of one process. Without locks there is no peer process, and every request is admitted
/// at once.
#[derive(Default)]
pub(super) struct OrderLeases {
    locks: Option<Box<dyn OrderLocks>>,
    held: HashMap<OrderKey, Lease>,
    /// The held keys that have no open request and are held only until their pause is over.
    pausing: BTreeSet<OrderKey>,
    /// Ordered by key, so that runs are reproducible.
    waiting: BTreeMap<OrderKey, WaitingRequests>,
    /// The peer processes that were running at the last check.
    peers: PeerProcesses,
    /// No key is acquired before this time, because a process may have ended with an attempt in
    /// flight.
    paused_until: Millis,
}

impl OrderLeases {
    /// Creates leases that are based on these locks.
    pub(super) fn new(mut locks: Box<dyn OrderLocks>) -> OrderLeases {
        let live_peers = locks.live_peers();
        OrderLeases {
            locks: Some(locks),
            peers: live_peers,
            ..OrderLeases::default()
        }
    }

    /// Pauses all keys if a process that ended before this one started may have held keys: its
    /// attempts may still run. Called when this process starts.
    pub(super) fn pause_after_unclean_exit(&mut self, now: Millis, pause: Millis) {
        if self
            .locks
            .as_ref()
            .is_some_and(|locks| locks.earlier_process_may_have_held_keys())
        {
            self.paused_until = now + pause;
        }
    }

    /// Returns true if a new request of this key may be submitted now. Otherwise the request waits
    /// until [`OrderLeases::review`] returns its id.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        pause: Millis,
        key: OrderKey,
        id: RequestId,
    ) -> bool {
        if self.locks.is_none() {
            return true;
        }
        if !self.waiting.contains_key(&key) && self.acquire(now, pause, key) {
            self.add_requests(key, 1);
            return true;
        }
        self.waiting.entry(key).or_default().ids.push_back(id);
        false
    }

    /// Removes a request of this key that has ended, whether it was submitted or still waits.
    pub(super) fn request_closed(&mut self, now: Millis, key: OrderKey, id: RequestId) {
        if let Some(queue) = self.waiting.get_mut(&key)
            && let Some(position) = queue.ids.iter().position(|waiting_id| *waiting_id == id)
        {
            queue.ids.remove(position);
            if queue.ids.is_empty() {
                self.waiting.remove(&key);
            }
        } else if let Some(lease) = self.held.get_mut(&key) {
            lease.open_requests = lease.open_requests.saturating_sub(1);
            self.release_if_unused(now, key);
        }
    }

    /// Extends the pause of a held key, because an attempt may still run.
    pub(super) fn pause_until(&mut self, key: OrderKey, until: Millis) {
        if let Some(lease) = self.held.get_mut(&key) {
            lease.paused_until = lease.paused_until.max(until);
        }
    }

    /// Checks which peer processes are running. If one has ended that may have had attempts in
    /// flight, pauses all keys from now on and returns true.
    pub(super) fn check_peers(&mut self, now: Millis, pause: Millis) -> bool {
        let Some(locks) = &mut self.locks else {
            return false;
        };
        let live_peers = locks.live_peers();
        let ended = std::mem::replace(&mut self.peers, live_peers) & !live_peers;
        let must_pause = ended != 0 && locks.may_have_held_keys_at_exit(ended);
        if must_pause {
            self.paused_until = now + pause;
        }
        must_pause
    }

    /// Releases the keys whose pause is over and acquires keys for waiting requests. Returns the
    /// requests that may be submitted now, in the order of their arrival for each key.
    pub(super) fn review(&mut self, now: Millis, pause: Millis) -> Vec<RequestId> {
        for key in self.pausing.iter().copied().collect::<Vec<_>>() {
            self.release_if_unused(now, key);
        }
        let mut admitted = Vec::new();
        for key in self.waiting.keys().copied().collect::<Vec<_>>() {
            let is_due = self
                .waiting
                .get(&key)
                .is_some_and(|queue| queue.not_before <= now);
            if !is_due || !self.acquire(now, pause, key) {
                continue;
            }
            let Some(queue) = self.waiting.remove(&key) else {
                continue;
            };
            self.add_requests(key, queue.ids.len());
            admitted.extend(queue.ids);
        }
        admitted
    }

    /// Whether [`OrderLeases::review`] has to be called again later.
    pub(super) fn needs_review(&self) -> bool {
        !self.waiting.is_empty() || !self.pausing.is_empty()
    }

    /// Number of held keys plus number of keys with waiting requests.
    #[cfg(test)]
    pub(super) fn key_count(&self) -> usize {
        self.held.len() + self.waiting.len()
    }

    /// Acquires the key for a further request, unless this process holds it already. Returns false
    /// if the request has to wait.
    fn acquire(&mut self, now: Millis, pause: Millis, key: OrderKey) -> bool {
        if let Some(lease) = self.held.get(&key) {
            // Without this limit, a continuous sequence of requests would keep the lease here
            // forever, and the peer process would never get it.
            return self.peers == 0 || now < lease.acquired_at + MAX_LEASE_MS;
        }
        if now < self.paused_until || !self.lock(key) {
            return false;
        }
        // The lock may have become free because its holder has ended, perhaps with attempts in
        // flight.
        if self.check_peers(now, pause) {
            self.unlock(key);
            return false;
        }
        self.held.insert(
            key,
            Lease {
                open_requests: 0,
                acquired_at: now,
                paused_until: now,
            },
        );
        true
    }

    /// Releases the key if it has no open request and its pause is over.
    fn release_if_unused(&mut self, now: Millis, key: OrderKey) {
        let Some(lease) = self.held.get(&key).filter(|lease| lease.open_requests == 0) else {
            return;
        };
        if now < lease.paused_until {
            self.pausing.insert(key);
            return;
        }
        self.held.remove(&key);
        self.pausing.remove(&key);
        self.unlock(key);
        if let Some(queue) = self.waiting.get_mut(&key) {
            queue.not_before = now + REACQUIRE_DELAY_MS;
        }
    }

    /// Counts requests of a held key as submitted.
    fn add_requests(&mut self, key: OrderKey, requests: usize) {
        if let Some(lease) = self.held.get_mut(&key) {
            lease.open_requests += requests;
            self.pausing.remove(&key);
        }
    }

    fn lock(&mut self, key: OrderKey) -> bool {
        self.locks.as_mut().is_none_or(|locks| locks.try_lock(key))
    }

    fn unlock(&mut self, key: OrderKey) {
        if let Some(locks) = &mut self.locks {
            locks.unlock(key);
        }
    }
}

#[cfg(test)]
mod tests;

//! Leases on order keys. During a hot restart two processes are one workload manager, and each keeps the order of a
//! key among its own requests only. A process therefore acquires a lease on a key before it submits a request with that
//! key to its dispatcher, and holds the lease until no request of the key is open and the key's pause is over. Requests
//! of the other process wait for that, unknown to its dispatcher, so that the wait affects no engine's statistics.
//!
//! Sans-I/O: keys are locked through a port, [`OrderLocks`].

use super::OrderKey;
use crate::decision::{Millis, RequestId};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// While a peer process runs, requests that come later than this after the lease, in ms, wait for the next one.
const MAX_LEASE_MS: Millis = 500.0;

/// A process that released a key does not acquire it for this long, in ms: the peer tries every 50 ms.
const REACQUIRE_DELAY_MS: Millis = 120.0;

/// The running peer processes of one workload manager: a bit for each slot in the lock file.
pub type PeerProcesses = u64;

/// Locks on order keys, shared by all processes of one workload manager and released when their holder ends. No call
/// blocks.
pub trait OrderLocks: Send {
    /// Locks a key; false where another process holds it.
    fn try_lock(&mut self, key: OrderKey) -> bool;
    /// Unlocks a key.
    fn unlock(&mut self, key: OrderKey);
    /// The peer processes that run.
    fn live_peers(&mut self) -> PeerProcesses;
    /// Whether one of these processes, which have ended, may have held a key at that time.
    fn may_have_held_keys_at_exit(&mut self, ended: PeerProcesses) -> bool;
    /// Whether a process that ended before this one started may have held a key at that time.
    fn earlier_process_may_have_held_keys(&self) -> bool;
}

/// A lease that this process holds.
struct Lease {
    /// Requests of the key that the dispatcher has.
    open_requests: usize,
    acquired_at: Millis,
    paused_until: Millis,
}

/// Requests that wait for the lease on their key.
#[derive(Default)]
struct WaitingRequests {
    ids: VecDeque<RequestId>,
    not_before: Millis,
}

/// The leases of one process. Without locks there is no peer process, and every request is admitted at once.
#[derive(Default)]
pub(super) struct OrderLeases {
    locks: Option<Box<dyn OrderLocks>>,
    held: HashMap<OrderKey, Lease>,
    /// The keys among them that are held only until their pause is over.
    pausing: BTreeSet<OrderKey>,
    /// Ordered by key, so that runs can be repeated.
    waiting: BTreeMap<OrderKey, WaitingRequests>,
    peers: PeerProcesses,
    /// Until then no key is acquired: a holder may have ended with an attempt in flight.
    paused_until: Millis,
}

impl OrderLeases {
    /// Leases by these locks.
    pub(super) fn new(mut locks: Box<dyn OrderLocks>) -> OrderLeases {
        let live_peers = locks.live_peers();
        OrderLeases {
            locks: Some(locks),
            peers: live_peers,
            ..OrderLeases::default()
        }
    }

    /// The process starts. A process that ended just before may have had attempts in flight, so all keys are paused.
    pub(super) fn pause_after_unclean_exit(&mut self, now: Millis, pause: Millis) {
        if self
            .locks
            .as_ref()
            .is_some_and(|locks| locks.earlier_process_may_have_held_keys())
        {
            self.paused_until = now + pause;
        }
    }

    /// Whether a new request of this key may be submitted now. If not, it waits until [`OrderLeases::review`] returns it.
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

    /// A request of this key is over, or was never submitted.
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

    /// Extends the pause of a key, as an attempt may still run.
    pub(super) fn pause_until(&mut self, key: OrderKey, until: Millis) {
        if let Some(lease) = self.held.get_mut(&key) {
            lease.paused_until = lease.paused_until.max(until);
        }
    }

    /// Checks which peer processes run. Returns true if one has ended that may have had attempts in flight; all keys are
    /// paused from now on then.
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

    /// Releases the keys whose pause is over, and returns the waiting requests that may be submitted now, in order.
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

    /// Whether a later [`OrderLeases::review`] is needed.
    pub(super) fn needs_review(&self) -> bool {
        !self.waiting.is_empty() || !self.pausing.is_empty()
    }

    /// How many keys are held or waited for.
    #[cfg(test)]
    pub(super) fn key_count(&self) -> usize {
        self.held.len() + self.waiting.len()
    }

    /// Whether this process holds the key, or could acquire it, for one more request.
    fn acquire(&mut self, now: Millis, pause: Millis, key: OrderKey) -> bool {
        if let Some(lease) = self.held.get(&key) {
            // A steady stream of requests would keep the key from the peer process forever.
            return self.peers == 0 || now < lease.acquired_at + MAX_LEASE_MS;
        }
        if now < self.paused_until || !self.lock(key) {
            return false;
        }
        // The lock may be free only because its holder has just ended.
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

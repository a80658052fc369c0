//! Leases on order keys. In an upgrade two processes are one workload manager, and each keeps the order of a key among
//! its own requests alone. So a process takes a lease on a key before its decision module hears of a request of that
//! key, and holds it until no request of the key is open here and the key has rested. Another process's requests of the
//! key wait for that; the module does not know of them, and believes nothing wrong of an engine meanwhile.
//!
//! Sans-I/O: what locks a key is a port, [`OrderLocks`].

use super::OrderKey;
use crate::decision::{Millis, RequestId};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// While another process lives, a key is held for so long, in ms, until further requests of it wait for the next lease.
const TURN_MS: Millis = 500.0;

/// Once its turn is over, a process leaves the key alone for so long, in ms: the other one tries each 50 ms.
const YIELD_MS: Millis = 120.0;

/// The processes of one workload manager that live, this one left out: a bit for each place.
pub type PeerProcesses = u64;

/// Locks on keys that all processes of one workload manager share, and that end with the process that holds them. No
/// call waits.
pub trait OrderLocks: Send {
    /// Locks a key; false where another process has it.
    fn try_lock(&mut self, key: OrderKey) -> bool;
    /// Unlocks it.
    fn unlock(&mut self, key: OrderKey);
    /// The other processes that live.
    fn live_peers(&mut self) -> PeerProcesses;
    /// Whether any of these, which live no longer, may have held a key at its end.
    fn may_have_held_at_exit(&mut self, gone: PeerProcesses) -> bool;
    /// Whether a process that was gone before this one started may have held a key at its end.
    fn may_be_left_behind(&self) -> bool;
}

/// A lease that this process holds.
struct Lease {
    /// Requests of the key that the module knows.
    open_requests: usize,
    acquired_at: Millis,
    paused_until: Millis,
}

/// Requests of a key that wait for a lease.
#[derive(Default)]
struct WaitingRequests {
    ids: VecDeque<RequestId>,
    not_before: Millis,
}

/// The leases of one process. Without locks there is no other process, and every request goes on at once.
#[derive(Default)]
pub(super) struct OrderLeases {
    locks: Option<Box<dyn OrderLocks>>,
    held: HashMap<OrderKey, Lease>,
    /// Those of them that are held for the rest of their key alone.
    pausing: BTreeSet<OrderKey>,
    /// In the order of keys, so that plays can be repeated.
    waiting: BTreeMap<OrderKey, WaitingRequests>,
    peers: PeerProcesses,
    /// All keys that are not held here rest until then: their holder may have died with an attempt out.
    paused_until: Millis,
}

impl OrderLeases {
    /// Leases that these locks keep apart from other processes'.
    pub(super) fn new(mut locks: Box<dyn OrderLocks>) -> OrderLeases {
        let others = locks.live_peers();
        OrderLeases {
            locks: Some(locks),
            peers: others,
            ..OrderLeases::default()
        }
    }

    /// The process starts. What died a moment ago may have had attempts out, so the keys rest.
    pub(super) fn start(&mut self, now: Millis, pause: Millis) {
        if self
            .locks
            .as_ref()
            .is_some_and(|locks| locks.may_be_left_behind())
        {
            self.paused_until = now + pause;
        }
    }

    /// A request of this key has come: whether it may go on now, or waits until [`OrderLeases::review`] names it.
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

    /// A request of this key is over: proven so, or it never went on.
    pub(super) fn request_closed(&mut self, now: Millis, key: OrderKey, id: RequestId) {
        if let Some(queue) = self.waiting.get_mut(&key)
            && let Some(at) = queue.ids.iter().position(|waiter| *waiter == id)
        {
            queue.ids.remove(at);
            if queue.ids.is_empty() {
                self.waiting.remove(&key);
            }
        } else if let Some(lease) = self.held.get_mut(&key) {
            lease.open_requests = lease.open_requests.saturating_sub(1);
            self.release_if_over(now, key);
        }
    }

    /// An attempt of this key ended that may still run.
    pub(super) fn pause_until(&mut self, key: OrderKey, until: Millis) {
        if let Some(lease) = self.held.get_mut(&key) {
            lease.paused_until = lease.paused_until.max(until);
        }
    }

    /// Looks for other processes. One that died may have had attempts out, so the keys rest from now on; true then.
    pub(super) fn check_peers(&mut self, now: Millis, pause: Millis) -> bool {
        let Some(locks) = &mut self.locks else {
            return false;
        };
        let others = locks.live_peers();
        let gone = std::mem::replace(&mut self.peers, others) & !others;
        let rests = gone != 0 && locks.may_have_held_at_exit(gone);
        if rests {
            self.paused_until = now + pause;
        }
        rests
    }

    /// Releases what has rested, and names the waiting requests that may go on now, in their order.
    pub(super) fn review(&mut self, now: Millis, pause: Millis) -> Vec<RequestId> {
        for key in self.pausing.iter().copied().collect::<Vec<_>>() {
            self.release_if_over(now, key);
        }
        let mut admitted = Vec::new();
        for key in self.waiting.keys().copied().collect::<Vec<_>>() {
            let due = self
                .waiting
                .get(&key)
                .is_some_and(|queue| queue.not_before <= now);
            if !due || !self.acquire(now, pause, key) {
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

    /// Whether [`OrderLeases::review`] has something to look at later.
    pub(super) fn needs_review(&self) -> bool {
        !self.waiting.is_empty() || !self.pausing.is_empty()
    }

    /// How many keys are held or waited for.
    #[cfg(test)]
    pub(super) fn entries(&self) -> usize {
        self.held.len() + self.waiting.len()
    }

    /// Whether this process has the key, or could take it, for one more request.
    fn acquire(&mut self, now: Millis, pause: Millis, key: OrderKey) -> bool {
        if let Some(lease) = self.held.get(&key) {
            // Guard: requests that never cease would keep the key from the other process for good.
            return self.peers == 0 || now < lease.acquired_at + TURN_MS;
        }
        if now < self.paused_until || !self.lock(key) {
            return false;
        }
        // Guard: it may have been free only as its holder died a moment ago.
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

    fn release_if_over(&mut self, now: Millis, key: OrderKey) {
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
            queue.not_before = now + YIELD_MS;
        }
    }

    /// So many more requests of a key that is held go on.
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

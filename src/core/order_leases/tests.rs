//! Tests of the order leases of two processes with locks in memory, including processes that end
//! while they hold a lease.

use super::*;
use rstest::rstest;
use std::cell::RefCell;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

const PAUSE: Millis = 300.0;

/// State that both processes share: the locks and the running and ended processes.
#[derive(Default)]
struct SharedLocks {
    /// The process that holds the lock on each key.
    keys: HashMap<OrderKey, u32>,
    live: HashSet<u32>,
    /// Processes that ended while they held keys.
    ended_uncleanly: HashSet<u32>,
}

/// The locks as one process uses them, with the number of the process.
struct InMemoryLocks(Arc<Mutex<SharedLocks>>, u32);

impl InMemoryLocks {
    fn shared<T>(&self, access: impl FnOnce(&mut SharedLocks) -> T) -> T {
        access(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl OrderLocks for InMemoryLocks {
    fn try_lock(&mut self, key: OrderKey) -> bool {
        let own_id = self.1;
        self.shared(|shared| *shared.keys.entry(key).or_insert(own_id) == own_id)
    }
    fn unlock(&mut self, key: OrderKey) {
        self.shared(|shared| shared.keys.remove(&key));
    }
    fn live_peers(&mut self) -> PeerProcesses {
        let own_id = self.1;
        self.shared(|shared| {
            shared
                .live
                .iter()
                .filter(|process| **process != own_id)
                .map(|process| 1 << process)
                .sum()
        })
    }
    fn may_have_held_keys_at_exit(&mut self, ended: PeerProcesses) -> bool {
        self.shared(|shared| {
            shared
                .ended_uncleanly
                .iter()
                .any(|process| ended >> process & 1 == 1)
        })
    }
    fn earlier_process_may_have_held_keys(&self) -> bool {
        self.shared(|shared| !shared.ended_uncleanly.is_empty())
    }
}

/// Two processes of one workload manager: 0 is the old one, 1 the new one.
struct TwoProcesses {
    shared: Arc<Mutex<SharedLocks>>,
    old: OrderLeases,
    new: RefCell<OrderLeases>,
}

impl TwoProcesses {
    fn new() -> TwoProcesses {
        let shared: Arc<Mutex<SharedLocks>> = Arc::default();
        shared.lock().expect("lock").live.extend([0, 1]);
        let leases = |id| OrderLeases::new(Box::new(InMemoryLocks(shared.clone(), id)));
        TwoProcesses {
            old: leases(0),
            new: leases(1).into(),
            shared: shared.clone(),
        }
    }

    /// The old process ends; its exit is unclean if it holds keys.
    fn end_old_process(&mut self) {
        let mut shared = self.shared.lock().expect("lock");
        shared.live.remove(&0);
        if shared.keys.values().any(|holder| *holder == 0) {
            shared.ended_uncleanly.insert(0);
        }
        shared.keys.retain(|_, holder| *holder != 0);
    }

    fn review(&self, now: Millis) -> Vec<RequestId> {
        self.new.borrow_mut().review(now, PAUSE)
    }

    fn admit(&self, now: Millis, key: OrderKey, id: RequestId) -> bool {
        self.new.borrow_mut().admit(now, PAUSE, key, id)
    }
}

fn key(n: u8) -> OrderKey {
    OrderKey::new(&[n])
}

#[test]
fn without_locks_every_request_is_admitted_and_no_state_is_kept() {
    let mut leases = OrderLeases::default();
    assert!(leases.admit(0.0, PAUSE, key(1), 1) && leases.admit(0.0, PAUSE, key(1), 2));
    leases.pause_until(key(1), 100.0);
    leases.request_closed(0.0, key(1), 1);
    assert!(!leases.needs_review() && leases.key_count() == 0);
}

#[test]
fn a_lease_moves_to_the_other_process_once_no_request_of_its_key_is_open() {
    let mut processes = TwoProcesses::new();
    assert!(
        processes.old.admit(0.0, PAUSE, key(1), 1) && processes.old.admit(0.0, PAUSE, key(1), 2)
    );
    assert!(
        !processes.admit(0.0, key(1), 1),
        "the other process holds the key"
    );
    assert!(processes.admit(0.0, key(2), 2), "another key is free");
    processes.old.request_closed(10.0, key(1), 1);
    assert!(
        processes.review(50.0).is_empty(),
        "one more request is open"
    );
    assert!(!processes.admit(60.0, key(1), 3));
    processes.old.request_closed(70.0, key(1), 2);
    assert_eq!(
        processes.review(100.0),
        [1, 3],
        "in the order of their arrival"
    );
    assert!(!processes.old.admit(100.0, PAUSE, key(1), 3));
}

#[test]
fn a_lease_is_held_while_its_key_is_paused() {
    let mut processes = TwoProcesses::new();
    assert!(processes.old.admit(0.0, PAUSE, key(1), 1) && !processes.admit(0.0, key(1), 1));
    processes.old.pause_until(key(1), 310.0);
    processes.old.request_closed(10.0, key(1), 1);
    assert!(
        processes.old.needs_review()
            && processes.old.review(300.0, PAUSE).is_empty()
            && processes.review(300.0).is_empty()
    );
    assert!(
        processes.old.review(310.0, PAUSE).is_empty()
            && !processes.old.needs_review()
            && processes.old.key_count() == 0
    );
    assert_eq!(processes.review(311.0), [1]);
}

/// A further request of the lease holder is admitted during the pause. The dispatcher delays the
/// request until the pause is over.
#[test]
fn a_paused_key_admits_requests_of_its_lease_holder() {
    let mut processes = TwoProcesses::new();
    assert!(processes.old.admit(0.0, PAUSE, key(1), 1));
    processes.old.pause_until(key(1), 310.0);
    processes.old.request_closed(10.0, key(1), 1);
    assert!(processes.old.admit(20.0, PAUSE, key(1), 2));
    assert!(!processes.old.needs_review() && processes.old.review(400.0, PAUSE).is_empty());
    assert!(
        !processes.admit(400.0, key(1), 1),
        "the second request of the lease holder is open"
    );
}

#[rstest]
#[case::detected_by_a_peer_check(true)]
#[case::detected_by_a_lock_attempt(false)]
fn keys_are_paused_after_a_process_exited_with_a_lease(#[case] checks_peers: bool) {
    let mut processes = TwoProcesses::new();
    assert!(processes.old.admit(0.0, PAUSE, key(1), 1));
    processes.end_old_process();
    if checks_peers {
        assert!(processes.new.borrow_mut().check_peers(1000.0, PAUSE));
    }
    assert!(
        !processes.admit(1000.0, key(1), 1),
        "an attempt of the ended process may still run"
    );
    assert!(processes.review(1299.0).is_empty());
    assert_eq!(processes.review(1300.0), [1]);
}

#[test]
fn keys_are_paused_at_start_after_a_process_exited_with_a_lease() {
    let mut processes = TwoProcesses::new();
    assert!(processes.old.admit(0.0, PAUSE, key(1), 1));
    processes.end_old_process();
    processes.new = OrderLeases::new(Box::new(InMemoryLocks(processes.shared.clone(), 1))).into();
    processes
        .new
        .borrow_mut()
        .pause_after_unclean_exit(1000.0, PAUSE);
    assert!(!processes.admit(1299.0, key(1), 1));
    assert_eq!(processes.review(1300.0), [1]);
}

#[test]
fn no_key_is_paused_after_a_process_exited_without_a_lease() {
    let mut processes = TwoProcesses::new();
    assert!(processes.old.admit(0.0, PAUSE, key(1), 1));
    processes.old.request_closed(10.0, key(1), 1);
    processes.end_old_process();
    assert!(processes.admit(20.0, key(1), 1));
}

/// A continuous sequence of requests does not keep the lease from the other process.
#[test]
fn a_lease_in_continuous_use_alternates_between_two_processes() {
    let mut processes = TwoProcesses::new();
    assert!(processes.old.admit(0.0, PAUSE, key(1), 1) && !processes.admit(0.0, key(1), 1));
    assert!(
        processes.old.admit(MAX_LEASE_MS - 1.0, PAUSE, key(1), 2),
        "the lease still admits new requests"
    );
    assert!(
        !processes.old.admit(MAX_LEASE_MS, PAUSE, key(1), 3),
        "the lease has reached its maximum age"
    );
    processes.old.request_closed(600.0, key(1), 1);
    processes.old.request_closed(610.0, key(1), 2);
    assert!(
        processes.old.review(650.0, PAUSE).is_empty(),
        "the releasing process does not acquire the key during the reacquire delay"
    );
    assert_eq!(processes.review(650.0), [1]);
    processes.new.borrow_mut().request_closed(700.0, key(1), 1);
    assert_eq!(processes.old.review(610.0 + REACQUIRE_DELAY_MS, PAUSE), [3]);
}

#[test]
fn a_lease_in_continuous_use_stays_without_a_live_peer() {
    let mut processes = TwoProcesses::new();
    processes.end_old_process();
    processes.new.borrow_mut().check_peers(0.0, PAUSE);
    assert!(processes.admit(0.0, key(1), 1) && processes.admit(10.0 * MAX_LEASE_MS, key(1), 2));
}

#[test]
fn a_waiting_request_that_closes_is_removed() {
    let mut processes = TwoProcesses::new();
    assert!(processes.old.admit(0.0, PAUSE, key(1), 1));
    assert!(!processes.admit(0.0, key(1), 1) && !processes.admit(0.0, key(1), 2));
    processes.new.borrow_mut().request_closed(10.0, key(1), 1);
    processes.old.request_closed(20.0, key(1), 1);
    assert_eq!(processes.review(50.0), [2]);
    processes.new.borrow_mut().request_closed(60.0, key(1), 2);
    assert!(
        !processes.new.borrow().needs_review()
            && processes.new.borrow().key_count() == 0
            && processes.old.key_count() == 0
    );
}

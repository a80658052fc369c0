//! Tests of this module: two processes' leases on locks in memory, and what a process dies with.

use super::*;
use rstest::rstest;
use std::cell::RefCell;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

const PAUSE: Millis = 300.0;

/// What both processes see.
#[derive(Default)]
struct Shared {
    keys: HashMap<OrderKey, u32>,
    living: HashSet<u32>,
    unclean: HashSet<u32>,
}

/// The locks of one process.
struct InMemory(Arc<Mutex<Shared>>, u32);

impl InMemory {
    fn shared<T>(&self, with: impl FnOnce(&mut Shared) -> T) -> T {
        with(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl OrderLocks for InMemory {
    fn try_lock(&mut self, key: OrderKey) -> bool {
        let me = self.1;
        self.shared(|all| *all.keys.entry(key).or_insert(me) == me)
    }
    fn unlock(&mut self, key: OrderKey) {
        self.shared(|all| all.keys.remove(&key));
    }
    fn live_peers(&mut self) -> PeerProcesses {
        let me = self.1;
        self.shared(|all| {
            all.living
                .iter()
                .filter(|p| **p != me)
                .map(|p| 1 << p)
                .sum()
        })
    }
    fn may_have_held_at_exit(&mut self, gone: PeerProcesses) -> bool {
        self.shared(|all| all.unclean.iter().any(|p| gone >> p & 1 == 1))
    }
    fn may_be_left_behind(&self) -> bool {
        self.shared(|all| !all.unclean.is_empty())
    }
}

/// Two processes of one workload manager.
struct Two {
    shared: Arc<Mutex<Shared>>,
    old: OrderLeases,
    new: RefCell<OrderLeases>,
}

impl Two {
    fn new() -> Two {
        let shared: Arc<Mutex<Shared>> = Arc::default();
        shared.lock().expect("lock").living.extend([0, 1]);
        let leases = |n| OrderLeases::new(Box::new(InMemory(shared.clone(), n)));
        Two {
            old: leases(0),
            new: leases(1).into(),
            shared: shared.clone(),
        }
    }

    /// The old process ends, by a kill where it holds keys.
    fn old_ends(&mut self) {
        let mut all = self.shared.lock().expect("lock");
        all.living.remove(&0);
        if all.keys.values().any(|holder| *holder == 0) {
            all.unclean.insert(0);
        }
        all.keys.retain(|_, holder| *holder != 0);
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
fn without_locks_everything_goes_on_and_nothing_is_kept() {
    let mut leases = OrderLeases::default();
    assert!(leases.admit(0.0, PAUSE, key(1), 1) && leases.admit(0.0, PAUSE, key(1), 2));
    leases.pause_until(key(1), 100.0);
    leases.request_closed(0.0, key(1), 1);
    assert!(!leases.needs_review() && leases.entries() == 0);
}

#[test]
fn a_key_goes_to_the_other_process_once_no_request_of_it_is_open() {
    let mut two = Two::new();
    assert!(two.old.admit(0.0, PAUSE, key(1), 1) && two.old.admit(0.0, PAUSE, key(1), 2));
    assert!(!two.admit(0.0, key(1), 1), "the other process has the key");
    assert!(two.admit(0.0, key(2), 2), "another key is free");
    two.old.request_closed(10.0, key(1), 1);
    assert!(two.review(50.0).is_empty(), "one more is open");
    assert!(!two.admit(60.0, key(1), 3));
    two.old.request_closed(70.0, key(1), 2);
    assert_eq!(two.review(100.0), [1, 3], "in the order in which they came");
    assert!(!two.old.admit(100.0, PAUSE, key(1), 3));
}

#[test]
fn a_key_is_held_while_it_rests() {
    let mut two = Two::new();
    assert!(two.old.admit(0.0, PAUSE, key(1), 1) && !two.admit(0.0, key(1), 1));
    two.old.pause_until(key(1), 310.0);
    two.old.request_closed(10.0, key(1), 1);
    assert!(
        two.old.needs_review()
            && two.old.review(300.0, PAUSE).is_empty()
            && two.review(300.0).is_empty()
    );
    assert!(
        two.old.review(310.0, PAUSE).is_empty()
            && !two.old.needs_review()
            && two.old.entries() == 0
    );
    assert_eq!(two.review(311.0), [1]);
}

/// A request of its own that comes meanwhile goes on: the module makes it wait out the rest.
#[test]
fn a_resting_key_takes_requests_of_its_holder() {
    let mut two = Two::new();
    assert!(two.old.admit(0.0, PAUSE, key(1), 1));
    two.old.pause_until(key(1), 310.0);
    two.old.request_closed(10.0, key(1), 1);
    assert!(two.old.admit(20.0, PAUSE, key(1), 2));
    assert!(!two.old.needs_review() && two.old.review(400.0, PAUSE).is_empty());
    assert!(!two.admit(400.0, key(1), 1), "its second request is open");
}

#[rstest]
#[case::seen_first_by_a_look(true)]
#[case::seen_first_by_a_lock(false)]
fn keys_rest_after_a_process_that_died_with_one(#[case] looks: bool) {
    let mut two = Two::new();
    assert!(two.old.admit(0.0, PAUSE, key(1), 1));
    two.old_ends();
    if looks {
        assert!(two.new.borrow_mut().check_peers(1000.0, PAUSE));
    }
    assert!(!two.admit(1000.0, key(1), 1), "its attempt may still run");
    assert!(two.review(1299.0).is_empty());
    assert_eq!(two.review(1300.0), [1]);
}

#[test]
fn keys_rest_after_a_process_that_died_before_the_start() {
    let mut two = Two::new();
    assert!(two.old.admit(0.0, PAUSE, key(1), 1));
    two.old_ends();
    two.new = OrderLeases::new(Box::new(InMemory(two.shared.clone(), 1))).into();
    two.new.borrow_mut().start(1000.0, PAUSE);
    assert!(!two.admit(1299.0, key(1), 1));
    assert_eq!(two.review(1300.0), [1]);
}

#[test]
fn nothing_rests_after_a_process_that_ended_without_a_key() {
    let mut two = Two::new();
    assert!(two.old.admit(0.0, PAUSE, key(1), 1));
    two.old.request_closed(10.0, key(1), 1);
    two.old_ends();
    assert!(two.admit(20.0, key(1), 1));
}

/// Guard: requests that never cease do not keep a key from the other process.
#[test]
fn a_key_in_steady_use_goes_back_and_forth() {
    let mut two = Two::new();
    assert!(two.old.admit(0.0, PAUSE, key(1), 1) && !two.admit(0.0, key(1), 1));
    assert!(
        two.old.admit(MAX_LEASE_MS - 1.0, PAUSE, key(1), 2),
        "within its turn"
    );
    assert!(
        !two.old.admit(MAX_LEASE_MS, PAUSE, key(1), 3),
        "its turn is over"
    );
    two.old.request_closed(600.0, key(1), 1);
    two.old.request_closed(610.0, key(1), 2);
    assert!(
        two.old.review(650.0, PAUSE).is_empty(),
        "it leaves the key alone for a while"
    );
    assert_eq!(two.review(650.0), [1]);
    two.new.borrow_mut().request_closed(700.0, key(1), 1);
    assert_eq!(two.old.review(610.0 + REACQUIRE_DELAY_MS, PAUSE), [3]);
}

#[test]
fn a_key_in_steady_use_stays_where_no_other_process_lives() {
    let mut two = Two::new();
    two.old_ends();
    two.new.borrow_mut().check_peers(0.0, PAUSE);
    assert!(two.admit(0.0, key(1), 1) && two.admit(10.0 * MAX_LEASE_MS, key(1), 2));
}

#[test]
fn a_waiting_request_that_is_over_is_forgotten() {
    let mut two = Two::new();
    assert!(two.old.admit(0.0, PAUSE, key(1), 1));
    assert!(!two.admit(0.0, key(1), 1) && !two.admit(0.0, key(1), 2));
    two.new.borrow_mut().request_closed(10.0, key(1), 1);
    two.old.request_closed(20.0, key(1), 1);
    assert_eq!(two.review(50.0), [2]);
    two.new.borrow_mut().request_closed(60.0, key(1), 2);
    assert!(
        !two.new.borrow().needs_review()
            && two.new.borrow().entries() == 0
            && two.old.entries() == 0
    );
}

//! Tests of the connection slots.

use super::*;
use crate::limits::PeerUse;
use futures::FutureExt;
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Wake, Waker};
use tokio::time::Instant;

fn limits() -> Arc<Limits> {
    let (core, _) = crate::core::Handle::new(1, Default::default());
    crate::engines::EngineContext::for_tests(core).limits
}

fn slots(capacity: usize, limits: &Arc<Limits>) -> Arc<ConnectionSlots> {
    let limit = SharedLimit::new(limits, capacity);
    ConnectionSlots::new(limit, limits, Arc::default())
}

/// Draining asks a connection to close if it has sent a call and has no open request, and asks no
/// other.
#[test]
fn draining_asks_only_idle_connections_that_have_called_to_close() {
    let slots = slots(8, &limits());
    let [idle, busy, without_call] = [(); 3].map(|()| slots.take_slot());
    idle.record_call();
    busy.request_opened();
    let asked = |slot: &ConnectionSlot| slot.asked_to_close().now_or_never().is_some();
    slots.set_draining(true);
    assert!(asked(&idle) && !asked(&busy) && !asked(&without_call));
    busy.request_closed();
    assert!(
        asked(&busy) && !asked(&busy),
        "the connection is asked to close once, after its last request has ended"
    );
    busy.request_opened();
    busy.withdraw_close_request();
    slots.set_draining(false);
    busy.request_closed();
    assert!(
        !asked(&busy),
        "the connection is not asked to close after draining has stopped"
    );
}

/// Guards against a listener that goes on waiting although the end of the peer process has raised
/// its share (review case 9).
#[test]
fn the_end_of_the_peer_process_wakes_a_listener_without_a_slot() {
    let limits = limits();
    limits.set_peer_use(PeerUse::Share);
    let slots = slots(10, &limits);
    let held = [(); 4].map(|()| slots.take_slot());
    held.iter().for_each(ConnectionSlot::request_opened);
    let mut waiting = pin!(slots.accepting_allowed());
    let is_woken = Arc::new(WakeFlag::default());
    let waker = Waker::from(is_woken.clone());
    let mut context = Context::from_waker(&waker);
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    limits.set_peer_use(PeerUse::Nothing);
    assert!(is_woken.0.load(Ordering::Relaxed), "the wait is not woken");
    assert!(waiting.as_mut().poll(&mut context).is_ready());
}

/// Guards against clients that connect at the same time and evict each other before their first
/// requests can arrive, so that no request is answered.
#[tokio::test(start_paused = true)]
async fn a_new_connection_is_not_evicted_before_its_first_call_can_arrive() {
    let limits = limits();
    let slots = slots(3, &limits);
    let started_at = Instant::now();
    let new = [(); 3].map(|()| slots.take_slot());
    let is_evicted = |slot: &ConnectionSlot| slot.asked_to_close().now_or_never().is_some();
    assert!(!new.iter().any(is_evicted));
    slots.accepting_allowed().await;
    assert!(started_at.elapsed() >= limits.first_call_grace);
    let _next = slots.take_slot();
    let evicted = new.iter().filter(|slot| is_evicted(slot)).count();
    assert_eq!(evicted, 1);
}

/// Set when the task is woken.
#[derive(Default)]
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

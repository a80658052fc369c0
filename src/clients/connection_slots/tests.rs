//! Tests of the connection slots.

use super::*;
use futures::FutureExt;
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Wake, Waker};

fn limits() -> Arc<Limits> {
    let (core, _) = crate::core::Handle::new(1, Default::default());
    crate::engines::EngineContext::for_tests(core).limits
}

/// Draining asks a connection to close if it has sent a call and has no open request, and asks no
/// other.
#[test]
fn draining_asks_only_idle_connections_that_have_called_to_close() {
    let slots = ConnectionSlots::new(8, &limits(), Arc::default());
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
fn a_wait_for_a_slot_ends_when_the_peer_process_ends() {
    let limits = limits();
    limits.set_peer_process(true);
    let slots = ConnectionSlots::new(10, &limits, Arc::default());
    let held = [(); 4].map(|()| slots.take_slot());
    held.iter().for_each(ConnectionSlot::request_opened);
    let mut waiting = pin!(slots.wait_for_slot());
    let is_woken = Arc::new(WakeFlag::default());
    let waker = Waker::from(is_woken.clone());
    let mut context = Context::from_waker(&waker);
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    limits.set_peer_process(false);
    assert!(is_woken.0.load(Ordering::Relaxed), "the wait is not woken");
    assert!(waiting.as_mut().poll(&mut context).is_ready());
}

/// Set when the task is woken.
#[derive(Default)]
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

//! Tests of the connection slots.

use super::*;
use futures::FutureExt;

/// Draining asks a connection to close if it has sent a call and has no open request, and asks no
/// other.
#[test]
fn draining_asks_only_idle_connections_that_have_called_to_close() {
    let limits =
        crate::engines::EngineContext::for_tests(crate::core::Handle::new(1, Default::default()).0)
            .limits;
    let slots = ConnectionSlots::new(8, limits, Arc::default());
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

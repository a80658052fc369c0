//! Tests of this module.

use super::*;
use futures::FutureExt;

/// Guard: a drain sends away who has been served and has nothing open, on either front, and nobody else.
#[test]
fn a_drain_asks_those_that_idle() {
    let limits =
        crate::engines::EngineContext::for_tests(crate::core::Handle::new(1, Default::default()).0)
            .limits;
    let slots = Slots::new(8, limits, Arc::default());
    let [idle, busy, stranger] = [(); 3].map(|()| slots.take());
    idle.speaks();
    busy.opened();
    let asked = |slot: &Slot| slot.asked_to_leave().now_or_never().is_some();
    slots.drain(true);
    assert!(asked(&idle) && !asked(&busy) && !asked(&stranger));
    busy.closed();
    assert!(
        asked(&busy) && !asked(&busy),
        "once, as its last answer is out"
    );
    busy.opened();
    busy.stays();
    slots.drain(false);
    busy.closed();
    assert!(!asked(&busy), "not after the drain");
}

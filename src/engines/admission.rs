//! Whether an engine may be sent new attempts.
//!
//! Owned by the engine's entry in the fleet, and shared with the engine's actor and its connections, which read it
//! just before they write an attempt. So a draining or an ejection takes effect at once, even where the message that
//! announces it waits in a mailbox or was dropped because the mailbox was full.

use std::sync::atomic::{AtomicBool, Ordering};

/// The two independent reasons for which an engine takes no new attempts.
///
/// Relaxed ordering is enough: each flag stands for itself and publishes no other data, and all readers run on the
/// runtime's one thread.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    manually_ejected: AtomicBool,
    not_ready: AtomicBool,
}

impl Admission {
    /// Records that on-call staff ejected the engine, or restored it.
    pub(crate) fn set_manually_ejected(&self, ejected: bool) {
        self.manually_ejected.store(ejected, Ordering::Relaxed);
    }

    /// Records whether the endpoint list names the engine as anything but ready: draining, or removed.
    pub(crate) fn set_not_ready(&self, not_ready: bool) {
        self.not_ready.store(not_ready, Ordering::Relaxed);
    }

    /// Whether the engine takes no new attempts.
    pub(crate) fn is_closed(&self) -> bool {
        self.manually_ejected.load(Ordering::Relaxed) || self.not_ready.load(Ordering::Relaxed)
    }
}

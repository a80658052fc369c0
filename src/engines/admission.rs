//! Whether new attempts may be sent to an engine.
//!
//! The engine's entry in the fleet shares this state with the engine's actor and its connections,
//! which read it right before they write an attempt. So draining and manual ejection take effect at
//! once, even if the message about them is still queued, or was dropped because the mailbox was
//! full.

use std::sync::atomic::{AtomicBool, Ordering};

/// The two independent reasons for which no new attempts may be sent to an engine.
///
/// Relaxed ordering is enough: each flag is independent of the other and guards no other memory,
/// and all readers run on the single thread of the runtime.
#[derive(Debug, Default)]
pub(crate) struct AttemptAdmission {
    manually_ejected: AtomicBool,
    not_ready: AtomicBool,
}

impl AttemptAdmission {
    /// Records that the on-call staff ejected the engine (true) or returned it to service (false).
    pub(crate) fn set_manually_ejected(&self, ejected: bool) {
        self.manually_ejected.store(ejected, Ordering::Relaxed);
    }

    /// Records whether the engine's state in the endpoint list is other than ready: draining or
    /// removed.
    pub(crate) fn set_not_ready(&self, not_ready: bool) {
        self.not_ready.store(not_ready, Ordering::Relaxed);
    }

    /// Whether no new attempts may be sent to the engine.
    pub(crate) fn is_closed(&self) -> bool {
        self.manually_ejected.load(Ordering::Relaxed) || self.not_ready.load(Ordering::Relaxed)
    }
}

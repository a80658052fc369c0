//! Whether an engine may be sent new attempts.

use std::sync::atomic::{AtomicBool, Ordering};

/// Shared by an engine's actor and its connections, and read before each attempt is written: what the list and staff
/// say takes effect at once, also where the orders that carry it wait in a mailbox, or find it full.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    banned: AtomicBool,
    drained: AtomicBool,
}

impl Admission {
    /// Staff took the engine out, or gave it back.
    pub(crate) fn ban(&self, out: bool) {
        self.banned.store(out, Ordering::Relaxed);
    }

    /// The list says that it drains or is gone, or that it is ready.
    pub(crate) fn drain(&self, out: bool) {
        self.drained.store(out, Ordering::Relaxed);
    }

    /// Whether nothing new may go there.
    pub(crate) fn closed(&self) -> bool {
        self.banned.load(Ordering::Relaxed) || self.drained.load(Ordering::Relaxed)
    }
}

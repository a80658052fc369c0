//! Whether an engine takes anything new.

use std::sync::atomic::{AtomicBool, Ordering};

/// Shared by an engine's actor and its connections, and read before each attempt is written: the words of the list and
/// of staff hold at once, also where the orders that carry them wait in a mailbox, or find it full.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    banned: AtomicBool,
    drained: AtomicBool,
}

impl Gate {
    /// Staff took the engine out, or gave it back.
    pub(crate) fn ban(&self, out: bool) {
        self.banned.store(out, Ordering::Relaxed);
    }

    /// The list says that it drains or is gone, or that it is ready.
    pub(crate) fn drain(&self, out: bool) {
        self.drained.store(out, Ordering::Relaxed);
    }

    /// Whether nothing new may go there.
    pub(crate) fn shut(&self) -> bool {
        self.banned.load(Ordering::Relaxed) || self.drained.load(Ordering::Relaxed)
    }
}

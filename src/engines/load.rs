//! What one connection to an engine carries, and when its engine was last heard of on it.

use crate::limits::Limits;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Attempts that a connection carries: all, and those that may run once only.
#[derive(Debug, Default)]
pub(super) struct Load {
    all: AtomicUsize,
    once: AtomicUsize,
    /// Unix time in ms of its last answer; 0 before the first.
    pub(super) heard: AtomicU64,
    /// Unix time in ms since which it has carried any.
    busy: AtomicU64,
    /// It gives its descriptor up: nothing more goes on it.
    leaving: AtomicBool,
}

impl Load {
    pub(super) fn add(&self, once: bool, now: f64) {
        // What was given up unheard leaves the clock running: the next one would be as unheard.
        let (heard, busy) = (
            self.heard.load(Ordering::Relaxed),
            self.busy.load(Ordering::Relaxed),
        );
        if self.all.fetch_add(1, Ordering::Relaxed) == 0 && (busy == 0 || heard >= busy) {
            self.busy.store(now as u64, Ordering::Relaxed);
        }
        self.once.fetch_add(usize::from(once), Ordering::Relaxed);
    }

    pub(super) fn take_off(&self, once: bool) {
        self.all.fetch_sub(1, Ordering::Relaxed);
        self.once.fetch_sub(usize::from(once), Ordering::Relaxed);
    }

    /// Whether it carries nothing.
    pub(super) fn idle(&self) -> bool {
        self.all.load(Ordering::Relaxed) == 0
    }

    /// Unix time in ms at which it last began to carry anything, or was heard of.
    pub(super) fn last(&self) -> u64 {
        self.heard
            .load(Ordering::Relaxed)
            .max(self.busy.load(Ordering::Relaxed))
    }

    /// It is to give its descriptor up.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(super) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(super) fn now(&self) -> (usize, usize) {
        (
            self.all.load(Ordering::Relaxed),
            self.once.load(Ordering::Relaxed),
        )
    }

    /// Whether what it carries should have been heard of by now, if only by a note. Guard: a machine that vanished
    /// leaves its connections open and silent; only a new one, which never comes up, tells that it has.
    pub(super) fn mute(&self, now: f64, limits: &Limits) -> bool {
        self.now().0 > 0 && now - self.last() as f64 > limits.connection_silent_ms
    }

    /// Whether it answered so lately that it can be relied on.
    pub(super) fn proven(&self, now: f64, limits: &Limits) -> bool {
        now - self.heard.load(Ordering::Relaxed) as f64 <= limits.connection_proven_ms
    }
}

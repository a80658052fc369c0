//! What one connection to an engine carries, and when its engine last answered on it.
//!
//! Shared by the connection's actor, its engine's actor, which chooses among connections by it, and the table of
//! connection slots, which looks for an idle one to evict.

use crate::core::AttemptRequest;
use crate::decision::{Idempotency, Millis};
use crate::limits::Limits;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// How an attempt would like to use a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// A connection of its own: the attempt is non-idempotent, and a fault of another attempt must not end it.
    Exclusive,
    /// A connection together with others.
    Shared,
}

impl ConnectionUse {
    /// The use that fits this attempt.
    pub(super) fn of(attempt: &AttemptRequest) -> ConnectionUse {
        match attempt.class.class.idempotency {
            Idempotency::NonIdempotent => ConnectionUse::Exclusive,
            Idempotency::Idempotent | Idempotency::WithKey(_) => ConnectionUse::Shared,
        }
    }
}

/// Number of attempts that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptCounts {
    /// All of them.
    pub(super) all: usize,
    /// Those that would like the connection to themselves.
    pub(super) exclusive: usize,
}

/// The load of one connection.
///
/// Relaxed ordering is enough: all readers and writers run on the runtime's one thread; the atomics serve to share
/// the counters among tasks that have to be `Send`.
#[derive(Debug, Default)]
pub(super) struct ConnectionLoad {
    attempts: AtomicUsize,
    exclusive_attempts: AtomicUsize,
    /// Unix time in ms of the last answer; 0 before the first.
    last_answer_ms: AtomicU64,
    /// Unix time in ms since which attempts have been in flight without a break; 0 before the first.
    busy_since_ms: AtomicU64,
    /// The connection was evicted: it takes no further attempts.
    evicted: AtomicBool,
}

impl ConnectionLoad {
    /// Counts one more attempt.
    pub(super) fn begin_attempt(&self, usage: ConnectionUse, now_ms: Millis) {
        let last_answer_ms = self.last_answer_ms();
        let busy_since_ms = self.busy_since_ms.load(Ordering::Relaxed);
        // Attempts that were cancelled without an answer leave the clock running: the engine may be unreachable.
        let answered_since_busy = busy_since_ms == 0 || last_answer_ms >= busy_since_ms;
        if self.attempts.fetch_add(1, Ordering::Relaxed) == 0 && answered_since_busy {
            self.busy_since_ms.store(now_ms as u64, Ordering::Relaxed);
        }
        if usage == ConnectionUse::Exclusive {
            self.exclusive_attempts.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts an attempt off that was begun with the same use.
    pub(super) fn end_attempt(&self, usage: ConnectionUse) {
        self.attempts.fetch_sub(1, Ordering::Relaxed);
        if usage == ConnectionUse::Exclusive {
            self.exclusive_attempts.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Records an answer of the engine on this connection.
    pub(super) fn record_answer(&self, now_ms: Millis) {
        self.last_answer_ms.store(now_ms as u64, Ordering::Relaxed);
    }

    /// Unix time in ms of the last answer; 0 before the first.
    pub(super) fn last_answer_ms(&self) -> u64 {
        self.last_answer_ms.load(Ordering::Relaxed)
    }

    /// Whether no attempt is on it.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.load(Ordering::Relaxed) == 0
    }

    /// Unix time in ms at which it last became busy, or had an answer.
    pub(super) fn last_activity_ms(&self) -> u64 {
        self.last_answer_ms()
            .max(self.busy_since_ms.load(Ordering::Relaxed))
    }

    /// Marks the connection as evicted.
    pub(super) fn mark_evicted(&self) {
        self.evicted.store(true, Ordering::Relaxed);
    }

    /// Whether the connection was evicted.
    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }

    /// The attempts that it carries now.
    pub(super) fn counts(&self) -> AttemptCounts {
        AttemptCounts {
            all: self.attempts.load(Ordering::Relaxed),
            exclusive: self.exclusive_attempts.load(Ordering::Relaxed),
        }
    }

    /// Whether an answer is overdue, counting progress reports as answers. The connections of a machine that vanished
    /// stay open and silent; only a new connection, which never comes up, shows the fault.
    pub(super) fn is_answer_overdue(&self, now_ms: Millis, limits: &Limits) -> bool {
        !self.is_idle() && now_ms - self.last_activity_ms() as f64 > limits.connection_silent_ms
    }

    /// Whether the last answer is so recent that the connection can be relied on.
    pub(super) fn answered_recently(&self, now_ms: Millis, limits: &Limits) -> bool {
        now_ms - self.last_answer_ms() as f64 <= limits.connection_proven_ms
    }
}

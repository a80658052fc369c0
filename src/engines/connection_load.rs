//! The attempts on one connection to an engine, and the time of the engine's last answer on it.
//!
//! Shared by the connection's actor, by the engine's actor, which chooses among its connections,
//! and by the table of connection slots, which evicts idle connections.

use crate::core::AttemptRequest;
use crate::decision::{Idempotency, Millis};
use crate::limits::Limits;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// How an attempt uses a connection, as far as there are enough connection slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// A connection of its own: the attempt is non-idempotent, and a fault of another attempt must
    /// not end it.
    Exclusive,
    /// A connection that other attempts use too.
    Shared,
}

impl ConnectionUse {
    /// Returns the use for this attempt, by the idempotency of its class.
    pub(super) fn of(attempt: &AttemptRequest) -> ConnectionUse {
        match attempt.class.class.idempotency {
            Idempotency::NonIdempotent => ConnectionUse::Exclusive,
            Idempotency::Idempotent | Idempotency::WithKey(_) => ConnectionUse::Shared,
        }
    }
}

/// The number of attempts on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptCounts {
    /// All attempts.
    pub(super) all: usize,
    /// Attempts with [`ConnectionUse::Exclusive`].
    pub(super) exclusive: usize,
}

/// The load of one connection.
///
/// Relaxed ordering is enough: all readers and writers run on the single thread of the runtime. The
/// counters are atomic only because the tasks that share them have to be `Send`.
#[derive(Debug, Default)]
pub(super) struct ConnectionLoad {
    attempts: AtomicUsize,
    exclusive_attempts: AtomicUsize,
    /// Unix time in ms of the last answer; 0 before the first answer.
    last_answer_ms: AtomicU64,
    /// Unix time in ms at which the connection last became busy; 0 before the first attempt. It is
    /// not updated if the engine has not answered since then.
    busy_since_ms: AtomicU64,
    /// Whether the connection was evicted and gets no further attempts.
    evicted: AtomicBool,
}

impl ConnectionLoad {
    /// Counts an attempt that starts.
    pub(super) fn begin_attempt(&self, usage: ConnectionUse, now_ms: Millis) {
        let last_answer_ms = self.last_answer_ms();
        let busy_since_ms = self.busy_since_ms.load(Ordering::Relaxed);
        // If the earlier attempts were cancelled without an answer, the time is kept: the engine
        // may be unreachable.
        let answered_since_busy = busy_since_ms == 0 || last_answer_ms >= busy_since_ms;
        if self.attempts.fetch_add(1, Ordering::Relaxed) == 0 && answered_since_busy {
            self.busy_since_ms.store(now_ms as u64, Ordering::Relaxed);
        }
        if usage == ConnectionUse::Exclusive {
            self.exclusive_attempts.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts the end of an attempt that was started with the same use.
    pub(super) fn end_attempt(&self, usage: ConnectionUse) {
        self.attempts.fetch_sub(1, Ordering::Relaxed);
        if usage == ConnectionUse::Exclusive {
            self.exclusive_attempts.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Records the time of an answer of the engine on this connection.
    pub(super) fn record_answer(&self, now_ms: Millis) {
        self.last_answer_ms.store(now_ms as u64, Ordering::Relaxed);
    }

    /// Unix time in ms of the last answer; 0 before the first answer.
    pub(super) fn last_answer_ms(&self) -> u64 {
        self.last_answer_ms.load(Ordering::Relaxed)
    }

    /// Whether the connection carries no attempt.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.load(Ordering::Relaxed) == 0
    }

    /// Unix time in ms at which the connection last became busy or received an answer, whichever is
    /// later; 0 before both.
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

    /// The number of attempts that the connection carries now.
    pub(super) fn counts(&self) -> AttemptCounts {
        AttemptCounts {
            all: self.attempts.load(Ordering::Relaxed),
            exclusive: self.exclusive_attempts.load(Ordering::Relaxed),
        }
    }

    /// Whether an answer is overdue, where a progress report counts as an answer. If the engine's
    /// machine fails without closing its connections, they stay open without answers; only a new
    /// connection, which is never established, reveals the fault.
    pub(super) fn is_answer_overdue(&self, now_ms: Millis, limits: &Limits) -> bool {
        !self.is_idle() && now_ms - self.last_activity_ms() as f64 > limits.connection_silent_ms
    }

    /// Whether the last answer is so recent that the connection is assumed to work.
    pub(super) fn answered_recently(&self, now_ms: Millis, limits: &Limits) -> bool {
        now_ms - self.last_answer_ms() as f64 <= limits.recent_answer_ms
    }
}

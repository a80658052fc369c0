//! The times at which a connection has to act even though no event occurs on it.

use tokio::time::Instant;

/// The timers of one connection. A timer that does not run is `None`.
pub(super) struct Timers {
    /// When the connection has been idle for long enough to be closed.
    pub(super) idle: Option<Instant>,
    /// When the grace period for open attempts is over. It starts if the engine is removed from the
    /// endpoint list or the mailbox is closed.
    pub(super) grace_period: Option<Instant>,
    /// When the rest of an incomplete answer must have arrived.
    pub(super) partial_answer: Option<Instant>,
    /// When a cancellation must have been written and confirmed.
    pub(super) cancellation: Option<Instant>,
    /// When the next page of a result must have arrived.
    pub(super) page: Option<Instant>,
}

impl Timers {
    /// The time of the timer that is due first.
    pub(super) fn first(&self) -> Option<Instant> {
        let all = [
            self.idle,
            self.grace_period,
            self.partial_answer,
            self.cancellation,
            self.page,
        ];
        all.into_iter().flatten().min()
    }
}

/// Whether this timer runs and is due.
pub(super) fn is_due(timer: Option<Instant>, now: Instant) -> bool {
    timer.is_some_and(|due_at| due_at <= now)
}

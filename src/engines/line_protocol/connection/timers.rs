//! The times at which a connection to an engine has to act although nothing happens on it.

use tokio::time::Instant;

/// The timers of one connection; each is none where it does not run.
pub(super) struct Timers {
    /// The connection has been idle for long enough to be closed.
    pub(super) idle: Option<Instant>,
    /// The engine was removed from the endpoint list, and the grace for its open attempts is over.
    pub(super) removal: Option<Instant>,
    /// An answer stopped short.
    pub(super) partial_answer: Option<Instant>,
    /// A cancellation was not written, or not confirmed.
    pub(super) cancellation: Option<Instant>,
    /// The next page of a result did not come.
    pub(super) page: Option<Instant>,
}

impl Timers {
    /// The first that is due.
    pub(super) fn first(&self) -> Option<Instant> {
        let all = [
            self.idle,
            self.removal,
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

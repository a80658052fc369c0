//! The states of an attempt, from the decision to send it to its confirmed end.
//!
//! Sans-I/O: the actor that talks to an engine records in an [`AttemptState`] what was queued and
//! written, what the engine answered, and that the connection closed. The core keeps the
//! [`AttemptHistory`] of each request and allows a further attempt only once the end of the
//! previous one is confirmed. `docs/ends.md` has the table of all ends.

mod history;

pub use history::{AttemptHistory, Cancellation, InFlight, RetryDenied, SentTo};

use crate::decision::Outcome;

/// How an attempt ended. After each of these ends the attempt no longer runs on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No engine received the complete attempt.
    NeverSent,
    /// The engine reported that the attempt did not run.
    Rejected,
    /// The engine reported how the attempt ended.
    Answered,
    /// The cancellation of the attempt was sent. If a retry may follow, the engine has also
    /// confirmed the cancellation.
    Cancelled,
    /// The connection closed after the engine had received the complete attempt. The engine cancels
    /// the attempts of a closed connection.
    ConnectionLost,
}

impl AttemptEnd {
    /// Whether the engine may have run the attempt, in whole or in part.
    pub fn may_have_run(self) -> bool {
        !matches!(self, AttemptEnd::NeverSent | AttemptEnd::Rejected)
    }
}

/// Whether an outcome proves that the attempt did not run.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent | Outcome::NoConnectionSlot
    )
}

/// The outcome of an attempt that ended with `reported` although its engine had begun to run it.
///
/// A refusal proves that an attempt never ran only if nothing came from the engine before it: an
/// attempt can consist of several calls, and an engine can report progress, so the refusal may
/// concern a later part of an attempt that has run.
pub fn outcome_after_start(reported: Outcome) -> Outcome {
    match reported {
        // The connection was lost between two parts of the attempt.
        Outcome::NoConnection => Outcome::Reset,
        Outcome::Rejected | Outcome::NotSent | Outcome::NoConnectionSlot => Outcome::Error,
        Outcome::Ok | Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
            reported
        }
    }
}

/// The phase of an attempt.
///
/// A mark is a position in the output of a connection, in the unit of its protocol, such as bytes.
/// A message is written once the connection has written up to the message's end mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No part of the attempt has been handed to a connection.
    Queued,
    /// The attempt is sent once the connection has written up to `end_mark`.
    Writing { end_mark: u64 },
    /// The complete attempt was sent to the engine.
    Sent,
    /// The engine has started to report the result, which remains to be forwarded.
    ResultReceived,
    /// The cancellation of the attempt is queued and not yet written.
    Cancelling {
        /// End mark of the attempt itself.
        end_mark: u64,
        /// End mark of the cancellation.
        cancellation_mark: u64,
        /// Whether the engine has to confirm that it has read the cancellation.
        needs_confirmation: bool,
    },
    /// The cancellation was sent, and the engine has not confirmed it.
    CancellationUnconfirmed,
    /// The attempt has ended.
    Ended,
}

/// The state of one attempt, kept by the actor that talks to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptState(Phase);

impl Default for AttemptState {
    fn default() -> Self {
        AttemptState(Phase::Queued)
    }
}

impl AttemptState {
    /// Records that the attempt is queued for writing and ends at `end_mark`.
    pub fn begin_writing(&mut self, end_mark: u64) {
        if self.0 == Phase::Queued {
            self.0 = Phase::Writing { end_mark };
        }
    }

    /// Records that the connection has written up to the mark `written`. Returns the end of the
    /// attempt if this completes a cancellation that needs no confirmation.
    pub fn wrote(&mut self, written: u64) -> Option<AttemptEnd> {
        match self.0 {
            Phase::Writing { end_mark } if end_mark <= written => self.0 = Phase::Sent,
            Phase::Cancelling {
                cancellation_mark,
                needs_confirmation,
                ..
            } if cancellation_mark <= written => {
                if !needs_confirmation {
                    return self.end(AttemptEnd::Cancelled);
                }
                self.0 = Phase::CancellationUnconfirmed;
            }
            _ => {}
        }
        None
    }

    /// Whether the attempt is being cancelled.
    pub fn is_cancelling(&self) -> bool {
        matches!(
            self.0,
            Phase::Cancelling { .. } | Phase::CancellationUnconfirmed
        )
    }

    /// Records the engine's confirmation that it has read everything up to the cancellation. It is
    /// not enough to write the cancellation: engines read connections in any order, so a retry on
    /// another connection could be read before the cancellation.
    pub fn cancellation_confirmed(&mut self) -> Option<AttemptEnd> {
        if matches!(
            self.0,
            Phase::Cancelling {
                needs_confirmation: true,
                ..
            } | Phase::CancellationUnconfirmed
        ) {
            self.end(AttemptEnd::Cancelled)
        } else {
            None
        }
    }

    /// Whether the engine has started to report the result of the attempt.
    pub fn has_result(&self) -> bool {
        self.0 == Phase::ResultReceived
    }

    /// Cancels the attempt. Returns the end if there is nothing to wait for. `queue_cancellation`
    /// queues the cancellation for the engine and returns its end mark. It is called if the engine
    /// has received the attempt or may still receive it. If a retry may follow, the engine has to
    /// confirm the cancellation.
    pub fn cancel(
        &mut self,
        retry_may_follow: bool,
        queue_cancellation: impl FnOnce() -> u64,
    ) -> Option<AttemptEnd> {
        match self.0 {
            Phase::Queued => self.end(AttemptEnd::NeverSent),
            // The engine has finished the attempt; the message only frees its buffered result.
            Phase::ResultReceived => {
                queue_cancellation();
                self.end(AttemptEnd::Answered)
            }
            Phase::Writing { end_mark } => {
                self.0 = Phase::Cancelling {
                    end_mark,
                    cancellation_mark: queue_cancellation(),
                    needs_confirmation: retry_may_follow,
                };
                None
            }
            Phase::Sent => {
                self.0 = Phase::Cancelling {
                    end_mark: 0,
                    cancellation_mark: queue_cancellation(),
                    needs_confirmation: retry_may_follow,
                };
                None
            }
            Phase::Cancelling { .. } | Phase::CancellationUnconfirmed | Phase::Ended => None,
        }
    }

    /// Records that the engine starts to report a result. Returns false, and changes nothing, if
    /// the attempt is queued, is being cancelled, has a result already or has ended.
    pub fn begin_result(&mut self) -> bool {
        let is_expected = matches!(self.0, Phase::Writing { .. } | Phase::Sent);
        if is_expected {
            self.0 = Phase::ResultReceived;
        }
        is_expected
    }

    /// Records that the engine reported the end of the attempt and whether it may have run.
    pub fn answered(&mut self, may_have_run: bool) -> AttemptEnd {
        self.0 = Phase::Ended;
        if may_have_run {
            AttemptEnd::Answered
        } else {
            AttemptEnd::Rejected
        }
    }

    /// Records that the connection closed after it had written up to the mark `written`.
    pub fn connection_closed(&mut self, written: u64) -> AttemptEnd {
        let end = match self.0 {
            Phase::Queued => AttemptEnd::NeverSent,
            Phase::Writing { end_mark } | Phase::Cancelling { end_mark, .. }
                if written < end_mark =>
            {
                AttemptEnd::NeverSent
            }
            Phase::ResultReceived | Phase::Ended => AttemptEnd::Answered,
            Phase::Writing { .. }
            | Phase::Sent
            | Phase::Cancelling { .. }
            | Phase::CancellationUnconfirmed => AttemptEnd::ConnectionLost,
        };
        self.0 = Phase::Ended;
        end
    }

    fn end(&mut self, end: AttemptEnd) -> Option<AttemptEnd> {
        self.0 = Phase::Ended;
        Some(end)
    }
}

#[cfg(test)]
mod tests;

//! The states of an attempt, from the decision to send it to its confirmed end.
//!
//! Sans-I/O: the actor that talks to an engine records in an [`AttemptState`] what was queued and
//! written, what the engine answered, and that the connection closed. The core keeps the
//! [`AttemptHistory`] of each request and allows a further attempt only once the end of the
//! previous one is confirmed. `docs/ends.md` has the table of all ends.

use crate::decision::{EngineId, Millis, Outcome};

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

/// Where and when an attempt was sent. The zone or cell and the time identify the group of engines
/// that drop a duplicate of the attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentTo {
    /// The zone of its engine.
    pub zone: u8,
    /// The cell of its engine.
    pub cell: u16,
    /// When it was sent, in Unix ms.
    pub sent_at_ms: Millis,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlight {
    /// Number of the attempt within its request, from 0.
    pub number: u16,
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// When it was sent, and the zone and cell of its engine.
    pub sent_to: SentTo,
    /// When its engine last reported anything about it, in Unix ms.
    pub last_report_ms: Millis,
    /// Its cancellation, or `None` if it is not being cancelled.
    pub cancellation: Option<Cancellation>,
}

/// The cancellation of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cancellation {
    /// When the cancellation started, in Unix ms.
    pub since_ms: Millis,
    /// The outcome of the attempt once its end is confirmed.
    pub outcome: Outcome,
}

/// Why no further attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDenied {
    /// Another attempt is in flight, or its end is not confirmed.
    AttemptInFlight,
    /// The request is non-idempotent and may have run.
    MayHaveRun,
    /// The limit on attempts is reached.
    AttemptsExhausted,
}

/// The attempts of one request, and whether one of them may have run.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    attempts_made: u16,
    /// Attempts among these that do not count towards the limit.
    uncounted: u16,
    in_flight: Option<InFlight>,
    ended_may_have_run: bool,
    /// The first ended attempt that may have run.
    first_possible_run: Option<SentTo>,
}

impl AttemptHistory {
    /// Returns the attempt in flight, if there is one.
    pub fn in_flight(&self) -> Option<&InFlight> {
        self.in_flight.as_ref()
    }

    /// Returns the attempt in flight if it has this number and, if one is given, this engine.
    pub fn in_flight_matching(
        &mut self,
        number: u16,
        engine: Option<EngineId>,
    ) -> Option<&mut InFlight> {
        self.in_flight.as_mut().filter(|attempt| {
            attempt.number == number && engine.is_none_or(|expected| expected == attempt.engine)
        })
    }

    /// Returns the count of attempts that got a number, including denied ones.
    pub fn attempts_made(&self) -> u16 {
        self.attempts_made
    }

    /// Returns the count of attempts that count towards the limit. Attempts that ended because
    /// there was no free connection slot do not count.
    pub fn attempts_counted(&self) -> u16 {
        self.attempts_made.saturating_sub(self.uncounted)
    }

    /// Excludes the last attempt from the count towards the limit.
    pub fn exclude_last_from_count(&mut self) {
        self.uncounted = self.uncounted.saturating_add(1);
    }

    /// Whether any attempt may have run, including the one in flight.
    pub fn may_have_run(&self) -> bool {
        self.ended_may_have_run || self.in_flight.is_some()
    }

    /// Whether an ended attempt may have run.
    pub fn ended_may_have_run(&self) -> bool {
        self.ended_may_have_run
    }

    /// Returns where and when the first ended attempt that may have run was sent.
    pub fn first_possible_run(&self) -> Option<SentTo> {
        self.first_possible_run
    }

    /// Returns the number of the next attempt, from 0. `resend_allowed` is whether an attempt may
    /// follow another one that may have run. A denied attempt is numbered and counted as well.
    ///
    /// # Errors
    ///
    /// The reason why the attempt may not be sent.
    pub fn next_attempt(
        &mut self,
        resend_allowed: bool,
        max_attempts: u32,
    ) -> Result<u16, RetryDenied> {
        let number = self.attempts_made;
        self.attempts_made = self.attempts_made.saturating_add(1);
        match self {
            AttemptHistory {
                in_flight: Some(_), ..
            } => Err(RetryDenied::AttemptInFlight),
            AttemptHistory {
                ended_may_have_run: true,
                ..
            } if !resend_allowed => Err(RetryDenied::MayHaveRun),
            _ if u32::from(self.attempts_counted()) > max_attempts => {
                Err(RetryDenied::AttemptsExhausted)
            }
            _ => Ok(number),
        }
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, number: u16, engine: EngineId, sent: SentTo) {
        self.in_flight = Some(InFlight {
            number,
            engine,
            sent_to: sent,
            last_report_ms: sent.sent_at_ms,
            cancellation: None,
        });
    }

    /// Records that the attempt in flight is being cancelled and will end with `outcome`. Returns
    /// `None` if no attempt is in flight or it is already being cancelled.
    pub fn begin_cancellation(&mut self, now: Millis, outcome: Outcome) -> Option<InFlight> {
        let in_flight = self
            .in_flight
            .as_mut()
            .filter(|attempt| attempt.cancellation.is_none())?;
        in_flight.cancellation = Some(Cancellation {
            since_ms: now,
            outcome,
        });
        Some(*in_flight)
    }

    /// Records the confirmed end of the attempt with this number. Returns `None` if that attempt is
    /// not in flight.
    pub fn record_end(&mut self, number: u16, may_have_run: bool) -> Option<InFlight> {
        let in_flight = self.in_flight.take_if(|attempt| attempt.number == number)?;
        self.ended_may_have_run |= may_have_run;
        self.first_possible_run = self
            .first_possible_run
            .or(may_have_run.then_some(in_flight.sent_to));
        Some(in_flight)
    }

    /// Records that part of a result was sent to the client, so that the request counts as one that
    /// may have run.
    pub fn record_partial_result(&mut self) {
        self.ended_may_have_run = true;
    }
}

#[cfg(test)]
mod tests;

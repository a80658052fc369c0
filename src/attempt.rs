//! The states of an attempt, from the decision to send it to its confirmed end. Sans-I/O: the actor that talks to an
//! engine records in an [`AttemptState`] what was queued, written, answered and closed. The core keeps the
//! [`AttemptHistory`] of each request and allows a further attempt only once the end of the one before is confirmed.
//! `docs/ends.md` has the table of all ends.

use crate::decision::{EngineId, Millis, Outcome};

/// How an attempt ended. After none of these ends it still runs at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No engine ever had it completely.
    NeverSent,
    /// The engine reported that it never ran.
    Rejected,
    /// The engine reported how it ended.
    Answered,
    /// Its cancellation was sent; where another attempt may follow, the engine has confirmed it.
    Cancelled,
    /// The engine had it completely, and its connection is closed, which cancels it.
    ConnectionLost,
}

impl AttemptEnd {
    /// Whether the engine may have run it, in whole or in part.
    pub fn may_have_run(self) -> bool {
        !matches!(self, AttemptEnd::NeverSent | AttemptEnd::Rejected)
    }
}

/// Whether an outcome proves that the attempt never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent | Outcome::NoConnectionSlot
    )
}

/// The phase of an attempt. A mark counts what a connection was given to write, in a unit of its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing of it has been handed to a connection.
    Queued,
    /// It is complete once the connection has written up to this mark.
    Writing { end_mark: u64 },
    /// The engine has it completely.
    Sent,
    /// The engine has reported its result; only the result itself is left to forward.
    ResultReceived,
    /// Its cancellation is queued and not yet written.
    Cancelling {
        /// The end of the attempt itself.
        end_mark: u64,
        /// The end of the cancellation.
        cancellation_mark: u64,
        /// Whether the engine has to confirm that it has read the cancellation.
        needs_confirmation: bool,
    },
    /// The cancellation was sent, and the engine has not confirmed it.
    CancellationUnconfirmed,
    /// It is over.
    Ended,
}

/// The state of one attempt, as kept by the actor that talks to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptState(Phase);

impl Default for AttemptState {
    fn default() -> Self {
        AttemptState(Phase::Queued)
    }
}

impl AttemptState {
    /// It is queued for writing and ends at this mark.
    pub fn begin_writing(&mut self, end_mark: u64) {
        if self.0 == Phase::Queued {
            self.0 = Phase::Writing { end_mark };
        }
    }

    /// The connection has written up to this mark. Returns the end, if its cancellation was written with that and needs
    /// no confirmation.
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

    /// Whether it is being cancelled.
    pub fn is_cancelling(&self) -> bool {
        matches!(
            self.0,
            Phase::Cancelling { .. } | Phase::CancellationUnconfirmed
        )
    }

    /// The engine confirms that it has read everything up to the cancellation. Writing it is not enough: engines read
    /// connections in any order, so a retry on another one could be read before the cancellation.
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

    /// Whether the engine has reported its result.
    pub fn has_result(&self) -> bool {
        self.0 == Phase::ResultReceived
    }

    /// Cancels it. `queue_cancellation` queues the cancellation for the engine and returns its end mark; it is called if the engine
    /// has the attempt or may get it. If a retry may follow, the engine has to confirm the cancellation. Returns the
    /// end, if there is nothing to wait for.
    pub fn cancel(
        &mut self,
        retry_may_follow: bool,
        queue_cancellation: impl FnOnce() -> u64,
    ) -> Option<AttemptEnd> {
        match self.0 {
            Phase::Queued => self.end(AttemptEnd::NeverSent),
            // The engine has finished it: the message frees its buffered result.
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

    /// The engine begins to report a result. False if the attempt is being cancelled or has ended.
    pub fn begin_result(&mut self) -> bool {
        let is_expected = matches!(self.0, Phase::Writing { .. } | Phase::Sent);
        if is_expected {
            self.0 = Phase::ResultReceived;
        }
        is_expected
    }

    /// The engine reports its end, after which it may have run or not.
    pub fn answered(&mut self, may_have_run: bool) -> AttemptEnd {
        self.0 = Phase::Ended;
        if may_have_run {
            AttemptEnd::Answered
        } else {
            AttemptEnd::Rejected
        }
    }

    /// Its connection is closed, after writing up to this mark.
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

/// Where and when an attempt was sent: identifies the group of engines that drop a repeat of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentTo {
    /// Its engine's zone.
    pub zone: u8,
    /// Its engine's cell.
    pub cell: u16,
    /// When, in Unix ms.
    pub sent_at_ms: Millis,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlight {
    /// Which attempt of its request, from 0.
    pub number: u16,
    /// Its engine.
    pub engine: EngineId,
    /// When it was sent, and into which group of engines.
    pub sent_to: SentTo,
    /// When its engine last reported anything of it, in Unix ms.
    pub last_report_ms: Millis,
    /// Its cancellation, once that has begun.
    pub cancelling: Option<Cancellation>,
}

/// The cancellation of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cancellation {
    /// When it began, in Unix ms.
    pub since_ms: Millis,
    /// The outcome of the attempt once its end is confirmed.
    pub outcome: Outcome,
}

/// Why no further attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDenied {
    /// Another one is in flight, or its end is not confirmed.
    AttemptInFlight,
    /// The request is not idempotent, and may have run.
    MayHaveRun,
    /// The limit on attempts is reached.
    AttemptsExhausted,
}

/// The attempts of one request, and whether one of them may have run.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    attempts_made: u16,
    /// Those of them that do not count.
    uncounted: u16,
    in_flight: Option<InFlight>,
    ended_may_have_run: bool,
    /// The first attempt that may have run.
    first_possible_run: Option<SentTo>,
}

impl AttemptHistory {
    /// The attempt in flight.
    pub fn in_flight(&self) -> Option<&InFlight> {
        self.in_flight.as_ref()
    }

    /// The attempt in flight, if it has this number and engine.
    pub fn in_flight_matching(
        &mut self,
        number: u16,
        engine: Option<EngineId>,
    ) -> Option<&mut InFlight> {
        self.in_flight.as_mut().filter(|attempt| {
            attempt.number == number && engine.is_none_or(|expected| expected == attempt.engine)
        })
    }

    /// Attempts numbered, including denied ones.
    pub fn attempts_made(&self) -> u16 {
        self.attempts_made
    }

    /// Attempts that count. Those without a free connection slot do not.
    pub fn attempts_counted(&self) -> u16 {
        self.attempts_made.saturating_sub(self.uncounted)
    }

    /// The last attempt does not count.
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

    /// The first ended attempt that may have run.
    pub fn first_possible_run(&self) -> Option<SentTo> {
        self.first_possible_run
    }

    /// Numbers the next attempt. `resend_allowed` is whether one may follow another that may have run. Errors: why it
    /// may not be sent.
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

    /// An attempt was sent.
    pub fn record_sent(&mut self, number: u16, engine: EngineId, sent: SentTo) {
        self.in_flight = Some(InFlight {
            number,
            engine,
            sent_to: sent,
            last_report_ms: sent.sent_at_ms,
            cancelling: None,
        });
    }

    /// Begins to cancel the attempt in flight, which ends with this outcome. None if there is none, or it is being
    /// cancelled already.
    pub fn begin_cancellation(&mut self, now: Millis, outcome: Outcome) -> Option<InFlight> {
        let in_flight = self
            .in_flight
            .as_mut()
            .filter(|attempt| attempt.cancelling.is_none())?;
        in_flight.cancelling = Some(Cancellation {
            since_ms: now,
            outcome,
        });
        Some(*in_flight)
    }

    /// The end of the attempt with this number is confirmed.
    pub fn record_end(&mut self, number: u16, may_have_run: bool) -> Option<InFlight> {
        let in_flight = self.in_flight.take_if(|attempt| attempt.number == number)?;
        self.ended_may_have_run |= may_have_run;
        self.first_possible_run = self
            .first_possible_run
            .or(may_have_run.then_some(in_flight.sent_to));
        Some(in_flight)
    }

    /// A part of the result was sent to the client.
    pub fn record_partial_result(&mut self) {
        self.ended_may_have_run = true;
    }
}

#[cfg(test)]
mod tests;

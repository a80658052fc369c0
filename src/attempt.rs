//! The life of an attempt, from the decision to send it to the proof that it is over. Sans-I/O: what speaks to an
//! engine tells a [`AttemptState`] what was queued, written, answered and closed; the core keeps the [`AttemptHistory`] of each
//! request and lets a further attempt out only once the one before is proven over. `docs/ends.md` has the table
//! of all ends.

use crate::decision::{EngineId, Millis, Outcome};

/// How an attempt came to its end. No end leaves the attempt running at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No engine ever had it whole.
    NeverSent,
    /// The engine said that it never ran.
    Rejected,
    /// The engine said how it ended.
    Answered,
    /// Its cancellation was sent; where another attempt may follow, the engine has confirmed it.
    Cancelled,
    /// The engine had it whole, and its connection is closed, which gives it up.
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

/// Where an attempt is. A mark counts what a connection has been given to write, in whatever unit its speech has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing of it has been handed to a connection.
    Waiting,
    /// Its last part lies before this mark, which has not left yet.
    Writing(u64),
    /// The engine has it whole.
    Out,
    /// The engine has told its result; what is left to pass is the result alone.
    Told,
    /// Its last part lies before the mark `whole`, and its cancellation ends at the mark `cancelled`; whether the engine
    /// has to confirm that it has read the cancellation.
    GivingUp {
        whole: u64,
        cancelled: u64,
        confirm: bool,
    },
    /// The cancellation was sent, and the engine has not confirmed it.
    Unconfirmed,
    /// It is over.
    Ended,
}

/// The life of one attempt, as the actor sees it that speaks to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptState(Phase);

impl Default for AttemptState {
    fn default() -> Self {
        AttemptState(Phase::Waiting)
    }
}

impl AttemptState {
    /// It is queued for the connection and ends at this mark.
    pub fn begin_writing(&mut self, whole: u64) {
        if self.0 == Phase::Waiting {
            self.0 = Phase::Writing(whole);
        }
    }

    /// So much was written. The end, where its cancellation was written with that and needs no confirmation.
    pub fn wrote(&mut self, written: u64) -> Option<AttemptEnd> {
        match self.0 {
            Phase::Writing(whole) if whole <= written => self.0 = Phase::Out,
            Phase::GivingUp {
                cancelled, confirm, ..
            } if cancelled <= written => {
                if !confirm {
                    return self.end(AttemptEnd::Cancelled);
                }
                self.0 = Phase::Unconfirmed;
            }
            _ => {}
        }
        None
    }

    /// Whether it is being given up.
    pub fn is_cancelling(&self) -> bool {
        matches!(self.0, Phase::GivingUp { .. } | Phase::Unconfirmed)
    }

    /// The engine confirms that it has read all up to the cancellation. Guard: connections are read in no order among
    /// each other, so an attempt that follows over another one could be read before a cancellation that was merely
    /// written.
    pub fn cancellation_confirmed(&mut self) -> Option<AttemptEnd> {
        if matches!(
            self.0,
            Phase::GivingUp { confirm: true, .. } | Phase::Unconfirmed
        ) {
            self.end(AttemptEnd::Cancelled)
        } else {
            None
        }
    }

    /// Whether the engine has told its result.
    pub fn has_result(&self) -> bool {
        self.0 == Phase::Told
    }

    /// It is no longer wanted. `cancel` queues the cancellation for the engine and returns the mark at which that ends;
    /// it is called where the engine may have or get the attempt. `again` is whether another attempt may follow, so that
    /// the engine has to confirm the cancellation. The end, where there is nothing to wait for.
    pub fn cancel(&mut self, again: bool, cancel: impl FnOnce() -> u64) -> Option<AttemptEnd> {
        match self.0 {
            Phase::Waiting => self.end(AttemptEnd::NeverSent),
            // The engine is done with it: the message frees what it holds of the result.
            Phase::Told => {
                cancel();
                self.end(AttemptEnd::Answered)
            }
            Phase::Writing(whole) => {
                self.0 = Phase::GivingUp {
                    whole,
                    cancelled: cancel(),
                    confirm: again,
                };
                None
            }
            Phase::Out => {
                self.0 = Phase::GivingUp {
                    whole: 0,
                    cancelled: cancel(),
                    confirm: again,
                };
                None
            }
            Phase::GivingUp { .. } | Phase::Unconfirmed | Phase::Ended => None,
        }
    }

    /// The engine began to tell a good result, of which more is to come. False where it is not wanted any more.
    pub fn begin_result(&mut self) -> bool {
        let fine = matches!(self.0, Phase::Writing(_) | Phase::Out);
        if fine {
            self.0 = Phase::Told;
        }
        fine
    }

    /// The engine told its end; `ran` is whether that leaves open that it ran.
    pub fn answered(&mut self, ran: bool) -> AttemptEnd {
        self.0 = Phase::Ended;
        if ran {
            AttemptEnd::Answered
        } else {
            AttemptEnd::Rejected
        }
    }

    /// Its connection is closed, after so much had left.
    pub fn connection_closed(&mut self, written: u64) -> AttemptEnd {
        let end = match self.0 {
            Phase::Waiting => AttemptEnd::NeverSent,
            Phase::Writing(whole) | Phase::GivingUp { whole, .. } if written < whole => {
                AttemptEnd::NeverSent
            }
            Phase::Told | Phase::Ended => AttemptEnd::Answered,
            Phase::Writing(_) | Phase::Out | Phase::GivingUp { .. } | Phase::Unconfirmed => {
                AttemptEnd::ConnectionLost
            }
        };
        self.0 = Phase::Ended;
        end
    }

    fn end(&mut self, end: AttemptEnd) -> Option<AttemptEnd> {
        self.0 = Phase::Ended;
        Some(end)
    }
}

/// Where and when an attempt was sent, for the group of engines that may drop a repeat of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentTo {
    /// Its engine's zone.
    pub zone: u8,
    /// Its engine's cell.
    pub cell: u16,
    /// When, in Unix ms.
    pub at_ms: Millis,
}

/// An attempt that is out, as its request sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlight {
    /// Which attempt of its request, from 0.
    pub number: u16,
    /// Where it is.
    pub engine: EngineId,
    /// When it was sent, and into which group of engines.
    pub sent_to: SentTo,
    /// When its engine last said anything of it.
    pub last_heard_ms: Millis,
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

/// Why no further attempt may go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDenied {
    /// Another one is out, or not proven over.
    AttemptInFlight,
    /// It may run once only, and may have run.
    MayHaveRun,
    /// It has had all that it may have.
    AttemptsExhausted,
}

/// The attempts of one request, and what their ends prove together.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    attempts_made: u16,
    /// Of these, those that count as none.
    uncounted: u16,
    in_flight: Option<InFlight>,
    ended_may_have_run: bool,
    /// The first attempt that may have run.
    first_possible_run: Option<SentTo>,
}

impl AttemptHistory {
    /// The attempt that is out.
    pub fn in_flight(&self) -> Option<&InFlight> {
        self.in_flight.as_ref()
    }

    /// The attempt that is out, if it is this one.
    pub fn in_flight_as(&mut self, number: u16, engine: Option<EngineId>) -> Option<&mut InFlight> {
        self.in_flight
            .as_mut()
            .filter(|o| o.number == number && engine.is_none_or(|at| at == o.engine))
    }

    /// Attempts made, those included that were barred.
    pub fn attempts_made(&self) -> u16 {
        self.attempts_made
    }

    /// Attempts that count: those for which there was no descriptor were none.
    pub fn attempts_counted(&self) -> u16 {
        self.attempts_made.saturating_sub(self.uncounted)
    }

    /// One that ended was no attempt.
    pub fn discount_last(&mut self) {
        self.uncounted = self.uncounted.saturating_add(1);
    }

    /// Whether any attempt may have run, the one that is out included.
    pub fn may_have_run(&self) -> bool {
        self.ended_may_have_run || self.in_flight.is_some()
    }

    /// Whether one that is over may have run.
    pub fn ended_may_have_run(&self) -> bool {
        self.ended_may_have_run
    }

    /// The first attempt that may have run, of those that are over.
    pub fn first_possible_run(&self) -> Option<SentTo> {
        self.first_possible_run
    }

    /// Numbers a further attempt, and says whether it may go out; `repeatable` is whether one may that follows another
    /// which may have run.
    pub fn next_attempt(&mut self, repeatable: bool, cap: u32) -> Result<u16, RetryDenied> {
        let number = self.attempts_made;
        self.attempts_made = self.attempts_made.saturating_add(1);
        match self {
            AttemptHistory {
                in_flight: Some(_), ..
            } => Err(RetryDenied::AttemptInFlight),
            AttemptHistory {
                ended_may_have_run: true,
                ..
            } if !repeatable => Err(RetryDenied::MayHaveRun),
            _ if u32::from(self.attempts_counted()) > cap => Err(RetryDenied::AttemptsExhausted),
            _ => Ok(number),
        }
    }

    /// It went out.
    pub fn record_sent(&mut self, number: u16, engine: EngineId, sent: SentTo) {
        self.in_flight = Some(InFlight {
            number,
            engine,
            sent_to: sent,
            last_heard_ms: sent.at_ms,
            cancelling: None,
        });
    }

    /// The one that is out is given up, and counts as this once that is proven; none where none is, or it is being
    /// given up already.
    pub fn begin_cancellation(&mut self, now: Millis, as_what: Outcome) -> Option<InFlight> {
        let out = self.in_flight.as_mut().filter(|o| o.cancelling.is_none())?;
        out.cancelling = Some(Cancellation {
            since_ms: now,
            outcome: as_what,
        });
        Some(*out)
    }

    /// The attempt with this number is proven over.
    pub fn record_end(&mut self, number: u16, may_have_run: bool) -> Option<InFlight> {
        let out = self.in_flight.take_if(|o| o.number == number)?;
        self.ended_may_have_run |= may_have_run;
        self.first_possible_run = self
            .first_possible_run
            .or(may_have_run.then_some(out.sent_to));
        Some(out)
    }

    /// Part of a result has gone to the client.
    pub fn record_streaming(&mut self) {
        self.ended_may_have_run = true;
    }
}

#[cfg(test)]
mod tests;

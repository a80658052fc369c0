//! The attempts of one request: which one is in flight, and whether one of them may have run.

use crate::decision::{EngineId, Millis, Outcome};

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
    /// Whether its engine has reported progress that only a running attempt makes.
    pub has_started: bool,
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
            has_started: false,
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

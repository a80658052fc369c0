//! The events of attempts that engines' actors report: progress, results, ends and confirmed
//! cancellations.

use super::attempt_end::{AttemptCompletion, ResourceUse};
use super::{AttemptEvent, Core, EnginePort, Event, Millis, Outcome, RequestId, ResultBody};
use crate::attempt::{Cancellation, never_ran, outcome_after_start};
use crate::decision::{EngineId, LoadReport, Progress};

/// The attempt that an event belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptRef {
    pub(super) id: RequestId,
    pub(super) attempt: u16,
    pub(super) engine: EngineId,
}

impl<E: EnginePort> Core<E> {
    /// Handles an event of an attempt. An event of an attempt that is no longer in flight is
    /// ignored.
    pub(super) fn handle_attempt_event(
        &mut self,
        now: Millis,
        source: AttemptRef,
        load_report: LoadReport,
        event: AttemptEvent,
    ) {
        let AttemptRef {
            id,
            attempt,
            engine,
        } = source;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let answered = request.answered;
        let Some(in_flight) = request.history.in_flight_matching(attempt, Some(engine)) else {
            return;
        };
        in_flight.last_report_ms = now;
        in_flight.has_started |= shows_start(&event);
        let has_started = in_flight.has_started;
        let pending_cancellation = in_flight.cancellation;
        match event {
            AttemptEvent::Progress(progress) if pending_cancellation.is_none() => {
                self.report_progress(now, id, attempt, progress);
            }
            AttemptEvent::Progress(_) => {}
            AttemptEvent::ResultStreaming(_) if answered || pending_cancellation.is_some() => {}
            AttemptEvent::ResultStreaming(body) => self.result_streaming(now, id, attempt, body),
            AttemptEvent::Ended {
                outcome,
                measured_work_ms,
                measured_memory_mb,
                body,
            } => {
                let outcome = if has_started {
                    outcome_after_start(outcome)
                } else {
                    outcome
                };
                let completion = AttemptCompletion {
                    outcome,
                    may_have_run: !never_ran(outcome),
                    load_report,
                    measured: ResourceUse {
                        work_ms: measured_work_ms,
                        memory_mb: measured_memory_mb,
                    },
                };
                self.attempt_completed(now, id, attempt, completion, body);
            }
            AttemptEvent::Cancelled(end) => {
                let cancellation = pending_cancellation.unwrap_or(Cancellation {
                    since_ms: now,
                    outcome: Outcome::Cancelled,
                });
                let may_have_run = has_started || end.may_have_run();
                self.cancellation_confirmed(now, source, cancellation, may_have_run, load_report);
            }
        }
    }

    fn report_progress(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        progress: Option<Progress>,
    ) {
        if let Some(progress) = progress {
            let event = Event::Progress {
                id,
                attempt,
                progress,
            };
            self.notify_dispatcher(now, event);
        }
    }

    /// The end of an attempt was reported. A success counts as one even if the attempt was being
    /// cancelled, and its result is sent if the client has no answer yet.
    fn attempt_completed(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        completion: AttemptCompletion,
        body: Option<ResultBody>,
    ) {
        if completion.outcome == Outcome::Ok {
            self.attempt_succeeded(now, id, attempt, completion, body);
        } else {
            self.attempt_ended(now, id, attempt, completion);
        }
    }

    fn cancellation_confirmed(
        &mut self,
        now: Millis,
        source: AttemptRef,
        cancellation: Cancellation,
        may_have_run: bool,
        load_report: LoadReport,
    ) {
        self.metrics.cancellations_confirmed.increment();
        self.metrics
            .cancellation_latency
            .record(now - cancellation.since_ms);
        let completion = AttemptCompletion {
            outcome: cancellation.outcome,
            may_have_run,
            load_report,
            measured: ResourceUse::default(),
        };
        self.attempt_ended(now, source.id, source.attempt, completion);
    }
}

/// Whether an event shows that the engine has begun to run the attempt. An attempt that waits for
/// memory or for a bulk load has not begun.
fn shows_start(event: &AttemptEvent) -> bool {
    match event {
        AttemptEvent::Progress(Some(Progress::ShareDone(share))) => *share > 0.0,
        AttemptEvent::Progress(Some(Progress::SpillingMb(_)))
        | AttemptEvent::ResultStreaming(_) => true,
        AttemptEvent::Progress(_) | AttemptEvent::Cancelled(_) | AttemptEvent::Ended { .. } => {
            false
        }
    }
}

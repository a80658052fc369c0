//! The core's timers: one heap for the dispatcher's timers, the requests' deadlines and the checks
//! of attempts.

use super::requests::RequestTable;
use super::{Core, EnginePort, Event, Millis, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is done when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The dispatcher's timer with this token.
    Dispatcher(u64),
    /// Answers a request as failed, shortly before its deadline or when the process ends.
    RequestDeadline(RequestId),
    /// Checks whether the cancellation of an attempt was confirmed.
    CancellationCheck { id: RequestId, attempt: u16 },
    /// Checks when the engine of an attempt last reported anything about it.
    AttemptSilenceCheck { id: RequestId, attempt: u16 },
    /// The backoff of an attempt is over.
    BackoffElapsed { id: RequestId, attempt: u16 },
    /// An attempt has run for as long as its policy allows.
    AttemptTimeout { id: RequestId, attempt: u16 },
    /// Checks whether leases on order keys can be released or acquired.
    LeaseReview,
}

impl Timer {
    /// Whether the timer still has an effect. Timers of ended attempts and requests have none.
    fn has_effect(self, requests: &RequestTable) -> bool {
        match self {
            Timer::Dispatcher(_) | Timer::LeaseReview => true,
            Timer::RequestDeadline(id) => requests.contains(id),
            Timer::CancellationCheck { id, attempt }
            | Timer::AttemptSilenceCheck { id, attempt }
            | Timer::AttemptTimeout { id, attempt } => requests
                .get(id)
                .and_then(|request| request.history.in_flight())
                .is_some_and(|in_flight| in_flight.number == attempt),
            Timer::BackoffElapsed { id, attempt } => requests
                .get(id)
                .and_then(|request| request.backoff)
                .is_some_and(|delayed| delayed.number == attempt),
        }
    }
}

/// Timers allowed per request, for its deadline and its attempts, before timers without effect are
/// removed.
const TIMERS_PER_REQUEST: usize = 8;

/// Timers allowed in addition to those per request.
const BASE_TIMER_LIMIT: usize = 1024;

/// A point in Unix time, in ms, with a total order.
#[derive(Clone, Copy, PartialEq)]
struct DueTime(Millis);

impl Eq for DueTime {}

impl PartialOrd for DueTime {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DueTime {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Pending timers, the earliest first. Of timers that are due at the same time, the one that was
/// set first comes first.
#[derive(Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<(DueTime, u64, Timer)>>,
    /// Number of timers set so far. It orders timers that are due at the same time.
    sequence: u64,
}

impl TimerQueue {
    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }

    fn next_due(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse((due, ..))| due.0)
    }

    /// Removes the first timer that is due, and returns it with the time that it was set for.
    fn pop_due(&mut self, now: Millis) -> Option<(Millis, Timer)> {
        self.next_due().filter(|due| *due <= now)?;
        let Reverse((due, _, timer)) = self.heap.pop()?;
        Some((due.0, timer))
    }

    fn push(&mut self, due: Millis, timer: Timer) {
        self.sequence += 1;
        self.heap
            .push(Reverse((DueTime(due), self.sequence, timer)));
    }
}

impl<E: EnginePort> Core<E> {
    /// When the next timer is due, in Unix ms; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.next_due()
    }

    /// Runs the timers that are due.
    pub fn run_due_timers(&mut self, now: Millis) {
        while let Some((due, timer)) = self.timers.pop_due(now) {
            match timer {
                Timer::Dispatcher(token) => self.notify_dispatcher(now, Event::Timer { token }),
                Timer::RequestDeadline(id) => self.deadline_reached(now, id),
                Timer::CancellationCheck { id, attempt } => {
                    self.check_cancellation(now, id, attempt);
                }
                Timer::AttemptSilenceCheck { id, attempt } => {
                    self.check_attempt_silence(now, id, attempt, due);
                }
                Timer::BackoffElapsed { id, attempt } => self.backoff_elapsed(now, id, attempt),
                Timer::AttemptTimeout { id, attempt } => self.attempt_timed_out(now, id, attempt),
                Timer::LeaseReview => self.review_order_leases(now),
            }
            // The dispatcher's timer is due often enough to keep this metric up to date.
            let ejected = self.dispatcher.ejected_engines();
            self.metrics.engines_ejected.set(ejected);
        }
    }

    /// Sets a timer for this Unix time in ms.
    pub(super) fn set_timer(&mut self, due: Millis, timer: Timer) {
        self.remove_timers_without_effect();
        self.timers.push(due, timer);
    }

    /// Timers of ended requests stay in the queue until they are due. With many short requests the
    /// queue would grow far beyond the number of open requests, so timers without effect are removed.
    /// This happens before a timer is added, because the state that gives the new one its effect may
    /// not be recorded yet.
    fn remove_timers_without_effect(&mut self) {
        let limit = BASE_TIMER_LIMIT + TIMERS_PER_REQUEST * self.requests.len();
        if self.timers.len() >= limit {
            let requests = &self.requests;
            self.timers
                .heap
                .retain(|Reverse((.., timer))| timer.has_effect(requests));
        }
    }
}

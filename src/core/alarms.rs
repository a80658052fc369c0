//! What the core is to do at a time: one heap for the module's timers, deadlines, and the looks at what is out.

use super::{Core, EnginePort, Millis, RequestId, Reverse};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Dispatcher(u64),
    RequestDeadline(RequestId),
    /// Looks whether what is being given up is proven over.
    CancellationCheck(RequestId, u16),
    SilenceCheck(RequestId, u16),
    /// The back-off of an attempt is over.
    BackoffElapsed(RequestId, u16),
    /// An attempt has had the time that its policy gives it.
    AttemptTimeout(RequestId, u16),
    /// Looks whether leases on order keys are over, or can be had.
    LeaseReview,
}

/// Alarms kept at most, for each request that is open and besides.
const ALARMS_EACH: usize = 8;
const ALARMS_SPARE: usize = 1024;

/// A point in time with a total order.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct DueTime(pub(super) Millis);

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

impl<E: EnginePort> Core<E> {
    pub(super) fn set_timer(&mut self, at: Millis, alarm: Timer) {
        self.timers_set += 1;
        self.timers
            .push(Reverse((DueTime(at), self.timers_set, alarm)));
        // Guard: alarms of requests that are over wait for a time that may be far; many short requests would pile
        // them up. Each request has its deadline, and for the attempt that is out two more.
        if self.timers.len() > ALARMS_SPARE + ALARMS_EACH * self.requests.len() {
            let requests = &self.requests;
            self.timers.retain(|Reverse((.., alarm))| match alarm {
                Timer::Dispatcher(_) | Timer::LeaseReview => true,
                Timer::RequestDeadline(id) => requests.contains_key(id),
                Timer::CancellationCheck(id, n)
                | Timer::SilenceCheck(id, n)
                | Timer::AttemptTimeout(id, n) => requests
                    .get(id)
                    .and_then(|r| r.history.in_flight())
                    .is_some_and(|out| out.number == *n),
                Timer::BackoffElapsed(id, n) => requests
                    .get(id)
                    .and_then(|r| r.backoff)
                    .is_some_and(|w| w.0 == *n),
            });
        }
    }
}

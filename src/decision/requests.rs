//! The requests: the state of each from its arrival until its last attempt has ended.

use super::health_checks::AwaitedHealthChecks;
use super::{Dispatcher, EngineId, Millis, RequestId};

/// Position of a request in the order of arrival, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ArrivalNumber(u64);

impl ArrivalNumber {
    /// Advances to the next number and returns it.
    #[must_use]
    pub(super) fn take_next(&mut self) -> Self {
        self.0 += 1;
        *self
    }

    /// The number as bits, for hashes that break ties.
    pub(super) fn bits(self) -> u64 {
        self.0
    }
}

/// Threads on an attempt's engine when the attempt was sent, the attempt included.
#[derive(Clone, Copy)]
pub(super) struct ThreadsAtStart {
    /// Threads of this manager's queries.
    pub(super) own: f64,
    /// Threads of all queries, per core.
    pub(super) all_per_core: f64,
}

/// An attempt that is in flight.
pub(super) struct InFlightAttempt {
    /// Its number within the request, from 0.
    pub(super) number: u16,
    pub(super) engine: EngineId,
    pub(super) sent_at_ms: Millis,
    /// Its expected work over all threads, in ms.
    pub(super) work_ms: f64,
    /// Its estimated work before any correction, in ms.
    pub(super) estimated_work_ms: f64,
    pub(super) threads_at_start: ThreadsAtStart,
    /// Whether its cancellation was requested.
    pub(super) is_cancelling: bool,
    /// Whether its result streams to the client.
    pub(super) is_streaming: bool,
}

/// Where and when a request may have run first. The time for which engines drop its repeats starts
/// then.
#[derive(Clone, Copy)]
pub(super) struct FirstExecution {
    pub(super) zone: u8,
    pub(super) cell: u16,
    pub(super) sent_at_ms: Millis,
}

/// A request that waits or has an attempt in flight.
pub(super) struct QueuedRequest {
    pub(super) arrival_number: ArrivalNumber,
    /// Its class, by position in the settings.
    pub(super) class: usize,
    /// Its order key; 0 for none.
    pub(super) order_key: u64,
    /// When the latency objective starts: at its arrival, or earlier if its client has already
    /// waited.
    pub(super) objective_start_ms: Millis,
    /// Its deadline, after which its client no longer waits.
    pub(super) deadline_ms: Millis,
    /// The client's estimate of its work, summed over its threads, in ms.
    pub(super) estimated_work_ms: Option<f64>,
    pub(super) data_set: u32,
    /// The client's estimate of its memory, in MB.
    pub(super) estimated_memory_mb: Option<f64>,
    /// Attempts so far, without those that got no connection slot.
    pub(super) attempts: u32,
    /// Maximum number of its attempts, the first included.
    pub(super) max_attempts: u32,
    /// Number of its next attempt. Attempts that got no connection slot have numbers too.
    pub(super) next_attempt_number: u16,
    pub(super) in_flight: Option<InFlightAttempt>,
    /// Whether it is answered or its client has disconnected; it is kept until its attempt has
    /// ended.
    pub(super) is_finished: bool,
    pub(super) first_execution: Option<FirstExecution>,
    /// Whether no engine may run it now, because of its order key, its placement rules or another
    /// rule. Requests behind it may overtake it.
    pub(super) is_blocked: bool,
    /// Engines that answered it with an error.
    pub(super) failed_on: Vec<EngineId>,
    pub(super) awaited_checks: AwaitedHealthChecks,
}

impl Dispatcher {
    /// The attempt in flight that has this number.
    pub(super) fn attempt_in_flight(
        &mut self,
        id: RequestId,
        number: u16,
    ) -> Option<&mut InFlightAttempt> {
        let attempt = self.requests.get_mut(&id)?.in_flight.as_mut();
        attempt.filter(|attempt| attempt.number == number)
    }

    /// Ends a request without an action. An attempt in flight is counted until it has ended.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_finished = true;
        self.queue.remove(&request.arrival_number);
        if request.in_flight.is_some() {
            return;
        }
        let (order_key, arrival_number) = (request.order_key, request.arrival_number);
        self.requests.remove(&id);
        self.order_keys.remove(order_key, arrival_number);
    }
}

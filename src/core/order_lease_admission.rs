//! Admission under order key leases: a request with an order key is submitted to the dispatcher
//! once this process holds the lease on that key.

use super::order_leases::{OrderLeases, OrderLocks};
use super::timers::Timer;
use super::{Answer, Core, EnginePort, Event, Millis, OrderKey, Outcome, RequestId};
use crate::decision::Request;

impl<E: EnginePort> Core<E> {
    /// Sets the locks by which this process shares order keys with the other processes of this
    /// workload manager.
    #[must_use]
    pub fn with_order_locks(mut self, locks: Option<Box<dyn OrderLocks>>) -> Self {
        self.order_leases = locks.map(OrderLeases::new).unwrap_or_default();
        self
    }

    /// Pauses all order keys if a process that ended before this one started may have held some.
    pub(super) fn start_order_leases(&mut self, now: Millis) {
        let pause = self.dispatcher.settings().order_key_pause_ms;
        self.order_leases.pause_after_unclean_exit(now, pause);
    }

    /// Submits a request to the dispatcher. A request with an order key is held back until this
    /// process has the lease on that key.
    pub(super) fn submit_when_leased(&mut self, now: Millis, id: RequestId) {
        let Some(key) = self.order_key(id) else {
            return self.submit_request(now, id);
        };
        let pause = self.dispatcher.settings().order_key_pause_ms;
        if self.order_leases.admit(now, pause, key, id) {
            return self.submit_request(now, id);
        }
        tracing::debug!(id, "request waits for the lease on its order key");
        self.metrics.requests_held_for_order_key.increment();
        self.schedule_lease_review(now);
    }

    /// Releases the leases that are no longer needed, and submits the waiting requests whose lease
    /// this process has acquired.
    pub(super) fn review_order_leases(&mut self, now: Millis) {
        self.lease_review_pending = false;
        let pause = self.dispatcher.settings().order_key_pause_ms;
        for id in self.order_leases.review(now, pause) {
            self.submit_request(now, id);
        }
        self.schedule_lease_review(now);
    }

    /// Checks which peer processes are running, after one has started or ended. All order keys are
    /// paused if one has ended that may have had attempts in flight.
    pub(super) fn check_peer_processes(&mut self, now: Millis) {
        let pause = self.dispatcher.settings().order_key_pause_ms;
        self.order_leases.check_peers(now, pause);
    }

    /// Pauses the order key of a request whose attempt ended with this outcome, if the attempt may
    /// still run on its engine. The dispatcher pauses the key too.
    pub(super) fn pause_order_key(&mut self, now: Millis, id: RequestId, outcome: Outcome) {
        let may_still_run = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(key) = self.order_key(id).filter(|_| may_still_run) {
            self.order_leases
                .pause_until(key, now + self.dispatcher.settings().order_key_pause_ms);
        }
    }

    /// Removes a request that has ended from the lease of its order key.
    pub(super) fn remove_from_order_lease(&mut self, now: Millis, key: OrderKey, id: RequestId) {
        self.order_leases.request_closed(now, key, id);
        self.schedule_lease_review(now);
    }

    fn order_key(&self, id: RequestId) -> Option<OrderKey> {
        self.requests
            .get(id)
            .and_then(|request| request.accepted.order_key)
    }

    /// Sets the timer of the next lease review, unless it is set already, or no request waits and
    /// no key is held for its pause.
    fn schedule_lease_review(&mut self, now: Millis) {
        if !self.lease_review_pending && self.order_leases.needs_review() {
            self.lease_review_pending = true;
            self.set_timer(
                now + self.limits.state_poll_interval.as_secs_f64() * 1000.0,
                Timer::LeaseReview,
            );
        }
    }

    /// Submits a request to the dispatcher. Rejects it if its class no longer exists.
    fn submit_request(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let accepted = &request.accepted;
        let settings = self.dispatcher.settings();
        // The class may have been removed while the request waited for the lease. The request has
        // not run, so it can be rejected.
        let Some(class) = settings.class_position(&accepted.class.name, &accepted.class.class)
        else {
            return self.answer_client(
                now,
                id,
                Answer::Rejected {
                    retry_after_ms: 0.0,
                },
                Outcome::NotSent,
            );
        };
        let request_event = Request {
            id,
            class,
            order_key: accepted.order_key.map_or(0, OrderKey::get),
            deadline_ms: accepted.deadline_ms,
            estimated_work_ms: accepted.estimated_work_ms,
            data_set: accepted.data_set,
            estimated_memory_mb: accepted.estimated_memory_mb,
            max_attempts: request
                .policy
                .max_attempts
                .map(|limit| limit.min(settings.max_attempts)),
        };
        self.notify_dispatcher(now, Event::Request(request_event));
    }
}

#[cfg(test)]
mod tests;

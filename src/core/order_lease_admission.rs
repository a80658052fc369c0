//! Leases on order keys in the core: a request with an order key goes to the dispatcher once this process has the lease
//! on that key.

use super::order_leases::{OrderLeases, OrderLocks};
use super::timers::Timer;
use super::{Answer, Core, EnginePort, Event, Millis, OrderKey, Outcome, RequestId};
use crate::decision::Request;

impl<E: EnginePort> Core<E> {
    /// Shares order keys with the other processes of this workload manager by these locks.
    #[must_use]
    pub fn with_order_locks(mut self, locks: Option<Box<dyn OrderLocks>>) -> Self {
        self.order_leases = locks.map(OrderLeases::new).unwrap_or_default();
        self
    }

    /// Pauses all keys if a process that ended before this one started may have held some.
    pub(super) fn start_order_leases(&mut self, now: Millis) {
        let pause = self.dispatcher.settings().order_key_pause_ms;
        self.order_leases.pause_after_unclean_exit(now, pause);
    }

    /// Submits a request to the dispatcher, or holds it until this process has the lease on its key.
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

    /// Submits the requests whose lease this process has acquired.
    pub(super) fn review_order_leases(&mut self, now: Millis) {
        self.lease_review_pending = false;
        let pause = self.dispatcher.settings().order_key_pause_ms;
        for id in self.order_leases.review(now, pause) {
            self.submit_request(now, id);
        }
        self.schedule_lease_review(now);
    }

    /// A peer process started or ended.
    pub(super) fn check_peer_processes(&mut self, now: Millis) {
        let pause = self.dispatcher.settings().order_key_pause_ms;
        self.order_leases.check_peers(now, pause);
    }

    /// An attempt of this request ended. As in the dispatcher, its key is paused where the attempt may still run.
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

    /// A request with this key is over.
    pub(super) fn remove_from_order_lease(&mut self, now: Millis, key: OrderKey, id: RequestId) {
        self.order_leases.request_closed(now, key, id);
        self.schedule_lease_review(now);
    }

    fn order_key(&self, id: RequestId) -> Option<OrderKey> {
        self.requests
            .get(id)
            .and_then(|request| request.accepted.order_key)
    }

    /// Sets one timer at a time, and none while no request waits and no key is paused.
    fn schedule_lease_review(&mut self, now: Millis) {
        if !self.lease_review_pending && self.order_leases.needs_review() {
            self.lease_review_pending = true;
            self.set_timer(
                now + self.limits.state_poll_interval.as_secs_f64() * 1000.0,
                Timer::LeaseReview,
            );
        }
    }

    /// Submits a request to the dispatcher.
    fn submit_request(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let accepted = &request.accepted;
        let settings = self.dispatcher.settings();
        // Its class may have been removed while the request waited; nothing of it has run.
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

//! Where leases on order keys meet requests and timers: a request of a key goes on to the decision module once this
//! process has the lease.

use super::leases::{OrderLeases, OrderLocks};
use super::{
    Answer, Core, EnginePort, Event, Millis, OrderKey, Outcome, Request, RequestId, Timer,
};

impl<E: EnginePort> Core<E> {
    /// The same beside other processes of this workload manager, which share these locks.
    #[must_use]
    pub fn with_order_locks(mut self, locks: Option<Box<dyn OrderLocks>>) -> Self {
        self.order_leases = locks.map(OrderLeases::new).unwrap_or_default();
        self
    }

    /// Makes keys rest after a process that died before this one started.
    pub(super) fn start_order_leases(&mut self, now: Millis) {
        let pause = self.gateway.settings().order_key_pause_ms;
        self.order_leases.start(now, pause);
    }

    /// Tells the module of a request, or holds it back until this process has the lease on its key.
    pub(super) fn submit_when_leased(&mut self, now: Millis, id: RequestId) {
        let Some(key) = self.order_key(id) else {
            return self.submit_request(now, id);
        };
        let pause = self.gateway.settings().order_key_pause_ms;
        if self.order_leases.admit(now, pause, key, id) {
            return self.submit_request(now, id);
        }
        tracing::debug!(id, "waits for the lease on its order key");
        self.metrics.requests_held_for_order_key.increment();
        self.schedule_lease_review(now);
    }

    /// Sends on what waited for a lease that this process has now.
    pub(super) fn review_order_leases(&mut self, now: Millis) {
        self.lease_review_set = false;
        let pause = self.gateway.settings().order_key_pause_ms;
        for id in self.order_leases.review(now, pause) {
            self.submit_request(now, id);
        }
        self.schedule_lease_review(now);
    }

    /// Another process came or went.
    pub(super) fn check_peer_processes(&mut self, now: Millis) {
        let pause = self.gateway.settings().order_key_pause_ms;
        self.order_leases.check_peers(now, pause);
    }

    /// An attempt of this request ended. As in the module, its key rests where it may still run.
    pub(super) fn pause_order_key(&mut self, now: Millis, id: RequestId, outcome: Outcome) {
        let may_run = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(key) = self.order_key(id).filter(|_| may_run) {
            self.order_leases
                .pause_until(key, now + self.gateway.settings().order_key_pause_ms);
        }
    }

    /// The request is over, and so is its part in the lease.
    pub(super) fn leave_order_lease(&mut self, now: Millis, key: OrderKey, id: RequestId) {
        self.order_leases.request_closed(now, key, id);
        self.schedule_lease_review(now);
    }

    fn order_key(&self, id: RequestId) -> Option<OrderKey> {
        self.requests
            .get(&id)
            .and_then(|open| open.request.order_key)
    }

    /// Guard: one alarm at a time, and none while nothing waits or rests.
    fn schedule_lease_review(&mut self, now: Millis) {
        if !self.lease_review_set && self.order_leases.needs_review() {
            self.lease_review_set = true;
            self.set_timer(
                now + self.limits.state_poll_interval.as_secs_f64() * 1000.0,
                Timer::LeaseReview,
            );
        }
    }

    /// Tells the module of a request.
    fn submit_request(&mut self, now: Millis, id: RequestId) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let (taken, settings) = (&open.request, self.gateway.settings());
        // Guard: a class that went while its request waited; nothing of it has run.
        let Some(class) = settings.class_position(&taken.class.name, &taken.class.class) else {
            return self.answer_client(
                now,
                id,
                Answer::Rejected {
                    retry_after_ms: 0.0,
                },
                Outcome::NotSent,
            );
        };
        let request = Request {
            id,
            class,
            order_key: taken.order_key.map_or(0, OrderKey::get),
            deadline_ms: taken.deadline_ms,
            estimated_work_ms: taken.estimated_work_ms,
            data_set: taken.data_set,
            estimated_memory_mb: taken.estimated_memory_mb,
            max_attempts: open
                .policy
                .max_attempts
                .map(|most| most.min(settings.max_attempts)),
        };
        self.notify_dispatcher(now, Event::Request(request));
    }
}

#[cfg(test)]
mod tests;

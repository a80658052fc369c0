//! Where leases on order keys meet requests and timers: a request of a key goes on to the decision module once this
//! process has the lease.

use super::leases::{Leases, OrderLocks};
use super::{
    Alarm, Answer, Core, EnginePort, Event, Millis, OrderKey, Outcome, Request, RequestId,
};

impl<E: EnginePort> Core<E> {
    /// The same beside other processes of this workload manager, which share these locks.
    #[must_use]
    pub fn with_order_locks(mut self, locks: Option<Box<dyn OrderLocks>>) -> Self {
        self.leases = locks.map(Leases::new).unwrap_or_default();
        self
    }

    /// Makes keys rest after a process that died before this one started.
    pub(super) fn begin_leases(&mut self, now: Millis) {
        let pause = self.gateway.settings().order_key_pause_ms;
        self.leases.begin(now, pause);
    }

    /// Tells the module of a request, or holds it back until this process has the lease on its key.
    pub(super) fn admit(&mut self, now: Millis, id: RequestId) {
        let Some(key) = self.order_key(id) else {
            return self.submit(now, id);
        };
        let pause = self.gateway.settings().order_key_pause_ms;
        if self.leases.admit(now, pause, key, id) {
            return self.submit(now, id);
        }
        tracing::debug!(id, "waits for the lease on its order key");
        self.metrics.requests_held_for_order_key.increment();
        self.arm_review(now);
    }

    /// Sends on what waited for a lease that this process has now.
    pub(super) fn review_leases(&mut self, now: Millis) {
        self.review_armed = false;
        let pause = self.gateway.settings().order_key_pause_ms;
        for id in self.leases.review(now, pause) {
            self.submit(now, id);
        }
        self.arm_review(now);
    }

    /// Another process came or went.
    pub(super) fn look_beside(&mut self, now: Millis) {
        let pause = self.gateway.settings().order_key_pause_ms;
        self.leases.look(now, pause);
    }

    /// An attempt of this request ended. As in the module, its key rests where it may still run.
    pub(super) fn rest_key(&mut self, now: Millis, id: RequestId, outcome: Outcome) {
        let may_run = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(key) = self.order_key(id).filter(|_| may_run) {
            self.leases
                .rest(key, now + self.gateway.settings().order_key_pause_ms);
        }
    }

    /// The request is over, and so is its part in the lease.
    pub(super) fn leave_lease(&mut self, now: Millis, key: OrderKey, id: RequestId) {
        self.leases.over(now, key, id);
        self.arm_review(now);
    }

    fn order_key(&self, id: RequestId) -> Option<OrderKey> {
        self.requests.get(&id).and_then(|open| open.taken.order_key)
    }

    /// Guard: one alarm at a time, and none while nothing waits or rests.
    fn arm_review(&mut self, now: Millis) {
        if !self.review_armed && self.leases.pending() {
            self.review_armed = true;
            self.arm(
                now + self.limits.state_poll_interval.as_secs_f64() * 1000.0,
                Alarm::Leases,
            );
        }
    }

    /// Tells the module of a request.
    fn submit(&mut self, now: Millis, id: RequestId) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let (taken, settings) = (&open.taken, self.gateway.settings());
        // Guard: a class that went while its request waited; nothing of it has run.
        let Some(class) = settings.class_position(&taken.class.name, &taken.class.class) else {
            return self.answer(
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
                .keys
                .max_attempts
                .map(|most| most.min(settings.max_attempts)),
        };
        self.tell(now, Event::Request(request));
    }
}

#[cfg(test)]
mod tests;

//! Dispatch of the queue: waiting requests are sent oldest first, each to the engine with the
//! lowest placement cost.

use super::requests::{InFlightAttempt, QueuedRequest, ThreadsAtStart};
use super::{Action, Dispatcher, Engine, EngineId, RequestId};

/// Memory grant above the median need, in median absolute deviations of the estimates' log error.
/// With it, four in five queries do not spill to disk.
const MEMORY_GRANT_DEVIATIONS: f64 = 1.3;
/// Default priority of an attempt.
const DEFAULT_PRIORITY: u8 = 1;

impl Dispatcher {
    /// Sends waiting requests, oldest first, until one finds no engine with capacity or waits for
    /// health checks. Requests that no engine may run now, because of their order key, placement
    /// rules or another rule, are skipped.
    pub(super) fn dispatch_queue(&mut self, actions: &mut Vec<Action>) {
        let waiting: Vec<RequestId> = self.queue.values().copied().collect();
        for id in waiting {
            let request = &self.requests[&id];
            if self.awaits_health_checks(&request.awaited_checks) {
                break;
            }
            let candidates = self.candidates(id, request);
            if let Some(engine) = self.cheapest_engine(request, &candidates) {
                self.send_attempt(id, engine, actions);
                continue;
            }
            let waits_for_capacity = !candidates.is_empty();
            if let Some(request) = self.requests.get_mut(&id) {
                request.is_blocked = !waits_for_capacity;
            }
            if waits_for_capacity {
                break;
            }
        }
    }

    /// The engines on which the rules allow a request now, with or without capacity.
    fn candidates(&self, id: RequestId, request: &QueuedRequest) -> Vec<&Engine> {
        let may_start = request.attempts == 0 || self.within_retry_budget() && self.may_resend(id);
        if !may_start || !self.is_next_for_order_key(id, request) {
            return Vec::new();
        }
        self.engines
            .values()
            .filter(|engine| self.is_eligible(request, engine))
            .filter(|engine| self.slow_start_allows(request, engine))
            .collect()
    }

    /// The engine with capacity that has the lowest placement cost for the request. The concurrency
    /// limit applies only to engines under pressure.
    fn cheapest_engine(&self, request: &QueuedRequest, candidates: &[&Engine]) -> Option<EngineId> {
        let affinity = self.affinity_engines(request);
        candidates
            .iter()
            .filter(|engine| {
                let has_capacity = self.within_concurrency_limit(request.class, engine);
                has_capacity || !self.is_under_pressure(engine)
            })
            .map(|engine| {
                let cost = self.placement_cost(request, engine, &affinity);
                (cost, engine.entry.engine)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, engine)| engine)
    }

    fn send_attempt(&mut self, id: RequestId, engine_id: EngineId, actions: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let (class, is_retry) = (request.class, request.attempts > 0);
        let work_ms = self.expected_work_ms(request);
        let threads = self.threads(class);
        let mean_run_ms = self.class_statistics[class].mean_work_ms() / threads;
        self.threads_per_query.record(threads, mean_run_ms);
        if is_retry {
            self.retry_window.record_retry(self.now_ms);
        }
        let Some(threads_at_start) = self.occupy_engine(id, engine_id, class, work_ms) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.in_flight = Some(InFlightAttempt {
            number: request.next_attempt_number,
            engine: engine_id,
            sent_at_ms: self.now_ms,
            work_ms,
            estimated_work_ms: request.estimated_work_ms.unwrap_or(work_ms),
            threads_at_start,
            is_cancelling: false,
            is_streaming: false,
        });
        request.attempts += 1;
        request.next_attempt_number = request.next_attempt_number.saturating_add(1);
        request.is_blocked = false;
        let estimated_memory_mb = request.estimated_memory_mb;
        self.queue.remove(&request.arrival_number);
        if let Some(memory_mb) = self.memory_grant_mb(class, estimated_memory_mb) {
            actions.push(Action::SetAttemptTerms {
                id,
                memory_mb,
                priority: DEFAULT_PRIORITY,
            });
        }
        actions.push(Action::StartAttempt {
            id,
            engine: engine_id,
            timeout_ms: None,
        });
    }

    /// Counts an attempt on its engine, and returns the threads there.
    fn occupy_engine(
        &mut self,
        id: RequestId,
        engine_id: EngineId,
        class: usize,
        work_ms: f64,
    ) -> Option<ThreadsAtStart> {
        let threads = self.settings.classes[class].threads;
        let slow_start_work_ms = self.slow_start_work_ms(class, work_ms);
        let engine = self.engines.get(&engine_id)?;
        let all_per_core =
            (self.estimated_threads(engine) + f64::from(threads)) / self.available_cores(engine);
        let engine = self.engines.get_mut(&engine_id)?;
        engine.own_threads += threads;
        self.running_threads += f64::from(threads);
        engine.running.insert(id);
        let window_ms = self.settings.overload_window_ms;
        engine
            .slow_start
            .record_send(self.now_ms, slow_start_work_ms, window_ms);
        engine.failures.record_send(self.now_ms);
        Some(ThreadsAtStart {
            own: f64::from(engine.own_threads),
            all_per_core,
        })
    }

    /// Memory grant of a request in MB, if engines support grants and the error of the estimates is
    /// known.
    fn memory_grant_mb(&self, class: usize, estimated_memory_mb: Option<f64>) -> Option<f64> {
        let error = &self.class_statistics[class].memory_error;
        let estimated_mb = estimated_memory_mb?;
        let can_grant = self.settings.memory_grants_supported && error.is_established();
        let log_factor = error.median() + MEMORY_GRANT_DEVIATIONS * error.deviation();
        can_grant.then(|| estimated_mb * log_factor.exp())
    }
}

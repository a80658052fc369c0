//! The interface to the dispatcher: events are passed to it, and the actions that it decides on are
//! carried out.

use super::timers::Timer;
use super::{Answer, Core, EnginePort, Event, FailureReason, Millis, Outcome, RequestId};
use crate::decision::{Action, EngineId};
use crate::node_config::format_engine_id;

/// An attempt that could not be started. The dispatcher is notified of it once its other actions
/// are carried out.
struct FailedStart {
    id: RequestId,
    engine: EngineId,
    outcome: Outcome,
}

impl<E: EnginePort> Core<E> {
    /// Passes one event to the dispatcher, carries out its actions, and then notifies it of the
    /// attempts that could not be started.
    pub(super) fn notify_dispatcher(&mut self, now: Millis, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.handle(now, event, &mut actions);
        // An empty vector allocates nothing, so this allocates only if a start has failed.
        let mut failed_starts = Vec::new();
        for action in actions.drain(..) {
            failed_starts.extend(self.apply_action(now, action));
        }
        self.actions = actions;
        for failed in failed_starts {
            let attempt = self.requests.get(failed.id).map_or(0, |request| {
                request.history.attempts_made().saturating_sub(1)
            });
            self.report_not_sent(now, failed.id, attempt, failed.engine, failed.outcome);
        }
    }

    fn apply_action(&mut self, now: Millis, action: Action) -> Option<FailedStart> {
        match action {
            Action::StartAttempt {
                id,
                engine,
                timeout_ms,
            } => {
                let started = self.start_attempt(now, id, engine, timeout_ms);
                return started.err().map(|outcome| FailedStart {
                    id,
                    engine,
                    outcome,
                });
            }
            Action::SetAttemptTerms {
                id,
                memory_mb,
                priority,
            } => self.set_attempt_terms(id, memory_mb, priority),
            Action::Reject {
                id,
                retry_after_ms,
                reason,
            } => {
                tracing::debug!(id, ?reason, retry_after_ms, "dispatcher rejects a request");
                self.reject_request(now, id, retry_after_ms);
            }
            Action::Fail { id, reason } => {
                tracing::debug!(id, ?reason, "dispatcher fails a request");
                let answer = Answer::Failed(FailureReason::AttemptFailed);
                self.answer_client(now, id, answer, Outcome::Cancelled);
            }
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(now, id, attempt),
            Action::SetTimer { after_ms, token } => {
                self.set_timer(now + after_ms.max(1.0), Timer::Dispatcher(token));
            }
            Action::EngineHealthChanged { engine, change } => {
                let (engine, reason) = (format_engine_id(engine), change.reason());
                tracing::info!(%engine, %reason, "{}", change.event());
            }
            // Nothing to do: the settings allow no health checks of engines, and the discovery feed
            // pushes updates of the endpoint list.
            Action::SendHealthCheck { .. } | Action::SubscribeEndpointList => {}
        }
        None
    }

    /// Answers a request that the dispatcher rejects. A rejection tells the client that a retry is
    /// harmless, so a request that may have run and is not idempotent fails instead.
    fn reject_request(&mut self, now: Millis, id: RequestId, retry_after_ms: Millis) {
        let retry_is_harmless = self
            .requests
            .get(id)
            .is_some_and(|request| !request.history.may_have_run() || request.is_idempotent());
        let answer = if retry_is_harmless {
            Answer::Rejected { retry_after_ms }
        } else {
            Answer::Failed(FailureReason::AttemptFailed)
        };
        self.answer_client(now, id, answer, Outcome::Cancelled);
    }
}

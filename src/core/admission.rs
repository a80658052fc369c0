//! Admission of requests: the checks before a request enters the table, and the disconnection of
//! its client.

use super::requests::RequestState;
use super::timers::Timer;
use super::{
    AcceptedRequest, Answer, Core, EnginePort, Event, FailureReason, Millis, Outcome, RequestId,
};
use crate::metrics::Counter;
use crate::retry_policy::{AttemptPolicy, RequestAttributes};

/// Why a request is not admitted. Such a request has never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdmissionError {
    /// The shutdown deadline has passed, so the request could not be answered any more.
    ShuttingDown,
    /// The client's reference is in use by another request, or was used by a non-idempotent one
    /// that may have run.
    DuplicateReference,
    /// The limit on open requests is reached.
    OverLimit,
    /// Its class was removed from the settings after the front end accepted the request.
    UnknownClass,
}

impl<E: EnginePort> Core<E> {
    /// Admits a request, or answers it at once.
    pub(super) fn accept_request(&mut self, now: Millis, accepted: AcceptedRequest) {
        self.metrics.requests_accepted.increment();
        match self.check_admission(now, &accepted) {
            Ok(policy) => self.open_request(now, accepted, policy),
            Err(error) => self.refuse_request(&accepted, error),
        }
    }

    /// Returns the attempt policy of the request if it may enter the table.
    fn check_admission(
        &self,
        now: Millis,
        accepted: &AcceptedRequest,
    ) -> Result<AttemptPolicy, AdmissionError> {
        if self.shutdown_at.is_some_and(|at| at <= now) {
            return Err(AdmissionError::ShuttingDown);
        }
        // Engines distinguish attempts by the client's reference, so two open requests must not
        // share one.
        let reference = &accepted.client_reference;
        if self.requests.has_client_reference(reference)
            || self.spent_references.may_have_run(accepted)
        {
            return Err(AdmissionError::DuplicateReference);
        }
        if self.requests.len() >= self.limits.open_requests {
            return Err(AdmissionError::OverLimit);
        }
        let class = self
            .dispatcher
            .settings()
            .class_position(&accepted.class.name, &accepted.class.class)
            .ok_or(AdmissionError::UnknownClass)?;
        Ok(self.policy.resolve(&RequestAttributes {
            class,
            member: self.policy.member_position(&accepted.member),
            frontend: accepted.frontend,
            data_set: accepted.data_set,
        }))
    }

    fn refuse_request(&self, accepted: &AcceptedRequest, error: AdmissionError) {
        tracing::debug!(
            id = accepted.id,
            r#ref = %crate::log::lossy_text(&accepted.client_reference),
            reason = ?error,
            "request not admitted"
        );
        let counter: Option<&Counter> = match error {
            AdmissionError::DuplicateReference => Some(&self.metrics.client_bad_calls),
            AdmissionError::OverLimit => Some(&self.metrics.client_over_limit),
            AdmissionError::ShuttingDown | AdmissionError::UnknownClass => None,
        };
        counter.into_iter().for_each(Counter::increment);
        let answer = if matches!(error, AdmissionError::DuplicateReference) {
            self.metrics.requests_failed.increment();
            Answer::Failed(FailureReason::AttemptFailed)
        } else {
            self.metrics.requests_rejected.increment();
            Answer::Rejected {
                retry_after_ms: 0.0,
            }
        };
        accepted.client.answer(accepted.id, answer);
    }

    fn open_request(&mut self, now: Millis, mut accepted: AcceptedRequest, policy: AttemptPolicy) {
        let id = accepted.id;
        accepted.deadline_ms = self.effective_deadline(now, accepted.deadline_ms, &policy);
        let answer_by_ms = accepted.deadline_ms - self.limits.answer_margin_ms;
        log_admission(&accepted);
        self.metrics.requests_open.increment();
        self.requests.insert(RequestState::new(accepted, policy));
        self.set_timer(answer_by_ms, Timer::RequestDeadline(id));
        self.submit_when_leased(now, id);
    }

    /// The client's deadline, or an earlier one that the request's policy or the end of the process
    /// sets.
    fn effective_deadline(
        &self,
        now: Millis,
        client_deadline_ms: Millis,
        policy: &AttemptPolicy,
    ) -> Millis {
        let mut deadline_ms = client_deadline_ms;
        // A client connection that always has an open request would send new ones until the process
        // ends, and requests that are open then are lost.
        if let Some(shutdown_at) = self.shutdown_at {
            deadline_ms = deadline_ms.min(shutdown_at);
        }
        if let Some(timeout_ms) = policy.timeout_ms {
            deadline_ms = deadline_ms.min(now + timeout_ms);
        }
        deadline_ms
    }

    /// The client disconnected or no longer waits: the request gets no answer, and its attempt is
    /// cancelled at once to free the engine.
    pub(super) fn client_disconnected(&mut self, now: Millis, id: RequestId) {
        if self.close_request(now, id, Outcome::Cancelled).is_some() {
            tracing::debug!(
                id,
                "client disconnected or no longer waits; request is closed"
            );
            self.metrics.client_disconnects.increment();
            self.notify_dispatcher(now, Event::ClientDisconnected { id });
        }
    }
}

fn log_admission(accepted: &AcceptedRequest) {
    // These are closures so that the texts are built only if the log level is enabled.
    let reference = || crate::log::lossy_text(&accepted.client_reference);
    let member = || crate::log::lossy_text(&accepted.member);
    tracing::debug!(
        id = accepted.id,
        r#ref = %reference(),
        class = %accepted.class.name,
        member = %member(),
        deadline_ms = accepted.deadline_ms,
        estimated_work_ms = accepted.estimated_work_ms,
        data_set = accepted.data_set,
        "request admitted"
    );
}

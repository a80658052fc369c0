//! The state that the actors of all engines share, and the messages to an engine's actor.

use super::connection_slots::ConnectionSlots;
use crate::core::{AttemptEvent, AttemptRequest, CoreMessage, Handle};
use crate::decision::{EngineId, EngineState, LoadReport, RequestId};
use crate::limits::{AccountSize, Limits, MemoryAccount};
use crate::metrics::Metrics;
use crate::node_config::EngineProtocol;
use std::sync::Arc;

/// Identifies one attempt of a request, whichever engine runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// The request.
    pub(crate) request: RequestId,
    /// The number of the attempt among those of the request, from 0.
    pub(crate) number: u16,
}

impl From<&AttemptRequest> for AttemptId {
    fn from(attempt: &AttemptRequest) -> AttemptId {
        AttemptId {
            request: attempt.id,
            number: attempt.attempt,
        }
    }
}

/// Whether another attempt may follow a cancelled one. If so, the end of the attempt is reported
/// only after the engine has confirmed that it read the cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterCancellation {
    /// Another attempt may follow.
    RetryMayFollow,
    /// The request ends with this attempt.
    NoRetry,
}

impl AfterCancellation {
    /// Whether another attempt may follow.
    pub(crate) fn retry_may_follow(self) -> bool {
        self == AfterCancellation::RetryMayFollow
    }
}

impl From<bool> for AfterCancellation {
    fn from(retry_may_follow: bool) -> AfterCancellation {
        match retry_may_follow {
            true => AfterCancellation::RetryMayFollow,
            false => AfterCancellation::NoRetry,
        }
    }
}

/// A message to an engine's actor, which passes it on to its connections.
#[derive(Clone, Debug)]
pub(crate) enum EngineMessage {
    /// Start an attempt. Boxed, because a mailbox allocates space for several messages when it is
    /// created.
    StartAttempt(Box<AttemptRequest>),
    /// Cancel an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Whether another attempt may follow.
        after_cancellation: AfterCancellation,
    },
    /// Change the priority of an attempt.
    SetPriority {
        /// The attempt.
        attempt: AttemptId,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// The engine has this state in the endpoint list.
    StateChanged(EngineState),
    /// The on-call staff ejected the engine or returned it to service; see
    /// [`AttemptAdmission`](super::admission::AttemptAdmission).
    ManualEjectionChanged,
}

/// The state that the actors of all engines share.
#[derive(Clone)]
pub(crate) struct EngineContext {
    /// The handle of the core, which receives the events of attempts.
    pub(crate) core: Handle,
    pub(crate) limits: Arc<Limits>,
    pub(crate) metrics: Arc<Metrics>,
    /// The protocol of all engines.
    pub(crate) protocol: EngineProtocol,
    /// The memory for results that are not complete yet. Each result is an owner.
    pub(crate) partial_results: Arc<MemoryAccount>,
    /// The slots of the connections to all engines.
    pub(crate) slots: Arc<ConnectionSlots>,
}

impl EngineContext {
    pub(crate) fn new(
        core: Handle,
        limits: Arc<Limits>,
        metrics: Arc<Metrics>,
        protocol: EngineProtocol,
    ) -> EngineContext {
        let slots = ConnectionSlots::new(&limits, metrics.clone());
        let size = AccountSize {
            limit_bytes: limits.partial_result_bytes,
            owners: 0,
        };
        let partial_results = MemoryAccount::new(&limits, size);
        EngineContext {
            core,
            limits,
            metrics,
            protocol,
            partial_results,
            slots,
        }
    }

    /// Sends an event of an attempt to the core, with the load report that the engine sent with it.
    pub(crate) async fn send_event(
        &self,
        engine: EngineId,
        attempt: AttemptId,
        load_report: LoadReport,
        event: AttemptEvent,
    ) {
        self.core
            .send(CoreMessage::Attempt {
                engine,
                id: attempt.request,
                attempt: attempt.number,
                load_report,
                event,
            })
            .await;
    }

    /// Sends an event of an attempt to the core, without a load report.
    pub(crate) async fn send_event_without_report(
        &self,
        engine: EngineId,
        attempt: AttemptId,
        event: AttemptEvent,
    ) {
        self.send_event(engine, attempt, LoadReport::default(), event)
            .await;
    }
}

#[cfg(test)]
impl EngineContext {
    /// Creates a context with 256 descriptors, for engines with the line protocol.
    pub(crate) fn for_tests(core: Handle) -> EngineContext {
        EngineContext::with_descriptors(core, 256)
    }

    /// Creates a context with this number of descriptors, for engines with the line protocol.
    pub(crate) fn with_descriptors(core: Handle, descriptors: usize) -> EngineContext {
        let limits = Arc::new(Limits::new(
            descriptors,
            32,
            true,
            &EngineContext::settings_for_tests(),
        ));
        EngineContext::new(core, limits, Arc::default(), EngineProtocol::Lines)
    }

    /// Creates settings with one class.
    pub(crate) fn settings_for_tests() -> crate::settings_json::PlatformSettings {
        let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"repeatable","promiseMs":5000,"giveUpMs":15000}],
            "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
            "limits":{"attemptsCap":6},"shapes":["std-8c"],"specifics":{"sizeCores":[8]}}"#;
        crate::settings_json::parse(text.as_bytes()).expect("settings")
    }
}

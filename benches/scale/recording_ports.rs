//! Ports of a core without sockets: engines that record what the core sends, a client that discards
//! its answers, and the messages for a new request and for its completed attempt.

use super::fleet;
use bytes::Bytes;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use workload_manager::core::{
    AcceptedRequest, Answer, AttemptEvent, AttemptRequest, ClientPort, CoreMessage, EnginePort,
    ResultBody, ResultFormat, StatementKind,
};
use workload_manager::node_config::EngineRecord;
use workload_manager::retry_policy::FrontendKind;
use workload_manager::settings_json::NamedClass;
use workload_manager::{EngineId, EngineState, LoadReport, Millis, Outcome, RequestId};

/// Estimated and measured work of a statement, in ms.
pub(super) const WORK_MS: f64 = 5.0;
/// Statements of other managers in flight on each engine.
const OTHER_MANAGERS_IN_FLIGHT: f64 = 4.0;
/// Share of each engine's cores that is busy.
const CPU_BUSY_SHARE: f64 = 0.5;

/// An attempt that the core sent to an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct DispatchedAttempt {
    /// The engine.
    pub engine: EngineId,
    /// The request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: u16,
}

/// What the core sent to the engines.
#[derive(Default)]
pub(super) struct RecordedState {
    dispatched: Vec<DispatchedAttempt>,
    /// Engines listed as ready since the set was last cleared.
    pub ready: BTreeSet<EngineId>,
    /// Engines that are draining or removed and were not listed as ready since.
    pub ended: BTreeSet<EngineId>,
    /// Attempts that were dispatched to an engine in `ended`.
    pub dispatched_to_ended: usize,
}

/// Engines that accept every attempt and record what the core sends.
#[derive(Clone, Default)]
pub(super) struct RecordingEngines(Arc<Mutex<RecordedState>>);

impl RecordingEngines {
    /// What has been recorded so far.
    pub(super) fn state(&self) -> MutexGuard<'_, RecordedState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the attempts that were dispatched since the last call.
    pub(super) fn take_dispatched(&self) -> Vec<DispatchedAttempt> {
        std::mem::take(&mut self.state().dispatched)
    }
}

impl EnginePort for RecordingEngines {
    fn start_attempt(&mut self, engine: EngineId, request: AttemptRequest) -> bool {
        let mut state = self.state();
        state.dispatched_to_ended += usize::from(state.ended.contains(&engine));
        state.dispatched.push(DispatchedAttempt {
            engine,
            id: request.id,
            attempt: request.attempt,
        });
        true
    }
    fn cancel_attempt(&mut self, _: EngineId, _: RequestId, _: u16, _: bool) {}
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, record: &EngineRecord) {
        let mut state = self.state();
        let engine = record.entry.engine;
        match record.entry.state {
            EngineState::Ready => {
                state.ended.remove(&engine);
                state.ready.insert(engine);
            }
            EngineState::Draining | EngineState::Removed => {
                state.ended.insert(engine);
            }
        }
    }
    fn engine_removed(&mut self, engine: EngineId) {
        self.state().ended.insert(engine);
    }
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// A client that discards its answers. The core still counts them.
pub(super) struct NullClient;

impl ClientPort for NullClient {
    fn answer(&self, _: RequestId, _: Answer) {}
}

/// The message of a new request with a statement of this class.
pub(super) fn request_message(
    id: RequestId,
    now: Millis,
    class: &Arc<NamedClass>,
    client: &Arc<dyn ClientPort>,
) -> CoreMessage {
    CoreMessage::Request(AcceptedRequest {
        id,
        client_reference: id.to_be_bytes().to_vec().into(),
        deadline_ms: now + class.class.client_timeout_ms,
        class: class.clone(),
        estimated_work_ms: Some(WORK_MS),
        estimated_memory_mb: None,
        data_set: id % fleet::DATA_SETS,
        member: Bytes::new(),
        frontend: FrontendKind::Platform,
        idempotency_key: None,
        order_key: None,
        statement: Bytes::from_static(b"SELECT 1"),
        statement_kind: StatementKind::Query,
        client: client.clone(),
    })
}

/// The message of a successful attempt, with the load report of its engine.
pub(super) fn completion_message(
    DispatchedAttempt {
        engine,
        id,
        attempt,
    }: DispatchedAttempt,
) -> CoreMessage {
    let report = LoadReport {
        inflight: Some(OTHER_MANAGERS_IN_FLIGHT),
        cpu_busy: Some(CPU_BUSY_SHARE),
        ..LoadReport::default()
    };
    let event = AttemptEvent::Ended {
        outcome: Outcome::Ok,
        measured_work_ms: Some(WORK_MS),
        measured_memory_mb: None,
        body: Some(ResultBody::complete(ResultFormat::Text, Vec::new())),
    };
    CoreMessage::Attempt {
        engine,
        id,
        attempt,
        load_report: report,
        event,
    }
}

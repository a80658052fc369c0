//! Shared parts of the tests of engine actors: an actor of either protocol, with the plain socket
//! that it connects to.

use crate::attempt::AttemptEnd;
use crate::core::{
    AttemptEvent, AttemptRequest, CancellationFlag, Clock, CoreMessage, Handle, Mailbox,
    StatementKind,
};
use crate::decision::{EngineEntry, EngineId, EngineState, Outcome, RequestId};
use crate::engines::admission::AttemptAdmission;
use crate::engines::context::{AfterCancellation, AttemptId, EngineContext, EngineMessage};
use crate::engines::{flight, line_protocol};
use crate::limits::Limits;
use crate::node_config::{EngineProtocol, EngineRecord, engine_id};
use bytes::Bytes;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The size of a statement that exceeds the buffers of both sockets.
pub(in crate::engines) const LARGE_STATEMENT_BYTES: usize = 24 << 20;

/// The longest time that a test waits for an expected event.
pub(in crate::engines) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An engine's actor, with the listener of the peer that it connects to.
pub(in crate::engines) struct EngineTestBench {
    pub(in crate::engines) listener: TcpListener,
    mailbox: mpsc::Sender<EngineMessage>,
    core_messages: Mailbox,
    pub(in crate::engines) context: EngineContext,
    pub(in crate::engines) admission: Arc<AttemptAdmission>,
}

impl EngineTestBench {
    pub(in crate::engines) async fn new(protocol: EngineProtocol) -> EngineTestBench {
        EngineTestBench::with_limits(protocol, |_| {}).await
    }

    /// Creates a bench with changed limits.
    pub(in crate::engines) async fn with_limits(
        protocol: EngineProtocol,
        change: impl FnOnce(&mut Limits),
    ) -> EngineTestBench {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (core, core_messages) = Handle::new(64, Clock::new());
        let mut context = EngineContext::for_tests(core);
        change(Arc::make_mut(&mut context.limits));
        let admission = Arc::<AttemptAdmission>::default();
        let (mailbox, messages) = mpsc::channel(64);
        let engine = EngineId::default();
        let (actor_context, actor_admission) = (context.clone(), admission.clone());
        match protocol {
            EngineProtocol::Flight => tokio::spawn(flight::run(
                engine,
                address,
                messages,
                actor_context,
                actor_admission,
            )),
            EngineProtocol::Lines => tokio::spawn(line_protocol::run(
                engine,
                address,
                messages,
                actor_context,
                actor_admission,
            )),
        };
        EngineTestBench {
            listener,
            mailbox,
            core_messages,
            context,
            admission,
        }
    }

    pub(in crate::engines) async fn send(&self, message: EngineMessage) {
        self.mailbox.send(message).await.expect("an open mailbox");
    }

    pub(in crate::engines) async fn accept(&self) -> TcpStream {
        let accepted = timeout(TEST_TIMEOUT, self.listener.accept()).await;
        accepted.expect("a connection in time").expect("accept").0
    }

    /// Returns the next event that the core receives, with its request.
    pub(in crate::engines) async fn next_event(&mut self) -> (RequestId, AttemptEvent) {
        next_event(&mut self.core_messages).await
    }

    /// Whether the core has received nothing after all actors have run.
    pub(in crate::engines) async fn has_no_event(&mut self) -> bool {
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        timeout(Duration::ZERO, self.core_messages.next_message())
            .await
            .is_err()
    }
}

/// Returns the next event that the core receives, with its request.
pub(in crate::engines) async fn next_event(
    core_messages: &mut Mailbox,
) -> (RequestId, AttemptEvent) {
    let message = timeout(TEST_TIMEOUT, core_messages.next_message()).await;
    match message.expect("an event in time") {
        Some(CoreMessage::Attempt { id, event, .. }) => (id, event),
        _ => panic!("expected an event of an attempt"),
    }
}

/// Creates a record of the endpoint list for an engine at a loopback port where nothing listens.
pub(in crate::engines) fn record(id: u32, state: EngineState) -> EngineRecord {
    let entry = EngineEntry {
        engine: engine_id(id),
        state,
        nominal_capacity: 8.0,
        ..EngineEntry::default()
    };
    EngineRecord {
        entry,
        address: ([127, 0, 0, 1], 9).into(),
    }
}

/// Whether the event reports that the request's cancelled attempt ended in this way.
pub(in crate::engines) fn is_cancelled(
    event: &(RequestId, AttemptEvent),
    id: RequestId,
    end: AttemptEnd,
) -> bool {
    matches!(event, (request, AttemptEvent::Cancelled(actual)) if *request == id && *actual == end)
}

/// Whether the event reports that the request's attempt ended with this outcome.
pub(in crate::engines) fn is_ended(
    event: &(RequestId, AttemptEvent),
    id: RequestId,
    expected: Outcome,
) -> bool {
    matches!(event, (request, AttemptEvent::Ended { outcome, .. }) if *request == id && *outcome == expected)
}

/// Runs a test on a runtime with a single thread, like that of the program.
pub(in crate::engines) fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(test);
}

/// Creates an attempt with a small statement.
pub(in crate::engines) fn attempt(id: RequestId) -> AttemptRequest {
    attempt_with_statement(id, 10)
}

/// Creates an attempt with a statement of this many bytes.
pub(in crate::engines) fn attempt_with_statement(id: RequestId, bytes: usize) -> AttemptRequest {
    let class = EngineContext::settings_for_tests().classes[0].clone();
    AttemptRequest {
        id,
        attempt: 0,
        client_reference: Bytes::from(format!("{id:016x}")),
        class,
        deadline_ms: 1e13,
        send_before_ms: f64::INFINITY,
        memory_mb: 0.0,
        priority: 1,
        idempotency_key: None,
        statement: Bytes::from(vec![b' '; bytes]),
        statement_kind: StatementKind::Query,
        cancellation: CancellationFlag::default(),
    }
}

/// Returns the message that starts this attempt.
pub(in crate::engines) fn start_message(attempt: AttemptRequest) -> EngineMessage {
    EngineMessage::StartAttempt(Box::new(attempt))
}

/// Returns the message that cancels the only attempt of this request.
pub(in crate::engines) fn cancel_message(
    request: RequestId,
    after_cancellation: AfterCancellation,
) -> EngineMessage {
    EngineMessage::CancelAttempt {
        attempt: AttemptId { request, number: 0 },
        after_cancellation,
    }
}

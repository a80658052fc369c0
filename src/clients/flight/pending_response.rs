//! Passes a request to the core and waits for its answer.

use super::statement_call::StatementCall;
use super::{grpc_timeout, status};
use crate::clients::connection_slots::ConnectionSlot;
use crate::clients::pending::PendingGuard;
use crate::clients::{Frontend, outcome_counter};
use crate::core::{Answer, ClientPort, CoreMessage, ResultBody, StatementKind};
use crate::decision::RequestId;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;
use tonic::Status;
use tonic::metadata::MetadataMap;

/// Sends the core's one answer to the call that waits for it.
struct AnswerChannel(Mutex<Option<oneshot::Sender<Answer>>>);

impl AnswerChannel {
    fn new() -> (Arc<AnswerChannel>, oneshot::Receiver<Answer>) {
        let (sender, answer) = oneshot::channel();
        (Arc::new(AnswerChannel(Mutex::new(Some(sender)))), answer)
    }
}

impl ClientPort for AnswerChannel {
    fn answer(&self, _: RequestId, answer: Answer) {
        let sender = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(sender) = sender {
            // Sending fails if the client has cancelled its call. The answer is then not needed.
            let _ = sender.send(answer);
        }
    }
}

/// A request whose client has not received the complete answer yet.
///
/// If it is dropped before it is completed, it notifies the core that the client has disconnected.
/// The drop is the only sign of a cancelled call or a closed connection.
pub(super) struct PendingResponse {
    frontend: Frontend,
    id: RequestId,
    completed: bool,
    slot: Option<Arc<ConnectionSlot>>,
    pending: Option<PendingGuard>,
}

impl PendingResponse {
    fn new(frontend: &Frontend, id: RequestId, slot: Option<Arc<ConnectionSlot>>) -> Self {
        if let Some(slot) = &slot {
            slot.request_opened();
        }
        PendingResponse {
            frontend: frontend.clone(),
            id,
            completed: false,
            slot,
            pending: Some(PendingGuard::new(&frontend.metrics)),
        }
    }

    /// Sets whether the core has finished its work on the request: the whole answer has been
    /// produced, or there will be none.
    pub(super) fn set_completed(&mut self, completed: bool) {
        self.completed = completed;
    }

    pub(super) fn is_completed(&self) -> bool {
        self.completed
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.pending = None;
        if let Some(slot) = &self.slot {
            slot.request_closed();
        }
        if self.completed {
            return;
        }
        let id = self.id;
        if self
            .frontend
            .core
            .try_send(CoreMessage::ClientDisconnected(id))
        {
            return;
        }
        // The core's mailbox is full, so a task waits for space in it. If there is no runtime, the
        // program is ending and the core has already ended.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let core = self.frontend.core.clone();
            runtime.spawn(async move { core.send(CoreMessage::ClientDisconnected(id)).await });
        }
    }
}

/// Passes a request to the core and waits for its one final answer. If the result is streamed, the
/// returned response stays pending until the remaining chunks have arrived.
///
/// # Errors
///
/// If the call's timeout cannot be parsed, or if the request was rejected or has failed.
pub(super) async fn serve(
    frontend: &Frontend,
    call: StatementCall,
    statement_kind: StatementKind,
    metadata: &MetadataMap,
    slot: Option<Arc<ConnectionSlot>>,
) -> Result<(ResultBody, PendingResponse), Status> {
    let now_ms = frontend.core.now();
    let class_timeout_ms = call.class.class.client_timeout_ms;
    let requested_timeout_ms = grpc_timeout::timeout_ms(metadata)?.unwrap_or(class_timeout_ms);
    let deadline_ms = frontend.deadline_ms(now_ms, &call.class, requested_timeout_ms);
    let outcomes = frontend.metrics.outcomes_of_class(&call.class.name);
    let id = frontend.core.next_id();
    let (channel, answer) = AnswerChannel::new();
    let mut response = PendingResponse::new(frontend, id, slot);
    let request = call.into_request(id, deadline_ms, statement_kind, channel);
    frontend.core.send(CoreMessage::Request(request)).await;
    let answer = answer.await;
    response.set_completed(true);
    let Ok(answer) = answer else {
        outcomes.failed.increment();
        return Err(status::core_ended());
    };
    outcome_counter(&outcomes, &answer).increment();
    match answer {
        Answer::Served(body) => {
            response.set_completed(body.remaining_chunks.is_none());
            if let Some(slot) = &response.slot {
                slot.mark_served();
            }
            Ok((body, response))
        }
        Answer::Rejected { retry_after_ms } => Err(status::rejected(retry_after_ms)),
        Answer::Failed(reason) => Err(status::failed(reason)),
    }
}

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

/// Takes the one answer from the core to the call that waits for it.
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
            // The receiver is gone if the client has cancelled its call; then nobody needs the answer.
            let _ = sender.send(answer);
        }
    }
}

/// A request whose client has not got its complete answer yet.
///
/// Dropped before that, it tells the core that the client has disconnected: a cancelled call and a closed connection
/// show in no other way.
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

    /// Records whether the core has nothing more to do for the request: the client has its answer, or there is none.
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
        // The core's mailbox is full. Without a runtime the program ends, and the core has ended.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let core = self.frontend.core.clone();
            runtime.spawn(async move { core.send(CoreMessage::ClientDisconnected(id)).await });
        }
    }
}

/// Has the core serve a request, and waits for its one final answer. Of a result that is still streaming the rest is
/// pending.
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
    let allowed_ms = grpc_timeout::timeout_ms(metadata)?.unwrap_or(class_timeout_ms);
    let deadline_ms = frontend.deadline_ms(now_ms, &call.class, allowed_ms);
    let outcomes = frontend.metrics.class(&call.class.name);
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

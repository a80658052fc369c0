//! Passes a request to the core and waits for its answer.

use super::client_connection::ClientConnection;
use super::open_call::OpenCall;
use super::statement_call::StatementCall;
use super::{grpc_timeout, status};
use crate::clients::{Frontend, outcome_counter};
use crate::core::{Answer, ClientPort, CoreMessage, FailureReason, ResultBody, StatementKind};
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

/// A request that the core has not finished yet.
///
/// If it is dropped before it is completed, it notifies the core that the client has disconnected.
/// The drop is the only sign of a cancelled call or a closed connection.
pub(super) struct PendingResponse {
    frontend: Frontend,
    id: RequestId,
    completed: bool,
}

impl PendingResponse {
    fn new(frontend: &Frontend, id: RequestId) -> Self {
        PendingResponse {
            frontend: frontend.clone(),
            id,
            completed: false,
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
        if self.completed {
            return;
        }
        self.frontend.core.notify_disconnects(vec![self.id]);
    }
}

/// A served request: its result, and what is still open of it.
pub(super) struct ServedCall {
    pub(super) body: ResultBody,
    /// Stays pending until the remaining chunks of a streamed result have arrived.
    pub(super) response: PendingResponse,
    /// Stays open until the client has received the answer.
    pub(super) open_call: OpenCall,
}

/// Passes a request to the core and waits for its one final answer.
///
/// # Errors
///
/// If the call's timeout cannot be parsed, if the request was rejected or has failed, or if its
/// result exceeds the memory for unread answers.
pub(super) async fn serve(
    frontend: &Frontend,
    call: StatementCall,
    statement_kind: StatementKind,
    metadata: &MetadataMap,
    connection: Option<Arc<ClientConnection>>,
) -> Result<ServedCall, Status> {
    let now_ms = frontend.core.now();
    let class_timeout_ms = call.class.class.client_timeout_ms;
    let requested_timeout_ms = grpc_timeout::timeout_ms(metadata)?.unwrap_or(class_timeout_ms);
    let deadline_ms = frontend.deadline_ms(now_ms, &call.class, requested_timeout_ms);
    let outcomes = frontend.metrics.outcomes_of_class(&call.class.name);
    let id = frontend.core.next_id();
    let (channel, answer) = AnswerChannel::new();
    let mut open_call = OpenCall::new(frontend, connection);
    let mut response = PendingResponse::new(frontend, id);
    let request = call.into_request(id, deadline_ms, statement_kind, channel);
    frontend.core.send(CoreMessage::Request(request)).await;
    let answer = answer.await;
    response.set_completed(true);
    let Ok(answer) = answer else {
        outcomes.failed.increment();
        return Err(status::core_ended());
    };
    let body = match answer {
        Answer::Served(ref body) if !open_call.reserve(buffered_bytes(body)) => {
            outcomes.failed.increment();
            frontend.metrics.client_over_limit.increment();
            response.set_completed(body.remaining_chunks.is_none());
            return Err(status::failed(FailureReason::AttemptFailed));
        }
        answer => {
            outcome_counter(&outcomes, &answer).increment();
            served_body(answer)?
        }
    };
    response.set_completed(body.remaining_chunks.is_none());
    open_call.mark_served();
    Ok(ServedCall {
        body,
        response,
        open_call,
    })
}

/// The result in an answer.
///
/// # Errors
///
/// If the request was rejected or has failed.
fn served_body(answer: Answer) -> Result<ResultBody, Status> {
    match answer {
        Answer::Served(body) => Ok(body),
        Answer::Rejected { retry_after_ms } => Err(status::rejected(retry_after_ms)),
        Answer::Failed(reason) => Err(status::failed(reason)),
    }
}

/// The size of the buffered chunks of a result.
fn buffered_bytes(body: &ResultBody) -> usize {
    body.chunks.iter().map(bytes::Bytes::len).sum()
}

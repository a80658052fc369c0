//! The open requests of one client connection, and the core's answers to them.
//!
//! The connection's actor adds and cancels requests, and takes their answers. The core delivers an
//! answer at any time, also while the actor handles a burst of calls. An answer is stored only
//! while its request is open, so the memory for answers is bounded by the number of open requests,
//! and no answer to an open request is dropped.

use crate::core::{Answer, ClientPort};
use crate::decision::RequestId;
use crate::metrics::ClassOutcomes;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// A request that the client has sent and whose answer the connection has not handled yet.
pub(super) struct OpenRequest {
    pub(super) message_id: u64,
    pub(super) outcomes: Arc<ClassOutcomes>,
}

/// The open requests of one connection. The connection's actor and the core share it.
#[derive(Default)]
pub(super) struct OpenRequests {
    state: Mutex<State>,
    /// Notified when an answer arrives.
    answer_arrived: Notify,
}

#[derive(Default)]
struct State {
    requests: HashMap<RequestId, OpenRequest>,
    /// Answers that the connection has not handled yet, oldest first: at most one for each request
    /// in `requests`.
    answers: VecDeque<(RequestId, Answer)>,
}

impl State {
    /// Whether the request is open and its answer has not arrived yet.
    fn is_unanswered(&self, id: RequestId) -> bool {
        let has_answer = self.answers.iter().any(|(answered, _)| *answered == id);
        self.requests.contains_key(&id) && !has_answer
    }

    /// Removes a request, and its answer if that has arrived.
    fn remove(&mut self, id: RequestId) -> Option<OpenRequest> {
        self.answers.retain(|(answered, _)| *answered != id);
        self.requests.remove(&id)
    }
}

impl OpenRequests {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of open requests.
    pub(super) fn len(&self) -> usize {
        self.state().requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request. It must be added before it is passed to the core, as the answer may come at
    /// once.
    pub(super) fn insert(&self, id: RequestId, request: OpenRequest) {
        self.state().requests.insert(id, request);
    }

    /// Removes the request of the call with this message id, because the client no longer waits for
    /// its answer. Returns the request's id, or `None` if no such request is open.
    pub(super) fn cancel(&self, message_id: u64) -> Option<RequestId> {
        let mut state = self.state();
        let id = state
            .requests
            .iter()
            .find(|(_, request)| request.message_id == message_id)
            .map(|(id, _)| *id)?;
        state.remove(id);
        Some(id)
    }

    /// Removes all requests and returns their ids. Answers that arrive later are dropped.
    pub(super) fn cancel_all(&self) -> Vec<RequestId> {
        let State { requests, .. } = std::mem::take(&mut *self.state());
        requests.into_keys().collect()
    }

    /// Waits for the next answer and removes its request. Cancelling this future loses no answer.
    pub(super) async fn next_answer(&self) -> (OpenRequest, Answer) {
        loop {
            if let Some(answered) = self.take_answer() {
                return answered;
            }
            self.answer_arrived.notified().await;
        }
    }

    fn take_answer(&self) -> Option<(OpenRequest, Answer)> {
        let mut state = self.state();
        let (id, answer) = state.answers.pop_front()?;
        let request = state.requests.remove(&id)?;
        Some((request, answer))
    }
}

impl ClientPort for OpenRequests {
    fn answer(&self, id: RequestId, answer: Answer) {
        let mut state = self.state();
        if !state.is_unanswered(id) {
            tracing::debug!(id, "answer dropped: the client has cancelled the request");
            return;
        }
        state.answers.push_back((id, answer));
        self.answer_arrived.notify_one();
    }
}

#[cfg(test)]
mod tests;

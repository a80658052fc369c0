//! Handles the calls of a client: requests go to the core, all other calls are answered at once.

use super::Connection;
use crate::clients::msgpack::{Call, Message};
use crate::clients::msgpack_rpc::answers::ErrorName;
use crate::clients::msgpack_rpc::call::parse_request;
use crate::clients::msgpack_rpc::errors::ProtocolError;
use crate::clients::msgpack_rpc::input::{ReceivedMessage, RefusedCall};
use crate::clients::msgpack_rpc::open_requests::OpenRequest;
use crate::core::{AcceptedRequest, CoreMessage};
use crate::decision::Millis;
use crate::log::lossy_text;
use crate::metrics::ClassOutcomes;
use std::sync::Arc;
use tokio::time::Instant;

/// Method of the health check. Every other method is the name of a class.
const HEALTH_METHOD: &[u8] = b"health";

impl Connection {
    /// Handles all complete messages in the input.
    ///
    /// # Errors
    ///
    /// If no more messages may be read from the connection.
    pub(super) async fn handle_messages(&mut self) -> Result<(), ProtocolError> {
        let now_ms = self.frontend.core.now();
        while let Some(message) = self.input.next_message()? {
            match message {
                ReceivedMessage::Message(message) => self.handle_message(now_ms, message).await?,
                ReceivedMessage::Refused(call) => self.handle_refused_call(&call)?,
            }
        }
        self.input
            .record_all_messages_read(self.last_message_id > 0);
        Ok(())
    }

    async fn handle_message(
        &mut self,
        now_ms: Millis,
        message: Message,
    ) -> Result<(), ProtocolError> {
        match message {
            Message::Call(call) => self.handle_call(now_ms, call).await?,
            Message::Cancel { id } => self.cancel(id).await,
            Message::UnknownNotification => {
                self.frontend.metrics.client_bad_calls.increment();
                self.count_bad_call();
            }
        }
        Ok(())
    }

    /// Answers a call for which the connection's share of the memory is too small. The request has
    /// not run, so it is rejected. A health check needs no memory.
    fn handle_refused_call(&mut self, call: &RefusedCall) -> Result<(), ProtocolError> {
        self.record_call(call.id)?;
        if call.method.as_ref() == HEALTH_METHOD {
            self.answer_health_check(call.id);
            return Ok(());
        }
        self.log_refused_call(
            call.id,
            &"the client's requests exceed its share of the memory",
        );
        self.reject_over_limit(call.id, self.frontend.class_outcomes(&call.method));
        Ok(())
    }

    fn answer_health_check(&mut self, message_id: u64) {
        self.slot.mark_served();
        let accepts_requests = !self.is_draining();
        self.answer_queue.push_health(message_id, accepts_requests);
    }

    /// Rejects a call that exceeds a limit of the connection.
    fn reject_over_limit(&mut self, message_id: u64, outcomes: Option<Arc<ClassOutcomes>>) {
        self.frontend.metrics.client_over_limit.increment();
        if let Some(class) = outcomes {
            class.rejected.increment();
        }
        self.answer_queue
            .push_error(message_id, ErrorName::Overloaded);
    }

    /// Passes a request to the core, or answers the call at once.
    async fn handle_call(&mut self, now_ms: Millis, call: Call) -> Result<(), ProtocolError> {
        let message_id = call.id;
        self.record_call(message_id)?;
        if call.method.as_ref() == HEALTH_METHOD {
            self.answer_health_check(message_id);
            return Ok(());
        }
        let outcomes = self.frontend.class_outcomes(&call.method);
        let client = self.open_requests.clone();
        match parse_request(&self.frontend, now_ms, call, client) {
            Ok(request) if self.has_request_capacity() => {
                let outcomes = outcomes.unwrap_or_default();
                self.submit(request, message_id, outcomes).await;
            }
            Ok(_) => {
                self.log_refused_call(message_id, &"the connection has too many open requests");
                self.reject_over_limit(message_id, outcomes);
                self.count_bad_call();
            }
            Err(error) => {
                self.log_refused_call(message_id, &error);
                self.frontend.metrics.client_bad_calls.increment();
                if let Some(class) = outcomes {
                    class.failed.increment();
                }
                self.answer_queue.push_error(message_id, (&error).into());
                self.count_bad_call();
            }
        }
        Ok(())
    }

    fn log_refused_call(&self, message_id: u64, reason: &dyn std::fmt::Display) {
        let connection = self.slot.connection_id();
        tracing::debug!(connection, message_id, %reason, "call refused; the client gets an error");
    }

    /// Records that a complete call has arrived.
    ///
    /// # Errors
    ///
    /// If its message id is not greater than that of the call before.
    fn record_call(&mut self, message_id: u64) -> Result<(), ProtocolError> {
        // With a repeated id, the client could not match the two answers to its two calls.
        if message_id <= self.last_message_id {
            return Err(ProtocolError::MessageIdNotIncreasing {
                id: message_id,
                previous: self.last_message_id,
            });
        }
        self.last_message_id = message_id;
        self.slot.record_call();
        self.idle_since = Instant::now();
        self.input.record_complete_call();
        if std::mem::take(&mut self.evicted) {
            self.slot.withdraw_close_request();
        }
        Ok(())
    }

    /// Whether the client may open another request.
    fn has_request_capacity(&self) -> bool {
        self.open_requests.len() < self.frontend.limits.open_requests_per_client
    }

    /// Passes a request to the core and records it as open.
    async fn submit(
        &mut self,
        request: AcceptedRequest,
        message_id: u64,
        outcomes: Arc<ClassOutcomes>,
    ) {
        let open_request = OpenRequest {
            message_id,
            outcomes,
        };
        tracing::debug!(
            id = request.id,
            r#ref = %lossy_text(&request.client_reference),
            connection = self.slot.connection_id(),
            message_id,
            "request received from a client"
        );
        self.open_requests.insert(request.id, open_request);
        self.update_accounting();
        let message = CoreMessage::Request(request);
        self.frontend.core.send(message).await;
    }

    /// Cancels the request of a call if it is still open. The client gets no answer then.
    async fn cancel(&mut self, message_id: u64) {
        if let Some(id) = self.open_requests.cancel(message_id) {
            let message = CoreMessage::ClientDisconnected(id);
            self.frontend.core.send(message).await;
        }
    }

    /// Counts a call that was refused, or an unknown notification. Above the limit, the connection is
    /// read slowly and closed as soon as it is idle, because a client that sends such calls as fast
    /// as they are answered would keep the process busy. All calls that were read are answered.
    fn count_bad_call(&mut self) {
        self.bad_calls = self.bad_calls.saturating_add(1);
    }

    /// Whether the client has sent too many calls that were refused, or unknown notifications.
    pub(super) fn has_too_many_bad_calls(&self) -> bool {
        self.bad_calls > self.frontend.limits.client_bad_calls
    }
}

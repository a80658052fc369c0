//! The task of one attempt. It sends the statement to the engine, collects the result and reports
//! how the attempt ended.

use super::attempt_calls::AttemptCalls;
use super::attempt_failure::AttemptFailure;
use super::cancellation::confirm_reset;
use super::engine_link::EngineLink;
use super::http2_connection::Http2Connection;
use super::metadata::{
    INFLIGHT, USED_MB, WORK_MS, call_request, copy_measurements, parse_measurement,
};
use super::result_check::check_message;
use super::result_collector::ResultCollector;
use crate::core::{AttemptEvent, AttemptRequest, ResultBody, StatementKind};
use crate::decision::{LoadReport, Outcome};
use crate::engines::context::{AfterCancellation, AttemptId};
use crate::node_config::format_engine_id;
use crate::rows;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{
    CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt,
};
use arrow_flight::{FlightData, FlightDescriptor, Ticket};
use futures::stream;
use prost::Message;
use std::sync::{Arc, OnceLock};
use tonic::Request;
use tonic::metadata::MetadataMap;

/// Runs an attempt to its end and reports the end to the core. Sets `used_connection` before the
/// statement is sent on a connection: once it is set, part of the attempt may have been sent.
pub(super) async fn run_attempt(
    link: Arc<EngineLink>,
    request: AttemptRequest,
    used_connection: Arc<OnceLock<Http2Connection>>,
) {
    let attempt = AttemptId::from(&request);
    let connected = link.connection_for_attempt().await;
    // The attempt may have been cancelled, or its time may have run out, while the connection was
    // being opened.
    if connected.is_ok()
        && let Some(event) = request.end_if_expired_or_cancelled(link.context().core.now())
    {
        return link.send_event_without_report(attempt, event).await;
    }
    let mut measurements = MetadataMap::new();
    let result = match connected {
        Ok(_) if link.is_admission_closed() => {
            Err(FailedAttempt::before_calls(AttemptFailure::AdmissionClosed))
        }
        Ok(connected) => {
            let _ = used_connection.set(connected.connection.clone());
            let calls = AttemptCalls::new(connected.connection.clone());
            let mut statement = StatementExecution::new(&link, &request, &mut measurements);
            let executed = statement.execute(calls.clone()).await;
            executed.map_err(|failure| FailedAttempt {
                outcome: calls.outcome_of(&failure),
                failure,
            })
        }
        Err(failure) => Err(FailedAttempt::before_calls(failure)),
    };
    let (outcome, body) = match result {
        Ok(body) => (Outcome::Ok, body),
        Err(FailedAttempt { failure, outcome }) => {
            let AttemptId {
                request: id,
                number: attempt,
            } = attempt;
            tracing::debug!(id, attempt, engine = %format_engine_id(link.engine()), %failure, ?outcome, "attempt failed; its outcome is reported to the core");
            if matches!(failure, AttemptFailure::UnusableResult(_)) {
                link.context().metrics.engine_malformed.increment();
            }
            // A call that failed only on this side may still run on the engine. Its reset was
            // queued when the call was dropped. Without this wait, a retry on another engine could
            // start before the first engine has read the reset.
            if let Some(connection) = used_connection.get()
                && failure.may_leave_call_open()
            {
                let after_cancellation = AfterCancellation::RetryMayFollow;
                confirm_reset(&link, connection.clone(), after_cancellation).await;
            }
            (outcome, None)
        }
    };
    if matches!(outcome, Outcome::Reset | Outcome::NoConnection) {
        // The next attempt opens a new connection, so that it is certain whether it was sent.
        link.discard_connection().await;
    }
    report_end(&link, attempt, outcome, &measurements, body).await;
}

/// A failed attempt, with the outcome that is reported to the core.
struct FailedAttempt {
    failure: AttemptFailure,
    outcome: Outcome,
}

impl FailedAttempt {
    /// An attempt that failed before its first call.
    fn before_calls(failure: AttemptFailure) -> FailedAttempt {
        FailedAttempt {
            outcome: failure.outcome(),
            failure,
        }
    }
}

/// Reports the end of an attempt to the core, with the measurements that the engine reported.
async fn report_end(
    link: &EngineLink,
    attempt: AttemptId,
    outcome: Outcome,
    measurements: &MetadataMap,
    body: Option<ResultBody>,
) {
    let load_report = LoadReport {
        inflight: parse_measurement(measurements, INFLIGHT),
        ..LoadReport::default()
    };
    let event = AttemptEvent::Ended {
        outcome,
        measured_work_ms: parse_measurement(measurements, WORK_MS),
        measured_memory_mb: parse_measurement(measurements, USED_MB),
        body,
    };
    link.send_event(attempt, load_report, event).await;
}

/// The execution of one attempt's statement.
struct StatementExecution<'a> {
    link: &'a EngineLink,
    request: &'a AttemptRequest,
    /// Metadata in which the engine reports its load and the cost of the statement.
    measurements: &'a mut MetadataMap,
}

impl<'a> StatementExecution<'a> {
    fn new(
        link: &'a EngineLink,
        request: &'a AttemptRequest,
        measurements: &'a mut MetadataMap,
    ) -> StatementExecution<'a> {
        StatementExecution {
            link,
            request,
            measurements,
        }
    }

    /// Executes the statement with these calls. Returns the complete result, or `None` if the
    /// result was streamed to the client.
    async fn execute(&mut self, calls: AttemptCalls) -> Result<Option<ResultBody>, AttemptFailure> {
        let context = self.link.context();
        let origin = format!("http://{}", self.link.address()).parse()?;
        let client = FlightServiceClient::with_origin(calls, origin)
            .max_decoding_message_size(context.limits.flight_message_bytes);
        // Counted before the call, because it is not observable when the last byte of a stream was
        // sent.
        context.metrics.attempts_written.increment();
        let text = String::from_utf8(self.request.statement.to_vec())?;
        match self.request.statement_kind {
            StatementKind::Update => self.execute_update(client, text).await.map(Some),
            StatementKind::Query => self.execute_query(client, text).await,
        }
    }

    /// Wraps a message in a request with the metadata of this attempt.
    fn with_metadata<T>(&self, message: T) -> Request<T> {
        call_request(self.request, self.link.context().core.now(), message)
    }

    /// Executes an update. Returns a body with the number of rows that it changed.
    async fn execute_update(
        &mut self,
        mut client: FlightServiceClient<AttemptCalls>,
        query: String,
    ) -> Result<ResultBody, AttemptFailure> {
        let command = CommandStatementUpdate {
            query,
            transaction_id: None,
        };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData::new().with_descriptor(descriptor);
        let response = client
            .do_put(self.with_metadata(stream::iter([data])))
            .await?;
        copy_measurements(self.measurements, response.metadata());
        let mut results = response.into_inner();
        let result = results.message().await?;
        let result = result.ok_or(AttemptFailure::MissingUpdateResult)?;
        let count = DoPutUpdateResult::decode(result.app_metadata)?;
        while results.message().await?.is_some() {}
        Ok(rows::changed_rows_body(count.record_count))
    }

    /// Executes a query and collects the rows of all endpoints of its result. Returns `None` if the
    /// rows were streamed to the client.
    async fn execute_query(
        &mut self,
        mut client: FlightServiceClient<AttemptCalls>,
        query: String,
    ) -> Result<Option<ResultBody>, AttemptFailure> {
        let command = CommandStatementQuery {
            query,
            transaction_id: None,
        };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let response = client
            .get_flight_info(self.with_metadata(descriptor))
            .await?;
        let mut collector = ResultCollector::new(self.link, AttemptId::from(self.request));
        for (index, endpoint) in response.into_inner().endpoint.into_iter().enumerate() {
            let ticket = endpoint.ticket.ok_or(AttemptFailure::MissingTicket)?;
            // The first message of each endpoint is the schema, which the client receives only
            // once.
            let messages_to_skip = usize::from(index > 0);
            self.collect_endpoint(&mut client, ticket, messages_to_skip, &mut collector)
                .await?;
        }
        collector.finish().await
    }

    /// Collects the messages of one endpoint, except for the first `messages_to_skip`.
    async fn collect_endpoint(
        &mut self,
        client: &mut FlightServiceClient<AttemptCalls>,
        ticket: Ticket,
        mut messages_to_skip: usize,
        collector: &mut ResultCollector<'_>,
    ) -> Result<(), AttemptFailure> {
        let response = client.do_get(self.with_metadata(ticket)).await?;
        copy_measurements(self.measurements, response.metadata());
        let mut data = response.into_inner();
        loop {
            collector.ready().await?;
            let Some(message) = data.message().await? else {
                break;
            };
            if messages_to_skip > 0 {
                messages_to_skip -= 1;
                continue;
            }
            check_message(&message)?;
            collector.push(message.encode_to_vec()).await?;
        }
        if let Some(trailers) = data.trailers().await? {
            copy_measurements(self.measurements, &trailers);
        }
        Ok(())
    }
}

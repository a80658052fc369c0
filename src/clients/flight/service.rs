//! The gRPC service: plans queries, runs planned queries and runs updates.

use super::client_connection::ClientConnection;
use super::command;
use super::open_call::OpenCall;
use super::pending_response::{ServedCall, serve};
use super::result_stream::{FlightDataStream, result_stream};
use super::statement_call::{StatementCall, new_reference};
use super::status::{self, CallError};
use super::tickets::TicketStore;
use crate::clients::Frontend;
use crate::core::StatementKind;
use crate::decision::Idempotency;
use crate::rows;
use arrow_flight::flight_service_server::FlightService;
use arrow_flight::sql::{DoPutUpdateResult, ProstMessageExt, TicketStatementQuery};
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, SchemaResult, Ticket,
};
use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use prost::Message;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::timeout;
use tonic::{Request, Response, Status, Streaming};

/// The Flight SQL service. All connections share one ticket store.
#[derive(Clone)]
pub(super) struct FlightFrontend {
    frontend: Frontend,
    tickets: Arc<Mutex<TicketStore>>,
}

impl FlightFrontend {
    pub(super) fn new(frontend: Frontend) -> FlightFrontend {
        FlightFrontend {
            frontend,
            tickets: Arc::default(),
        }
    }

    /// Counts a call, and also counts it as a bad call if the client caused its error.
    fn count_call<T>(&self, result: Result<T, Status>) -> Result<T, Status> {
        self.frontend.metrics.flight_calls.increment();
        result.inspect_err(|error| {
            if status::is_client_error(error) {
                self.frontend.metrics.flight_bad_calls.increment();
            }
        })
    }

    fn reject_unsupported<T>(&self, method: &str) -> Result<T, Status> {
        let error = CallError::Unsupported(method.to_owned());
        self.count_call(Err(error.into()))
    }

    fn tickets(&self) -> MutexGuard<'_, TicketStore> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn store_ticket(
        &self,
        handle: Bytes,
        call: StatementCall,
        connection: Option<&ClientConnection>,
    ) {
        let limits = &self.frontend.limits;
        let owner = connection.map(|connection| connection.slot.connection_id());
        self.tickets().insert(handle, call, owner, limits);
    }

    /// Checks a query and returns a ticket for it. Nothing is sent to an engine.
    fn plan_query(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, CallError> {
        let connection = client_connection(&request);
        let open_call = OpenCall::new(&self.frontend, connection.clone());
        let (metadata, _, descriptor) = request.into_parts();
        let statement = command::query_statement(&descriptor.cmd)?;
        let connection = connection.as_deref();
        let call = StatementCall::parse(&self.frontend, connection, &metadata, statement)?;
        let handle = call.reference.clone();
        self.store_ticket(handle.clone(), call, connection);
        let ticket = TicketStatementQuery {
            statement_handle: handle,
        };
        let ticket = Ticket {
            ticket: ticket.as_any().encode_to_vec().into(),
        };
        let info = FlightInfo::new()
            .with_descriptor(descriptor)
            .with_endpoint(FlightEndpoint::new().with_ticket(ticket));
        Ok(response_of_call(info, open_call))
    }

    /// Returns a ticket's handle and its planned call, under the settings of now and in memory of the
    /// client that fetches it. The ticket of a
    /// non-idempotent class is removed, so that it can be used only once. This happens before
    /// anything is sent to an engine.
    fn redeem(
        &self,
        ticket: &Ticket,
        connection: Option<&ClientConnection>,
    ) -> Result<(Bytes, StatementCall), CallError> {
        let handle = command::statement_handle(&ticket.ticket)?;
        let planned = self.tickets().get(&handle);
        let mut call = planned
            .ok_or(CallError::UnknownTicket)?
            .under_current_settings(&self.frontend)?
            .reserve_for(&self.frontend, connection)?;
        if call.class.class.idempotency == Idempotency::NonIdempotent {
            self.tickets().remove(&handle);
        } else {
            // The client may use this ticket several times. Each use is a separate request to the
            // engines, so it gets its own reference.
            call.reference = new_reference(&self.frontend.core);
        }
        Ok((handle, call))
    }

    /// Runs a planned query and streams its result.
    async fn run_query(
        &self,
        request: Request<Ticket>,
    ) -> Result<Response<FlightDataStream>, Status> {
        let connection = client_connection(&request);
        let (metadata, _, ticket) = request.into_parts();
        let (handle, call) = self.redeem(&ticket, connection.as_deref())?;
        let kind = StatementKind::Query;
        let (planned, client) = (call.clone(), connection.clone());
        let served = serve(&self.frontend, planned, kind, &metadata, client).await;
        let served = served.inspect_err(|error| {
            // A rejected query did not run, so its ticket becomes valid again.
            if status::is_rejection(error) {
                self.store_ticket(handle, call, connection.as_deref());
            }
        })?;
        let ServedCall {
            body,
            response,
            open_call,
        } = served;
        let messages = result_stream(body, response)?;
        Ok(response_of_call(messages, open_call))
    }

    /// Reads the command of an update and returns its statement. Nothing more of the input is needed,
    /// so it is dropped, and what follows is not kept.
    async fn read_update(&self, mut input: Streaming<FlightData>) -> Result<String, Status> {
        // Without this timeout, a call that sends no command would stay open forever.
        let first_message = timeout(self.frontend.limits.client_read_timeout, input.message())
            .await
            .map_err(|_| CallError::CommandTimeout)??
            .ok_or(CallError::MissingCommand)?;
        let descriptor = first_message
            .flight_descriptor
            .ok_or(CallError::MissingDescriptor)?;
        Ok(command::update_statement(&descriptor.cmd)?)
    }

    /// Runs an update and returns the number of changed rows.
    async fn run_update(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<<Self as FlightService>::DoPutStream>, Status> {
        let connection = client_connection(&request);
        let (metadata, _, input) = request.into_parts();
        let statement = self.read_update(input).await?;
        let client = connection.as_deref();
        let call = StatementCall::parse(&self.frontend, client, &metadata, statement)?;
        let kind = StatementKind::Update;
        let served = serve(&self.frontend, call, kind, &metadata, connection).await?;
        let result = DoPutUpdateResult {
            record_count: rows::changed_row_count(&served.body),
        };
        let result = PutResult {
            app_metadata: result.encode_to_vec().into(),
        };
        let results = stream::iter([Ok(result)]).boxed();
        Ok(response_of_call(results, served.open_call))
    }
}

/// Returns the connection on which a call arrived.
fn client_connection<T>(request: &Request<T>) -> Option<Arc<ClientConnection>> {
    request.extensions().get::<Arc<ClientConnection>>().cloned()
}

/// Creates the response of a call that stays open until the client has received the response.
fn response_of_call<T>(message: T, open_call: OpenCall) -> Response<T> {
    let mut response = Response::new(message);
    response.extensions_mut().insert(Arc::new(open_call));
    response
}

#[tonic::async_trait]
impl FlightService for FlightFrontend {
    type HandshakeStream = BoxStream<'static, Result<HandshakeResponse, Status>>;
    type ListFlightsStream = BoxStream<'static, Result<FlightInfo, Status>>;
    type DoGetStream = FlightDataStream;
    type DoPutStream = BoxStream<'static, Result<PutResult, Status>>;
    type DoActionStream = BoxStream<'static, Result<arrow_flight::Result, Status>>;
    type ListActionsStream = BoxStream<'static, Result<ActionType, Status>>;
    type DoExchangeStream = FlightDataStream;

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        self.count_call(self.plan_query(request).map_err(Status::from))
    }

    async fn do_get(
        &self,
        request: Request<Ticket>,
    ) -> Result<Response<Self::DoGetStream>, Status> {
        let result = self.run_query(request).await;
        self.count_call(result)
    }

    async fn do_put(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoPutStream>, Status> {
        let result = self.run_update(request).await;
        self.count_call(result)
    }

    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Self::HandshakeStream>, Status> {
        self.reject_unsupported("Handshake")
    }

    async fn list_flights(
        &self,
        _: Request<Criteria>,
    ) -> Result<Response<Self::ListFlightsStream>, Status> {
        self.reject_unsupported("ListFlights")
    }

    async fn poll_flight_info(
        &self,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<PollInfo>, Status> {
        self.reject_unsupported("PollFlightInfo")
    }

    async fn get_schema(
        &self,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<SchemaResult>, Status> {
        self.reject_unsupported("GetSchema")
    }

    async fn do_action(
        &self,
        _: Request<Action>,
    ) -> Result<Response<Self::DoActionStream>, Status> {
        self.reject_unsupported("DoAction")
    }

    async fn list_actions(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Self::ListActionsStream>, Status> {
        self.reject_unsupported("ListActions")
    }

    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoExchangeStream>, Status> {
        self.reject_unsupported("DoExchange")
    }
}

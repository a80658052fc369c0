//! A Flight SQL client that keeps calls open and stands still at times.

use crate::draws::SeededRandom;
use crate::manager::CLIENT_TIMEOUT_MS;
use crate::relay::Relay;
use crate::rules::{NON_IDEMPOTENT_MARK, ResultShape, Rules};
use arrow_array::StringArray;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{CommandStatementQuery, CommandStatementUpdate, ProstMessageExt};
use arrow_flight::utils::flight_data_to_batches;
use arrow_flight::{FlightData, FlightDescriptor};
use futures::stream;
use prost::Message;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};

/// The largest number of calls that a client keeps open is two to the power of a number below this
/// one.
const MAX_OPEN_CALLS_EXPONENT: u64 = 5;

/// Longest time for which a client stands still, in ms.
const MAX_STANDSTILL_MS: u64 = 370;

/// Time after its timeout in which a call is answered: 0.5 s, with the client's standstill and a
/// margin for a busy machine.
const ANSWER_DELAY: Duration = Duration::from_millis(3000);

/// A call that is sent less than this time before its connection ends may stay unread; the client's
/// standstill counts.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(100 + MAX_STANDSTILL_MS);

/// The smallest flow-control window for a call, in bytes.
const SMALL_WINDOW_BYTES: u32 = 512;

/// The flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 65_535;

/// A statement whose result is streamed, as its label determines.
const LONG_STATEMENT: &str = "SELECT a FROM lic_7.log -- long";

/// The setup of one client.
pub(crate) struct FlightClientSetup {
    pub(crate) name: String,
    pub(crate) manager: SocketAddr,
    pub(crate) rules: Rules,
    /// Whether the client may send calls.
    pub(crate) may_send: watch::Receiver<bool>,
}

/// Sends calls until it may not, and waits for their answers.
pub(crate) async fn run(setup: FlightClientSetup, mut random: SeededRandom) {
    let relay = Relay::start(setup.manager).await;
    let window_bytes = match random.in_range(0, 3) {
        0 => SMALL_WINDOW_BYTES,
        1 => CONNECTION_WINDOW_BYTES,
        _ => 1 << 20,
    };
    let max_open_calls = 1 << random.in_range(0, MAX_OPEN_CALLS_EXPONENT);
    let channel = channel(relay.address, window_bytes);
    let mut calls = JoinSet::new();
    let mut sent_calls = 0;
    while *setup.may_send.borrow() {
        while calls.try_join_next().is_some() {}
        if calls.len() < max_open_calls {
            sent_calls += 1;
            let call = draw_call(&setup, sent_calls, &mut random);
            calls.spawn(call.run(channel.clone(), setup.rules.clone()));
        }
        if random.one_in(20) {
            stand_still(&relay, random.in_range(1, MAX_STANDSTILL_MS)).await;
        }
        sleep(Duration::from_millis(random.in_range(1, 15))).await;
    }
    // The last calls are answered during this time.
    stand_still(&relay, MAX_STANDSTILL_MS).await;
    while calls.join_next().await.is_some() {}
}

async fn stand_still(relay: &Relay, time_ms: u64) {
    relay.set_running(false);
    sleep(Duration::from_millis(time_ms)).await;
    relay.set_running(true);
}

/// A call whose answer has begun and is not read.
pub(crate) struct UnreadCall {
    _messages: Streaming<FlightData>,
}

/// Sends a call with a long result and reads nothing of it.
pub(crate) async fn connect_without_reading(manager: SocketAddr) -> Option<UnreadCall> {
    let mut client = FlightServiceClient::new(channel(manager, SMALL_WINDOW_BYTES));
    let descriptor = query_descriptor(LONG_STATEMENT.to_owned());
    let info = client.get_flight_info(request("usage-report", descriptor));
    let ticket = info.await.ok()?.into_inner().endpoint[0].ticket.clone()?;
    let response = client.do_get(Request::new(ticket)).await.ok()?;
    Some(UnreadCall {
        _messages: response.into_inner(),
    })
}

fn channel(address: SocketAddr, window_bytes: u32) -> Channel {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("address")
        .initial_stream_window_size(window_bytes)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .connect_lazy()
}

fn request<T>(class: &str, message: T) -> Request<T> {
    let mut request = Request::new(message);
    let metadata = request.metadata_mut();
    metadata.insert("magpiechute-class", class.parse().expect("class"));
    metadata.insert("magpiechute-tenant", "member-north".parse().expect("name"));
    metadata.insert("magpiechute-effort", "20.0".parse().expect("figure"));
    request
}

fn query_descriptor(query: String) -> FlightDescriptor {
    let command = CommandStatementQuery {
        query,
        transaction_id: None,
    };
    FlightDescriptor::new_cmd(command.as_any().encode_to_vec())
}

/// What a call sends.
#[derive(Clone, Copy, Debug)]
enum CallKind {
    /// A query that may run any number of times.
    Query,
    /// A query that may run once.
    LoadQuery,
    /// An update that may run once.
    LoadUpdate,
}

/// One call.
struct Call {
    kind: CallKind,
    label: String,
}

fn draw_call(setup: &FlightClientSetup, number: u64, random: &mut SeededRandom) -> Call {
    let (kind, mark) = match random.in_range(0, 4) {
        0 => (CallKind::LoadQuery, NON_IDEMPOTENT_MARK),
        1 => (CallKind::LoadUpdate, NON_IDEMPOTENT_MARK),
        _ => (CallKind::Query, "any"),
    };
    Call {
        kind,
        label: format!("{}.{mark}.{number}", setup.name),
    }
}

impl Call {
    /// Sends the call and checks its end.
    async fn run(self, channel: Channel, rules: Rules) {
        let sent_at = Instant::now();
        let time_limit = Duration::from_millis(CLIENT_TIMEOUT_MS) + ANSWER_DELAY;
        let client = FlightServiceClient::new(channel);
        match timeout(time_limit, self.answer(client)).await {
            Ok(Ok(())) => rules.count_served(),
            Ok(Err(CallError::Status(status))) => self.check_status(&status, sent_at, &rules),
            Ok(Err(CallError::Result(problem))) => {
                rules.add_violation(format!("{}: {problem}", self.label));
            }
            Err(_) => rules.add_violation(format!("{}: no answer in time", self.label)),
        }
    }

    /// Checks an error. A status without a source comes from the manager and is a final answer.
    /// Otherwise the connection has ended, which may happen only to a call that was not taken.
    fn check_status(&self, status: &Status, sent_at: Instant, rules: &Rules) {
        if status.source().is_none() {
            return rules.count_failed();
        }
        rules.count_not_taken();
        let age = sent_at.elapsed();
        let was_forwarded = rules.was_forwarded(&self.label);
        if was_forwarded || age > CLOSE_RACE_TIME {
            rules.add_violation(format!(
                "{}: lost {age:?} after it was sent, forwarded: {was_forwarded}, {status:?}",
                self.label
            ));
        }
    }

    async fn answer(&self, mut client: FlightServiceClient<Channel>) -> Result<(), CallError> {
        let label = &self.label;
        match self.kind {
            CallKind::Query => {
                let query = format!("SELECT a FROM lic_7.log -- {label}");
                self.query(&mut client, "seat-check", query).await
            }
            CallKind::LoadQuery => {
                let query = format!("SELECT * INTO lic_7.log FROM staging.rows -- {label}");
                self.query(&mut client, "log-load", query).await
            }
            CallKind::LoadUpdate => {
                let query = format!("INSERT INTO lic_7.log SELECT * FROM staging.rows -- {label}");
                self.update(&mut client, query).await
            }
        }
    }

    async fn query(
        &self,
        client: &mut FlightServiceClient<Channel>,
        class: &str,
        query: String,
    ) -> Result<(), CallError> {
        let descriptor = query_descriptor(query);
        let planned = client.get_flight_info(request(class, descriptor));
        let info = planned.await?.into_inner();
        let ticket = info.endpoint[0].ticket.clone().expect("a ticket");
        let mut stream = client.do_get(Request::new(ticket)).await?.into_inner();
        let mut messages = Vec::new();
        while let Some(message) = stream.message().await? {
            messages.push(message);
        }
        self.check_rows(&messages)
    }

    fn check_rows(&self, messages: &[FlightData]) -> Result<(), CallError> {
        let problem = |text: String| CallError::Result(text);
        let batches =
            flight_data_to_batches(messages).map_err(|error| problem(error.to_string()))?;
        let shape = ResultShape::of(&self.label);
        let rows: usize = batches.iter().map(|batch| batch.num_rows()).sum();
        if rows != shape.endpoints * shape.rows {
            return Err(problem(format!("{rows} rows, not {shape:?}")));
        }
        for batch in &batches {
            let column = batch.column(0).as_any().downcast_ref::<StringArray>();
            let mut cells = column.expect("text").iter();
            if !cells.all(|cell| cell == Some(self.label.as_str())) {
                return Err(problem("rows of another statement".to_owned()));
            }
        }
        Ok(())
    }

    async fn update(
        &self,
        client: &mut FlightServiceClient<Channel>,
        query: String,
    ) -> Result<(), CallError> {
        let command = CommandStatementUpdate {
            query,
            transaction_id: None,
        };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData::new().with_descriptor(descriptor);
        let update = request("log-load", stream::iter([data]));
        let mut results = client.do_put(update).await?.into_inner();
        match results.message().await? {
            Some(_) => Ok(()),
            None => Err(CallError::Result("no row count".to_owned())),
        }
    }
}

/// Why a call was not served.
#[derive(Debug)]
enum CallError {
    Status(Status),
    /// The result is not that of the statement.
    Result(String),
}

impl From<Status> for CallError {
    fn from(status: Status) -> CallError {
        CallError::Status(status)
    }
}

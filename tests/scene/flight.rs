//! A stand-in Flight SQL client, and the service of a stand-in Flight SQL engine.

use super::engines::{Heard, Reply, label};
use super::{statement, unescape};
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::flight_service_server::FlightService;
use arrow_flight::sql::{
    Any, CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt,
};
use arrow_flight::utils::{batches_to_flight_data, flight_data_to_batches};
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, SchemaResult, Ticket,
};
use futures::stream::{self, BoxStream, StreamExt};
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status, Streaming};
use tonic_types::StatusExt;

pub(super) struct Client {
    name: String,
    channel: Channel,
    calls: HashMap<String, JoinHandle<String>>,
    tickets: HashMap<String, Ticket>,
}

impl Client {
    pub(super) async fn new(name: &str, at: SocketAddr) -> Client {
        let channel = Endpoint::from_shared(format!("http://{at}"))
            .expect("address")
            .connect()
            .await;
        let (calls, tickets) = (HashMap::new(), HashMap::new());
        Client {
            name: name.to_owned(),
            channel: channel.expect("connect"),
            calls,
            tickets,
        }
    }

    /// `send 7 CLASS k=v` calls (a plan and a get, or a put); `send ticket 7 CLASS` plans only, and
    /// `send get 8 7` brings the ticket of 7; `expect 7 ANSWER`; `close 7` drops the call.
    pub(super) async fn step(&mut self, verb: &str, rest: &[&str]) {
        let client = FlightServiceClient::new(self.channel.clone());
        match (verb, rest) {
            ("send", ["ticket", id, class, fields @ ..]) => {
                let plan = self.dress(class, fields, query(class, &self.name, id));
                let ticket = ticket(client, plan).await.expect("a ticket");
                self.tickets.insert((*id).to_owned(), ticket);
            }
            ("send", ["get", id, of]) => {
                let ticket = Request::new(self.tickets[*of].clone());
                self.calls
                    .insert((*id).to_owned(), tokio::spawn(get(client, ticket)));
            }
            ("send", ["action", id]) => {
                let call = async move {
                    let mut client = client;
                    say(client.do_action(Action::new("CancelQuery", "")).await.err())
                };
                self.calls.insert((*id).to_owned(), tokio::spawn(call));
            }
            ("send", [id, "log-load", fields @ ..]) => {
                let text = statement("log-load", &format!("{}.{id}", self.name));
                let command = CommandStatementUpdate {
                    query: text,
                    transaction_id: None,
                };
                let data = FlightData::new()
                    .with_descriptor(FlightDescriptor::new_cmd(command.as_any().encode_to_vec()));
                let call = put(client, self.dress("log-load", fields, stream::iter([data])));
                self.calls.insert((*id).to_owned(), tokio::spawn(call));
            }
            ("send", [id, class, fields @ ..]) => {
                let plan = self.dress(class, fields, query(class, &self.name, id));
                let timeout = plan.metadata().get("grpc-timeout").cloned();
                let call = async move {
                    let ticket = match ticket(client.clone(), plan).await {
                        Ok(ticket) => ticket,
                        Err(status) => return say(Some(status)),
                    };
                    let mut request = Request::new(ticket);
                    timeout
                        .into_iter()
                        .for_each(|t| drop(request.metadata_mut().insert("grpc-timeout", t)));
                    get(client, request).await
                };
                self.calls.insert((*id).to_owned(), tokio::spawn(call));
            }
            ("expect", [id, wanted @ ..]) => {
                let call = self.calls.remove(*id).expect("a call");
                let answer = call.await.expect("an answer");
                assert_eq!(answer, unescape(&wanted.join(" ")), "{}.{id}", self.name);
            }
            ("close", [id]) => self.calls.remove(*id).expect("a call").abort(),
            other => panic!("flight client: {other:?}"),
        }
    }

    fn dress<T>(&self, class: &str, fields: &[&str], message: T) -> Request<T> {
        let mut request = Request::new(message);
        let mut put = |key: &str, value: &str| {
            let key: tonic::metadata::AsciiMetadataKey = key.parse().expect("key");
            request
                .metadata_mut()
                .insert(key, value.parse().expect("value"));
        };
        put("magpiechute-class", class);
        put("magpiechute-tenant", "member-north");
        put("magpiechute-effort", "50.0");
        fields
            .iter()
            .filter_map(|f| f.split_once('='))
            .for_each(|(key, value)| put(key, value));
        request
    }
}

fn query(class: &str, name: &str, id: &str) -> FlightDescriptor {
    let query = if class == "none" {
        String::new()
    } else {
        statement(class, &format!("{name}.{id}"))
    };
    let command = CommandStatementQuery {
        query,
        transaction_id: None,
    };
    FlightDescriptor::new_cmd(command.as_any().encode_to_vec())
}

async fn ticket(
    mut client: FlightServiceClient<Channel>,
    plan: Request<FlightDescriptor>,
) -> Result<Ticket, Status> {
    let info = client.get_flight_info(plan).await?.into_inner();
    Ok(info.endpoint[0].ticket.clone().expect("ticket"))
}

async fn get(mut client: FlightServiceClient<Channel>, ticket: Request<Ticket>) -> String {
    let mut data = match client.do_get(ticket).await {
        Ok(response) => response.into_inner(),
        Err(status) => return say(Some(status)),
    };
    let mut messages = Vec::new();
    while let Some(message) = data.next().await {
        match message {
            Ok(message) => messages.push(message),
            Err(status) => return format!("cut {}", say(Some(status))),
        }
    }
    let mut text = String::new();
    for batch in flight_data_to_batches(&messages).expect("batches") {
        for row in 0..batch.num_rows() {
            let cells: Vec<String> = batch.columns().iter().map(|c| cell(c, row)).collect();
            text += &format!("{}\n", cells.join("\t"));
        }
    }
    // What is long is told by its length.
    if text.len() > 1000 {
        format!("served {}", text.len())
    } else {
        format!("served {text}")
    }
}

fn cell(column: &ArrayRef, row: usize) -> String {
    column
        .as_any()
        .downcast_ref::<StringArray>()
        .expect("text")
        .value(row)
        .to_owned()
}

async fn put(
    mut client: FlightServiceClient<Channel>,
    request: Request<impl futures::Stream<Item = FlightData> + Send + 'static>,
) -> String {
    let mut results = match client.do_put(request).await {
        Ok(response) => response.into_inner(),
        Err(status) => return say(Some(status)),
    };
    match results.message().await {
        Ok(Some(result)) => {
            let result = DoPutUpdateResult::decode(result.app_metadata).expect("a count");
            format!("served {}", result.record_count)
        }
        Ok(None) => "nothing".to_owned(),
        Err(status) => say(Some(status)),
    }
}

/// A status as scripts write it, with RETRY where it says when to come back.
fn say(status: Option<Status>) -> String {
    let Some(status) = status else {
        return "OK".to_owned();
    };
    let retry = status.get_details_retry_info().and_then(|r| r.retry_delay);
    let retry = retry
        .filter(|d| *d <= Duration::from_secs(1))
        .map_or("", |_| " RETRY");
    format!("{:?}{retry}", status.code())
}

pub(super) struct Service {
    pub engine: usize,
    pub tell: mpsc::UnboundedSender<Heard>,
    pub cut: Arc<dyn Fn() + Send + Sync>,
}

/// Tells that a call is gone when it is dropped before its end.
struct Ends {
    service: (
        usize,
        mpsc::UnboundedSender<Heard>,
        Arc<dyn Fn() + Send + Sync>,
    ),
    label: String,
    over: bool,
}

impl Drop for Ends {
    fn drop(&mut self) {
        if !self.over {
            let (engine, tell, cut) = self.service.clone();
            let (reply, _) = mpsc::unbounded_channel();
            let line = format!("QUIT {}", self.label);
            let _ = tell.send(Heard {
                line,
                engine,
                reply: Reply::Flight(reply),
                cut,
                id: String::new(),
                once: false,
                at: Instant::now(),
            });
        }
    }
}

impl Service {
    fn heard(&self, statement: &str) -> (Ends, mpsc::UnboundedReceiver<(String, String)>) {
        let (label, once) = label(statement);
        let (reply, orders) = mpsc::unbounded_channel();
        let service = (self.engine, self.tell.clone(), self.cut.clone());
        let (line, id) = (format!("ASK {label}"), String::new());
        let reply = Reply::Flight(reply);
        let _ = self.tell.send(Heard {
            line,
            engine: self.engine,
            reply,
            cut: self.cut.clone(),
            id,
            once,
            at: Instant::now(),
        });
        (
            Ends {
                service,
                label,
                over: false,
            },
            orders,
        )
    }
}

fn failure(word: &str) -> Status {
    match word {
        "overload" => Status::resource_exhausted("full"),
        _ => Status::internal("crashed"),
    }
}

/// Rows as Flight data; `x9000` stands for that many rows.
fn rows(text: &str, first: bool) -> Vec<FlightData> {
    let text = match text.strip_prefix('x').and_then(|n| n.parse().ok()) {
        Some(n) => "many\trows\there\n".repeat(n),
        None => text.to_owned(),
    };
    let column = |i: usize| -> (String, ArrayRef) {
        let cells: Vec<&str> = text
            .lines()
            .map(|l| l.split('\t').nth(i).unwrap_or_default())
            .collect();
        (format!("c{i}"), Arc::new(StringArray::from(cells)))
    };
    let batch = RecordBatch::try_from_iter((0..3).map(column)).expect("batch");
    let data = batches_to_flight_data(&batch.schema(), [&batch]).expect("data");
    data.into_iter().skip(usize::from(!first)).collect()
}

#[tonic::async_trait]
impl FlightService for Service {
    type HandshakeStream = BoxStream<'static, Result<HandshakeResponse, Status>>;
    type ListFlightsStream = BoxStream<'static, Result<FlightInfo, Status>>;
    type DoGetStream = BoxStream<'static, Result<FlightData, Status>>;
    type DoPutStream = BoxStream<'static, Result<PutResult, Status>>;
    type DoActionStream = BoxStream<'static, Result<arrow_flight::Result, Status>>;
    type ListActionsStream = BoxStream<'static, Result<ActionType, Status>>;
    type DoExchangeStream = BoxStream<'static, Result<FlightData, Status>>;

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let any = Any::decode(request.into_inner().cmd).expect("command");
        let query: CommandStatementQuery = any.unpack().expect("command").expect("query");
        let ticket = Ticket {
            ticket: query.query.into(),
        };
        Ok(Response::new(
            FlightInfo::new().with_endpoint(FlightEndpoint::new().with_ticket(ticket)),
        ))
    }

    async fn do_get(
        &self,
        request: Request<Ticket>,
    ) -> Result<Response<Self::DoGetStream>, Status> {
        assert!(request.metadata().contains_key("grpc-timeout"));
        let text = String::from_utf8(request.into_inner().ticket.to_vec()).expect("text");
        let (ends, orders) = self.heard(&text);
        let data = stream::unfold(
            (ends, orders, true),
            |(mut ends, mut orders, first)| async move {
                if ends.over {
                    return None;
                }
                let (word, text) = orders.recv().await?;
                ends.over = word != "rows";
                let data = match word.as_str() {
                    "rows" => rows(&text, first).into_iter().map(Ok).collect(),
                    "served" if text.is_empty() => Vec::new(),
                    "served" => rows(&text, first).into_iter().map(Ok).collect(),
                    word => vec![Err(failure(word))],
                };
                Some((stream::iter(data), (ends, orders, false)))
            },
        );
        let mut response = Response::new(data.flatten().boxed());
        response
            .metadata_mut()
            .insert("magpiechute-inflight", "1".parse().expect("figure"));
        Ok(response)
    }

    async fn do_put(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoPutStream>, Status> {
        let first = request.into_inner().message().await?.expect("command");
        let any = Any::decode(first.flight_descriptor.expect("descriptor").cmd).expect("command");
        let update: CommandStatementUpdate = any.unpack().expect("command").expect("update");
        let (mut ends, mut orders) = self.heard(&update.query);
        let (word, text) = orders
            .recv()
            .await
            .ok_or_else(|| Status::internal("the scene is over"))?;
        ends.over = true;
        if word != "served" {
            return Err(failure(&word));
        }
        let result = DoPutUpdateResult {
            record_count: text.parse().expect("count"),
        };
        let result = PutResult {
            app_metadata: result.encode_to_vec().into(),
        };
        Ok(Response::new(stream::iter([Ok(result)]).boxed()))
    }

    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Self::HandshakeStream>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn list_flights(
        &self,
        _: Request<Criteria>,
    ) -> Result<Response<Self::ListFlightsStream>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn poll_flight_info(
        &self,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<PollInfo>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn get_schema(
        &self,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<SchemaResult>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn do_action(
        &self,
        _: Request<Action>,
    ) -> Result<Response<Self::DoActionStream>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn list_actions(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Self::ListActionsStream>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoExchangeStream>, Status> {
        Err(Status::unimplemented(""))
    }
}

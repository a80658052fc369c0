//! A fake Flight SQL client.

use super::{statement, unescape};
use arrow_array::{ArrayRef, StringArray};
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{
    CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt,
};
use arrow_flight::utils::flight_data_to_batches;
use arrow_flight::{Action, FlightData, FlightDescriptor, Ticket};
use futures::stream::{self, StreamExt};
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};
use tonic_types::StatusExt;

/// A client with one channel and any number of open calls, by the ids that scripts give them.
pub(crate) struct Client {
    name: String,
    channel: Channel,
    calls: HashMap<String, JoinHandle<String>>,
    tickets: HashMap<String, Ticket>,
}

impl Client {
    pub(crate) async fn new(name: &str, address: SocketAddr) -> Client {
        let channel = Endpoint::from_shared(format!("http://{address}"))
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

    /// Runs one step of a script:
    ///
    /// - `send 7 CLASS NAME=VALUE` runs a statement with changed or further metadata: GetFlightInfo
    ///   and DoGet for a query, DoPut for class `log-load`. Class `none` stands for an empty
    ///   statement.
    /// - `send ticket 7 CLASS` calls GetFlightInfo only and keeps the ticket; `send get 8 7` calls
    ///   DoGet with the ticket of 7.
    /// - `send action 7` calls DoAction, which is not offered.
    /// - `expect 7 ANSWER` waits for the answer; `close 7` drops the call.
    pub(crate) async fn step(&mut self, verb: &str, rest: &[&str]) {
        let client = FlightServiceClient::new(self.channel.clone());
        match (verb, rest) {
            ("send", ["ticket", id, class, fields @ ..]) => {
                let query = self.request(class, fields, query_descriptor(class, &self.name, id));
                let ticket = fetch_ticket(client, query).await.expect("a ticket");
                self.tickets.insert((*id).to_owned(), ticket);
            }
            ("send", ["get", id, ticket_id]) => {
                let ticket = Request::new(self.tickets[*ticket_id].clone());
                self.calls
                    .insert((*id).to_owned(), tokio::spawn(fetch_result(client, ticket)));
            }
            ("send", ["action", id]) => {
                let call = async move {
                    let mut client = client;
                    status_text(client.do_action(Action::new("CancelQuery", "")).await.err())
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
                let call = execute_update(
                    client,
                    self.request("log-load", fields, stream::iter([data])),
                );
                self.calls.insert((*id).to_owned(), tokio::spawn(call));
            }
            ("send", [id, class, fields @ ..]) => {
                let query = self.request(class, fields, query_descriptor(class, &self.name, id));
                let timeout = query.metadata().get("grpc-timeout").cloned();
                let call = async move {
                    let ticket = match fetch_ticket(client.clone(), query).await {
                        Ok(ticket) => ticket,
                        Err(status) => return status_text(Some(status)),
                    };
                    let mut request = Request::new(ticket);
                    timeout.into_iter().for_each(|value| {
                        drop(request.metadata_mut().insert("grpc-timeout", value))
                    });
                    fetch_result(client, request).await
                };
                self.calls.insert((*id).to_owned(), tokio::spawn(call));
            }
            ("expect", [id, wanted @ ..]) => {
                let call = self.calls.remove(*id).expect("a call");
                let answer = call.await.expect("an answer");
                assert_eq!(answer, unescape(&wanted.join(" ")), "{}.{id}", self.name);
            }
            ("close", [id]) => self.calls.remove(*id).expect("a call").abort(),
            other => panic!("unknown step of a Flight SQL client: {other:?}"),
        }
    }

    fn request<T>(&self, class: &str, fields: &[&str], message: T) -> Request<T> {
        let mut request = Request::new(message);
        let mut insert = |key: &str, value: &str| {
            let key: tonic::metadata::AsciiMetadataKey = key.parse().expect("key");
            request
                .metadata_mut()
                .insert(key, value.parse().expect("value"));
        };
        insert("magpiechute-class", class);
        insert("magpiechute-tenant", "member-north");
        insert("magpiechute-effort", "50.0");
        fields
            .iter()
            .filter_map(|field| field.split_once('='))
            .for_each(|(key, value)| insert(key, value));
        request
    }
}

fn query_descriptor(class: &str, name: &str, id: &str) -> FlightDescriptor {
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

async fn fetch_ticket(
    mut client: FlightServiceClient<Channel>,
    query: Request<FlightDescriptor>,
) -> Result<Ticket, Status> {
    let info = client.get_flight_info(query).await?.into_inner();
    Ok(info.endpoint[0].ticket.clone().expect("ticket"))
}

async fn fetch_result(mut client: FlightServiceClient<Channel>, ticket: Request<Ticket>) -> String {
    let mut data = match client.do_get(ticket).await {
        Ok(response) => response.into_inner(),
        Err(status) => return status_text(Some(status)),
    };
    let mut messages = Vec::new();
    while let Some(message) = data.next().await {
        match message {
            Ok(message) => messages.push(message),
            Err(status) => return format!("cut {}", status_text(Some(status))),
        }
    }
    let mut text = String::new();
    for batch in flight_data_to_batches(&messages).expect("batches") {
        for row in 0..batch.num_rows() {
            let cells: Vec<String> = batch
                .columns()
                .iter()
                .map(|column| cell_text(column, row))
                .collect();
            text += &format!("{}\n", cells.join("\t"));
        }
    }
    // Scripts give a long result by its length in bytes.
    if text.len() > 1000 {
        format!("served {}", text.len())
    } else {
        format!("served {text}")
    }
}

fn cell_text(column: &ArrayRef, row: usize) -> String {
    column
        .as_any()
        .downcast_ref::<StringArray>()
        .expect("text")
        .value(row)
        .to_owned()
}

async fn execute_update(
    mut client: FlightServiceClient<Channel>,
    request: Request<impl futures::Stream<Item = FlightData> + Send + 'static>,
) -> String {
    let mut results = match client.do_put(request).await {
        Ok(response) => response.into_inner(),
        Err(status) => return status_text(Some(status)),
    };
    match results.message().await {
        Ok(Some(result)) => {
            let result = DoPutUpdateResult::decode(result.app_metadata).expect("a count");
            format!("served {}", result.record_count)
        }
        Ok(None) => "nothing".to_owned(),
        Err(status) => status_text(Some(status)),
    }
}

/// The code of a status as scripts write it, followed by `RETRY` if the status has a retry delay of
/// at most 1 s. `OK` without a status.
fn status_text(status: Option<Status>) -> String {
    let Some(status) = status else {
        return "OK".to_owned();
    };
    let retry = status
        .get_details_retry_info()
        .and_then(|info| info.retry_delay);
    let retry = retry
        .filter(|delay| *delay <= Duration::from_secs(1))
        .map_or("", |_| " RETRY");
    format!("{:?}{retry}", status.code())
}

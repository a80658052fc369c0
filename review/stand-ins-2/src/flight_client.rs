//! A client of the Flight SQL front end.

use crate::grpc::{Connection, Reply};
use arrow_flight::sql::{CommandStatementQuery, CommandStatementUpdate, ProstMessageExt};
use arrow_flight::{FlightData, FlightDescriptor, FlightInfo, Ticket};
use prost::Message;
use std::error::Error;

/// Plans a query and returns its ticket.
pub async fn plan(
    connection: &Connection,
    class: &str,
    statement: &str,
    effort_ms: u64,
) -> Result<Ticket, Box<dyn Error>> {
    let command = CommandStatementQuery {
        query: statement.to_owned(),
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    let effort = effort_ms.to_string();
    let metadata = [
        ("magpiechute-class", class),
        ("magpiechute-tenant", "member-north"),
        ("magpiechute-effort", effort.as_str()),
    ];
    let reply = connection
        .call("GetFlightInfo", &metadata, &descriptor.encode_to_vec())
        .await?;
    let info = reply
        .messages
        .first()
        .ok_or(format!("no plan: {reply:?}"))?;
    let info = FlightInfo::decode(info.clone())?;
    let ticket = info
        .endpoint
        .first()
        .and_then(|endpoint| endpoint.ticket.clone());
    Ok(ticket.ok_or("no ticket")?)
}

/// Fetches the result of a planned query.
pub async fn fetch(
    connection: &Connection,
    ticket: &Ticket,
    timeout_ms: u64,
) -> Result<Reply, Box<dyn Error>> {
    let timeout = format!("{timeout_ms}m");
    let metadata = [("grpc-timeout", timeout.as_str())];
    connection
        .call("DoGet", &metadata, &ticket.encode_to_vec())
        .await
}

/// Runs an update.
pub async fn update(
    connection: &Connection,
    class: &str,
    statement: &str,
    timeout_ms: u64,
    effort_ms: u64,
) -> Result<Reply, Box<dyn Error>> {
    let command = CommandStatementUpdate {
        query: statement.to_owned(),
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    let data = FlightData::new().with_descriptor(descriptor);
    let timeout = format!("{timeout_ms}m");
    let effort = effort_ms.to_string();
    let metadata = [
        ("magpiechute-class", class),
        ("magpiechute-tenant", "member-north"),
        ("magpiechute-effort", effort.as_str()),
        ("grpc-timeout", timeout.as_str()),
    ];
    connection
        .call("DoPut", &metadata, &data.encode_to_vec())
        .await
}

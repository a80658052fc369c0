//! An engine that speaks Flight SQL.

use crate::grpc::{frame, take_frames};
use crate::plan::{End, Plans};
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_flight::sql::{Any, CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult};
use arrow_flight::utils::batches_to_flight_data;
use arrow_flight::{FlightData, FlightDescriptor, FlightEndpoint, FlightInfo, PutResult, Ticket};
use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use prost::Message;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Starts an engine and returns its address.
pub async fn start(number: usize, plans: Plans) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(number, stream, plans.clone()));
        }
    });
    Ok(address)
}

async fn serve(number: usize, stream: TcpStream, plans: Plans) {
    let streams = crate::config::STREAMS_PER_CONNECTION;
    let server = h2::server::Builder::new()
        .max_concurrent_streams(streams)
        .handshake(stream);
    let Ok(mut connection) = server.await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let plans = plans.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(number, request, respond, &plans).await {
                plans.note(format!("engine {number}: a call ended: {error}"));
            }
        });
    }
}

async fn answer(
    number: usize,
    request: http::Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    plans: &Plans,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    let path = request.uri().path().to_owned();
    let mut body = request.into_body();
    let mut received = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        received.extend_from_slice(&data);
    }
    let message = take_frames(&mut received)
        .into_iter()
        .next()
        .unwrap_or_default();
    let messages = match path.rsplit('/').next() {
        // A query is planned here and runs when its result is fetched.
        Some("GetFlightInfo") => {
            let descriptor = FlightDescriptor::decode(message)?;
            let command: CommandStatementQuery =
                Any::decode(descriptor.cmd)?.unpack()?.ok_or("no query")?;
            let ticket = Ticket {
                ticket: command.query.into(),
            };
            let endpoint = FlightEndpoint::new().with_ticket(ticket);
            vec![FlightInfo::new().with_endpoint(endpoint).encode_to_vec()]
        }
        Some("DoGet") => {
            let ticket = Ticket::decode(message)?;
            let statement = String::from_utf8_lossy(&ticket.ticket).into_owned();
            let (label, plan) = plans.arrive(number, &statement);
            sleep(plan.runs_for).await;
            plans.note(format!("engine {number}: {label} ends: {:?}", plan.end));
            result(&plan.end)?
        }
        Some("DoPut") => {
            let data = FlightData::decode(message)?;
            let descriptor = data.flight_descriptor.ok_or("no descriptor")?;
            let command: CommandStatementUpdate =
                Any::decode(descriptor.cmd)?.unpack()?.ok_or("no update")?;
            let (label, plan) = plans.arrive(number, &command.query);
            sleep(plan.runs_for).await;
            plans.note(format!("engine {number}: {label} ends: {:?}", plan.end));
            let count = DoPutUpdateResult { record_count: 1 };
            let result = PutResult {
                app_metadata: count.encode_to_vec().into(),
            };
            vec![result.encode_to_vec()]
        }
        _ => Vec::new(),
    };
    let head = http::Response::builder()
        .header("content-type", "application/grpc")
        .body(())?;
    let mut stream = respond.send_response(head, false)?;
    for message in messages {
        let mut data = frame(&message);
        while !data.is_empty() {
            stream.reserve_capacity(data.len());
            let capacity = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
            let capacity = capacity.ok_or("the call has ended")??;
            stream.send_data(data.split_to(capacity.min(data.len())), false)?;
        }
    }
    let mut trailers = http::HeaderMap::new();
    trailers.insert("grpc-status", "0".parse()?);
    stream.send_trailers(trailers)?;
    Ok(())
}

/// The messages of a result with one row: its schema and one batch.
fn result(end: &End) -> Result<Vec<Vec<u8>>, Box<dyn Error + Send + Sync>> {
    if let End::ServeLarge(count, bytes) = end {
        let cell: ArrayRef = Arc::new(StringArray::from(vec!["x".repeat(*bytes)]));
        let batch = RecordBatch::try_from_iter([("a", cell)])?;
        let cell: ArrayRef = Arc::new(StringArray::from(vec!["x".repeat(70_000)]));
        let mut batches = vec![RecordBatch::try_from_iter([("a", cell)])?];
        batches.extend(vec![batch.clone(); *count]);
        let messages = batches_to_flight_data(&batch.schema(), &batches)?;
        return Ok(messages.iter().map(Message::encode_to_vec).collect());
    }
    let text = match end {
        End::Serve(text) => text.trim_end(),
        _ => "a\tb\tc",
    };
    let cells: Vec<ArrayRef> = text
        .split('\t')
        .map(|cell| Arc::new(StringArray::from(vec![cell])) as ArrayRef)
        .collect();
    let names = ["a", "b", "c"];
    let batch = RecordBatch::try_from_iter(names.into_iter().zip(cells))?;
    let mut messages = batches_to_flight_data(&batch.schema(), [&batch])?;
    if matches!(end, End::SpoiltLength)
        && let Some(last) = messages.last_mut()
    {
        // The body is shorter than the lengths in the head of its message say.
        last.data_body.truncate(last.data_body.len() / 2);
    }
    Ok(messages.iter().map(Message::encode_to_vec).collect())
}

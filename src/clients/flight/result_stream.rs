//! Sends a result as a stream of Flight messages.

use super::pending_response::PendingResponse;
use crate::core::{ResultBody, ResultChunk};
use crate::rows;
use arrow_flight::FlightData;
use futures::stream::{self, BoxStream, StreamExt};
use prost::Message;
use tokio::sync::mpsc;
use tonic::Status;

/// The messages of a result.
pub(super) type FlightDataStream = BoxStream<'static, Result<FlightData, Status>>;

/// Streams the chunks of a result that have arrived, and then the remaining ones as they arrive.
///
/// # Errors
///
/// If the chunks that have arrived are no Arrow data.
pub(super) fn result_stream(
    mut body: ResultBody,
    response: PendingResponse,
) -> Result<FlightDataStream, Status> {
    let remaining_chunks = body.remaining_chunks.take();
    let arrived =
        rows::to_arrow(&body).map_err(|_| Status::internal("a result that cannot be read"))?;
    let arrived = stream::iter(arrived.into_iter().map(Ok));
    Ok(match remaining_chunks {
        None => arrived.boxed(),
        Some(chunks) => arrived.chain(remaining_stream(chunks, response)).boxed(),
    })
}

fn remaining_stream(
    chunks: mpsc::Receiver<ResultChunk>,
    response: PendingResponse,
) -> impl futures::Stream<Item = Result<FlightData, Status>> + Send {
    stream::unfold(
        (chunks, response),
        |(mut chunks, mut response)| async move {
            // It has ended with an error.
            if response.is_completed() {
                return None;
            }
            let message = next_message(&mut chunks).await;
            response.set_completed(message.as_ref().is_none_or(Result::is_err));
            Some((message?, (chunks, response)))
        },
    )
}

/// The next message; `None` at the end that the engine announced. A stream that is cut off ends in an error, never as
/// if it were complete.
async fn next_message(
    chunks: &mut mpsc::Receiver<ResultChunk>,
) -> Option<Result<FlightData, Status>> {
    match chunks.recv().await {
        Some(ResultChunk::Data(chunk)) => {
            let message = FlightData::decode(chunk);
            Some(message.map_err(|_| Status::internal("an unreadable piece")))
        }
        Some(ResultChunk::End) => None,
        None => Some(Err(Status::data_loss(
            "the result was cut off; it is not whole",
        ))),
    }
}

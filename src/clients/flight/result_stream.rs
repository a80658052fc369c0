//! Sends a result to a client as a stream of Flight messages.

use super::pending_response::PendingResponse;
use crate::core::{ResultBody, ResultChunk};
use crate::rows;
use arrow_flight::FlightData;
use futures::stream::{self, BoxStream, StreamExt};
use prost::Message;
use tokio::sync::mpsc;
use tonic::Status;

/// The stream of a result's messages.
pub(super) type FlightDataStream = BoxStream<'static, Result<FlightData, Status>>;

/// Streams the buffered chunks of a result, and then the remaining chunks as they arrive.
///
/// # Errors
///
/// If the buffered chunks cannot be converted to Flight messages.
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
            // The previous message was an error, which ends the stream.
            if response.is_completed() {
                return None;
            }
            let message = next_message(&mut chunks).await;
            response.set_completed(message.as_ref().is_none_or(Result::is_err));
            Some((message?, (chunks, response)))
        },
    )
}

/// Returns the next message, or `None` once the engine has marked the end of the result. If the
/// chunks stop without this mark, the message is an error, so that the client does not take a
/// truncated result for a complete one.
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

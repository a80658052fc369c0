//! The memory of a call's input: its metadata, and the part of its body that was received.
//!
//! The client's connection is the owner of this memory. A call for which its share is too small is
//! rejected.

use super::client_connection::ClientConnection;
use super::status;
use crate::limits::{MemoryOwner, MemoryReservation};
use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body as HttpBody, Frame};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tonic::Status;
use tonic::body::Body;

/// Memory of a metadata field besides its name and value, in bytes: its entry in the map.
const FIELD_BYTES: usize = 128;

/// The body of a call as the gRPC server receives it. What was received counts as held until the
/// body is dropped, because the server collects it until a message is complete.
struct CallInput {
    body: Body,
    reservation: MemoryReservation,
    received_bytes: usize,
}

impl CallInput {
    fn new(body: Body, owner: &Arc<MemoryOwner>) -> CallInput {
        CallInput {
            body,
            reservation: MemoryReservation::new(owner),
            received_bytes: 0,
        }
    }

    /// Counts a part of the body that has arrived.
    ///
    /// # Errors
    ///
    /// If the client's share of the memory is too small for it.
    fn record_frame(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, Status> {
        self.received_bytes += frame.data_ref().map_or(0, Bytes::len);
        if self.reservation.try_grow(self.received_bytes) {
            Ok(frame)
        } else {
            Err(status::rejected(0.0))
        }
    }
}

impl HttpBody for CallInput {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        frame.map(|frame| frame.map(|frame| self.record_frame(frame?)))
    }
}

/// Counts the memory of a call's metadata, which is held by the returned reservation, and of its
/// body. A call whose connection is not known is not counted.
///
/// # Errors
///
/// If the client's share of the memory is too small for the metadata.
pub(super) fn track_input(
    request: http::Request<Body>,
) -> Result<(http::Request<Body>, Option<MemoryReservation>), Status> {
    let Some(connection) = request.extensions().get::<Arc<ClientConnection>>() else {
        return Ok((request, None));
    };
    let owner = connection.request_memory.clone();
    let metadata_memory = owner
        .reserve(metadata_bytes(request.headers()))
        .ok_or_else(|| status::rejected(0.0))?;
    let request = request.map(|body| Body::new(CallInput::new(body, &owner)));
    Ok((request, Some(metadata_memory)))
}

fn metadata_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| FIELD_BYTES + name.as_str().len() + value.len())
        .sum()
}

//! One gRPC call on an HTTP/2 connection, and the body of its response.

use super::connection_signals::ConnectionSignals;
use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Reason, RecvStream, SendStream};
use http_body::{Body, Frame};
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use thiserror::Error;

/// Why a call failed: [`CallNotAccepted`], or the error of the connection or of the request's body.
pub(super) type CallError = Box<dyn std::error::Error + Send + Sync>;

/// The connection did not accept a call. No part of the call was sent.
#[derive(Debug, Error)]
#[error("the connection did not accept the call: {0}")]
pub(super) struct CallNotAccepted(h2::Error);

/// The sending half of a call. If it is dropped before the call has ended, it resets the stream at
/// once and discards the data of the call that is still queued.
struct CallGuard {
    stream: SendStream<Bytes>,
    has_ended: bool,
    signals: Arc<ConnectionSignals>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.signals.end_call();
        if !self.has_ended {
            self.stream.send_reset(Reason::CANCEL);
        }
    }
}

/// The body of a response, read as its frames arrive.
pub(super) struct ResponseBody {
    stream: RecvStream,
    call: CallGuard,
    /// All data frames have arrived. The trailers follow.
    data_has_ended: bool,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = h2::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, h2::Error>>> {
        if !self.data_has_ended {
            if let Some(data) = ready!(self.stream.poll_data(context)) {
                let data = data?;
                let _ = self.stream.flow_control().release_capacity(data.len());
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            self.data_has_ended = true;
        }
        let trailers = ready!(self.stream.poll_trailers(context))?;
        self.call.has_ended = true;
        Poll::Ready(trailers.map(|trailers| Ok(Frame::trailers(trailers))))
    }
}

/// Sends a call and waits for the headers of its response. Sets `response_begun` if more than a
/// status follows them.
///
/// # Errors
/// [`CallNotAccepted`] if no part of the call was sent. Otherwise the error of the connection or
/// of the request's body.
pub(super) async fn send_call(
    request_sender: SendRequest<Bytes>,
    signals: Arc<ConnectionSignals>,
    response_begun: &AtomicBool,
    request: http::Request<tonic::body::Body>,
) -> Result<http::Response<ResponseBody>, CallError> {
    let (head, mut body) = request.into_parts();
    let head = http::Request::from_parts(head, ());
    let mut request_sender = request_sender.ready().await.map_err(CallNotAccepted)?;
    let (response, stream) = request_sender
        .send_request(head, false)
        .map_err(CallNotAccepted)?;
    signals.begin_call();
    let mut call = CallGuard {
        stream,
        has_ended: false,
        signals,
    };
    while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
        if let Ok(data) = frame?.into_data() {
            call.stream.send_data(data, false)?;
        }
    }
    call.stream.send_data(Bytes::new(), true)?;
    let (head, stream) = response.await?.into_parts();
    if !stream.is_end_stream() {
        // Relaxed ordering: the flag publishes no other data.
        response_begun.store(true, Ordering::Relaxed);
    }
    let body = ResponseBody {
        stream,
        call,
        data_has_ended: false,
    };
    Ok(http::Response::from_parts(head, body))
}

//! The bodies of calls and of their answers. The body of an answer keeps its call open until the gRPC
//! server has taken it.
//!
//! A method of the service puts its [`OpenCall`] into the extensions of its response. The service
//! wrapper [`AnswerTracking`] moves it into the body, which the server drops after the last frame.

use super::call_input::track_input;
use super::open_call::OpenCall;
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tonic::Status;
use tonic::body::Body;
use tonic::server::NamedService;
use tower_service::Service;

/// The body of an answer.
struct AnswerBody {
    body: Body,
    call: Arc<OpenCall>,
    /// Whether the next frame has to come from the engine.
    waits_for_engine: bool,
}

impl AnswerBody {
    fn new(body: Body, call: Arc<OpenCall>) -> AnswerBody {
        AnswerBody {
            body,
            call,
            waits_for_engine: false,
        }
    }

    fn set_waits_for_engine(&mut self, waits_for_engine: bool) {
        let before = std::mem::replace(&mut self.waits_for_engine, waits_for_engine);
        let Some(connection) = self.call.connection() else {
            return;
        };
        match (before, waits_for_engine) {
            (false, true) => connection.begin_engine_wait(),
            (true, false) => connection.end_engine_wait(),
            (true, true) | (false, false) => {}
        }
    }

    fn record_frame(&self, frame: &Frame<Bytes>) {
        if let (Some(connection), Some(data)) = (self.call.connection(), frame.data_ref()) {
            connection.add_unwritten_bytes(data.len());
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.set_waits_for_engine(false);
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.set_waits_for_engine(frame.is_pending());
        if let Poll::Ready(Some(Ok(frame))) = &frame {
            self.record_frame(frame);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Wraps a service so that the bodies of its answers keep their calls open.
#[derive(Clone)]
pub(super) struct AnswerTracking<S>(pub(super) S);

impl<S: NamedService> NamedService for AnswerTracking<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<http::Request<Body>> for AnswerTracking<S>
where
    S: Service<http::Request<Body>, Response = http::Response<Body>>,
    S::Future: Send + 'static,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let (request, metadata_memory) = match track_input(request) {
            Ok(tracked) => tracked,
            Err(status) => return Box::pin(async move { Ok(status.into_http()) }),
        };
        let response = self.0.call(request);
        Box::pin(async move {
            let _metadata_memory = metadata_memory;
            response.await.map(track_answer)
        })
    }
}

/// Moves the open call of a response into its body. The answer of a call that was refused has none.
fn track_answer(mut response: http::Response<Body>) -> http::Response<Body> {
    match response.extensions_mut().remove::<Arc<OpenCall>>() {
        Some(call) => response.map(|body| Body::new(AnswerBody::new(body, call))),
        None => response,
    }
}

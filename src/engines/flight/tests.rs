//! Tests of the actor of a Flight SQL engine against a peer that speaks HTTP/2 only.

use crate::attempt::AttemptEnd;
use crate::core::{AttemptEvent, AttemptRequest, ResultChunk, StatementKind};
use crate::decision::Outcome;
use crate::engines::context::AfterCancellation;
use crate::engines::tests::test_bench::{
    EngineTestBench, LARGE_STATEMENT_BYTES, attempt, attempt_with_statement, cancel_message,
    is_cancelled, is_ended, run_test, start_message,
};
use crate::node_config::EngineProtocol;
use arrow_flight::{FlightData, FlightEndpoint, FlightInfo, PutResult, Ticket};
use bytes::Bytes;
use h2::Reason;
use h2::server::SendResponse;
use http::{HeaderMap, HeaderValue};
use prost::Message;
use rstest::rstest;
use std::future::poll_fn;
use std::time::Duration;
use tokio::net::TcpStream;
use tonic::Code;

/// The server side of a connection from an engine's actor.
type Peer = h2::server::Connection<TcpStream, Bytes>;

/// Accepts a connection as a peer whose flow-control windows are too large to block the sender.
async fn accept_peer(bench: &EngineTestBench) -> Peer {
    let stream = bench.accept().await;
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(1 << 30)
        .initial_connection_window_size(1 << 30);
    builder.handshake(stream).await.expect("handshake")
}

#[test]
fn cancelled_attempt_without_a_connection_ends_at_once() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        bench.send(start_message(attempt(1))).await;
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::NeverSent
        ));
    });
}

/// The reset was sent before the end is reported, and the other call on the connection stays open.
#[test]
fn cancellation_ends_once_its_reset_is_sent_and_leaves_other_calls_open() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        bench.send(start_message(attempt(1))).await;
        bench.send(start_message(attempt(2))).await;
        let mut peer = accept_peer(&bench).await;
        let (_first_request, mut first_response) =
            peer.accept().await.expect("a call").expect("a call");
        let (_second_request, mut second_response) =
            peer.accept().await.expect("a call").expect("a call");
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        // The peer is not polled until the end is reported, so what it reads afterwards was sent
        // before.
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::Cancelled
        ));
        tokio::select! {
            biased;
            reset = poll_fn(|context| first_response.poll_reset(context)) => assert_eq!(reset.expect("reset"), h2::Reason::CANCEL),
            _ = peer.accept() => panic!("unexpected call"),
        }
        let second_was_reset = poll_fn(|context| {
            std::task::Poll::Ready(second_response.poll_reset(context).is_ready())
        })
        .await;
        assert!(!second_was_reset && bench.context.metrics.cancellations_unconfirmed.get() == 0);
    });
}

/// If another attempt may follow, the end is reported only once the peer has answered a ping that
/// was sent after the reset.
#[test]
fn cancellation_before_a_retry_ends_once_a_ping_after_its_reset_is_answered() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        bench.send(start_message(attempt(1))).await;
        let mut peer = accept_peer(&bench).await;
        let (_request, mut response) = peer.accept().await.expect("a call").expect("a call");
        bench
            .send(cancel_message(1, AfterCancellation::RetryMayFollow))
            .await;
        assert!(
            bench.has_no_event().await,
            "the peer has not read the reset"
        );
        tokio::select! {
            biased;
            event = bench.next_event() => assert!(is_cancelled(&event, 1, AttemptEnd::Cancelled)),
            _ = peer.accept() => panic!("unexpected call"),
        }
        assert!(
            poll_fn(|context| std::task::Poll::Ready(response.poll_reset(context).is_ready()))
                .await
        );
    });
}

/// After an answer that cannot be decoded, the attempt ends only once the engine has read the reset
/// of its call. Otherwise the engine could still run the attempt while a retry runs on another
/// engine.
#[test]
fn undecodable_answer_ends_the_attempt_once_the_engine_has_read_the_reset() {
    /// The prefix of a gRPC message of one byte, and a byte that is not a valid message.
    const UNDECODABLE_ANSWER: &[u8] = &[0, 0, 0, 0, 1, 0xff];
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        bench.send(start_message(attempt(1))).await;
        let mut peer = accept_peer(&bench).await;
        let (_request, mut response) = peer.accept().await.expect("a call").expect("a call");
        let head = http::Response::builder().header("content-type", "application/grpc");
        let head = head.body(()).expect("a head");
        let mut body = response.send_response(head, false).expect("a response");
        body.send_data(Bytes::from_static(UNDECODABLE_ANSWER), false)
            .expect("data");
        // Polling the peer once writes the answer. The peer reads nothing until it is polled again.
        poll_fn(|context| std::task::Poll::Ready(peer.poll_accept(context).is_ready())).await;
        assert!(
            bench.has_no_event().await,
            "the peer has not read the reset"
        );
        tokio::select! {
            biased;
            event = bench.next_event() => assert!(is_ended(&event, 1, Outcome::Error), "{event:?}"),
            _ = peer.accept() => panic!("unexpected call"),
        }
        assert!(
            poll_fn(|context| std::task::Poll::Ready(body.poll_reset(context).is_ready())).await
        );
    });
}

/// The wait for a peer that has stopped reading has a timeout. After it the connection is closed,
/// and the other attempt on it ends with the outcome reset.
#[test]
fn connection_is_closed_if_its_peer_reads_nothing_after_a_cancellation() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        bench.send(start_message(attempt(2))).await;
        let mut peer = accept_peer(&bench).await;
        let _second = peer.accept().await.expect("a call").expect("a call");
        bench
            .send(start_message(attempt_with_statement(
                1,
                LARGE_STATEMENT_BYTES,
            )))
            .await;
        let _first = peer.accept().await.expect("a call").expect("a call");
        // Other tasks run here until the sockets of both sides accept no more data.
        for _ in 0..1000 {
            tokio::task::yield_now().await;
        }
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        let (mut first_lost_connection, mut second_was_reset) = (false, false);
        for _ in 0..2 {
            let event = bench.next_event().await;
            first_lost_connection |= is_cancelled(&event, 1, AttemptEnd::ConnectionLost);
            second_was_reset |= is_ended(&event, 2, Outcome::Reset);
        }
        assert!(
            first_lost_connection
                && second_was_reset
                && bench.context.metrics.cancellations_unconfirmed.get() == 1
        );
    });
}

/// How a peer refuses a call.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    /// It takes no further calls, as a server does before it ends.
    GoAway,
    /// It resets the call's stream with this reason.
    Reset(Reason),
    /// It ends the call with this status and no response message.
    Status(Code),
}

impl Refusal {
    /// Refuses the next call on the connection.
    async fn refuse_next_call(self, peer: &mut Peer) {
        if let Refusal::GoAway = self {
            peer.graceful_shutdown();
            return;
        }
        let (_request, mut response) = next_call(peer).await;
        match self {
            Refusal::GoAway => {}
            Refusal::Reset(reason) => response.send_reset(reason),
            Refusal::Status(code) => {
                let mut head = response_head();
                head.headers_mut().extend(status(code));
                response.send_response(head, true).expect("a response");
            }
        }
    }
}

async fn next_call(peer: &mut Peer) -> (http::Request<h2::RecvStream>, SendResponse<Bytes>) {
    peer.accept().await.expect("a call").expect("a call")
}

fn response_head() -> http::Response<()> {
    let head = http::Response::builder().header("content-type", "application/grpc");
    head.body(()).expect("a head")
}

/// The header fields of a status.
fn status(code: Code) -> HeaderMap {
    HeaderMap::from_iter([(
        http::HeaderName::from_static("grpc-status"),
        HeaderValue::from(code as i32),
    )])
}

/// Answers a call with one message and this status.
fn answer(mut response: SendResponse<Bytes>, message: &impl Message, code: Code) {
    let mut body = response
        .send_response(response_head(), false)
        .expect("a response");
    let encoded = message.encode_to_vec();
    let mut frame = vec![0];
    frame.extend((encoded.len() as u32).to_be_bytes());
    frame.extend(encoded);
    body.send_data(frame.into(), false).expect("data");
    body.send_trailers(status(code)).expect("trailers");
}

/// A plan of a query whose result has two endpoints.
fn flight_info() -> FlightInfo {
    let endpoint = || FlightEndpoint::new().with_ticket(Ticket::new("rows"));
    FlightInfo::new()
        .with_endpoint(endpoint())
        .with_endpoint(endpoint())
}

/// The outcome of an attempt, while the peer works on its connection.
async fn outcome_of_attempt(bench: &mut EngineTestBench, peer: &mut Peer) -> Outcome {
    let keep_connection_going = async {
        while let Some(call) = peer.accept().await {
            let (_request, mut response) = call.expect("a call");
            response.send_reset(Reason::INTERNAL_ERROR);
        }
        std::future::pending::<()>().await;
    };
    let event = tokio::select! {
        (_, event) = bench.next_event() => event,
        () = keep_connection_going => unreachable!(),
    };
    match event {
        AttemptEvent::Ended { outcome, .. } => outcome,
        other => panic!("expected an end: {other:?}"),
    }
}

/// Starts an attempt and accepts its connection.
async fn start(bench: &EngineTestBench, attempt: AttemptRequest) -> Peer {
    bench.send(start_message(attempt)).await;
    accept_peer(bench).await
}

/// Guards against a second run of a statement that an engine has run: the engine answers
/// GetFlightInfo, perhaps a DoGet too, and refuses the next call of the attempt. The refusal was
/// taken as proof that the attempt had never run, so that a non-idempotent statement was retried.
#[rstest]
#[case::connection_takes_no_calls(Refusal::GoAway, Outcome::Reset)]
#[case::stream_refused(Refusal::Reset(Reason::REFUSED_STREAM), Outcome::Reset)]
#[case::stream_limited(Refusal::Reset(Reason::ENHANCE_YOUR_CALM), Outcome::Reset)]
#[case::resource_exhausted(Refusal::Status(Code::ResourceExhausted), Outcome::Error)]
fn refusal_of_a_later_call_does_not_prove_that_the_attempt_never_ran(
    #[case] refusal: Refusal,
    #[case] expected: Outcome,
    #[values(0, 1)] answered_endpoints: usize,
) {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        let mut peer = start(&bench, attempt(1)).await;
        let (_request, response) = next_call(&mut peer).await;
        answer(response, &flight_info(), Code::Ok);
        for _ in 0..answered_endpoints {
            let (_request, response) = next_call(&mut peer).await;
            answer(response, &FlightData::new(), Code::Ok);
        }
        refusal.refuse_next_call(&mut peer).await;
        assert_eq!(outcome_of_attempt(&mut bench, &mut peer).await, expected);
    });
}

/// The refusal of the first call proves that the attempt never ran, so it may be retried whatever
/// its class. A reset for another reason than a refusal proves nothing.
#[rstest]
#[case(Refusal::Reset(Reason::REFUSED_STREAM), Outcome::NoConnection)]
#[case(Refusal::Status(Code::ResourceExhausted), Outcome::Rejected)]
#[case(Refusal::Reset(Reason::ENHANCE_YOUR_CALM), Outcome::Reset)]
fn refusal_of_the_first_call_gives_its_own_outcome(
    #[case] refusal: Refusal,
    #[case] expected: Outcome,
    #[values(StatementKind::Query, StatementKind::Update)] statement_kind: StatementKind,
) {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        let request = AttemptRequest {
            statement_kind,
            ..attempt(1)
        };
        let mut peer = start(&bench, request).await;
        refusal.refuse_next_call(&mut peer).await;
        assert_eq!(outcome_of_attempt(&mut bench, &mut peer).await, expected);
    });
}

/// Guards against a second run of an update: a refusal that follows the update's result does not
/// prove that it never ran.
#[test]
fn refusal_after_the_result_of_an_update_does_not_prove_that_it_never_ran() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        let request = AttemptRequest {
            statement_kind: StatementKind::Update,
            ..attempt(1)
        };
        let mut peer = start(&bench, request).await;
        let (_request, response) = next_call(&mut peer).await;
        answer(response, &PutResult::default(), Code::ResourceExhausted);
        assert_eq!(
            outcome_of_attempt(&mut bench, &mut peer).await,
            Outcome::Error
        );
    });
}

/// Guards against a process that is killed for its memory: the chunks of a streamed result that its
/// client has not taken were counted by their number alone. They arrive in full once it takes them.
#[test]
fn streamed_result_that_its_client_does_not_take_stays_within_its_memory() {
    const MESSAGES: usize = 12;
    const MESSAGE_BYTES: usize = 1 << 20;
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Flight).await;
        let mut peer = start(&bench, attempt(1)).await;
        let (_request, response) = next_call(&mut peer).await;
        let endpoint = FlightEndpoint::new().with_ticket(Ticket::new("rows"));
        answer(
            response,
            &FlightInfo::new().with_endpoint(endpoint),
            Code::Ok,
        );
        let (_request, mut response) = next_call(&mut peer).await;
        let mut body = response
            .send_response(response_head(), false)
            .expect("a response");
        let message = FlightData::new()
            .with_data_body(vec![0; MESSAGE_BYTES])
            .encode_to_vec();
        for _ in 0..MESSAGES {
            let mut frame = vec![0];
            frame.extend((message.len() as u32).to_be_bytes());
            frame.extend(&message);
            body.send_data(frame.into(), false).expect("data");
        }
        body.send_trailers(status(Code::Ok)).expect("trailers");
        tokio::spawn(async move { while peer.accept().await.is_some() {} });
        let (_, event) = bench.next_event().await;
        let AttemptEvent::ResultStreaming(result) = event else {
            panic!("expected a streamed result: {event:?}");
        };
        let mut chunks = result.remaining_chunks.expect("a stream");
        // Until no more chunks arrive.
        let mut waiting = usize::MAX;
        while waiting != chunks.len() {
            waiting = chunks.len();
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let limit_bytes = bench.context.limits.partial_result_bytes;
        assert!(
            waiting * MESSAGE_BYTES <= limit_bytes,
            "{waiting} chunks of {MESSAGE_BYTES} bytes wait, {limit_bytes} bytes are allowed"
        );
        let mut taken = result.chunks.len();
        while let Some(ResultChunk::Data(_)) = chunks.recv().await {
            taken += 1;
        }
        assert_eq!(taken, MESSAGES);
    });
}

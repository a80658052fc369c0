//! Tests of the actor of a Flight SQL engine against a peer that speaks HTTP/2 only.

use crate::attempt::AttemptEnd;
use crate::decision::Outcome;
use crate::engines::context::AfterCancellation;
use crate::engines::tests::test_bench::{
    EngineTestBench, LARGE_STATEMENT_BYTES, attempt, attempt_with_statement, cancel_message,
    is_cancelled, is_ended, run_test, start_message,
};
use crate::node_config::EngineProtocol;
use bytes::Bytes;
use std::future::poll_fn;
use tokio::net::TcpStream;

/// Accepts a connection as a peer whose flow-control windows are too large to block the sender.
async fn accept_peer(bench: &EngineTestBench) -> h2::server::Connection<TcpStream, Bytes> {
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

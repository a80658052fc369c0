//! Tests of the choice of the connection for an attempt whose reference an earlier attempt had.

use super::test_bench::{
    EngineTestBench, TEST_TIMEOUT, attempt, is_ended, run_test, start_message,
};
use crate::core::AttemptRequest;
use crate::decision::{Outcome, RequestId};
use crate::engines::context::EngineMessage;
use crate::limits::Limits;
use crate::node_config::EngineProtocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Returns the message that starts the retry of a request.
fn start_retry(id: RequestId) -> EngineMessage {
    start_message(AttemptRequest {
        attempt: 1,
        ..attempt(id)
    })
}

/// Reads one attempt on the engine's side, checks its reference, and rejects it.
async fn reject(bench: &mut EngineTestBench, peer: &mut TcpStream, id: RequestId) {
    let mut received = Vec::new();
    while !received.ends_with(b"          \r\n") {
        assert!(peer.read_buf(&mut received).await.expect("bytes") > 0);
    }
    let expected_prefix = format!("ASK {id:016x} ");
    assert!(received.starts_with(expected_prefix.as_bytes()));
    let answer = format!("{id:016x} overload - 0\r\n\r\n");
    peer.write_all(answer.as_bytes()).await.expect("answer");
    let event = bench.next_event().await;
    assert!(is_ended(&event, id, Outcome::Rejected), "{event:?}");
}

/// Creates a bench whose engine may have only one connection. The connection has carried the first
/// attempt of request 1 and is idle.
async fn bench_with_one_connection() -> (EngineTestBench, TcpStream) {
    let one_connection = |limits: &mut Limits| limits.connections_per_engine = 1;
    let mut bench = EngineTestBench::with_limits(EngineProtocol::Lines, one_connection).await;
    bench.send(start_message(attempt(1))).await;
    let mut first = bench.accept().await;
    reject(&mut bench, &mut first, 1).await;
    (bench, first)
}

async fn expect_closed(peer: &mut TcpStream) {
    let read = timeout(TEST_TIMEOUT, peer.read(&mut [0])).await;
    assert_eq!(
        read.expect("the end of the connection in time")
            .expect("the end of the connection"),
        0
    );
}

/// A retry is not sent on the connection of its first attempt; other requests are.
#[test]
fn a_retry_is_sent_on_another_connection_and_other_requests_share_both() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        bench.send(start_message(attempt(1))).await;
        let mut first = bench.accept().await;
        reject(&mut bench, &mut first, 1).await;
        bench.send(start_retry(1)).await;
        let mut second = bench.accept().await;
        reject(&mut bench, &mut second, 1).await;
        bench.send(start_message(attempt(2))).await;
        // Of two idle connections, the one that answered last is chosen.
        reject(&mut bench, &mut second, 2).await;
        assert_eq!(bench.context.metrics.engine_connections.get(), 2);
    });
}

/// If an engine may have no further connection, an idle one that has carried the reference is
/// closed and replaced.
#[test]
fn a_retry_replaces_an_idle_connection_where_no_other_is_allowed() {
    run_test(async {
        let (mut bench, mut first) = bench_with_one_connection().await;
        bench.send(start_retry(1)).await;
        let mut second = bench.accept().await;
        reject(&mut bench, &mut second, 1).await;
        expect_closed(&mut first).await;
    });
}

/// If the only connection is busy and has carried the reference, the retry ends without a
/// connection slot, which does not count as an attempt. Another engine may be tried, or the same
/// one later.
#[test]
fn a_retry_is_not_sent_where_the_only_connection_is_busy() {
    run_test(async {
        let (mut bench, mut first) = bench_with_one_connection().await;
        bench.send(start_message(attempt(2))).await;
        bench.send(start_retry(1)).await;
        let event = bench.next_event().await;
        assert!(is_ended(&event, 1, Outcome::NoConnectionSlot), "{event:?}");
        reject(&mut bench, &mut first, 2).await;
    });
}

/// A connection that has reached its limit of references gets no further attempts and is closed
/// once it is idle.
#[test]
fn a_connection_is_replaced_once_it_can_keep_no_further_reference() {
    run_test(async {
        let mut bench = EngineTestBench::with_limits(EngineProtocol::Lines, |limits| {
            limits.references_per_connection = 2;
        })
        .await;
        bench.send(start_message(attempt(1))).await;
        let mut first = bench.accept().await;
        reject(&mut bench, &mut first, 1).await;
        bench.send(start_message(attempt(2))).await;
        reject(&mut bench, &mut first, 2).await;
        bench.send(start_message(attempt(3))).await;
        let mut second = bench.accept().await;
        expect_closed(&mut first).await;
        reject(&mut bench, &mut second, 3).await;
    });
}

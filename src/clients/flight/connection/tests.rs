//! Tests of the end of client connections.

mod flight_client;

use self::flight_client::{
    FlightClient, GRPC_INTERNAL, GRPC_INVALID_ARGUMENT, GRPC_OK, LARGE_WINDOW_BYTES,
    SMALL_WINDOW_BYTES,
};
use super::close_signal;
use crate::clients::connection_slots::ConnectionSlots;
use crate::clients::flight::listen;
use crate::clients::tests::test_frontend::{ANSWER_TIMEOUT, TestFrontend, no_connection_pending};
use crate::core::{AcceptedRequest, Answer, CoreMessage, Mailbox, ResultBody, ResultFormat};
use crate::lifecycle::LifecycleState;
use crate::limits::SharedLimit;
use bytes::Bytes;
use rstest::rstest;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// A connection is asked to close shortly before the timeout for its first call expires. The signal
/// must not lose this request when the timeout expires: the connection is closed once its state
/// has not changed for the linger timeout.
#[tokio::test(start_paused = true)]
async fn close_request_outlasts_the_first_call_timeout() {
    let test = TestFrontend::new(1, |_| {}).await;
    let limits = test.frontend.limits.clone();
    let slots = ConnectionSlots::new(SharedLimit::new(&limits, 4), &limits, test.metrics.clone());
    let slot = slots.take_slot();
    slot.record_call();
    let started_at = Instant::now();
    let signal = close_signal(&slot, &test.frontend);
    let asked_after = limits.client_read_timeout - limits.linger_timeout / 2;
    let ask_to_close = async {
        sleep(asked_after).await;
        slots.set_draining(true);
    };
    let close_and_ask = async { tokio::join!(signal, ask_to_close) };
    let closed = tokio::time::timeout(Duration::from_secs(60), close_and_ask).await;
    assert!(
        closed.is_ok(),
        "the request to close was lost when the timeout expired"
    );
    assert!(started_at.elapsed() >= asked_after + limits.linger_timeout);
}

/// Waits for the next request that a front end passes to the core.
async fn next_request(mailbox: &mut Mailbox) -> Option<AcceptedRequest> {
    loop {
        if let CoreMessage::Request(request) = mailbox.next_message().await? {
            return Some(request);
        }
    }
}

/// Answers a request with a result of 100 rows.
fn serve_request(request: &AcceptedRequest) {
    let rows = Bytes::from("row\tof\tthree\n".repeat(100));
    let body = ResultBody::complete(ResultFormat::Text, vec![rows]);
    request.client.answer(request.id, Answer::Served(body));
}

/// A core that serves every request.
async fn serve_all_requests(mut mailbox: Mailbox) {
    while let Some(request) = next_request(&mut mailbox).await {
        serve_request(&request);
    }
}

fn drained(state: &mut LifecycleState) {
    state.drained = true;
}

fn shutting_down(state: &mut LifecycleState) {
    state.shutting_down = true;
}

/// Guards against answers that are cut off by a planned restart: once the result of a call was
/// handed to the gRPC server, its connection counted as idle, and a drain closed it although the
/// client had not read the result yet.
#[rstest]
#[tokio::test]
async fn draining_connection_stays_open_until_its_client_has_read_the_answers(
    #[values(drained, shutting_down)] begin_drain: fn(&mut LifecycleState),
) {
    let test = TestFrontend::new(8, |_| {}).await;
    let (lifecycle, metrics) = (test.frontend.lifecycle.clone(), test.metrics.clone());
    tokio::spawn(serve_all_requests(test.mailbox));
    tokio::spawn(listen(test.listener, test.frontend));
    let mut slow_client = FlightClient::connect(test.address, SMALL_WINDOW_BYTES).await;
    let ticket = slow_client.plan().await;
    let mut unread = Vec::new();
    for _ in 0..16 {
        unread.push(slow_client.fetch(&ticket).await);
    }
    // A client with nothing to read shows when the drain closes connections.
    let mut idle_client = FlightClient::connect(test.address, LARGE_WINDOW_BYTES).await;
    idle_client.plan().await;
    lifecycle.update(begin_drain);
    idle_client.closed().await.expect("an orderly close");
    assert!(metrics.client_connections_pending.get() > 0);
    for answer in unread {
        assert_eq!(answer.read_to_end().await, GRPC_OK);
    }
    slow_client.closed().await.expect("an orderly close");
    no_connection_pending(&metrics).await;
}

/// Guards against a shutdown that does not wait for a client that stands still: its answers are
/// written, but it has not read them from its socket yet.
#[tokio::test]
async fn draining_connection_stays_open_while_its_client_stands_still() {
    let mut test = TestFrontend::new(8, |_| {}).await;
    let (lifecycle, metrics) = (test.frontend.lifecycle.clone(), test.metrics.clone());
    tokio::spawn(listen(test.listener, test.frontend));
    let mut client = FlightClient::connect(test.address, LARGE_WINDOW_BYTES).await;
    let ticket = client.plan().await;
    let calls: Vec<_> = (0..16).map(|_| client.send_fetch(&ticket)).collect();
    let mut requests = Vec::new();
    while requests.len() < calls.len() {
        let request = timeout(ANSWER_TIMEOUT, next_request(&mut test.mailbox)).await;
        requests.push(request.expect("in time").expect("a request"));
    }
    client.stand_still();
    requests.iter().for_each(serve_request);
    let mut idle_client = FlightClient::connect(test.address, LARGE_WINDOW_BYTES).await;
    idle_client.plan().await;
    lifecycle.update(drained);
    idle_client.closed().await.expect("an orderly close");
    assert!(metrics.client_connections_pending.get() > 0);
    client.go_on();
    for call in calls {
        let answer = call.header_fields().await;
        assert_eq!(answer.read_to_end().await, GRPC_OK);
    }
    client.closed().await.expect("an orderly close");
    no_connection_pending(&metrics).await;
}

/// A client that does not read its answer holds its slot for a limited time only.
#[tokio::test]
async fn connection_is_aborted_when_its_client_reads_no_answer() {
    let test = TestFrontend::new(8, |limits| {
        limits.client_idle_timeout = Duration::from_millis(50);
    })
    .await;
    let metrics = test.metrics.clone();
    tokio::spawn(serve_all_requests(test.mailbox));
    tokio::spawn(listen(test.listener, test.frontend));
    let mut client = FlightClient::connect(test.address, SMALL_WINDOW_BYTES).await;
    let ticket = client.plan().await;
    let _unread = client.fetch(&ticket).await;
    let _ = client.closed().await;
    assert_eq!(metrics.client_read_timeouts.get(), 1);
    no_connection_pending(&metrics).await;
}

/// An evicted client that confirms nothing, as it stands still, does not keep another client out.
#[tokio::test]
async fn evicted_client_that_stands_still_does_not_keep_another_client_out() {
    let test = TestFrontend::new(8, |limits| limits.flight_connections = 1).await;
    let metrics = test.metrics.clone();
    tokio::spawn(serve_all_requests(test.mailbox));
    tokio::spawn(listen(test.listener, test.frontend));
    let mut client = FlightClient::connect(test.address, LARGE_WINDOW_BYTES).await;
    client.plan().await;
    client.stand_still();
    let mut other = FlightClient::connect(test.address, LARGE_WINDOW_BYTES).await;
    let ticket = timeout(ANSWER_TIMEOUT, other.plan()).await;
    let ticket = ticket.expect("the other client is served");
    assert_eq!(other.fetch(&ticket).await.read_to_end().await, GRPC_OK);
    assert_eq!(metrics.client_connections_evicted.get(), 1);
}

/// The answers that clients have not read use a limited amount of memory. A result above it is
/// answered with an error, and the memory is free again once the client has read an answer.
#[tokio::test]
async fn result_above_the_memory_for_unread_answers_fails() {
    let test = TestFrontend::new(8, |limits| limits.client_answer_bytes = 10_000).await;
    let metrics = test.metrics.clone();
    tokio::spawn(serve_all_requests(test.mailbox));
    tokio::spawn(listen(test.listener, test.frontend));
    let mut client = FlightClient::connect(test.address, SMALL_WINDOW_BYTES).await;
    let ticket = client.plan().await;
    let unread = client.fetch(&ticket).await;
    assert_eq!(
        client.fetch(&ticket).await.read_to_end().await,
        GRPC_INTERNAL
    );
    assert_eq!(metrics.client_over_limit.get(), 1);
    assert_eq!(unread.read_to_end().await, GRPC_OK);
    assert_eq!(client.fetch(&ticket).await.read_to_end().await, GRPC_OK);
}

/// Guards against a client that loses its ticket because another one plans many queries: the oldest
/// tickets were dropped, whoever had planned them.
#[tokio::test]
async fn client_that_plans_many_queries_costs_another_client_no_ticket() {
    const TICKETS: usize = 8;
    let test = TestFrontend::new(8, |limits| limits.flight_tickets = TICKETS).await;
    tokio::spawn(serve_all_requests(test.mailbox));
    tokio::spawn(listen(test.listener, test.frontend));
    let mut client = FlightClient::connect(test.address, LARGE_WINDOW_BYTES).await;
    let ticket = client.plan().await;
    let mut other = FlightClient::connect(test.address, LARGE_WINDOW_BYTES).await;
    let oldest_of_other = other.plan().await;
    for _ in 0..2 * TICKETS {
        other.plan().await;
    }
    assert_eq!(client.fetch(&ticket).await.read_to_end().await, GRPC_OK);
    let answer = other.fetch(&oldest_of_other).await;
    assert_eq!(answer.read_to_end().await, GRPC_INVALID_ARGUMENT);
}

//! Tests of client connections on real sockets.

mod request_memory;

use super::listen;
use crate::clients::tests::test_frontend::{ANSWER_TIMEOUT, TestFrontend, no_connection_pending};
use crate::core::{Answer, CoreMessage, Mailbox, ResultBody, ResultFormat};
use bytes::Bytes;
use rmp::{decode, encode};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// A core that rejects every request as soon as it takes it from its mailbox.
async fn reject_all_requests(mut mailbox: Mailbox) {
    while let Some(message) = mailbox.next_message().await {
        if let CoreMessage::Request(request) = message {
            let answer = Answer::Rejected {
                retry_after_ms: 0.0,
            };
            request.client.answer(request.id, answer);
        }
    }
}

/// A call that opens a request.
fn request_call(message_id: u64) -> Vec<u8> {
    request_call_with_statement(message_id, b"SELECT 1")
}

/// A call that opens a request with this statement.
fn request_call_with_statement(message_id: u64, statement: &[u8]) -> Vec<u8> {
    let reference = format!("{message_id:016x}");
    let fields = [
        ("ref", reference.as_str()),
        ("allow", "5"),
        ("project", "m"),
        ("effort", "1"),
    ];
    let mut call = vec![0x94, 0];
    encode::write_uint(&mut call, message_id).expect("id");
    encode::write_str(&mut call, "a").expect("class");
    encode::write_array_len(&mut call, 2).expect("length");
    encode::write_map_len(&mut call, fields.len() as u32).expect("length");
    for (name, value) in fields {
        encode::write_str(&mut call, name).expect("name");
        encode::write_str(&mut call, value).expect("value");
    }
    encode::write_bin(&mut call, statement).expect("statement");
    call
}

/// The notification that cancels a call.
fn cancellation(message_id: u64) -> Vec<u8> {
    let mut notification = vec![0x93, 2];
    encode::write_str(&mut notification, "cancel").expect("method");
    encode::write_array_len(&mut notification, 1).expect("length");
    encode::write_uint(&mut notification, message_id).expect("id");
    notification
}

/// Reads the answers to this number of rejected calls and returns their message ids in order.
async fn read_rejections(client: &mut TcpStream, count: usize) -> Vec<u64> {
    let mut received = Vec::new();
    let mut ids = Vec::new();
    while ids.len() < count {
        let bytes = timeout(ANSWER_TIMEOUT, client.read_buf(&mut received)).await;
        let bytes = bytes.unwrap_or_else(|_| panic!("only {} of {count} answers", ids.len()));
        assert!(
            bytes.expect("read") > 0,
            "closed after {} answers",
            ids.len()
        );
        while let Some((id, length)) = parse_rejection(&received) {
            ids.push(id);
            received.drain(..length);
        }
    }
    ids.sort_unstable();
    ids
}

/// The message id of the first answer and its length in bytes; `None` if it is incomplete.
fn parse_rejection(bytes: &[u8]) -> Option<(u64, usize)> {
    let mut rest = bytes;
    decode::read_array_len(&mut rest).ok()?;
    decode::read_int::<u8, _>(&mut rest).ok()?;
    let id = decode::read_int(&mut rest).ok()?;
    decode::read_array_len(&mut rest).ok()?;
    let name_length = decode::read_str_len(&mut rest).ok()? as usize;
    rest = rest.get(name_length..)?;
    decode::read_map_len(&mut rest).ok()?;
    decode::read_nil(&mut rest).ok()?;
    Some((id, bytes.len() - rest.len()))
}

/// One burst of calls, most of which it also cancels, and the message ids of those that it does
/// not cancel.
fn burst_of_cancelled_calls() -> (Vec<u8>, Vec<u64>) {
    /// Calls that are cancelled before and after the ones that are not.
    const CANCELLED: u64 = 120;
    /// Calls that are not cancelled.
    const KEPT: u64 = 8;
    let kept: Vec<u64> = (CANCELLED + 1..=CANCELLED + KEPT).collect();
    let mut burst = Vec::new();
    for id in 1..=2 * CANCELLED + KEPT {
        burst.extend(request_call(id));
        if !kept.contains(&id) {
            burst.extend(cancellation(id));
        }
    }
    (burst, kept)
}

/// Serves a client whose first bytes are a burst of calls, most of which it also cancels. The
/// core rejects every request. Checks that the other calls are answered, and returns the
/// client.
async fn serve_burst(test: TestFrontend) -> TcpStream {
    let mut client = TcpStream::connect(test.address).await.expect("connect");
    let (burst, kept) = burst_of_cancelled_calls();
    client.write_all(&burst).await.expect("write");
    tokio::spawn(reject_all_requests(test.mailbox));
    tokio::spawn(listen(test.listener, test.frontend));
    assert_eq!(read_rejections(&mut client, kept.len()).await, kept);
    client
}

/// Guards against lost answers: a client that cancels many requests in one burst got no answer to
/// the requests that it did not cancel, and its connection kept its slot for good.
#[tokio::test]
async fn requests_that_are_not_cancelled_are_answered_amid_a_burst_of_cancelled_ones() {
    // The connection waits for the core at each message, so the core answers each request before
    // the connection has handled the burst.
    let test = TestFrontend::new(1, |limits| limits.client_connections = 1).await;
    let (address, metrics) = (test.address, test.metrics.clone());
    let _client = serve_burst(test).await;
    // The connection is idle, so it is evicted for another client, which is served.
    let mut other = TcpStream::connect(address).await.expect("connect");
    other.write_all(&request_call(1)).await.expect("write");
    assert_eq!(read_rejections(&mut other, 1).await, [1]);
    assert_eq!(metrics.client_connections_evicted.get(), 1);
}

/// Guards against a shutdown that waits in vain: the connection of a client that cancels many
/// requests in one burst never became idle, so that a drain did not close it.
#[tokio::test]
async fn draining_closes_a_connection_after_a_burst_of_cancelled_requests() {
    let test = TestFrontend::new(1, |_| {}).await;
    test.frontend
        .lifecycle
        .update(|state| state.shutting_down = true);
    let metrics = test.metrics.clone();
    let mut client = serve_burst(test).await;
    let end = timeout(ANSWER_TIMEOUT, client.read(&mut [0])).await;
    assert_eq!(end.expect("the connection is closed").expect("read"), 0);
    drop(client);
    no_connection_pending(&metrics).await;
}

/// A client that sends calls and never reads the answers must not keep its slot forever: the
/// connection is closed when no answer could be written for the idle timeout.
#[tokio::test]
async fn connection_is_closed_when_client_reads_no_answers() {
    let test = TestFrontend::new(64, |limits| {
        limits.client_idle_timeout = Duration::from_millis(50);
    })
    .await;
    let (metrics, address) = (test.metrics, test.address);
    tokio::spawn(listen(test.listener, test.frontend));
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .set_recv_buffer_size(2048)
        .expect("set the size of the receive buffer");
    let mut client = socket.connect(address).await.expect("connect");
    let send_until_closed = async {
        for batch in 1u32.. {
            let mut calls = Vec::new();
            for id in batch * 4096..(batch + 1) * 4096 {
                calls.extend([0x94, 0, 0xce]);
                calls.extend(id.to_be_bytes());
                calls.extend(b"\xa6health\x91\x80");
            }
            if client.write_all(&calls).await.is_err() {
                return;
            }
        }
    };
    timeout(Duration::from_secs(20), send_until_closed)
        .await
        .expect("the connection is closed in time");
    assert_eq!(metrics.client_read_timeouts.get(), 1);
}

/// A core that serves every request with a result of the largest size.
async fn serve_all_requests(mut mailbox: Mailbox, result_bytes: usize) {
    let result = Bytes::from(vec![b'x'; result_bytes]);
    while let Some(message) = mailbox.next_message().await {
        if let CoreMessage::Request(request) = message {
            let body = ResultBody::complete(ResultFormat::Text, vec![result.clone()]);
            request.client.answer(request.id, Answer::Served(body));
        }
    }
}

/// Guards against answers that are lost at a planned restart although they are written: the client
/// stands still and has not read them from its socket. If the connection is closed then, the next
/// call of the client makes the system discard them.
#[tokio::test]
async fn written_answers_survive_a_call_that_crosses_the_close_in_a_drain() {
    /// How long the client stands still after the drain has begun.
    const STANDSTILL: Duration = Duration::from_millis(370);
    let test = TestFrontend::new(8, |_| {}).await;
    let (lifecycle, metrics) = (test.frontend.lifecycle.clone(), test.metrics.clone());
    let result_bytes = test.frontend.limits.result_bytes;
    tokio::spawn(serve_all_requests(test.mailbox, result_bytes));
    tokio::spawn(listen(test.listener, test.frontend));
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .set_recv_buffer_size(16_384)
        .expect("set the size of the receive buffer");
    let mut client = socket.connect(test.address).await.expect("connect");
    client.write_all(&request_call(1)).await.expect("write");
    let mut head = [0];
    let begun = timeout(ANSWER_TIMEOUT, client.read_exact(&mut head)).await;
    begun.expect("in time").expect("an answer");
    no_connection_pending(&metrics).await;
    tokio::time::pause();
    lifecycle.update(|state| state.drained = true);
    sleep(STANDSTILL).await;
    tokio::time::resume();
    client.write_all(&request_call(2)).await.expect("write");
    let mut received = Vec::new();
    let end = timeout(ANSWER_TIMEOUT, client.read_to_end(&mut received)).await;
    end.expect("in time").expect("an orderly close");
    assert!(received.len() > result_bytes, "{} bytes", received.len());
    drop(client);
    no_connection_pending(&metrics).await;
}

/// A client that does not close its side after an answer holds its slot for a limited time only.
#[tokio::test]
async fn lingering_connection_does_not_keep_another_client_out() {
    let test = TestFrontend::new(8, |limits| limits.client_connections = 1).await;
    let address = test.address;
    tokio::spawn(reject_all_requests(test.mailbox));
    tokio::spawn(listen(test.listener, test.frontend));
    let mut idle_client = TcpStream::connect(address).await.expect("connect");
    idle_client
        .write_all(&request_call(1))
        .await
        .expect("write");
    assert_eq!(read_rejections(&mut idle_client, 1).await, [1]);
    let mut other = TcpStream::connect(address).await.expect("connect");
    other.write_all(&request_call(1)).await.expect("write");
    assert_eq!(read_rejections(&mut other, 1).await, [1]);
}

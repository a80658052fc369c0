//! Tests of the memory that requests use until the core has taken them.

use super::{read_rejections, request_call_with_statement};
use crate::clients::msgpack_rpc::listen;
use crate::clients::tests::test_frontend::{ANSWER_TIMEOUT, TestFrontend};
use crate::core::{AcceptedRequest, CoreMessage, Mailbox};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of clients that send large requests.
const CLIENTS: usize = 4;

/// Large requests of each of them: more than the memory allows all of them together.
const LARGE_REQUESTS: u64 = 30;

const LARGE_STATEMENT_BYTES: usize = 60_000;

async fn next_request(mailbox: &mut Mailbox) -> AcceptedRequest {
    loop {
        let message = timeout(ANSWER_TIMEOUT, mailbox.next_message()).await;
        if let CoreMessage::Request(request) = message.expect("in time").expect("a message") {
            return request;
        }
    }
}

/// Guards against a process that is killed for its memory: requests that waited in the core's
/// mailbox were counted by their number alone. The clients that send them are refused, and a client
/// that needs little is not.
#[tokio::test]
async fn requests_that_the_core_has_not_taken_stay_within_the_memory() {
    let test = TestFrontend::new(1024, |_| {}).await;
    let (address, limits) = (test.address, test.frontend.limits.clone());
    let account = test.frontend.client_memory.requests.clone();
    let mut mailbox = test.mailbox;
    tokio::spawn(listen(test.listener, test.frontend));
    let mut accepted_bytes = 0;
    let mut waiting = Vec::new();
    for _ in 0..CLIENTS {
        let mut client = TcpStream::connect(address).await.expect("connect");
        let statement = vec![b'x'; LARGE_STATEMENT_BYTES];
        for id in 1..=LARGE_REQUESTS {
            let call = request_call_with_statement(id, &statement);
            client.write_all(&call).await.expect("write");
        }
        // The last of its calls needs little, so it is read after all others were.
        let last = request_call_with_statement(LARGE_REQUESTS + 1, b"last");
        client.write_all(&last).await.expect("write");
        loop {
            let request = next_request(&mut mailbox).await;
            let is_last = request.statement.as_ref() == b"last";
            accepted_bytes += request.statement.len();
            waiting.push(request);
            if is_last {
                break;
            }
        }
        let accepted = waiting.len() as u64;
        waiting.push(next_request_of_new_client(address, &mut mailbox).await);
        assert!(accepted > 1, "no request was accepted");
        assert!(
            accepted_bytes <= limits.client_request_bytes,
            "{accepted_bytes} bytes of statements wait"
        );
    }
    waiting.clear();
    assert_eq!(account.held_bytes(), 0);
}

async fn next_request_of_new_client(
    address: std::net::SocketAddr,
    mailbox: &mut Mailbox,
) -> AcceptedRequest {
    let mut client = TcpStream::connect(address).await.expect("connect");
    let call = request_call_with_statement(1, b"SELECT 1");
    client.write_all(&call).await.expect("write");
    next_request(mailbox).await
}

/// A call that is refused although its bytes have not arrived completely is answered once they
/// have, and the call after it is read as usual.
#[tokio::test]
async fn call_that_is_refused_while_it_arrives_is_answered_with_a_rejection() {
    let test = TestFrontend::new(1024, |limits| limits.client_request_bytes = 60_000).await;
    let address = test.address;
    let mut mailbox = test.mailbox;
    tokio::spawn(listen(test.listener, test.frontend));
    let mut client = TcpStream::connect(address).await.expect("connect");
    let large = request_call_with_statement(1, &vec![b'x'; LARGE_STATEMENT_BYTES]);
    for part in large.chunks(7000) {
        client.write_all(part).await.expect("write");
        tokio::task::yield_now().await;
    }
    let small = request_call_with_statement(2, b"SELECT 1");
    client.write_all(&small).await.expect("write");
    assert_eq!(read_rejections(&mut client, 1).await, [1]);
    let request = next_request(&mut mailbox).await;
    assert_eq!(request.statement.as_ref(), b"SELECT 1");
}

//! A client that connects again and again, and sends a few requests on each connection. A connection
//! rests between requests, so that the manager may close it. A request that crosses the close is sent
//! again, once, on a new connection.

use crate::draws::SeededRandom;
use crate::rules::{MAX_ANSWER_DELAY, Rules};
use crate::scene::msgpack_client::Client;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A request that is sent less than this time before the client notices the close of its connection
/// may stay unread. It is sent again then.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(100);

/// The setup that the clients of a run share.
#[derive(Clone)]
pub(crate) struct ClientSetup {
    pub(crate) manager: SocketAddr,
    pub(crate) rules: Rules,
    /// Whether clients may send new requests.
    pub(crate) may_connect: watch::Receiver<bool>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    Answered,
    /// The connection was closed as the request was on its way.
    CrossedClose,
    /// A rule was broken.
    Lost,
}

/// Runs a client until it may not send new requests.
pub(crate) async fn run(number: u64, setup: ClientSetup, mut random: SeededRandom) {
    let mut connections = 0;
    let mut last_end = RequestEnd::Answered;
    while *setup.may_connect.borrow() {
        connections += 1;
        let name = format!("c{number}x{connections}");
        let client = Client::new(&name, setup.manager).await;
        last_end = use_connection(&name, client, &setup, last_end, &mut random).await;
    }
}

/// Sends requests on one connection, one after the other. The first one repeats the last request of
/// the connection before if that crossed its close. Returns the end of the first request that was not
/// answered; of the last one otherwise.
async fn use_connection(
    name: &str,
    mut client: Client,
    setup: &ClientSetup,
    earlier_end: RequestEnd,
    random: &mut SeededRandom,
) -> RequestEnd {
    let requests = random.in_range(1, 6);
    for id in 1..=requests {
        let end = send_request(name, id, &mut client, &setup.rules, random).await;
        let crossed_again = id == 1 && earlier_end == RequestEnd::CrossedClose;
        if crossed_again && end == RequestEnd::CrossedClose {
            let text = format!("{name}: a request crossed the close of its connection twice");
            setup.rules.add_violation(text);
        }
        if end != RequestEnd::Answered || !*setup.may_connect.borrow() {
            return end;
        }
        sleep(Duration::from_millis(random.in_range(0, 150))).await;
    }
    RequestEnd::Answered
}

/// Sends a request of a random class with a random timeout, and waits for its answer.
async fn send_request(
    name: &str,
    id: u64,
    client: &mut Client,
    rules: &Rules,
    random: &mut SeededRandom,
) -> RequestEnd {
    let class = match random.in_range(0, 4) {
        0 => "log-load",
        1 => "usage-report",
        _ => "seat-check",
    };
    let allowed = Duration::from_millis(random.in_range(800, 2500));
    let label = format!("{name}.{id}");
    let sent_at = Instant::now();
    rules.add_request(&label, class == "log-load", sent_at + allowed);
    client
        .try_send(id, class, &format!("allow={}", allowed.as_millis()))
        .await;
    match timeout(allowed + MAX_ANSWER_DELAY, client.next_answer_or_end()).await {
        Ok(Some((_, text))) => {
            rules.check_answer(&label, &text);
            RequestEnd::Answered
        }
        Ok(None) if sent_at.elapsed() < CLOSE_RACE_TIME && !rules.was_forwarded(&label) => {
            RequestEnd::CrossedClose
        }
        Ok(None) => {
            let age = sent_at.elapsed();
            rules.add_violation(format!(
                "{label}: connection closed {age:?} after the request, without an answer"
            ));
            RequestEnd::Lost
        }
        Err(_) => {
            let was_forwarded = rules.was_forwarded(&label);
            rules.add_violation(format!(
                "{label}: no answer within {allowed:?}; forwarded: {was_forwarded}"
            ));
            RequestEnd::Lost
        }
    }
}

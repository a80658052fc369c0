//! A fake client that keeps requests open, cancels some of them and disconnects at random. It keeps
//! sending until the manager has exited.

use crate::draws::SeededRandom;
use crate::rules::{MAX_ANSWER_DELAY, Rules};
use crate::scene::msgpack_client::Client;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// A request that is sent less than this time before its connection closes may stay unread, as
/// clients send such a request again on a new connection.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(100);

/// Largest number of requests that a client keeps open.
const MAX_OPEN_REQUESTS: usize = 4;

/// A request that has not been answered yet.
struct OpenRequest {
    label: String,
    sent_at: Instant,
    deadline: Instant,
}

/// The setup that the clients of a run share.
#[derive(Clone)]
pub(crate) struct ClientSetup {
    pub(crate) manager: SocketAddr,
    pub(crate) rules: Rules,
    /// Whether clients may open new connections.
    pub(crate) may_connect: watch::Receiver<bool>,
}

/// Runs a client until its connection is closed and it may not open a new one.
pub(crate) async fn run(number: u64, setup: ClientSetup, mut random: SeededRandom) {
    let mut connections = 0;
    while *setup.may_connect.borrow() {
        connections += 1;
        let name = format!("c{number}x{connections}");
        if let Some(client) = Client::try_new(&name, setup.manager).await {
            use_connection(&name, client, &setup, &mut random).await;
        }
    }
}

/// Sends and cancels requests on one connection, until either side closes it.
async fn use_connection(
    name: &str,
    mut client: Client,
    setup: &ClientSetup,
    random: &mut SeededRandom,
) {
    let rules = &setup.rules;
    let mut open: HashMap<u64, OpenRequest> = HashMap::new();
    let mut last_id = 0;
    loop {
        let pause = Duration::from_millis(random.in_range(1, 30));
        tokio::select! {
            biased;
            answer = client.next_answer_or_end() => match answer {
                Some((id, text)) => {
                    // A cancelled request is not in `open` any more and may still be answered.
                    if let Some(request) = open.remove(&id) {
                        rules.check_answer(&request.label, &text);
                    }
                }
                None => return check_unanswered(&open, rules),
            },
            () = sleep(pause) => {
                let may_leave = *setup.may_connect.borrow();
                if may_leave && random.one_in(80) {
                    return; // disconnects with open requests
                }
                if random.one_in(15) && let Some(id) = open.keys().next().copied() {
                    open.remove(&id);
                    client.try_cancel(id).await;
                } else if open.len() < MAX_OPEN_REQUESTS {
                    last_id += 1;
                    let request = send(name, last_id, &mut client, rules, random).await;
                    open.insert(last_id, request);
                }
            }
        }
        check_overdue(&mut open, rules);
    }
}

/// Sends a request of a random class with a random timeout.
async fn send(
    name: &str,
    id: u64,
    client: &mut Client,
    rules: &Rules,
    random: &mut SeededRandom,
) -> OpenRequest {
    let class = match random.in_range(0, 4) {
        0 => "log-load",
        1 => "usage-report",
        _ => "seat-check",
    };
    let timeout = Duration::from_millis(random.in_range(200, 2500));
    let label = format!("{name}.{id}");
    let sent_at = Instant::now();
    let deadline = sent_at + timeout;
    rules.add_request(&label, class == "log-load", deadline);
    client
        .try_send(id, class, &format!("allow={}", timeout.as_millis()))
        .await;
    OpenRequest {
        label,
        sent_at,
        deadline,
    }
}

/// Reports the open requests of a closed connection as violations. A request that was sent shortly
/// before the close and has reached no engine is allowed: the manager may not have read it.
fn check_unanswered(open: &HashMap<u64, OpenRequest>, rules: &Rules) {
    for request in open.values() {
        let was_sent_at_close = request.sent_at.elapsed() < CLOSE_RACE_TIME;
        if !was_sent_at_close || rules.was_forwarded(&request.label) {
            let age = request.sent_at.elapsed();
            rules.add_violation(format!(
                "{}: connection closed {age:?} after the request, without an answer",
                request.label
            ));
        }
    }
}

/// Reports requests whose answer is overdue as violations and removes them.
fn check_overdue(open: &mut HashMap<u64, OpenRequest>, rules: &Rules) {
    open.retain(|_, request| {
        let overdue = Instant::now() > request.deadline + MAX_ANSWER_DELAY;
        if overdue {
            rules.add_violation(format!(
                "{}: no answer within the allowed delay after its deadline",
                request.label
            ));
        }
        !overdue
    });
}

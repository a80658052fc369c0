//! A platform client that cancels most of its requests in bursts.

use crate::rules::Rules;
use crate::scene::msgpack_client::Client;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Requests of a burst that are cancelled before those that are not, and as many after them.
const CANCELLED: u64 = 120;

/// Requests of a burst that are not cancelled.
const KEPT: u64 = 8;

/// The timeout of a request in ms, as the client sends it: the manager answers at once.
const REQUEST_TIMEOUT_MS: u64 = 5;

/// Time in which the requests of a burst are answered: their timeout and 0.5 s, with a margin for a
/// busy machine.
const ANSWER_TIME: Duration = Duration::from_millis(2500);

/// Requests that are sent less than this time before their connection closes may stay unread, as
/// clients send them again on a new connection.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(100);

/// Time between two bursts.
const PAUSE: Duration = Duration::from_millis(50);

/// Sends bursts until it may not.
pub(crate) async fn run(
    name: String,
    manager: SocketAddr,
    rules: Rules,
    may_send: watch::Receiver<bool>,
) {
    let mut connections = 0;
    while *may_send.borrow() {
        connections += 1;
        let name = format!("{name}x{connections}");
        let Some(mut client) = Client::try_new(&name, manager).await else {
            return;
        };
        let mut next_id = 1;
        while *may_send.borrow() && send_burst(&name, next_id, &mut client, &rules).await {
            next_id += 2 * CANCELLED + KEPT;
            sleep(PAUSE).await;
        }
    }
}

/// Sends one burst and waits for the answers to the requests that are not cancelled. Returns false
/// if the connection has ended.
async fn send_burst(name: &str, first_id: u64, client: &mut Client, rules: &Rules) -> bool {
    let timeout_field = format!("allow={REQUEST_TIMEOUT_MS}");
    let first_kept = first_id + CANCELLED;
    let mut kept: HashSet<u64> = (first_kept..first_kept + KEPT).collect();
    let ids = first_id..first_id + 2 * CANCELLED + KEPT;
    let calls: Vec<_> = ids.map(|id| (id, !kept.contains(&id))).collect();
    client
        .try_send_burst(calls, "seat-check", &timeout_field)
        .await;
    let sent_at = Instant::now();
    while !kept.is_empty() {
        match timeout(ANSWER_TIME, client.next_answer_or_end()).await {
            Ok(Some((id, _))) => {
                if kept.remove(&id) {
                    rules.count_served();
                }
            }
            Ok(None) => {
                check_end(name, &kept, sent_at, rules);
                return false;
            }
            Err(_) => {
                rules.add_violation(format!("{name}: no answer to {kept:?}"));
                return false;
            }
        }
    }
    true
}

/// Checks the requests that are open at the end of their connection.
fn check_end(name: &str, kept: &HashSet<u64>, sent_at: Instant, rules: &Rules) {
    let is_lost = |id: &&u64| rules.was_forwarded(&format!("{name}.{id}"));
    let lost = kept.iter().find(is_lost);
    if sent_at.elapsed() > CLOSE_RACE_TIME || lost.is_some() {
        rules.add_violation(format!("{name}: closed without an answer to {kept:?}"));
    }
    kept.iter().for_each(|_| rules.count_not_taken());
}

//! Requests on a connection whose client takes back hundreds of others at once.

use review_stand_ins::feed::Feed;
use review_stand_ins::line_engine::{self, Runs};
use review_stand_ins::manager::{BANGNA_CAMPUS, Manager, configuration, work_folder};
use review_stand_ins::msgpack::{ArrayForm, Client, call, cancel, reference};
use review_stand_ins::record::Record;
use review_stand_ins::{Verdict, run_case, with_trouble};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Requests that are taken back, before and after those that are kept.
const TAKEN_BACK: [usize; 2] = [120, 120];
/// Requests that are kept.
const KEPT: usize = 8;
/// How long the client waits for each answer, in ms: very little time.
const ALLOW: &str = "50";
/// A final answer later than its time and half a second counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(50 + 500 + 50);
/// The driver waits longer, so that a late answer is told from none.
const WAIT: Duration = Duration::from_secs(3);
/// Times that a client connects and does this.
const ROUNDS: usize = 3;

fn main() {
    run_case(run);
}

fn seat_check(id: u64, allow: &str) -> Vec<u8> {
    let reference = reference();
    let fields = [
        ("ref", reference.as_str()),
        ("allow", allow),
        ("project", "member-north"),
        ("effort", "90.0"),
        ("need_mb", "10"),
    ];
    call(
        id,
        "seat-check",
        &fields,
        b"SELECT seats FROM sales_17.seats",
    )
}

fn run() -> Verdict {
    let record = Record::create();
    let trouble = with_trouble();
    let taken_back = if trouble { TAKEN_BACK } else { [0, 0] };
    let runs = Runs::default();
    let engines: Vec<_> = (1..=2)
        .map(|number| {
            line_engine::start(number, record.clone(), runs.clone(), |_| {
                Duration::from_millis(50)
            })
        })
        .collect();
    let feed = Feed::start();
    let config = configuration(feed.address, &engines, BANGNA_CAMPUS);
    let shared = work_folder().join("shared");
    std::fs::create_dir_all(&shared).expect("folder");
    let mut manager = Manager::start(&record, "n1", &config, None, None, &shared);

    let mut lost = 0;
    for _ in 0..ROUNDS {
        let Some(round) = play_round(&record, &manager, taken_back) else {
            return Verdict::Broken;
        };
        lost += round;
    }
    if let Some(status) = manager.ended() {
        record.line(format!("n1 has ended: {status}"));
        return Verdict::Broken;
    }
    record.line(format!(
        "{lost} of {} kept requests were lost",
        KEPT * ROUNDS
    ));
    if lost == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// One client connects, sends a first request, and then the others at once. Returns how many of
/// those that it keeps were lost; `None` if one was answered twice.
fn play_round(record: &Record, manager: &Manager, taken_back: [usize; 2]) -> Option<usize> {
    let mut client = Client::connect(manager.address);
    let first = client.next_id();
    client.send(&seat_check(first, "2500"));
    let warm = client.read_answer(Duration::from_secs(3));
    record.line(format!(
        "client: a first request, answered {:?}",
        warm.map(|answer| answer.word)
    ));

    let mut bytes = Vec::new();
    let mut kept = BTreeMap::new();
    let take_back = |count: usize, client: &mut Client, bytes: &mut Vec<u8>| {
        for _ in 0..count {
            let id = client.next_id();
            bytes.extend(seat_check(id, ALLOW));
            bytes.extend(cancel(id, ArrayForm::Fix));
        }
    };
    take_back(taken_back[0], &mut client, &mut bytes);
    for _ in 0..KEPT {
        let id = client.next_id();
        bytes.extend(seat_check(id, ALLOW));
        kept.insert(id, None);
    }
    take_back(taken_back[1], &mut client, &mut bytes);
    record.line(format!(
        "client: sends at once {} requests that it takes back, {KEPT} that it keeps (messages {:?}), \
         and {} more that it takes back; allow={ALLOW}",
        taken_back[0],
        kept.keys().collect::<Vec<_>>(),
        taken_back[1]
    ));
    let sent = Instant::now();
    client.send(&bytes);
    while sent.elapsed() < WAIT {
        let Some(answer) = client.read_answer(WAIT.saturating_sub(sent.elapsed())) else {
            break;
        };
        let after = sent.elapsed();
        if let Some(entry) = kept.get_mut(&answer.id) {
            record.line(format!(
                "client: message {} answered `{}` after {} ms",
                answer.id,
                answer.word,
                after.as_millis()
            ));
            if entry.replace(after).is_some() {
                record.line("a second answer");
                return None;
            }
        }
    }
    record.line(format!(
        "client: connection closed by the workload manager: {}",
        client.closed
    ));
    if !client.closed {
        let id = client.next_id();
        client.send(&seat_check(id, "2500"));
        let after = client.read_answer(Duration::from_secs(3));
        record.line(format!(
            "client: a later request on the same connection, answered {:?}",
            after.map(|answer| answer.word)
        ));
    }
    let lost: Vec<u64> = kept
        .iter()
        .filter(|(_, answered)| answered.is_none_or(|after| after > LOST_AFTER))
        .map(|(id, _)| *id)
        .collect();
    record.line(format!(
        "{} of {KEPT} kept requests have no answer within their time and half a second: {lost:?}",
        lost.len()
    ));
    Some(lost.len())
}

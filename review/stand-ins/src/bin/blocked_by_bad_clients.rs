//! Requests of sound clients, beside bad clients that take back hundreds of requests at once.

use review_stand_ins::feed::Feed;
use review_stand_ins::line_engine::{self, Runs};
use review_stand_ins::manager::{BANGNA_CAMPUS, Manager, configuration, work_folder};
use review_stand_ins::msgpack::{ArrayForm, Client, call, cancel, reference};
use review_stand_ins::record::Record;
use review_stand_ins::{Verdict, run_case, with_trouble};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Connections that bad clients open.
const BAD_CONNECTIONS: usize = 100;
/// Requests that a bad client takes back, before and after those that it does not.
const TAKEN_BACK: usize = 120;
/// Requests on the connection of a bad client that it does not take back.
const KEPT: usize = 8;
/// How long a bad client waits for each answer, in ms: very little time.
const LITTLE_TIME: &str = "5";
/// Rounds of sound clients, each with this many at once, each with one request.
const ROUNDS: usize = 3;
const SOUND_CLIENTS: usize = 5;
/// How long a sound client waits for its answer: the whole time of its class.
const ALLOW: Duration = Duration::from_millis(2500);
/// A final answer later than its time and half a second counts as lost; each time limit on sockets
/// is 50 ms longer.
const SLACK: Duration = Duration::from_millis(500 + 50);
/// The driver waits longer, so that a late answer is told from none.
const WAIT: Duration = Duration::from_secs(8);

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

/// Opens the connection of a bad client, sends its requests at once, and reads what comes back.
/// Returns it with the number of answers that it got.
fn bad_client(address: SocketAddr, taken_back: usize) -> (Client, usize) {
    let mut client = Client::connect(address);
    let mut bytes = Vec::new();
    let take_back = |client: &mut Client, bytes: &mut Vec<u8>| {
        for _ in 0..taken_back {
            let id = client.next_id();
            bytes.extend(seat_check(id, LITTLE_TIME));
            bytes.extend(cancel(id, ArrayForm::Fix));
        }
    };
    take_back(&mut client, &mut bytes);
    for _ in 0..KEPT {
        let id = client.next_id();
        bytes.extend(seat_check(id, LITTLE_TIME));
    }
    take_back(&mut client, &mut bytes);
    client.send(&bytes);
    let mut answers = 0;
    let sent = Instant::now();
    while sent.elapsed() < Duration::from_millis(80) && answers < KEPT {
        answers += usize::from(client.read_answer(Duration::from_millis(20)).is_some());
    }
    (client, answers)
}

/// One sound client: it connects, sends one request and waits for the answer. Returns whether the
/// request was lost.
fn sound_client(record: &Record, address: SocketAddr, name: &str) -> bool {
    let mut client = Client::connect(address);
    let id = client.next_id();
    client.send(&seat_check(id, &ALLOW.as_millis().to_string()));
    let sent = Instant::now();
    let answer = client.read_answer(WAIT);
    let after = sent.elapsed();
    record.line(match &answer {
        Some(answer) => format!(
            "{name}: answered `{}` after {} ms",
            answer.word,
            after.as_millis()
        ),
        None if client.closed => {
            format!("{name}: connection closed after {} ms", after.as_millis())
        }
        None => format!(
            "{name}: no answer, connection open, after {} ms",
            after.as_millis()
        ),
    });
    // A connection that is shut unread frees the request; one that stays open does not.
    match answer {
        Some(_) => after > ALLOW + SLACK,
        None => !client.closed,
    }
}

fn run() -> Verdict {
    let record = Record::create();
    let trouble = with_trouble();
    record.line(format!(
        "disruption: {}",
        if trouble {
            "bad clients take back hundreds of requests at once"
        } else {
            "none"
        }
    ));
    let runs = Runs::default();
    let engines: Vec<_> = (1..=6)
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
    let address = manager.address;
    let mut lost = usize::from(sound_client(&record, address, "a sound client before"));

    let taken_back = if trouble { TAKEN_BACK } else { 0 };
    record.line(format!(
        "{BAD_CONNECTIONS} connections of bad clients, one after the other; on each at once {taken_back} \
         requests with their cancel, {KEPT} without, {taken_back} with their cancel; allow={LITTLE_TIME}"
    ));
    let mut bad = Vec::new();
    let mut answers = 0;
    for _ in 0..BAD_CONNECTIONS {
        let (client, count) = bad_client(address, taken_back);
        answers += count;
        bad.push(client);
    }
    record.line(format!(
        "bad clients: {answers} answers to the {} requests that were not taken back; they stay connected",
        BAD_CONNECTIONS * KEPT
    ));
    for round in 1..=ROUNDS {
        let clients: Vec<_> = (1..=SOUND_CLIENTS)
            .map(|number| {
                let record = record.clone();
                let name = format!("sound client {round}.{number}");
                thread::spawn(move || sound_client(&record, address, &name))
            })
            .collect();
        lost += clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .filter(|lost| *lost)
            .count();
    }
    if let Some(status) = manager.ended() {
        record.line(format!("n1 has ended: {status}"));
        return Verdict::Broken;
    }
    // Answers that came later than a bad client read at first, and connections that were closed.
    let mut closed = 0;
    for client in &mut bad {
        while client.read_answer(Duration::from_millis(2)).is_some() {
            answers += 1;
        }
        closed += usize::from(client.closed);
    }
    record.line(format!(
        "bad clients: {answers} answers of {} in all, {closed} of {BAD_CONNECTIONS} connections closed \
         by the workload manager",
        BAD_CONNECTIONS * KEPT
    ));
    record.line("the bad clients close their connections");
    drop(bad);
    thread::sleep(Duration::from_millis(500));
    lost += usize::from(sound_client(&record, address, "a sound client after"));
    record.line(format!(
        "{lost} of {} requests of sound clients were lost",
        ROUNDS * SOUND_CLIENTS + 2
    ));
    if lost == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

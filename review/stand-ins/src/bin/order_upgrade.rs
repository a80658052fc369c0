//! Three loads of one key during an upgrade.

use review_stand_ins::feed::Feed;
use review_stand_ins::line_engine::{self, Runs};
use review_stand_ins::manager::{LAHORE_MAIN, Manager, configuration, work_folder};
use review_stand_ins::msgpack::{Client, call, reference};
use review_stand_ins::record::Record;
use review_stand_ins::{Verdict, run_case, with_trouble};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// How long each load runs.
const RUN_TIME: Duration = Duration::from_millis(700);

fn main() {
    run_case(run);
}

fn send_load(record: &Record, client: &mut Client, name: &str, connection: &str, number: u32) {
    let id = client.next_id();
    let (reference, replay) = (reference(), format!("{number:032x}"));
    let fields = [
        ("ref", reference.as_str()),
        ("allow", "15000"),
        ("project", "anarkali"),
        ("effort", "700.0"),
        ("need_mb", "10"),
        ("replay", replay.as_str()),
        ("lookup", "7f3a9c21e0b4d655"),
    ];
    let statement = format!("INSERT INTO loads_17.events SELECT * FROM staging.batch_{number}");
    record.line(format!(
        "client: load {name} ({reference}, batch {number}) on {connection}"
    ));
    client.send(&call(id, "load", &fields, statement.as_bytes()));
}

fn run() -> Verdict {
    let record = Record::create();
    let trouble = with_trouble();
    record.line(format!(
        "disruption: {}",
        if trouble { "an upgrade" } else { "none" }
    ));
    let runs = Runs::default();
    let engines: Vec<_> = (1..=3)
        .map(|number| line_engine::start(number, record.clone(), runs.clone(), |_| RUN_TIME))
        .collect();
    let feed = Feed::start();
    let config = configuration(feed.address, &engines, LAHORE_MAIN);
    let shared = work_folder().join("shared");
    std::fs::create_dir_all(&shared).expect("folder");
    // The platform holds the listening socket, and every process inherits it.
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let mut old = Manager::start(&record, "old", &config, None, Some(&listener), &shared);
    let mut kept = Client::connect(old.address);
    kept.health();
    assert!(
        kept.read_answer(Duration::from_secs(2))
            .is_some_and(|answer| answer.healthy)
    );
    let new =
        trouble.then(|| Manager::start(&record, "new", &config, None, Some(&listener), &shared));
    thread::sleep(Duration::from_millis(300));

    // The first load is still running when the old process is told to end.
    send_load(&record, &mut kept, "A", "the kept connection", 1);
    thread::sleep(Duration::from_millis(60));
    if trouble {
        old.signal("TERM");
        record.line("platform: SIGTERM to the old process");
    }
    thread::sleep(Duration::from_millis(60));
    // New connections reach the successor, which alone accepts now.
    let mut newer = Client::connect(old.address);
    send_load(&record, &mut newer, "B", "a new connection", 2);
    // Two requests with one key come 250 ms apart after one that came on a new connection.
    thread::sleep(Duration::from_millis(260));
    send_load(&record, &mut kept, "C", "the kept connection", 3);

    let mut unanswered = 0;
    for _ in 0..2 {
        match kept.read_answer(Duration::from_secs(8)) {
            Some(answer) => record.line(format!(
                "client: message {} of the kept connection answered `{}`",
                answer.id, answer.word
            )),
            None => unanswered += 1,
        }
    }
    match newer.read_answer(Duration::from_secs(8)) {
        Some(answer) => record.line(format!("client: load B answered `{}`", answer.word)),
        None => unanswered += 1,
    }
    if let Some(status) = old.ended() {
        record.line(format!("the old process has ended: {status}"));
    }
    drop(new);
    let seen = runs.lock().expect("lock");
    let order: Vec<char> = seen
        .iter()
        .map(|run| match run.statement.as_bytes().last() {
            Some(b'1') => 'A',
            Some(b'2') => 'B',
            _ => 'C',
        })
        .collect();
    record.line(format!(
        "taken in the order A, B, C; run in the order {order:?}"
    ));
    let last = order.last().copied().unwrap_or(' ');
    record.line(format!(
        "the key's data is that of load {last}; the load taken last is C"
    ));
    record.line(format!("{unanswered} loads without an answer"));
    if unanswered > 0 || order.len() < 3 {
        return Verdict::NotRun;
    }
    if order == ['A', 'B', 'C'] {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

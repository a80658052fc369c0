//! A load that must not run twice, on Flight SQL engines, while an engine is replaced.

use review_stand_ins::feed::{Feed, State};
use review_stand_ins::flight_engine::{self, Seen};
use review_stand_ins::manager::{BANGNA_CAMPUS, Manager, configuration, work_folder};
use review_stand_ins::msgpack::{Client, call, reference};
use review_stand_ins::record::Record;
use review_stand_ins::{Verdict, run_case, with_trouble};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Engines at the start. One of them is replaced, which is less than a fifth.
const ENGINES: usize = 6;
/// Loads that the client sends, one after the other.
const LOADS: usize = 3;

/// The operators' file: the engines speak Flight SQL.
const OPERATOR_FILE: &str =
    "version = 1\n\n[flight]\nlisten = \"127.0.0.1:0\"\nengines = \"flight\"\n";

fn main() {
    run_case(run);
}

/// Tells of the replaced engine and its successor a second later, as lists come late.
fn tell_of_replacement(
    feed: &Feed,
    engines: &[SocketAddr],
    record: &Record,
    seen: &Arc<Mutex<Seen>>,
) {
    let engine = loop {
        thread::sleep(Duration::from_millis(20));
        let replaced = seen.lock().expect("lock").replaced_during.clone();
        if let Some((engine, _)) = replaced {
            break engine;
        }
    };
    let successor = flight_engine::start(ENGINES + 1, record.clone(), seen.clone(), false);
    let started = SystemTime::now().duration_since(UNIX_EPOCH).expect("time");
    thread::sleep(Duration::from_secs(1));
    feed.tell(engine - 1, engines[engine - 1], State::Gone, 0);
    feed.tell(ENGINES, successor, State::Ready, started.as_millis() as u64);
    record.line(format!(
        "feed: engine {engine} is gone, engine {} is ready",
        ENGINES + 1
    ));
}

fn run() -> Verdict {
    let record = Record::create();
    let trouble = with_trouble();
    record.line(format!(
        "disruption: {}",
        if trouble {
            "an engine is replaced"
        } else {
            "none"
        }
    ));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let engines: Vec<_> = (1..=ENGINES)
        .map(|number| flight_engine::start(number, record.clone(), seen.clone(), trouble))
        .collect();
    let feed = Feed::start();
    let config = configuration(feed.address, &engines, BANGNA_CAMPUS);
    let shared = work_folder().join("shared");
    std::fs::create_dir_all(&shared).expect("folder");
    let mut manager = Manager::start(&record, "n1", &config, Some(OPERATOR_FILE), None, &shared);
    let (told_record, told_seen) = (record.clone(), seen.clone());
    thread::spawn(move || tell_of_replacement(&feed, &engines, &told_record, &told_seen));

    let mut client = Client::connect(manager.address);
    let mut unanswered = 0;
    for load in 1..=LOADS {
        let id = client.next_id();
        let reference = reference();
        let statement = format!("SELECT * INTO loads_17.events FROM staging.batch_{load}");
        let fields = [
            ("ref", reference.as_str()),
            ("allow", "20000"),
            ("project", "member-north"),
            ("effort", "200.0"),
            ("need_mb", "10"),
        ];
        record.line(format!("client: log-load {reference} `{statement}`"));
        client.send(&call(id, "log-load", &fields, statement.as_bytes()));
        match client.read_answer(Duration::from_secs(21)) {
            Some(answer) => record.line(format!(
                "client: answer to {reference}: {} {:?}",
                answer.word, answer.rows
            )),
            None => {
                unanswered += 1;
                record.line(format!("client: no answer to {reference}"));
            }
        }
    }
    thread::sleep(Duration::from_secs(1));
    if let Some(status) = manager.ended() {
        record.line(format!("n1 has ended: {status}"));
        return Verdict::Broken;
    }
    let seen = seen.lock().expect("lock");
    if trouble && seen.replaced_during.is_none() {
        record.line("no engine was replaced during a load: the case could not run");
        return Verdict::NotRun;
    }
    // Rule 2: another attempt of a request of class `once` only if every earlier one has an outcome
    // that shows that it never ran. A statement whose rows an engine has delivered has run there.
    let mut broken = false;
    for load in 1..=LOADS {
        let batch = format!("batch_{load}");
        let runs: Vec<usize> = seen
            .runs
            .iter()
            .filter(|(_, b)| *b == batch)
            .map(|(engine, _)| *engine)
            .collect();
        let delivered = seen.deliveries.iter().any(|(engine, ticket)| {
            runs.first() == Some(engine) && ticket.starts_with(&format!("{batch}/"))
        });
        record.line(format!(
            "{batch}: run on engines {runs:?}; rows delivered by the first: {delivered}"
        ));
        broken |= runs.len() > 1 && delivered;
    }
    if unanswered > 0 {
        record.line(format!("{unanswered} loads without an answer"));
    }
    if broken || unanswered > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

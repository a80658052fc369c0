//! A client takes a request back that waits for its turn, in one of MessagePack's forms.

use review_stand_ins::feed::Feed;
use review_stand_ins::line_engine::{self, Runs};
use review_stand_ins::manager::{LAHORE_MAIN, Manager, configuration, work_folder};
use review_stand_ins::msgpack::{ArrayForm, Client, call, cancel, reference};
use review_stand_ins::record::Record;
use review_stand_ins::{Verdict, run_case, with_trouble};
use std::thread;
use std::time::Duration;

/// How long each load runs.
const RUN_TIME: Duration = Duration::from_millis(800);
/// An attempt that begins later than this after its client has gone is a break, in ms: 0.1 s, and
/// 50 ms as for each time limit on sockets.
const GONE_MS: u128 = 100 + 50;

fn main() {
    run_case(run);
}

fn load(id: u64, reference: &str, idempotency_key: &str, statement: &str) -> Vec<u8> {
    let fields = [
        ("ref", reference),
        ("allow", "15000"),
        ("project", "anarkali"),
        ("effort", "800.0"),
        ("need_mb", "10"),
        ("replay", idempotency_key),
        ("lookup", "7f3a9c21e0b4d655"),
    ];
    call(id, "load", &fields, statement.as_bytes())
}

fn run() -> Verdict {
    let record = Record::create();
    let forms = if with_trouble() {
        vec![
            ("array 16", ArrayForm::Array16),
            ("array 32", ArrayForm::Array32),
        ]
    } else {
        vec![("fixarray", ArrayForm::Fix), ("fixarray", ArrayForm::Fix)]
    };
    let runs = Runs::default();
    let engines: Vec<_> = (1..=3)
        .map(|number| line_engine::start(number, record.clone(), runs.clone(), |_| RUN_TIME))
        .collect();
    let feed = Feed::start();
    let config = configuration(feed.address, &engines, LAHORE_MAIN);
    let shared = work_folder().join("shared");
    std::fs::create_dir_all(&shared).expect("folder");
    let mut manager = Manager::start(&record, "n1", &config, None, None, &shared);
    let mut broken = 0;
    for (round, (name, form)) in forms.into_iter().enumerate() {
        let mut client = Client::connect(manager.address);
        let (first, second) = (reference(), reference());
        let id = client.next_id();
        record.line(format!("client: load {first}, the first of its key"));
        client.send(&load(
            id,
            &first,
            &format!("{round:032x}"),
            "INSERT INTO loads_17.events SELECT * FROM staging.batch_1",
        ));
        thread::sleep(Duration::from_millis(300));
        let id = client.next_id();
        record.line(format!("client: load {second}, the second of its key"));
        client.send(&load(
            id,
            &second,
            &format!("{:032x}", round + 100),
            "INSERT INTO loads_17.events SELECT * FROM staging.batch_2",
        ));
        thread::sleep(Duration::from_millis(150));
        client.send(&cancel(id, form));
        let cancelled_ms = record.now_ms();
        record.line(format!(
            "client: takes {second} back, [2, \"cancel\", [{id}]] with a {name}"
        ));
        let until = Duration::from_millis(2500);
        while let Some(answer) = client.read_answer(until) {
            record.line(format!(
                "client: message {} answered `{}`",
                answer.id, answer.word
            ));
        }
        let seen = runs.lock().expect("lock");
        let late = seen
            .iter()
            .find(|run| run.reference == second && run.began_ms > cancelled_ms + GONE_MS);
        if let Some(run) = late {
            broken += 1;
            record.line(format!(
                "the load {second} began {} ms after its client had taken it back",
                run.began_ms - cancelled_ms
            ));
        }
    }
    if let Some(status) = manager.ended() {
        record.line(format!("n1 has ended: {status}"));
        return Verdict::Broken;
    }
    record.line(format!(
        "{broken} of 2 loads began after their client had taken them back"
    ));
    if broken == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

//! Answers to a Flight SQL client that stands still for a moment, at a planned restart.

use review_stand_ins::feed::Feed;
use review_stand_ins::flight_client::FlightClient;
use review_stand_ins::line_engine::{self, Runs};
use review_stand_ins::manager::{BANGNA_CAMPUS, Manager, configuration, work_folder};
use review_stand_ins::record::Record;
use review_stand_ins::{Verdict, run_case, with_trouble};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// Open calls of the client: half of what one connection may carry.
const CALLS: usize = 16;
/// How long each report runs.
const RUN_TIME: Duration = Duration::from_millis(260);
/// When the platform sends SIGTERM, from the last call on.
const TERM_AT: Duration = Duration::from_millis(100);
/// When the client begins to stand still, and for how long.
const STILL_AT: Duration = Duration::from_millis(250);
const STILL_FOR: Duration = Duration::from_millis(370);
/// SIGKILL would come no sooner than 3 s (the longest deadline is longer) and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);

fn main() {
    run_case(run);
}

fn run() -> Verdict {
    let record = Record::create();
    let trouble = with_trouble();
    record.line(format!(
        "disruption: {}",
        if trouble { "a planned restart" } else { "none" }
    ));
    let runs = Runs::default();
    let engines: Vec<_> = (1..=6)
        .map(|number| line_engine::start(number, record.clone(), runs.clone(), |_| RUN_TIME))
        .collect();
    let feed = Feed::start();
    let config = configuration(feed.address, &engines, BANGNA_CAMPUS);
    let shared = work_folder().join("shared");
    std::fs::create_dir_all(&shared).expect("folder");
    let front: SocketAddr = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        listener.local_addr().expect("address")
    };
    let operator_file =
        format!("version = 1\n\n[flight]\nlisten = \"{front}\"\nengines = \"lines\"\n");
    let mut manager = Manager::start(&record, "n1", &config, Some(&operator_file), None, &shared);
    let mut client = FlightClient::connect(front);
    let tickets: Vec<_> = (0..CALLS)
        .map(|_| {
            client.plan(
                "usage-report",
                "member-north",
                "SELECT wide FROM sales_17.seats",
            )
        })
        .collect();
    let calls: Vec<u32> = tickets.iter().map(|ticket| client.get(ticket)).collect();
    let sent = Instant::now();
    record.line(format!(
        "client: {CALLS} calls of DoGet for usage-report on one connection"
    ));
    client.read_for(TERM_AT, |_| false);
    if trouble {
        manager.signal("TERM");
        record.line("platform: SIGTERM");
    }
    client.read_for(STILL_AT.saturating_sub(sent.elapsed()), |_| false);
    record.line(format!(
        "client: stands still for {} ms",
        STILL_FOR.as_millis()
    ));
    thread::sleep(STILL_FOR);
    record.line(format!(
        "client: goes on; the process has ended: {:?}",
        manager.ended()
    ));
    let left = (TERM_AT + KILL_AFTER).saturating_sub(sent.elapsed());
    client.read_for(left, |calls| calls.values().all(|call| call.ended));
    record.line(format!(
        "client: connection closed by the workload manager: {}; GOAWAY: {:?}; the process has ended: {:?}",
        client.closed,
        client.goaway,
        manager.ended()
    ));
    let served = runs
        .lock()
        .expect("lock")
        .iter()
        .filter(|run| run.ended_ms.is_some())
        .count();
    let mut lost = 0;
    for number in &calls {
        let call = &client.calls[number];
        lost += usize::from(!call.ended);
        record.line(format!(
            "call {number}: {} bytes of its result, {}",
            call.data.len(),
            if call.ended {
                "ended"
            } else {
                "without an end"
            }
        ));
    }
    record.line(format!(
        "engines served {served} of {CALLS}; {lost} calls were lost"
    ));
    if served < CALLS {
        return Verdict::NotRun;
    }
    if lost == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

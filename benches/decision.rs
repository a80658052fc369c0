//! What one request costs the decision module, by the number of engines: `cargo bench --bench decision`.
//! A request is taken, sent, served with a report, and a twentieth of a housekeeping tick besides.

#[path = "../tests/common/mod.rs"]
mod common;
use common::{TestBench, class, entry, measured, sent, served, settings};
use std::time::Instant;
use workload_manager::{
    EngineEntry, EngineId, EngineState, Event, ListUpdateKind, LoadReport, Settings,
};

const REQUESTS: u32 = 5_000;

fn main() {
    println!("engines  us a request  us a tick");
    for engines in [6u16, 80, 300, 1024] {
        let classes = vec![class(1, 1000.0, 1.0), class(3, 3000.0, 20.0)];
        let mut bench = TestBench::new(
            Settings {
                instances: 100,
                ..settings(classes)
            },
            0,
        );
        let at = |n: u16| EngineId {
            addr: [10, 0, (n >> 8) as u8, n as u8],
            port: 8000,
        };
        let line = |n| EngineEntry {
            engine: at(n),
            ..entry(n as u8, EngineState::Ready, 0.0)
        };
        bench.event(Event::EndpointList {
            kind: ListUpdateKind::Full,
            entries: (0..engines).map(line).collect(),
        });
        let (mut ticks, mut in_ticks) = (0u32, 0.0);
        let begun = Instant::now();
        for id in 0..REQUESTS {
            bench.now += 2.5;
            if id % 20 == 0 {
                let from = Instant::now();
                bench.tick(0.0);
                (ticks, in_ticks) = (ticks + 1, in_ticks + from.elapsed().as_secs_f64());
            }
            let actions = bench.request_with(id, 0, 0, 9000.0, Some(50.0));
            let report = LoadReport {
                inflight: Some(4.0),
                ..LoadReport::default()
            };
            let to = sent(&actions, id).expect("an engine");
            bench.event(served(id, to, 60.0, measured(50.0, 8.0), report));
        }
        let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS);
        println!(
            "{engines:7}  {each:12.1}  {:9.1}",
            in_ticks * 1e6 / f64::from(ticks)
        );
    }
}

//! Benchmark of the decision module: time per request and per housekeeping tick, by the number of
//! engines. Run it with `cargo bench --bench decision`.
//!
//! Each request is received, sent and served with a load report. One housekeeping tick runs for
//! every 20 requests and is part of the time per request.

#[path = "../tests/common/mod.rs"]
mod common;
use common::{TestBench, class, entry, measured, sent_to, served_event, settings};
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
        let engine_id = |n: u16| EngineId {
            addr: [10, 0, (n >> 8) as u8, n as u8],
            port: 8000,
        };
        let list_entry = |n| EngineEntry {
            engine: engine_id(n),
            ..entry(n as u8, EngineState::Ready, 0.0)
        };
        bench.handle_event(Event::EndpointList {
            kind: ListUpdateKind::Full,
            entries: (0..engines).map(list_entry).collect(),
        });
        let (mut ticks, mut tick_seconds) = (0u32, 0.0);
        let started_at = Instant::now();
        for id in 0..REQUESTS {
            bench.now += 2.5;
            if id % 20 == 0 {
                let tick_started_at = Instant::now();
                bench.tick(0.0);
                (ticks, tick_seconds) = (
                    ticks + 1,
                    tick_seconds + tick_started_at.elapsed().as_secs_f64(),
                );
            }
            let actions = bench.request_with(id, 0, 0, 9000.0, Some(50.0));
            let report = LoadReport {
                inflight: Some(4.0),
                ..LoadReport::default()
            };
            let engine = sent_to(&actions, id).expect("the request is sent to an engine");
            bench.handle_event(served_event(id, engine, 60.0, measured(50.0, 8.0), report));
        }
        let us_per_request = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS);
        println!(
            "{engines:7}  {us_per_request:12.1}  {:9.1}",
            tick_seconds * 1e6 / f64::from(ticks)
        );
    }
}

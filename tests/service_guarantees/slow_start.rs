//! Guarantee: twenty to thirty managers together keep the slow-start budget of an engine. An engine
//! that is warming up is overloaded if it gets more than N + 2 sqrt(N) + 2 requests of mean work
//! within the overload window of the settings. N is the number of requests that the settings allow
//! in that window.
//!
//! The managers are complete ones on loopback sockets, in one runtime with paused time. The fake
//! engine counts the requests that it receives. Clients send far more than the engine may get.

use crate::fake_engine::{RequestHandler, serve};
use crate::scene::list_feed::feed_frame;
use crate::scene::msgpack_client::Client;
use crate::scene::{apply_changes, configuration};
use rstest::rstest;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{interval, sleep};
use workload_manager::core::Clock;
use workload_manager::node::Node;
use workload_manager::node_config::{NodeConfig, OptionalFrontEnds};

/// Duration of the slow start in the scene's settings.
const SLOW_START_MS: f64 = 15_000.0;

/// Share of its cores that an engine can use at the beginning of its slow start.
const SLOW_START_INITIAL_SHARE: f64 = 0.3;

/// Number of cores of the engine.
const CORES: f64 = 8.0;

/// Multiple of the engine's current capacity above which it is overloaded.
const OVERLOAD_MULTIPLE: f64 = 3.0;

/// Time within which the engine's requests are counted for an overload.
const OVERLOAD_WINDOW_MS: f64 = 1500.0;

/// An overload counts as a fault of the notified managers if they sent more than this share of it.
const NOTIFIED_SHARE: f64 = 2.0 / 3.0;

/// Number of requests that each client keeps open.
const OPEN_REQUESTS: u64 = 8;

/// Time that the engine takes to serve a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// Time during which the engine's requests are counted. It ends after the middle of the slow start,
/// when the engine's budget has grown by half.
const TEST_DURATION: Duration = Duration::from_secs(9);

/// Work of the requests, in ms on one core. Every tenth request has a different amount of work.
#[derive(Clone, Copy)]
struct Mix {
    regular_ms: f64,
    tenth_ms: f64,
}

impl Mix {
    /// Work of the request with this id.
    fn work_ms(self, id: u64) -> f64 {
        if id.is_multiple_of(10) {
            self.tenth_ms
        } else {
            self.regular_ms
        }
    }

    /// Mean work of the requests.
    fn mean_work_ms(self) -> f64 {
        (9.0 * self.regular_ms + self.tenth_ms) / 10.0
    }
}

/// One request that the engine has received.
struct Arrival {
    at_ms: f64,
    work_ms: f64,
    /// Whether the manager that sent the request had been notified of the engine's start.
    notified: bool,
}

/// Requests that the engine has received within the latest overload window, and its first overload.
struct OverloadMeter {
    clock: Clock,
    started_at_ms: f64,
    mix: Mix,
    /// Time at which each manager is notified of the engine's start, in Unix ms.
    notified_at_ms: Vec<f64>,
    arrivals: VecDeque<Arrival>,
    /// Largest number of requests that notified managers sent within a window, as a share of N.
    max_share: f64,
    first_overload: Option<String>,
}

impl OverloadMeter {
    /// Number of requests of mean work that the settings allow in the window that begins at
    /// `from_ms`. The engine's capacity at the beginning of the window counts, which is the lowest.
    fn allowed_requests(&self, from_ms: f64) -> f64 {
        let elapsed_share = ((from_ms - self.started_at_ms) / SLOW_START_MS).clamp(0.0, 1.0);
        let cores = CORES
            * (SLOW_START_INITIAL_SHARE
                + (1.0 - SLOW_START_INITIAL_SHARE) * elapsed_share * elapsed_share);
        OVERLOAD_MULTIPLE * cores * OVERLOAD_WINDOW_MS / self.mix.mean_work_ms()
    }

    /// Records a request that the engine has received, and checks its window for an overload.
    fn record_arrival(&mut self, manager: usize, id: u64) {
        let at_ms = self.clock.now();
        if at_ms < self.started_at_ms {
            return;
        }
        let notified = self.notified_at_ms[manager] <= at_ms;
        self.arrivals.push_back(Arrival {
            at_ms,
            work_ms: self.mix.work_ms(id),
            notified,
        });
        while self
            .arrivals
            .pop_front_if(|first| first.at_ms + OVERLOAD_WINDOW_MS < at_ms)
            .is_some()
        {}
        let requests = |notified_only: bool| {
            let counted = self
                .arrivals
                .iter()
                .filter(|arrival| arrival.notified || !notified_only);
            counted.map(|arrival| arrival.work_ms).sum::<f64>() / self.mix.mean_work_ms()
        };
        let (all, notified) = (requests(false), requests(true));
        let allowed = self.allowed_requests(at_ms - OVERLOAD_WINDOW_MS);
        let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
        self.max_share = self.max_share.max(notified / allowed);
        // Notified managers must not overload the engine by themselves. An overload to which the
        // other managers contributed a large part does not count as their fault.
        if notified > limit || all > limit && notified > NOTIFIED_SHARE * all {
            let elapsed_ms = at_ms - self.started_at_ms;
            let text = format!(
                "{all:.0} requests, {notified:.0} of notified managers, limit {limit:.0}, at {elapsed_ms:.0} ms"
            );
            self.first_overload.get_or_insert(text);
        }
    }
}

/// A request handler that records each request in the meter.
fn counting_handler(meter: Arc<Mutex<OverloadMeter>>) -> RequestHandler {
    Arc::new(move |label| {
        let (client, id) = label.split_once('.').expect("a label");
        let (manager, id) = (
            client[1..].parse().expect("manager"),
            id.parse().expect("id"),
        );
        let mut meter = meter.lock().expect("meter");
        meter.record_arrival(manager, id);
        (SERVICE_TIME, meter.mix.work_ms(id))
    })
}

/// Serves the discovery feed of one manager. Notifies the manager of the engine's start after the
/// delay, and sends a heartbeat every second.
async fn serve_feed(listener: TcpListener, delay: Duration, start_frame: Vec<u8>) {
    let (mut stream, _) = listener.accept().await.expect("accept");
    assert_eq!(stream.read_u64().await.expect("the last event"), 1);
    let mut notification = std::pin::pin!(sleep(delay));
    let (mut heartbeats, mut start_frame) = (interval(Duration::from_secs(1)), Some(start_frame));
    loop {
        tokio::select! {
            () = &mut notification, if start_frame.is_some() => {
                let frame = start_frame.take().expect("a frame");
                stream.write_all(&frame).await.expect("write");
            }
            _ = heartbeats.tick() => {
                let heartbeat_frame = [&9u32.to_be_bytes()[..], &[0; 9]].concat();
                stream.write_all(&heartbeat_frame).await.expect("write");
            }
        }
    }
}

/// Runs a client that keeps [`OPEN_REQUESTS`] requests open, and waits after a rejection.
async fn run_client(manager: usize, address: SocketAddr, mix: Mix) {
    let mut client = Client::new(&format!("m{manager}"), address).await;
    let mut last_id = 0;
    loop {
        while last_id < OPEN_REQUESTS {
            last_id += 1;
            send_request(&mut client, last_id, mix).await;
        }
        let (_, answer) = client.next_answer().await;
        if !answer.starts_with("served") {
            sleep(SERVICE_TIME).await;
        }
        last_id += 1;
        send_request(&mut client, last_id, mix).await;
    }
}

/// Sends a request with its work as the estimate.
async fn send_request(client: &mut Client, id: u64, mix: Mix) {
    let effort = format!("effort={:.1}", mix.work_ms(id));
    client
        .step(
            "send",
            &[&id.to_string(), "seat-check", "allow=15000", &effort],
        )
        .await;
}

/// The configuration of a fleet's managers, and the times at which they are notified of the engine.
struct FleetSetup {
    /// The number of instances in each manager's configuration.
    instances: Vec<u32>,
    /// Time after the engine's start at which each manager is notified of it.
    notified_after: Vec<Duration>,
    /// Whether the managers' configuration lists the engine already, as one that started long ago.
    engine_was_listed: bool,
}

impl FleetSetup {
    /// A fleet of `count` managers that all have its size in their configuration, and are notified
    /// of the engine's start without a delay.
    fn identical(count: u32) -> FleetSetup {
        let manager_count = count as usize;
        FleetSetup {
            instances: vec![count; manager_count],
            notified_after: vec![Duration::ZERO; manager_count],
            engine_was_listed: false,
        }
    }
}

/// Runs the fleet, its clients and the engine, and checks that the engine is not overloaded.
/// Returns the largest number of requests that notified managers sent within a window, as a share
/// of N.
fn run_fleet(fleet: &FleetSetup, mix: Mix) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("runtime").block_on(async {
        let (clock, listener) = (Clock::new(), TcpListener::bind("127.0.0.1:0").await.expect("bind"));
        let engine_address = listener.local_addr().expect("address");
        let started_at_ms = clock.now().ceil();
        let notified_at_ms = fleet
            .notified_after
            .iter()
            .map(|delay| started_at_ms + delay.as_secs_f64() * 1000.0)
            .collect();
        let arrivals = VecDeque::new();
        let meter = OverloadMeter {
            clock,
            started_at_ms,
            mix,
            notified_at_ms,
            arrivals,
            max_share: 0.0,
            first_overload: None,
        };
        let meter = Arc::new(Mutex::new(meter));
        tokio::spawn(serve(listener, counting_handler(meter.clone())));
        let mut nodes = Vec::new();
        for (ordinal, (instances, delay)) in
            fleet.instances.iter().zip(&fleet.notified_after).enumerate()
        {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let feed_address = listener.local_addr().expect("address");
            tokio::spawn(serve_feed(
                listener,
                *delay,
                feed_frame(2, 2, 0, engine_address, 0, started_at_ms as u64),
            ));
            let list_entry = format!(
                r#"{{"instanceId":"s-00000001","hostPort":"{engine_address}","zone":"hall-a","machineType":"std-8c","weight":1}}"#
            );
            let list_entries = if fleet.engine_was_listed { list_entry.as_str() } else { "" };
            let endpoint_list =
                format!(r#"{{"n":1,"members":{{"reset":true,"instances":[{list_entries}]}}}}"#);
            let seed = format!("seed=\"{:016x}\"", ordinal * 7919 + 3);
            let (instances, ordinal_change) =
                (format!("nInstances={instances}"), format!("ordinal={ordinal}"));
            let text = apply_changes(
                &configuration(feed_address, &endpoint_list),
                &[&instances, &ordinal_change, &seed],
            );
            let config = NodeConfig::parse(text.as_bytes()).expect("configuration");
            let node = Node::start(config, OptionalFrontEnds::default()).await.expect("node");
            tokio::spawn(run_client(ordinal, node.listen_address, mix));
            nodes.push(node);
        }
        sleep(TEST_DURATION).await;
        let meter = meter.lock().expect("meter");
        assert_eq!(meter.first_overload, None);
        meter.max_share
    })
}

/// Light requests only.
const LIGHT: Mix = Mix {
    regular_ms: 50.0,
    tenth_ms: 50.0,
};
/// Heavy requests only.
const HEAVY: Mix = Mix {
    regular_ms: 1500.0,
    tenth_ms: 1500.0,
};
/// Light requests, every tenth one heavy.
const MIXED: Mix = Mix {
    regular_ms: 50.0,
    tenth_ms: 1500.0,
};

/// All managers are notified of the engine's start at the same time. They also have to use the
/// budget, as an engine that gets no requests cannot be overloaded.
#[rstest]
fn all_managers_together_respect_the_slow_start_budget(
    #[values(20, 30)] count: u32,
    #[values(LIGHT, HEAVY, MIXED)] mix: Mix,
) {
    let max_share = run_fleet(&FleetSetup::identical(count), mix);
    assert!(
        max_share > 0.3,
        "notified managers sent at most {max_share:.2} of the allowed requests"
    );
}

/// All managers have the engine in their list when it restarts and warms up. They are notified of
/// the restart one after another, within 4 s. Those that have been notified must not cause an
/// overload.
#[rstest]
fn managers_notified_at_different_times_respect_the_slow_start_budget(
    #[values(LIGHT, HEAVY, MIXED)] mix: Mix,
) {
    let notified_after = (0..25).map(|k| Duration::from_millis(k * 160)).collect();
    let fleet = FleetSetup {
        notified_after,
        engine_was_listed: true,
        ..FleetSetup::identical(25)
    };
    let max_share = run_fleet(&fleet, mix);
    assert!(
        max_share > 0.3,
        "notified managers sent at most {max_share:.2} of the allowed requests"
    );
}

/// The fleet grows from twenty to thirty managers. The older managers have not been notified: their
/// configuration still has twenty instances.
#[rstest]
fn managers_with_different_fleet_sizes_respect_the_slow_start_budget(
    #[values(LIGHT, HEAVY, MIXED)] mix: Mix,
) {
    let instances = [vec![20; 20], vec![30; 10]].concat();
    let max_share = run_fleet(
        &FleetSetup {
            instances,
            ..FleetSetup::identical(30)
        },
        mix,
    );
    assert!(
        max_share > 0.3,
        "notified managers sent at most {max_share:.2} of the allowed requests"
    );
}

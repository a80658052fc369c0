//! The cold ramp holds for the sum of twenty to thirty managers: a cold engine is overloaded when, within the time that the
//! settings name, it gets more than N + 2 root N + 2 requests of mean work, N being what the settings allow it then. The
//! managers are complete ones on loopback sockets, in one runtime with paused time; the fake engine counts what reaches
//! it. Clients ask for far more than it may get.

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

/// The settings of the scene: how long an engine is cold, what it can do at first, and when it is overloaded.
const SLOW_START_MS: f64 = 15_000.0;
const SLOW_START_INITIAL_SHARE: f64 = 0.3;
const CORES: f64 = 8.0;
const OVERLOAD_MULTIPLE: f64 = 3.0;
const WINDOW_MS: f64 = 1500.0;

/// The rule blames the notified managers if they sent more than this share of an overload.
const NOTIFIED_SHARE: f64 = 2.0 / 3.0;

/// Requests that each client keeps open, and how long the engine takes for one.
const OPEN: u64 = 8;
const SERVICE: Duration = Duration::from_millis(100);

/// How long the engine is watched: to beyond the half of its cold time, where its budget has grown by a half.
const WATCHED: Duration = Duration::from_secs(9);

/// Work of the requests, in ms on one core: each tenth of another size.
#[derive(Clone, Copy)]
struct Mix {
    usual: f64,
    tenth: f64,
}

impl Mix {
    fn work(self, id: u64) -> f64 {
        if id.is_multiple_of(10) {
            self.tenth
        } else {
            self.usual
        }
    }

    fn mean(self) -> f64 {
        (9.0 * self.usual + self.tenth) / 10.0
    }
}

/// One request as it reached the engine.
struct Arrival {
    at: f64,
    work: f64,
    /// Whether its manager had been notified of the engine's start.
    notified: bool,
}

/// Requests that the cold engine got within the last window, and its first overload.
struct Meter {
    clock: Clock,
    started: f64,
    mix: Mix,
    /// When each manager was notified of the start, in Unix ms.
    notified_at_ms: Vec<f64>,
    window: VecDeque<Arrival>,
    /// The most that it got, as a share of N.
    most: f64,
    overloaded: Option<String>,
}

impl Meter {
    /// Requests of mean work that the settings allow in a window from this time on. The engine can do least at its
    /// beginning.
    fn allowed(&self, from: f64) -> f64 {
        let age = ((from - self.started) / SLOW_START_MS).clamp(0.0, 1.0);
        let cores =
            CORES * (SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * age * age);
        OVERLOAD_MULTIPLE * cores * WINDOW_MS / self.mix.mean()
    }

    fn arrives(&mut self, manager: usize, id: u64) {
        let at = self.clock.now();
        if at < self.started {
            return;
        }
        let notified = self.notified_at_ms[manager] <= at;
        self.window.push_back(Arrival {
            at,
            work: self.mix.work(id),
            notified,
        });
        while self
            .window
            .pop_front_if(|first| first.at + WINDOW_MS < at)
            .is_some()
        {}
        let requests = |notified_only: bool| {
            let counted = self
                .window
                .iter()
                .filter(|arrival| arrival.notified || !notified_only);
            counted.map(|arrival| arrival.work).sum::<f64>() / self.mix.mean()
        };
        let (all, notified) = (requests(false), requests(true));
        let allowed = self.allowed(at - WINDOW_MS);
        let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
        self.most = self.most.max(notified / allowed);
        // The notified managers must not overload it alone, and are not to blame if the others sent a large part.
        if notified > limit || all > limit && notified > NOTIFIED_SHARE * all {
            let after = at - self.started;
            let text = format!(
                "{all:.0} requests, {notified:.0} of notified managers, above {limit:.0} after {after:.0} ms"
            );
            self.overloaded.get_or_insert(text);
        }
    }
}

/// Counts each request when it has arrived completely.
fn counted(meter: Arc<Mutex<Meter>>) -> RequestHandler {
    Arc::new(move |label| {
        let (client, id) = label.split_once('.').expect("a label");
        let (manager, id) = (
            client[1..].parse().expect("manager"),
            id.parse().expect("id"),
        );
        let mut meter = meter.lock().expect("meter");
        meter.arrives(manager, id);
        (SERVICE, meter.mix.work(id))
    })
}

/// Notifies one manager of the engine's start after this time, and sends an empty frame each second.
async fn feed(listener: TcpListener, after: Duration, start: Vec<u8>) {
    let (mut stream, _) = listener.accept().await.expect("accept");
    assert_eq!(stream.read_u64().await.expect("the last event"), 1);
    let mut notification = std::pin::pin!(sleep(after));
    let (mut seconds, mut start) = (interval(Duration::from_secs(1)), Some(start));
    loop {
        tokio::select! {
            () = &mut notification, if start.is_some() => {
                let frame = start.take().expect("a frame");
                stream.write_all(&frame).await.expect("write");
            }
            _ = seconds.tick() => {
                let nothing_new = [&9u32.to_be_bytes()[..], &[0; 9]].concat();
                stream.write_all(&nothing_new).await.expect("write");
            }
        }
    }
}

/// A client that keeps some requests open, and waits after a rejection.
async fn client(manager: usize, at: SocketAddr, mix: Mix) {
    let mut client = Client::new(&format!("m{manager}"), at).await;
    let mut last = 0;
    loop {
        while last < OPEN {
            last += 1;
            ask(&mut client, last, mix).await;
        }
        let (_, answer) = client.next_answer().await;
        if !answer.starts_with("served") {
            sleep(SERVICE).await;
        }
        last += 1;
        ask(&mut client, last, mix).await;
    }
}

async fn ask(client: &mut Client, id: u64, mix: Mix) {
    let effort = format!("effort={:.1}", mix.work(id));
    client
        .step(
            "send",
            &[&id.to_string(), "seat-check", "allow=15000", &effort],
        )
        .await;
}

/// How a fleet of managers sees the engine and itself.
struct Managers {
    /// The number of instances in each manager's configuration.
    instances: Vec<u32>,
    /// How long after the start each manager is notified of it.
    notified_after: Vec<Duration>,
    /// Whether they know the engine as one that started long ago.
    known_before: bool,
}

impl Managers {
    fn alike(count: u32) -> Managers {
        let all = count as usize;
        Managers {
            instances: vec![count; all],
            notified_after: vec![Duration::ZERO; all],
            known_before: false,
        }
    }
}

/// Plays these managers against the engine. Returns the most that the notified ones sent within a window, as a share of N.
fn play(managers: &Managers, mix: Mix) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("runtime").block_on(async {
        let (clock, listener) = (Clock::new(), TcpListener::bind("127.0.0.1:0").await.expect("bind"));
        let address = listener.local_addr().expect("address");
        let started = clock.now().ceil();
        let notified_at_ms = managers.notified_after.iter().map(|after| started + after.as_secs_f64() * 1000.0).collect();
        let window = VecDeque::new();
        let meter = Meter { clock, started, mix, notified_at_ms, window, most: 0.0, overloaded: None };
        let meter = Arc::new(Mutex::new(meter));
        tokio::spawn(serve(listener, counted(meter.clone())));
        let mut nodes = Vec::new();
        for (ordinal, (instances, after)) in managers.instances.iter().zip(&managers.notified_after).enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let at = listener.local_addr().expect("address");
            tokio::spawn(feed(listener, *after, feed_frame(2, 2, 0, address, 0, started as u64)));
            let member = format!(
                r#"{{"instanceId":"s-00000001","hostPort":"{address}","zone":"hall-a","machineType":"std-8c","weight":1}}"#
            );
            let known = if managers.known_before { member.as_str() } else { "" };
            let known = format!(r#"{{"n":1,"members":{{"reset":true,"instances":[{known}]}}}}"#);
            let seed = format!("seed=\"{:016x}\"", ordinal * 7919 + 3);
            let (instances, place) = (format!("nInstances={instances}"), format!("ordinal={ordinal}"));
            let text = apply_changes(&configuration(at, &known), &[&instances, &place, &seed]);
            let config = NodeConfig::parse(text.as_bytes()).expect("configuration");
            let node = Node::start(config, OptionalFrontEnds::default()).await.expect("node");
            tokio::spawn(client(ordinal, node.listen_address, mix));
            nodes.push(node);
        }
        sleep(WATCHED).await;
        let meter = meter.lock().expect("meter");
        assert_eq!(meter.overloaded, None);
        meter.most
    })
}

const LIGHT: Mix = Mix {
    usual: 50.0,
    tenth: 50.0,
};
const HEAVY: Mix = Mix {
    usual: 1500.0,
    tenth: 1500.0,
};
const MIXED: Mix = Mix {
    usual: 50.0,
    tenth: 1500.0,
};

/// All managers are notified of the start at once. They use the budget, too: an engine that gets nothing cannot be overloaded.
#[rstest]
fn all_managers_together_respect_the_slow_start_budget(
    #[values(20, 30)] count: u32,
    #[values(LIGHT, HEAVY, MIXED)] mix: Mix,
) {
    let most = play(&Managers::alike(count), mix);
    assert!(most > 0.3, "{most:.2} of what it may get");
}

/// An engine that all know to be up comes back cold, and managers are notified one after another, up to 4 s later. Those that
/// were notified are not to blame for an overload.
#[rstest]
fn managers_notified_at_different_times_respect_the_slow_start_budget(
    #[values(LIGHT, HEAVY, MIXED)] mix: Mix,
) {
    let notified_after = (0..25).map(|k| Duration::from_millis(k * 160)).collect();
    let managers = Managers {
        notified_after,
        known_before: true,
        ..Managers::alike(25)
    };
    let most = play(&managers, mix);
    assert!(most > 0.3, "{most:.2} of what it may get");
}

/// The fleet grows from twenty to thirty managers, and the older ones have not been notified: their configuration still names
/// twenty.
#[rstest]
fn managers_with_different_fleet_sizes_respect_the_slow_start_budget(
    #[values(LIGHT, HEAVY, MIXED)] mix: Mix,
) {
    let instances = [vec![20; 20], vec![30; 10]].concat();
    let most = play(
        &Managers {
            instances,
            ..Managers::alike(30)
        },
        mix,
    );
    assert!(most > 0.3, "{most:.2} of what it may get");
}

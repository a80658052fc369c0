//! Tests of a fleet with more engines than descriptors, and of an endpoint list that changes often.

use super::test_bench::{TEST_TIMEOUT, attempt, next_event, record, run_test};
use crate::core::tests::accepted_request;
use crate::core::{
    AcceptedRequest, Answer, AttemptEvent, ClientPort, Clock, Core, CoreMessage, EnginePort,
    Handle, Mailbox, run,
};
use crate::decision::{EngineState, ListUpdateKind, Outcome, RequestId};
use crate::engines::{EngineContext, Fleet};
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

/// Starts fake engines in this process. Each answers every attempt; if `answer_permits` is given,
/// it waits for a permit before each answer.
async fn start_engines(count: u32, answer_permits: Option<Arc<Semaphore>>) -> Vec<EngineRecord> {
    let mut records = Vec::new();
    for id in 1..=count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        records.push(EngineRecord {
            address,
            ..record(id, EngineState::Ready)
        });
        let answer_permits = answer_permits.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, answer_permits.clone()));
            }
        });
    }
    records
}

async fn serve_connection(
    stream: TcpStream,
    answer_permits: Option<Arc<Semaphore>>,
) -> std::io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let (mut reader, mut line) = (BufReader::new(reader), String::new());
    while reader.read_line(&mut line).await? > 0 {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        if let ["ASK", reference, _, length] = words[..] {
            let mut body = vec![0; length.parse::<usize>().unwrap_or_default() + 2];
            reader.read_exact(&mut body).await?;
            if let Some(answer_permits) = &answer_permits {
                answer_permits
                    .acquire()
                    .await
                    .map_err(std::io::Error::other)?
                    .forget();
            }
            writer
                .write_all(format!("{reference} served batches=1 2\r\na\n\r\n").as_bytes())
                .await?;
        }
        line.clear();
    }
    Ok(())
}

/// A fleet without a core, with the 64 descriptors of the smallest machine.
struct FleetTestBench {
    fleet: Fleet,
    context: EngineContext,
    core_messages: Mailbox,
    connection_limit: u64,
}

impl FleetTestBench {
    async fn new(count: u32, answer_permits: Option<Arc<Semaphore>>) -> FleetTestBench {
        let (core, core_messages) = Handle::new(64, Clock::new());
        let context = EngineContext::with_descriptors(core, 64);
        let connection_limit =
            (context.limits.engine_connections + context.limits.engine_connections_reserved) as u64;
        let mut fleet = Fleet::new(context.clone());
        start_engines(count, answer_permits)
            .await
            .iter()
            .for_each(|record| fleet.engine_listed(record));
        FleetTestBench {
            fleet,
            context,
            core_messages,
            connection_limit,
        }
    }

    fn start_attempt(&mut self, engine: u32, id: u32) {
        assert!(self.fleet.start_attempt(engine_id(engine), attempt(id)));
    }

    async fn next_end(&mut self) -> (RequestId, Outcome) {
        let (id, event) = next_event(&mut self.core_messages).await;
        assert!(
            self.context.metrics.engine_connections_open.get() <= self.connection_limit,
            "more connections than descriptors"
        );
        match event {
            AttemptEvent::Ended { outcome, .. } => (id, outcome),
            event => panic!("expected the end of an attempt, got {event:?}"),
        }
    }
}

/// Eight engines for each connection slot are used in turn, twice. Idle connections are evicted,
/// and every attempt is served.
#[test]
fn idle_connections_are_evicted_and_every_attempt_is_served() {
    run_test(async {
        let mut bench = FleetTestBench::new(200, None).await;
        for id in 1..=400 {
            bench.start_attempt(id % 200 + 1, id);
            assert_eq!(bench.next_end().await, (id, Outcome::Ok));
        }
        let metrics = &bench.context.metrics;
        assert_eq!(
            metrics.engine_connections_open.get(),
            bench.connection_limit
        );
        assert_eq!(
            metrics.engine_connections_evicted.get(),
            400 - bench.connection_limit
        );
    });
}

/// A connection that carries an attempt is never evicted. If all connections carry one, a further
/// attempt ends at once without a connection slot. As soon as one of them is served, the next
/// attempt gets a slot.
#[test]
fn busy_connections_are_not_evicted_and_the_next_attempt_gets_no_slot() {
    run_test(async {
        let answer_permits = Arc::new(Semaphore::new(0));
        let mut bench = FleetTestBench::new(40, Some(answer_permits.clone())).await;
        let connection_limit = bench.connection_limit as u32;
        (1..=connection_limit).for_each(|n| bench.start_attempt(n, n));
        bench.start_attempt(connection_limit + 1, 1000);
        assert_eq!(bench.next_end().await, (1000, Outcome::NoConnectionSlot));
        answer_permits.add_permits(1);
        let (served, outcome) = bench.next_end().await;
        assert_eq!(outcome, Outcome::Ok);
        bench.start_attempt(connection_limit + 1, 1001);
        let mut open: Vec<u32> = (1..=connection_limit)
            .filter(|n| *n != served)
            .chain([1001])
            .collect();
        answer_permits.add_permits(open.len());
        while !open.is_empty() {
            let (id, outcome) = bench.next_end().await;
            assert_eq!(outcome, Outcome::Ok);
            open.retain(|n| *n != id);
        }
        assert_eq!(bench.context.metrics.engine_connections_evicted.get(), 1);
    });
}

/// A client that forwards, for each answer, whether it was a result.
struct ForwardingClient(mpsc::UnboundedSender<bool>);

impl ClientPort for ForwardingClient {
    fn answer(&self, _: RequestId, answer: Answer) {
        let _ = self.0.send(matches!(answer, Answer::Served(_)));
    }
}

/// Core, dispatcher and fleet with 200 engines and the 64 descriptors of the smallest machine serve
/// every request of bursts that have more requests than there are connections.
#[test]
fn bursts_on_more_engines_than_descriptors_are_served_completely() {
    run_test(async {
        let (handle, mailbox) = Handle::new(64, Clock::new());
        let context = EngineContext::with_descriptors(handle.clone(), 64);
        let parsed = EngineContext::settings_for_tests();
        let (settings, class) = (parsed.settings, parsed.classes[0].clone());
        let connection_limit =
            (context.limits.engine_connections + context.limits.engine_connections_reserved) as u64;
        let (limits, metrics) = (context.limits.clone(), context.metrics.clone());
        let core =
            Core::new(settings, 7, Fleet::new(context), limits, metrics.clone()).expect("core");
        tokio::spawn(run(core, mailbox, Clock::new()));
        let engine_records = start_engines(200, None).await;
        handle
            .send(CoreMessage::EndpointList(EndpointListEvent {
                number: 1,
                kind: ListUpdateKind::Full,
                records: engine_records,
                unusable_engines: Vec::new(),
            }))
            .await;
        let (sender, mut answers) = mpsc::unbounded_channel();
        let client: Arc<dyn ClientPort> = Arc::new(ForwardingClient(sender));
        for burst in 0..10 {
            for n in 0..40 {
                let id = burst * 40 + n;
                let request =
                    accepted_request(id, &class, handle.now() + 15_000.0, 50.0, client.clone());
                let reference = Bytes::from(format!("{id:016x}"));
                handle
                    .send(CoreMessage::Request(AcceptedRequest {
                        client_reference: reference,
                        data_set: id,
                        ..request
                    }))
                    .await;
            }
            for _ in 0..40 {
                let served = timeout(TEST_TIMEOUT, answers.recv())
                    .await
                    .expect("an answer");
                assert_eq!(served, Some(true), "{metrics}");
                assert!(metrics.engine_connections_open.get() <= connection_limit);
            }
        }
        assert!(metrics.engine_connections_evicted.get() > 0, "{metrics}");
    });
}

/// While an engine accepts no connection, an attempt ends unsent and holds no descriptor. Once the
/// engine accepts connections, it serves attempts like any other engine.
#[test]
fn attempts_end_unsent_until_their_engine_accepts_connections() {
    run_test(async {
        let mut bench = FleetTestBench::new(0, None).await;
        let socket = TcpSocket::new_v4().expect("socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("bind");
        let listener = socket.listen(1).expect("listen");
        let address = listener.local_addr().expect("address");
        // Opens connections, none of which is accepted, until a further one cannot be established.
        let mut unaccepted = Vec::new();
        while let Ok(Ok(stream)) =
            timeout(Duration::from_millis(50), TcpStream::connect(address)).await
        {
            unaccepted.push(stream);
        }
        bench.fleet.engine_listed(&EngineRecord {
            address,
            ..record(1, EngineState::Ready)
        });
        bench.start_attempt(1, 1);
        assert_eq!(bench.next_end().await, (1, Outcome::NoConnection));
        assert_eq!(bench.context.metrics.engine_connections_open.get(), 0);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, None));
            }
        });
        for id in 2.. {
            bench.start_attempt(1, id);
            let (ended, outcome) = bench.next_end().await;
            assert_eq!(ended, id);
            if outcome == Outcome::Ok {
                break;
            }
            assert!(outcome == Outcome::NoConnection && id < 40);
        }
    });
}

/// In each of 8 rounds, 614 of 1024 engines are replaced at once, while the old ones drain and some
/// of the new ones refuse connections. No actor, entry or descriptor of a removed engine remains.
#[test]
fn replaced_engines_leave_no_actor_entry_or_descriptor() {
    run_test(async {
        let mut bench = FleetTestBench::new(0, None).await;
        let list_engines = |fleet: &mut Fleet, ids: std::ops::Range<u32>, state| {
            ids.for_each(|id| fleet.engine_listed(&record(id, state)));
        };
        list_engines(&mut bench.fleet, 0..1024, EngineState::Ready);
        for round in 0..8 {
            let (old, new) = (
                round * 614..(round + 1) * 614,
                (round + 1) * 614 + 410..(round + 2) * 614 + 410,
            );
            list_engines(&mut bench.fleet, old.clone(), EngineState::Draining);
            list_engines(&mut bench.fleet, new.clone(), EngineState::Ready);
            for id in new.take(20) {
                bench.start_attempt(id, id);
            }
            for _ in 0..20 {
                assert_eq!(bench.next_end().await.1, Outcome::NoConnection);
            }
            list_engines(&mut bench.fleet, old, EngineState::Removed);
        }
        let alive_tasks = || {
            tokio::runtime::Handle::current()
                .metrics()
                .num_alive_tasks()
        };
        let all_tasks_ended = async {
            while alive_tasks() > 0 {
                tokio::task::yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, all_tasks_ended)
            .await
            .expect("all actors end in time");
        assert_eq!(
            (
                bench.fleet.len(),
                bench.context.metrics.engine_connections_open.get()
            ),
            (1024, 0)
        );
    });
}

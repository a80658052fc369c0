//! Tests of a manager with more engines in its list than descriptors, and of a list that churns.

use super::Fleet;
use super::context::{EngineContext, Order};
use super::tests::{ask, block, line};
use crate::core::tests::taken;
use crate::core::{
    AcceptedRequest, Answer, AttemptEvent, ClientPort, Clock, Core, CoreMessage, EnginePort,
    Handle, Mailbox, run,
};
use crate::decision::{EngineEntry, EngineState, ListUpdateKind, Outcome, RequestId};
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

/// Engines of one process: each answers every attempt, once it may.
async fn engines(count: u32, hold: Option<Arc<Semaphore>>) -> Vec<EngineRecord> {
    let mut lines = Vec::new();
    for id in 1..=count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (engine, state, nominal) = (engine_id(id), EngineState::Ready, 8.0);
        let entry = EngineEntry {
            engine,
            state,
            nominal_capacity: nominal,
            ..EngineEntry::default()
        };
        lines.push(EngineRecord { entry, address });
        let hold = hold.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, hold.clone()));
            }
        });
    }
    lines
}

async fn serve(stream: TcpStream, hold: Option<Arc<Semaphore>>) -> std::io::Result<()> {
    let (from, mut to) = stream.into_split();
    let (mut from, mut text) = (BufReader::new(from), String::new());
    while from.read_line(&mut text).await? > 0 {
        let words: Vec<&str> = text.split_ascii_whitespace().collect();
        if let ["ASK", name, _, length] = words[..] {
            let mut body = vec![0; length.parse::<usize>().unwrap_or_default() + 2];
            from.read_exact(&mut body).await?;
            if let Some(hold) = &hold {
                hold.acquire()
                    .await
                    .map_err(std::io::Error::other)?
                    .forget();
            }
            to.write_all(format!("{name} served batches=1 2\r\na\n\r\n").as_bytes())
                .await?;
        }
        text.clear();
    }
    Ok(())
}

/// A fleet without a core, on the smallest machine's descriptors.
struct Rig {
    fleet: Fleet,
    context: EngineContext,
    news: Mailbox,
    most: u64,
}

impl Rig {
    async fn new(count: u32, hold: Option<Arc<Semaphore>>) -> Rig {
        let (core, news) = Handle::new(64, Clock::new());
        let context = EngineContext::with_sockets(core, 64);
        let most =
            (context.limits.engine_connections + context.limits.engine_connections_reserved) as u64;
        let mut fleet = Fleet::new(context.clone());
        engines(count, hold)
            .await
            .iter()
            .for_each(|line| fleet.engine_listed(line));
        Rig {
            fleet,
            context,
            news,
            most,
        }
    }

    fn ask(&mut self, engine: u32, id: u32) {
        let Order::Ask(one) = ask(id) else {
            unreachable!("an attempt")
        };
        assert!(self.fleet.start_attempt(engine_id(engine), *one));
    }

    async fn end(&mut self) -> (RequestId, Outcome) {
        let input = timeout(Duration::from_secs(20), self.news.next_message())
            .await
            .expect("an end");
        assert!(
            self.context.metrics.engine_connections_open.get() <= self.most,
            "more descriptors than there are"
        );
        match input {
            Some(CoreMessage::Attempt {
                id,
                event: AttemptEvent::Ended { outcome, .. },
                ..
            }) => (id, outcome),
            _ => panic!("no end"),
        }
    }
}

/// Eight engines for each descriptor, in turn and again: idle connections make room, and every attempt is served.
#[test]
fn idle_connections_make_room() {
    block(async {
        let mut rig = Rig::new(200, None).await;
        for id in 1..=400 {
            rig.ask(id % 200 + 1, id);
            assert_eq!(rig.end().await, (id, Outcome::Ok));
        }
        let metrics = &rig.context.metrics;
        assert_eq!(metrics.engine_connections_open.get(), rig.most);
        assert_eq!(metrics.engine_connections_evicted.get(), 400 - rig.most);
    });
}

/// Guard: what carries an attempt gives nothing up. Where all do, an attempt comes back at once as none, and the next
/// one finds room as soon as one of them is served.
#[test]
fn what_carries_an_attempt_stays() {
    block(async {
        let hold = Arc::new(Semaphore::new(0));
        let mut rig = Rig::new(40, Some(hold.clone())).await;
        let most = rig.most as u32;
        (1..=most).for_each(|n| rig.ask(n, n));
        rig.ask(most + 1, 1000);
        assert_eq!(rig.end().await, (1000, Outcome::NoConnectionSlot));
        hold.add_permits(1);
        let (served, outcome) = rig.end().await;
        assert_eq!(outcome, Outcome::Ok);
        rig.ask(most + 1, 1001);
        let mut open: Vec<u32> = (1..=most).filter(|n| *n != served).chain([1001]).collect();
        hold.add_permits(open.len());
        while !open.is_empty() {
            let (id, outcome) = rig.end().await;
            assert_eq!(outcome, Outcome::Ok);
            open.retain(|n| *n != id);
        }
        assert_eq!(rig.context.metrics.engine_connections_evicted.get(), 1);
    });
}

/// A client that counts what it was told.
struct Client(mpsc::UnboundedSender<bool>);

impl ClientPort for Client {
    fn answer(&self, _: RequestId, answer: Answer) {
        let _ = self.0.send(matches!(answer, Answer::Served(_)));
    }
}

/// Core, module and fleet with 200 engines on the descriptors of the smallest machine: bursts of more requests than
/// there are connections are served, all of them.
#[test]
fn more_engines_than_descriptors_serve_all() {
    block(async {
        let (handle, inputs) = Handle::new(64, Clock::new());
        let context = EngineContext::with_sockets(handle.clone(), 64);
        let parsed = EngineContext::settings_for_tests();
        let (settings, class) = (parsed.settings, parsed.classes[0].clone());
        let most =
            (context.limits.engine_connections + context.limits.engine_connections_reserved) as u64;
        let (limits, metrics) = (context.limits.clone(), context.metrics.clone());
        let core =
            Core::new(settings, 7, Fleet::new(context), limits, metrics.clone()).expect("core");
        tokio::spawn(run(core, inputs, Clock::new()));
        let entries = engines(200, None).await;
        handle
            .send(CoreMessage::EndpointList(EndpointListEvent {
                number: 1,
                kind: ListUpdateKind::Full,
                records: entries,
                unusable_engines: Vec::new(),
            }))
            .await;
        let (to, mut told) = mpsc::unbounded_channel();
        let client: Arc<dyn ClientPort> = Arc::new(Client(to));
        for burst in 0..10 {
            for n in 0..40 {
                let id = burst * 40 + n;
                let one = taken(id, &class, handle.now() + 15_000.0, 50.0, client.clone());
                let name = Bytes::from(format!("{id:016x}"));
                handle
                    .send(CoreMessage::Request(AcceptedRequest {
                        client_reference: name,
                        data_set: id,
                        ..one
                    }))
                    .await;
            }
            for _ in 0..40 {
                let served = timeout(Duration::from_secs(20), told.recv())
                    .await
                    .expect("an answer");
                assert_eq!(served, Some(true), "{metrics}");
                assert!(metrics.engine_connections_open.get() <= most);
            }
        }
        assert!(metrics.engine_connections_evicted.get() > 0, "{metrics}");
    });
}

/// An engine whose connections come up late, if at all: the attempt comes back unsent and holds no descriptor, and once
/// the engine accepts it serves as any other.
#[test]
fn an_engine_that_comes_up_late() {
    block(async {
        let mut rig = Rig::new(0, None).await;
        let socket = TcpSocket::new_v4().expect("socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("bind");
        let listener = socket.listen(1).expect("listen");
        let address = listener.local_addr().expect("address");
        // Connections that nobody accepts, until one more does not come up.
        let mut crowd = Vec::new();
        while let Ok(Ok(stream)) =
            timeout(Duration::from_millis(50), TcpStream::connect(address)).await
        {
            crowd.push(stream);
        }
        rig.fleet.engine_listed(&EngineRecord {
            address,
            ..line(1, EngineState::Ready)
        });
        rig.ask(1, 1);
        assert_eq!(rig.end().await, (1, Outcome::NoConnection));
        assert_eq!(rig.context.metrics.engine_connections_open.get(), 0);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, None));
            }
        });
        for id in 2.. {
            rig.ask(1, id);
            let (ended, outcome) = rig.end().await;
            assert_eq!(ended, id);
            if outcome == Outcome::Ok {
                break;
            }
            assert!(outcome == Outcome::NoConnection && id < 40);
        }
    });
}

/// Guard: six in ten of a thousand engines are replaced at once, several times over, the old ones draining meanwhile,
/// and some of the newcomers refuse connections: nothing stays behind, neither actors nor entries nor descriptors.
#[test]
fn nothing_stays_of_engines_that_left() {
    block(async {
        let mut rig = Rig::new(0, None).await;
        let list = |fleet: &mut Fleet, ids: std::ops::Range<u32>, state| {
            ids.for_each(|id| fleet.engine_listed(&line(id, state)));
        };
        list(&mut rig.fleet, 0..1024, EngineState::Ready);
        for round in 0..8 {
            let (old, new) = (
                round * 614..(round + 1) * 614,
                (round + 1) * 614 + 410..(round + 2) * 614 + 410,
            );
            list(&mut rig.fleet, old.clone(), EngineState::Draining);
            list(&mut rig.fleet, new.clone(), EngineState::Ready);
            for id in new.take(20) {
                rig.ask(id, id);
            }
            for _ in 0..20 {
                assert_eq!(rig.end().await.1, Outcome::NoConnection);
            }
            list(&mut rig.fleet, old, EngineState::Removed);
        }
        let tasks = || {
            tokio::runtime::Handle::current()
                .metrics()
                .num_alive_tasks()
        };
        let over = async {
            while tasks() > 0 {
                tokio::task::yield_now().await;
            }
        };
        timeout(Duration::from_secs(20), over)
            .await
            .expect("no actor stays");
        assert_eq!(
            (
                rig.fleet.peers.len(),
                rig.context.metrics.engine_connections_open.get()
            ),
            (1024, 0)
        );
    });
}

//! What the tests of engines' actors share: an actor of either speech and the bare socket that it connects to.

use super::admission::Admission;
use super::context::{EngineContext, Order};
use super::{Fleet, flight, lines};
use crate::attempt::AttemptEnd;
use crate::core::tests::taken;
use crate::core::{
    Answer, AttemptEvent, AttemptRequest, CancellationFlag, ClientPort, Clock, Core, CoreMessage,
    EnginePort, Handle, Mailbox, StatementKind,
};
use crate::decision::{EngineEntry, EngineId, EngineState, ListUpdateKind, Outcome, RequestId};
use crate::limits::Limits;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use bytes::Bytes;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// More than the buffers of both sockets take.
pub(super) const LARGE: usize = 24 << 20;

/// An engine's actor with the peer that it connects to.
pub(super) struct Rig {
    pub(super) listener: TcpListener,
    orders: mpsc::Sender<Order>,
    news: Mailbox,
    pub(super) context: EngineContext,
    pub(super) admission: Arc<Admission>,
}

impl Rig {
    pub(super) async fn lines() -> Rig {
        Rig::new(false).await
    }

    pub(super) async fn flight() -> Rig {
        Rig::new(true).await
    }

    async fn new(speaks_flight: bool) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (core, news) = Handle::new(64, Clock::new());
        let (context, admission) = (EngineContext::for_tests(core), Arc::<Admission>::default());
        let (orders, mailbox) = mpsc::channel(64);
        let (engine, shut) = (EngineId::default(), admission.clone());
        match speaks_flight {
            true => tokio::spawn(flight::run(engine, address, mailbox, context.clone(), shut)),
            false => tokio::spawn(lines::run(engine, address, mailbox, context.clone(), shut)),
        };
        Rig {
            listener,
            orders,
            news,
            context,
            admission,
        }
    }

    pub(super) async fn tell(&self, order: Order) {
        self.orders.send(order).await.expect("order");
    }

    pub(super) async fn accept(&self) -> TcpStream {
        let accepted = timeout(Duration::from_secs(20), self.listener.accept()).await;
        accepted.expect("a connection in time").expect("accept").0
    }

    /// The next end, with its attempt.
    pub(super) async fn end(&mut self) -> (u32, AttemptEvent) {
        match timeout(Duration::from_secs(20), self.news.next_message())
            .await
            .expect("an end")
        {
            Some(CoreMessage::Attempt {
                id, event: news, ..
            }) => (id, news),
            _ => panic!("no end"),
        }
    }

    /// Whether nothing was told, after all actors had their turns.
    pub(super) async fn silent(&mut self) -> bool {
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        timeout(Duration::ZERO, self.news.next_message())
            .await
            .is_err()
    }
}

/// A line of the list about an engine that nobody has to connect to.
pub(super) fn line(id: u32, state: EngineState) -> EngineRecord {
    let entry = EngineEntry {
        engine: engine_id(id),
        state,
        nominal_capacity: 8.0,
        ..EngineEntry::default()
    };
    EngineRecord {
        entry,
        address: ([127, 0, 0, 1], 9).into(),
    }
}

/// Guard: what the list names can be reached, however many descriptors there are, also while as many others drain. An
/// engine without an actor was chosen all the same, and took most of a fleet's requests while none of them went out.
#[test]
fn every_listed_engine_takes_attempts() {
    block(async {
        let (core, _news) = Handle::new(64, Clock::new());
        let mut fleet = Fleet::new(EngineContext::for_tests(core));
        (1..=1024).for_each(|id| fleet.engine_listed(&line(id, EngineState::Ready)));
        (1..=614).for_each(|id| fleet.engine_listed(&line(id, EngineState::Draining)));
        (2001..=2614).for_each(|id| fleet.engine_listed(&line(id, EngineState::Ready)));
        for id in (615..=1024).chain(2001..=2614) {
            let Order::Ask(one) = ask(id) else {
                unreachable!("an attempt")
            };
            assert!(
                fleet.start_attempt(engine_id(id), *one),
                "engine {id} cannot be reached"
            );
        }
    });
}

/// Guard: a drain takes effect though its order finds the mailbox full, as after a turn in which much was said to one
/// engine. What waits behind is not sent on, and nothing is connected.
#[test]
fn a_drain_holds_though_the_mailbox_is_full() {
    block(async {
        let (core, mut news) = Handle::new(64, Clock::new());
        let context = EngineContext::for_tests(core);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let at = |state| EngineRecord {
            address,
            ..line(1, state)
        };
        for last in [EngineState::Draining, EngineState::Removed] {
            let mut fleet = Fleet::new(context.clone());
            fleet.engine_listed(&at(EngineState::Ready));
            let Order::Ask(one) = ask(1) else {
                unreachable!("an attempt")
            };
            assert!(fleet.start_attempt(engine_id(1), *one));
            // No actor has a turn before the test waits.
            (1..context.limits.mailbox_messages)
                .for_each(|_| fleet.set_priority(engine_id(1), 9, 0, 2));
            fleet.engine_listed(&at(last));
            let told = timeout(Duration::from_secs(20), news.next_message())
                .await
                .expect("an end");
            let Some(CoreMessage::Attempt {
                id: 1, event: told, ..
            }) = told
            else {
                panic!("no end")
            };
            assert!(
                matches!(
                    told,
                    AttemptEvent::Ended {
                        outcome: Outcome::NoConnection,
                        ..
                    }
                ),
                "{told:?}"
            );
            assert_eq!(context.metrics.engine_connections.get(), 0);
        }
    });
}

/// Guard: an attempt whose client has left is not written, though the order that takes it back finds the mailbox full. The
/// mailbox has room for the attempt alone here, and no actor has a turn between the two.
#[test]
fn a_client_that_leaves_is_heeded_though_the_mailbox_is_full() {
    block(async {
        let (core, mut news) = Handle::new(64, Clock::new());
        let (now, parsed) = (core.now(), EngineContext::settings_for_tests());
        let mut limits = Limits::new(256, 32, true, &parsed);
        limits.mailbox_messages = 1;
        let context = EngineContext::new(core, Arc::new(limits), Arc::default(), false);
        let (limits, metrics) = (context.limits.clone(), context.metrics.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let class = parsed.classes[0].clone();
        let mut core =
            Core::new(parsed.settings, 7, Fleet::new(context), limits, metrics).expect("core");
        let entries = vec![EngineRecord {
            address,
            ..line(1, EngineState::Ready)
        }];
        let event = EndpointListEvent {
            number: 1,
            kind: ListUpdateKind::Full,
            records: entries,
            unusable_engines: Vec::new(),
        };
        core.handle(now, CoreMessage::EndpointList(event));
        let request = taken(1, &class, now + 9000.0, 50.0, Arc::new(NoClient));
        core.handle(now, CoreMessage::Request(request));
        core.handle(now, CoreMessage::ClientDisconnected(1));
        let written = async {
            let mut peer = listener.accept().await.expect("accept").0;
            // At the end of the connection nothing has come.
            peer.read_u8().await.is_ok()
        };
        let told = async {
            match timeout(Duration::from_secs(20), news.next_message())
                .await
                .expect("an end")
            {
                Some(CoreMessage::Attempt {
                    id, event: news, ..
                }) => (id, news),
                _ => panic!("no end"),
            }
        };
        tokio::select! {
            told = told => assert!(given_up(&told, 1, AttemptEnd::NeverSent), "{told:?}"),
            true = written => panic!("it was written"),
        }
    });
}

/// A client that takes no answer.
struct NoClient;

impl ClientPort for NoClient {
    fn answer(&self, _: RequestId, _: Answer) {}
}

pub(super) fn given_up(told: &(u32, AttemptEvent), id: u32, end: AttemptEnd) -> bool {
    matches!(told, (at, AttemptEvent::Cancelled(e)) if *at == id && *e == end)
}

pub(super) fn block<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(test);
}

/// An attempt on a small statement.
pub(super) fn ask(id: u32) -> Order {
    ask_of(id, 10)
}

/// An attempt on a statement of so many bytes.
pub(super) fn ask_of(id: u32, bytes: usize) -> Order {
    let class = EngineContext::settings_for_tests().classes[0].clone();
    Order::Ask(Box::new(AttemptRequest {
        id,
        attempt: 0,
        client_reference: Bytes::from(format!("{id:016x}")),
        class,
        deadline_ms: 1e13,
        send_before_ms: f64::INFINITY,
        memory_mb: 0.0,
        priority: 1,
        idempotency_key: None,
        statement: Bytes::from(vec![b' '; bytes]),
        statement_kind: StatementKind::Query,
        cancellation: CancellationFlag::default(),
    }))
}

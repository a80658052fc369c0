//! Tests of a Flight engine's actor against a peer that speaks no more than HTTP/2.

use super::*;
use crate::core::{Clock, Handle, Inputs};
use crate::engines::tests::{ask, ask_of};
use std::future::poll_fn;
use tokio::net::{TcpListener, TcpStream};

type Peer = h2::server::Connection<TcpStream, Bytes>;

struct Rig {
    listener: TcpListener,
    orders: mpsc::Sender<Order>,
    news: Inputs,
    house: House,
}

impl Rig {
    async fn new() -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (core, news) = Handle::new(64, Clock::new());
        let house = House::for_tests(core);
        let (orders, mailbox) = mpsc::channel(64);
        tokio::spawn(run(EngineId::default(), address, mailbox, house.clone(), Arc::default()));
        Rig { listener, orders, news, house }
    }

    async fn tell(&self, order: Order) {
        self.orders.send(order).await.expect("order");
    }

    /// A peer that would take any amount in one go.
    async fn accept(&self) -> Peer {
        let stream = self.listener.accept().await.expect("accept").0;
        let mut build = h2::server::Builder::new();
        build.initial_window_size(1 << 30).initial_connection_window_size(1 << 30);
        build.handshake(stream).await.expect("handshake")
    }

    async fn end(&mut self) -> (u32, EngineNews) {
        match timeout(Duration::from_secs(20), self.news.input()).await.expect("an end") {
            Some(Input::Engine { id, news, .. }) => (id, news),
            _ => panic!("no end"),
        }
    }
}

fn block<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(test);
}

fn given_up(told: &(u32, EngineNews), id: u32, end: End) -> bool {
    matches!(told, (at, EngineNews::GivenUp(e)) if *at == id && *e == end)
}

#[test]
fn what_has_no_connection_is_over_at_once() {
    block(async {
        let mut rig = Rig::new().await;
        rig.tell(ask(1)).await;
        rig.tell(Order::Quit(1, 0, false)).await;
        assert!(given_up(&rig.end().await, 1, End::Unsent));
    });
}

/// The reset has left once the end is told, and what else is on the connection goes on.
#[test]
fn a_reset_has_left_when_the_end_is_told() {
    block(async {
        let mut rig = Rig::new().await;
        rig.tell(ask(1)).await;
        rig.tell(ask(2)).await;
        let mut peer = rig.accept().await;
        let (_first, mut first) = peer.accept().await.expect("a call").expect("a call");
        let (_second, mut second) = peer.accept().await.expect("a call").expect("a call");
        rig.tell(Order::Quit(1, 0, false)).await;
        // The peer is not polled meanwhile: what it finds afterwards was there.
        assert!(given_up(&rig.end().await, 1, End::GivenUp));
        tokio::select! {
            biased;
            reset = poll_fn(|cx| first.poll_reset(cx)) => assert_eq!(reset.expect("reset"), h2::Reason::CANCEL),
            _ = peer.accept() => panic!("a call"),
        }
        let reset = poll_fn(|cx| std::task::Poll::Ready(second.poll_reset(cx).is_ready())).await;
        assert!(!reset && rig.house.counters.quits_stuck.get() == 0);
    });
}

/// Guard: where another attempt may follow, the peer has answered a ping behind the reset.
#[test]
fn an_attempt_may_follow_once_the_reset_is_read() {
    block(async {
        let mut rig = Rig::new().await;
        rig.tell(ask(1)).await;
        let mut peer = rig.accept().await;
        let (_call, mut answer) = peer.accept().await.expect("a call").expect("a call");
        rig.tell(Order::Quit(1, 0, true)).await;
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(timeout(Duration::ZERO, rig.news.input()).await.is_err(), "the peer has read nothing of it");
        tokio::select! {
            biased;
            told = rig.end() => assert!(given_up(&told, 1, End::GivenUp)),
            _ = peer.accept() => panic!("a call"),
        }
        assert!(poll_fn(|cx| std::task::Poll::Ready(answer.poll_reset(cx).is_ready())).await);
    });
}

/// Guard: a peer that reads no more keeps the reset; its connection is closed, and what else is on it is reset.
#[test]
fn a_peer_that_reads_nothing_is_closed() {
    block(async {
        let mut rig = Rig::new().await;
        rig.tell(ask(2)).await;
        let mut peer = rig.accept().await;
        let _second = peer.accept().await.expect("a call").expect("a call");
        rig.tell(ask_of(1, 24 << 20)).await;
        let _first = peer.accept().await.expect("a call").expect("a call");
        // All that both sockets take is written in these turns.
        for _ in 0..1000 {
            tokio::task::yield_now().await;
        }
        rig.tell(Order::Quit(1, 0, false)).await;
        let (mut gone, mut reset) = (false, false);
        for _ in 0..2 {
            let told = rig.end().await;
            gone |= given_up(&told, 1, End::Broken);
            reset |= matches!(told, (2, EngineNews::Ended { outcome: Outcome::Reset, .. }));
        }
        assert!(gone && reset && rig.house.counters.quits_stuck.get() == 1);
    });
}

//! Tests of the acceptor. A second socket on the same backlog stands for the other process of a hot
//! restart.

use super::Acceptor;
use crate::clients::connection_slots::ConnectionSlot;
use crate::clients::tests::test_frontend::{ANSWER_TIMEOUT, TestFrontend};
use crate::limits::{Limits, PeerUse, SharedLimit};
use futures::FutureExt;
use std::net::TcpListener as StdTcpListener;
use std::pin::pin;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Slots of the acceptor, of which a process with a peer has two.
const SLOTS: usize = 5;

/// An acceptor and the listening socket of the other process.
struct TwoListeners {
    acceptor: Acceptor,
    other_process: TcpListener,
    limits: Arc<Limits>,
}

impl TwoListeners {
    async fn new() -> TwoListeners {
        TwoListeners::with_slots(SLOTS).await
    }

    async fn with_slots(slots: usize) -> TwoListeners {
        let test = TestFrontend::new(1, |_| {}).await;
        let listener = StdTcpListener::bind("127.0.0.1:0").expect("bind");
        listener.set_nonblocking(true).expect("option");
        let other_process = listener.try_clone().expect("socket");
        let from_std = |listener| TcpListener::from_std(listener).expect("socket");
        TwoListeners {
            acceptor: Acceptor::new(
                from_std(listener),
                &test.frontend,
                SharedLimit::new(&test.frontend.limits, slots),
            ),
            other_process: from_std(other_process),
            limits: test.frontend.limits.clone(),
        }
    }

    async fn connect(&self) -> TcpStream {
        let address = self.other_process.local_addr().expect("address");
        TcpStream::connect(address).await.expect("connect")
    }

    /// Connects a client and accepts it. The connection has an open request if it is busy.
    async fn accept_client(&self, is_busy: bool) -> (TcpStream, ConnectionSlot) {
        let client = self.connect().await;
        let accepted = timeout(ANSWER_TIMEOUT, self.acceptor.accept()).await;
        let (_, slot) = accepted.expect("a connection");
        slot.record_call();
        if is_busy {
            slot.request_opened();
        }
        (client, slot)
    }

    /// Whether the acceptor accepts a connection that is in the backlog.
    async fn accepts_now(&self) -> bool {
        let mut accepting = pin!(self.acceptor.accept());
        for _ in 0..3 {
            if accepting.as_mut().now_or_never().is_some() {
                return true;
            }
            // Lets the runtime poll the sockets.
            tokio::task::yield_now().await;
        }
        false
    }
}

/// Guards against a connection that a process accepts although it has no slot for it: the other
/// process could have served it.
#[tokio::test]
async fn a_connection_without_a_slot_is_left_to_the_other_process() {
    let listeners = TwoListeners::new().await;
    let mut busy = Vec::new();
    for _ in 0..SLOTS {
        busy.push(listeners.accept_client(true).await);
    }
    let _client = listeners.connect().await;
    assert!(!listeners.accepts_now().await);
    let accepted = timeout(ANSWER_TIMEOUT, listeners.other_process.accept()).await;
    assert!(accepted.is_ok_and(|accepted| accepted.is_ok()));
}

/// Guards against a process that accepts a connection although its share has become smaller while it
/// waited for one.
#[tokio::test]
async fn no_connection_is_accepted_beyond_a_share_that_became_smaller_during_the_wait() {
    let listeners = TwoListeners::new().await;
    let _busy = [
        listeners.accept_client(true).await,
        listeners.accept_client(true).await,
    ];
    let mut accepting = pin!(listeners.acceptor.accept());
    assert!(accepting.as_mut().now_or_never().is_none());
    listeners.limits.set_peer_use(PeerUse::Share);
    let _client = listeners.connect().await;
    let accepted = timeout(ANSWER_TIMEOUT, async {
        tokio::select! {
            biased;
            _ = &mut accepting => false,
            accepted = listeners.other_process.accept() => accepted.is_ok(),
        }
    });
    assert!(accepted.await.expect("the other process accepts it"));
    listeners.limits.set_peer_use(PeerUse::Nothing);
    let _client = listeners.connect().await;
    assert!(timeout(ANSWER_TIMEOUT, accepting).await.is_ok());
}

/// If every slot is taken, an idle connection is evicted for one new connection at a time.
#[tokio::test]
async fn an_idle_connection_is_evicted_for_a_new_one_if_every_slot_is_taken() {
    let listeners = TwoListeners::new().await;
    let mut connections = Vec::new();
    for is_busy in [false, false, true, true, true] {
        let connection = listeners.accept_client(is_busy).await;
        connection.1.mark_served();
        connections.push(connection);
    }
    let is_evicted = |slot: &ConnectionSlot| slot.asked_to_close().now_or_never().is_some();
    assert!(is_evicted(&connections[0].1) && !is_evicted(&connections[1].1));
    let newest = listeners.accept_client(false).await;
    assert!(is_evicted(&connections[1].1) && !is_evicted(&newest.1));
    let _waiting = listeners.connect().await;
    assert!(
        !listeners.accepts_now().await,
        "the evicted connections are not closed yet"
    );
    drop(connections.remove(0));
    assert!(listeners.accepts_now().await);
}

/// Guards against a listener that waits for an evicted connection on which a request was opened
/// meanwhile: it does not close before the answer, and other connections can be evicted.
#[tokio::test]
async fn an_evicted_connection_that_becomes_busy_does_not_hold_up_new_ones() {
    // Twice as many slots, so that this process may keep more than its share of four.
    let listeners = TwoListeners::with_slots(2 * SLOTS).await;
    listeners.limits.set_peer_use(PeerUse::Share);
    let mut connections = Vec::new();
    for is_busy in [false, false, false, true, true] {
        let connection = listeners.accept_client(is_busy).await;
        connection.1.mark_served();
        connections.push(connection);
    }
    let is_evicted = |slot: &ConnectionSlot| slot.asked_to_close().now_or_never().is_some();
    for (_, slot) in &connections[..2] {
        assert!(is_evicted(slot));
        slot.request_opened();
    }
    let _waiting = listeners.connect().await;
    assert!(listeners.accepts_now().await);
    assert!(is_evicted(&connections[2].1));
}

/// Guards against a wait that misses that a connection may be evicted now: a served connection may
/// be evicted once few others were never served.
#[tokio::test]
async fn a_listener_is_woken_when_a_served_request_makes_another_connection_evictable() {
    let listeners = TwoListeners::new().await;
    let (_client, served) = listeners.accept_client(false).await;
    served.mark_served();
    let mut busy = Vec::new();
    for _ in 1..SLOTS {
        let (client, slot) = listeners.accept_client(true).await;
        slot.request_opened();
        busy.push((client, slot));
    }
    let _waiting = listeners.connect().await;
    let mut accepting = tokio::spawn(async move {
        let accepted = listeners.acceptor.accept().await;
        (accepted, listeners)
    });
    tokio::task::yield_now().await;
    for (_, slot) in &busy {
        slot.mark_served();
    }
    let accepted = timeout(ANSWER_TIMEOUT, &mut accepting).await;
    assert!(accepted.is_ok(), "the wait was not woken");
    assert!(served.asked_to_close().now_or_never().is_some());
}

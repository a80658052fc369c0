//! Tests of one engine's actor against a peer that is a bare socket.

use super::*;
use crate::attempt::AttemptEnd;
use crate::core::AttemptRequest;
use crate::engines::tests::{LARGE, Rig, ask, ask_of, block, given_up};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Guard: what waits for a connection when staff take its engine out is given back, and nothing is connected.
#[test]
fn a_ban_reaches_what_waits() {
    block(async {
        let mut rig = Rig::lines().await;
        // Behind it in the mailbox: the flag is there before the order is read.
        rig.tell(ask(1)).await;
        rig.admission.ban(true);
        assert!(matches!(
            rig.end().await,
            (
                1,
                AttemptEvent::Ended {
                    outcome: Outcome::NoConnection,
                    ..
                }
            )
        ));
        tokio::select! {
            biased;
            _ = rig.listener.accept() => panic!("connected to an engine that was taken out"),
            () = sleep(Duration::ZERO) => {}
        }
    });
}

/// What was never handed to a socket is over at once, and nothing of it is written.
#[test]
fn what_waits_is_over_at_once() {
    block(async {
        let mut rig = Rig::lines().await;
        rig.tell(ask(1)).await;
        rig.tell(Order::Quit(1, 0, false)).await;
        assert!(given_up(&rig.end().await, 1, AttemptEnd::NeverSent));
        rig.tell(ask(2)).await;
        let mut peer = rig.accept().await;
        let mut text = [0; 64];
        let n = peer.read(&mut text).await.expect("bytes");
        assert!(text[..n].starts_with(b"ASK 0000000000000002 "));
        assert!(rig.silent().await, "given up once, told once");
    });
}

/// Guard: an attempt is held against its times once more as it is written, as a connection may come up late. It was
/// never sent then, and what is behind it goes on.
#[test]
fn what_is_late_is_not_written() {
    block(async {
        let mut rig = Rig::lines().await;
        let now = rig.context.core.now();
        for (id, due_ms, until_ms) in [(1, now, f64::INFINITY), (2, 1e13, now), (3, 1e13, 1e13)] {
            let Order::Ask(one) = ask(id) else {
                unreachable!("an attempt")
            };
            rig.tell(Order::Ask(Box::new(AttemptRequest {
                deadline_ms: due_ms,
                send_before_ms: until_ms,
                ..*one
            })))
            .await;
        }
        assert!(given_up(&rig.end().await, 1, AttemptEnd::NeverSent));
        assert!(matches!(
            rig.end().await,
            (
                2,
                AttemptEvent::Ended {
                    outcome: Outcome::NotSent,
                    ..
                }
            )
        ));
        let mut text = [0; 20];
        rig.accept()
            .await
            .read_exact(&mut text)
            .await
            .expect("bytes");
        assert_eq!(&text, b"ASK 0000000000000003");
    });
}

/// Guard: an order that stands in the mailbox as the connection comes up holds for what waits there. Which of the two
/// the runtime shows first is left to chance, so it is tried often.
#[test]
fn an_order_that_comes_with_the_connection() {
    block(async {
        for _ in 0..40 {
            let mut rig = Rig::lines().await;
            rig.tell(ask(1)).await;
            tokio::task::yield_now().await;
            rig.tell(Order::Quit(1, 0, false)).await;
            assert!(
                given_up(&rig.end().await, 1, AttemptEnd::NeverSent),
                "it was written"
            );
        }
    });
}

/// Guard: an engine that closes an idle connection just as a request comes has not had that request: it goes over
/// another connection. Neither the runtime nor the actor has looked at the socket in between.
#[test]
fn an_idle_connection_that_was_closed_by_its_peer() {
    block(async {
        let mut rig = Rig::lines().await;
        for id in 1..4 {
            rig.tell(ask(id)).await;
            let mut peer = rig.accept().await;
            let mut heard = Vec::new();
            while !heard.ends_with(b"          \r\n") {
                assert!(peer.read_buf(&mut heard).await.expect("bytes") > 0);
            }
            peer.write_all(format!("{id:016x} served batches=1 2\r\na\n\r\n").as_bytes())
                .await
                .expect("answer");
            let told = rig.end().await;
            assert!(
                matches!(told, (at, AttemptEvent::Ended { outcome: Outcome::Ok, .. }) if at == id),
                "{told:?}"
            );
            drop(peer);
        }
    });
}

/// Guard: answers without an end, be they to nothing that was asked or notes, end their connection and what is on it.
#[test]
fn answers_without_an_end() {
    block(async {
        for (answer, most) in [
            ("00000000000000aa served batches=1", 129),
            ("0000000000000001 update -", 16_385),
        ] {
            let mut rig = Rig::lines().await;
            rig.tell(ask(1)).await;
            let mut peer = rig.accept().await;
            peer.read_u8().await.expect("a byte");
            let all = format!("{answer} 0\r\n\r\n").repeat(most);
            let writes = tokio::spawn(async move {
                let _ = peer.write_all(all.as_bytes()).await;
                peer
            });
            let told = loop {
                match rig.end().await {
                    (1, AttemptEvent::Progress(_)) => {}
                    told => break told,
                }
            };
            assert!(
                matches!(
                    told,
                    (
                        1,
                        AttemptEvent::Ended {
                            outcome: Outcome::Reset,
                            ..
                        }
                    )
                ),
                "{told:?}"
            );
            assert_eq!(rig.context.metrics.engine_malformed.get(), 1);
            drop(writes);
        }
    });
}

/// An engine that reads a byte at a time has the attempt and the cancellation in this order; the end is told once, also
/// where the order is given again.
#[test]
fn an_engine_that_reads_slowly() {
    block(async {
        let mut rig = Rig::lines().await;
        rig.tell(ask(1)).await;
        let mut peer = rig.accept().await;
        let mut heard = vec![peer.read_u8().await.expect("a byte")];
        rig.tell(Order::Quit(1, 0, false)).await;
        rig.tell(Order::Quit(1, 0, false)).await;
        while !heard.ends_with(b"QUIT 0000000000000001\r\n") {
            heard.push(peer.read_u8().await.expect("a byte"));
        }
        assert!(heard.starts_with(b"ASK 0000000000000001 "));
        assert!(given_up(&rig.end().await, 1, AttemptEnd::Cancelled));
        assert!(rig.silent().await);
    });
}

/// Guard: where another attempt may follow, a cancellation that was sent proves nothing, as connections are read in no
/// order among each other; that the engine answers what stands behind it does. A note meanwhile proves nothing either.
#[test]
fn an_attempt_may_follow_once_the_word_is_read() {
    block(async {
        let mut rig = Rig::lines().await;
        rig.tell(ask(1)).await;
        let mut peer = rig.accept().await;
        let mut heard = vec![peer.read_u8().await.expect("a byte")];
        rig.tell(Order::Quit(1, 0, true)).await;
        while !heard.ends_with(b"QUIT 0000000000000001\r\nNOOP 0000000000000001\r\n") {
            heard.push(peer.read_u8().await.expect("a byte"));
        }
        peer.write_all(b"00000000000000aa green - 0\r\n\r\n")
            .await
            .expect("answer");
        assert!(rig.silent().await, "another tag");
        peer.write_all(b"0000000000000001 green - 0\r\n\r\n")
            .await
            .expect("answer");
        assert!(given_up(&rig.end().await, 1, AttemptEnd::Cancelled));
    });
}

/// Guard: an engine that reads and says nothing has its connection closed before another attempt may follow.
#[test]
fn a_peer_that_says_nothing_is_closed() {
    block(async {
        let mut rig = Rig::lines().await;
        rig.tell(ask(1)).await;
        let mut peer = rig.accept().await;
        let mut all = vec![peer.read_u8().await.expect("a byte")];
        rig.tell(Order::Quit(1, 0, true)).await;
        while peer.read_buf(&mut all).await.is_ok_and(|n| n > 0) {}
        assert!(given_up(&rig.end().await, 1, AttemptEnd::ConnectionLost));
        assert_eq!(rig.context.metrics.cancellations_unconfirmed.get(), 1);
    });
}

/// Guard: nothing is told before the cancellation was sent: a peer that does not read keeps the attempt out. Once it
/// reads it finds the attempt whole and then the cancellation.
#[test]
fn no_proof_before_the_word_has_left() {
    block(async {
        let mut rig = Rig::lines().await;
        rig.tell(ask_of(1, LARGE)).await;
        let mut peer = rig.accept().await;
        let mut first = [0; 4];
        peer.read_exact(&mut first).await.expect("bytes");
        rig.tell(Order::Quit(1, 0, false)).await;
        assert!(rig.silent().await, "the cancellation is still here");
        let mut all = Vec::new();
        while !all.ends_with(b"QUIT 0000000000000001\r\n") {
            assert!(peer.read_buf(&mut all).await.expect("bytes") > 0);
        }
        assert!(all.len() > LARGE);
        assert!(given_up(&rig.end().await, 1, AttemptEnd::Cancelled));
    });
}

/// Guard: a peer that reads nothing is not waited for without a bound. Its connection is closed, so that it never has
/// the attempt whole, and what waited behind goes over another connection.
#[test]
fn a_peer_that_reads_nothing_is_closed() {
    block(async {
        let mut rig = Rig::lines().await;
        rig.tell(ask_of(1, LARGE)).await;
        let mut peer = rig.accept().await;
        peer.read_exact(&mut [0; 4]).await.expect("bytes");
        rig.tell(ask(2)).await;
        rig.tell(Order::Quit(1, 0, false)).await;
        let mut other = rig.accept().await;
        assert!(given_up(&rig.end().await, 1, AttemptEnd::NeverSent));
        assert_eq!(rig.context.metrics.cancellations_unconfirmed.get(), 1);
        let mut text = [0; 20];
        other.read_exact(&mut text).await.expect("bytes");
        assert_eq!(&text, b"ASK 0000000000000002");
        let mut rest = Vec::new();
        while peer.read_buf(&mut rest).await.is_ok_and(|n| n > 0) {}
        assert!(rest.len() < LARGE, "it never has it whole");
    });
}

/// Guard: a connection that breaks while the cancellation is queued is an end that is told once, as the one that was
/// asked for.
#[test]
fn a_break_with_the_word_queued() {
    block(async {
        let mut rig = Rig::lines().await;
        rig.tell(ask_of(1, LARGE)).await;
        let mut peer = rig.accept().await;
        peer.read_exact(&mut [0; 4]).await.expect("bytes");
        rig.tell(Order::Quit(1, 0, false)).await;
        assert!(rig.silent().await);
        drop(peer);
        assert!(given_up(&rig.end().await, 1, AttemptEnd::NeverSent));
        assert!(rig.silent().await);
    });
}

/// A good answer that crosses the cancellation is passed on; pages that the cancellation let go are not asked for; and
/// an answer that proves that nothing ran does so for what is given up too.
#[test]
fn answers_that_cross_the_word() {
    block(async {
        for (answer, page) in [
            ("served batches=1 2\r\na\n", true),
            ("served batches=3 2\r\na\n", false),
        ] {
            let mut rig = Rig::lines().await;
            rig.tell(ask(1)).await;
            rig.tell(ask_of(2, LARGE)).await;
            let mut peer = rig.accept().await;
            peer.read_exact(&mut [0; 20]).await.expect("bytes");
            rig.tell(Order::Quit(1, 0, false)).await;
            assert!(
                rig.silent().await,
                "the cancellation stands behind what is not read"
            );
            peer.write_all(format!("0000000000000001 {answer}\r\n").as_bytes())
                .await
                .expect("answer");
            match rig.end().await {
                (
                    1,
                    AttemptEvent::Ended {
                        outcome: Outcome::Ok,
                        body: Some(_),
                        ..
                    },
                ) => assert!(page),
                told => assert!(
                    !page && given_up(&told, 1, AttemptEnd::Answered),
                    "{told:?}"
                ),
            }
        }
    });
}

//! Tests of the actor of one engine. The engine is a plain TCP socket that the test reads and
//! writes.

use crate::attempt::AttemptEnd;
use crate::core::{AttemptEvent, AttemptRequest};
use crate::decision::Outcome;
use crate::engines::context::AfterCancellation;
use crate::engines::tests::test_bench::{
    EngineTestBench, LARGE_STATEMENT_BYTES, TEST_TIMEOUT, attempt, attempt_with_statement,
    cancel_message, is_cancelled, is_ended, run_test, start_message,
};
use crate::log::capture::LogCapture;
use crate::node_config::EngineProtocol;
use crate::operator_config::text::{LogFormat, LogLevel};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// If on-call staff eject an engine while an attempt waits for a connection, the attempt ends
/// unsent and no connection is made.
#[test]
fn manual_ejection_ends_waiting_attempts_without_connecting() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        // The flag is set before the actor reads the message.
        bench.send(start_message(attempt(1))).await;
        bench.admission.set_manually_ejected(true);
        assert!(is_ended(
            &bench.next_event().await,
            1,
            Outcome::NoConnection
        ));
        tokio::select! {
            biased;
            _ = bench.listener.accept() => panic!("connected to an ejected engine"),
            () = sleep(Duration::ZERO) => {}
        }
    });
}

/// A cancelled attempt that was not yet written to a socket ends at once, and nothing of it is
/// written.
#[test]
fn cancelled_waiting_attempt_ends_at_once_and_is_not_written() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        bench.send(start_message(attempt(1))).await;
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::NeverSent
        ));
        bench.send(start_message(attempt(2))).await;
        let mut peer = bench.accept().await;
        let mut text = [0; 64];
        let byte_count = peer.read(&mut text).await.expect("bytes");
        assert!(text[..byte_count].starts_with(b"ASK 0000000000000002 "));
        assert!(
            bench.has_no_event().await,
            "the end of the cancelled attempt is reported once"
        );
    });
}

/// The time limits of an attempt are checked again when it is written, because the connection may
/// open late. An expired attempt ends without being sent, and the attempt queued behind it is
/// written.
#[test]
fn attempt_past_its_deadline_or_send_limit_is_not_written() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        let now = bench.context.core.now();
        for (id, deadline_ms, send_before_ms) in
            [(1, now, f64::INFINITY), (2, 1e13, now), (3, 1e13, 1e13)]
        {
            bench
                .send(start_message(AttemptRequest {
                    deadline_ms,
                    send_before_ms,
                    ..attempt(id)
                }))
                .await;
        }
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::NeverSent
        ));
        assert!(is_ended(&bench.next_event().await, 2, Outcome::NotSent));
        let mut text = [0; 20];
        bench
            .accept()
            .await
            .read_exact(&mut text)
            .await
            .expect("bytes");
        assert_eq!(&text, b"ASK 0000000000000003");
    });
}

/// A cancellation that waits in the mailbox when the connection opens takes effect on the queued
/// attempt. The runtime may deliver either of the two first, so the test repeats the case.
#[test]
fn cancellation_that_arrives_with_the_connection_takes_effect() {
    run_test(async {
        for _ in 0..40 {
            let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
            bench.send(start_message(attempt(1))).await;
            tokio::task::yield_now().await;
            bench
                .send(cancel_message(1, AfterCancellation::NoRetry))
                .await;
            assert!(
                is_cancelled(&bench.next_event().await, 1, AttemptEnd::NeverSent),
                "the cancelled attempt was written"
            );
        }
    });
}

/// An engine that closes an idle connection just before an attempt starts has not received the
/// attempt, which is sent on another connection. Neither the runtime nor the actor has polled the
/// socket in between.
#[test]
fn idle_connection_closed_by_its_peer_is_replaced_before_the_next_attempt() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        for id in 1..4 {
            bench.send(start_message(attempt(id))).await;
            let mut peer = bench.accept().await;
            let mut received = Vec::new();
            while !received.ends_with(b"          \r\n") {
                assert!(peer.read_buf(&mut received).await.expect("bytes") > 0);
            }
            peer.write_all(format!("{id:016x} served batches=1 2\r\na\n\r\n").as_bytes())
                .await
                .expect("answer");
            let event = bench.next_event().await;
            assert!(
                matches!(event, (ended_id, AttemptEvent::Ended { outcome: Outcome::Ok, .. }) if ended_id == id),
                "{event:?}"
            );
            drop(peer);
        }
    });
}

/// Endless unexpected answers or progress reports close their connection and end its attempts.
#[test]
fn answers_past_the_limit_without_an_attempt_end_close_the_connection() {
    run_test(async {
        for (answer, repetitions) in [
            ("00000000000000aa served batches=1", 129),
            ("0000000000000001 update -", 16_385),
        ] {
            let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
            bench.send(start_message(attempt(1))).await;
            let mut peer = bench.accept().await;
            peer.read_u8().await.expect("a byte");
            let all_answers = format!("{answer} 0\r\n\r\n").repeat(repetitions);
            let writer_task = tokio::spawn(async move {
                let _ = peer.write_all(all_answers.as_bytes()).await;
                peer
            });
            let event = loop {
                match bench.next_event().await {
                    (1, AttemptEvent::Progress(_)) => {}
                    event => break event,
                }
            };
            assert!(is_ended(&event, 1, Outcome::Reset), "{event:?}");
            assert_eq!(bench.context.metrics.engine_malformed.get(), 1);
            drop(writer_task);
        }
    });
}

/// An engine that reads one byte at a time receives the attempt and then the cancellation. The end
/// is reported once, even if the actor receives the cancellation twice.
#[test]
fn slow_reader_receives_attempt_then_cancellation_and_the_end_is_reported_once() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        bench.send(start_message(attempt(1))).await;
        let mut peer = bench.accept().await;
        let mut received = vec![peer.read_u8().await.expect("a byte")];
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        while !received.ends_with(b"QUIT 0000000000000001\r\n") {
            received.push(peer.read_u8().await.expect("a byte"));
        }
        assert!(received.starts_with(b"ASK 0000000000000001 "));
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::Cancelled
        ));
        assert!(bench.has_no_event().await);
    });
}

/// If a retry may follow, a cancellation that is only written proves nothing, because an engine
/// reads its connections in any order. The answer to the command after the cancellation is the
/// proof. An answer with another tag proves nothing.
#[test]
fn cancellation_before_a_retry_ends_once_the_engine_confirms_it() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        bench.send(start_message(attempt(1))).await;
        let mut peer = bench.accept().await;
        let mut received = vec![peer.read_u8().await.expect("a byte")];
        bench
            .send(cancel_message(1, AfterCancellation::RetryMayFollow))
            .await;
        while !received.ends_with(b"QUIT 0000000000000001\r\nNOOP 0000000000000001\r\n") {
            received.push(peer.read_u8().await.expect("a byte"));
        }
        peer.write_all(b"00000000000000aa green - 0\r\n\r\n")
            .await
            .expect("answer");
        assert!(
            bench.has_no_event().await,
            "an answer with another tag does not confirm the cancellation"
        );
        peer.write_all(b"0000000000000001 green - 0\r\n\r\n")
            .await
            .expect("answer");
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::Cancelled
        ));
    });
}

/// The connection to an engine that reads a cancellation but does not answer is closed before a
/// retry may follow.
#[test]
fn unconfirmed_cancellation_closes_the_connection() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        bench.send(start_message(attempt(1))).await;
        let mut peer = bench.accept().await;
        let mut received = vec![peer.read_u8().await.expect("a byte")];
        bench
            .send(cancel_message(1, AfterCancellation::RetryMayFollow))
            .await;
        while peer
            .read_buf(&mut received)
            .await
            .is_ok_and(|byte_count| byte_count > 0)
        {}
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::ConnectionLost
        ));
        assert_eq!(bench.context.metrics.cancellations_unconfirmed.get(), 1);
    });
}

/// The end is not reported before the cancellation is written: a peer that does not read keeps the
/// attempt in flight. Once it reads, it receives the complete attempt and then the cancellation.
#[test]
fn cancelled_attempt_does_not_end_before_its_cancellation_is_written() {
    run_test(async {
        // On a busy machine the peer needs longer than the default timeout, and a timeout would end
        // the attempt in another way.
        let mut bench = EngineTestBench::with_limits(EngineProtocol::Lines, |limits| {
            limits.cancellation_write_timeout = TEST_TIMEOUT;
        })
        .await;
        bench
            .send(start_message(attempt_with_statement(
                1,
                LARGE_STATEMENT_BYTES,
            )))
            .await;
        let mut peer = bench.accept().await;
        let mut first_bytes = [0; 4];
        peer.read_exact(&mut first_bytes).await.expect("bytes");
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        assert!(
            bench.has_no_event().await,
            "the cancellation is not written yet"
        );
        let mut received = Vec::new();
        while !received.ends_with(b"QUIT 0000000000000001\r\n") {
            assert!(peer.read_buf(&mut received).await.expect("bytes") > 0);
        }
        assert!(received.len() > LARGE_STATEMENT_BYTES);
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::Cancelled
        ));
    });
}

/// The wait for a peer that reads nothing is bounded. Its connection is closed, so that it never
/// receives the complete attempt. The attempt queued behind is sent on another connection.
#[test]
fn peer_that_reads_nothing_is_closed_after_a_cancellation() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        bench
            .send(start_message(attempt_with_statement(
                1,
                LARGE_STATEMENT_BYTES,
            )))
            .await;
        let mut peer = bench.accept().await;
        peer.read_exact(&mut [0; 4]).await.expect("bytes");
        bench.send(start_message(attempt(2))).await;
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        let mut second_peer = bench.accept().await;
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::NeverSent
        ));
        assert_eq!(bench.context.metrics.cancellations_unconfirmed.get(), 1);
        let mut text = [0; 20];
        second_peer.read_exact(&mut text).await.expect("bytes");
        assert_eq!(&text, b"ASK 0000000000000002");
        let mut rest = Vec::new();
        while peer
            .read_buf(&mut rest)
            .await
            .is_ok_and(|byte_count| byte_count > 0)
        {}
        assert!(
            rest.len() < LARGE_STATEMENT_BYTES,
            "the peer never receives the complete attempt"
        );
    });
}

/// If the connection fails while the cancellation is queued, exactly one end is reported: the end
/// of the cancelled attempt.
#[test]
fn reset_while_cancellation_is_queued_is_reported_once() {
    run_test(async {
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        bench
            .send(start_message(attempt_with_statement(
                1,
                LARGE_STATEMENT_BYTES,
            )))
            .await;
        let mut peer = bench.accept().await;
        peer.read_exact(&mut [0; 4]).await.expect("bytes");
        bench
            .send(cancel_message(1, AfterCancellation::NoRetry))
            .await;
        assert!(bench.has_no_event().await);
        drop(peer);
        assert!(is_cancelled(
            &bench.next_event().await,
            1,
            AttemptEnd::NeverSent
        ));
        assert!(bench.has_no_event().await);
    });
}

/// A complete result that arrives while the cancellation is queued is forwarded. The further pages
/// of a larger result are not requested, because the engine drops them when it reads the
/// cancellation.
#[test]
fn answers_that_arrive_before_the_cancellation_is_written_end_the_attempt() {
    run_test(async {
        for (answer, is_complete) in [
            ("served batches=1 2\r\na\n", true),
            ("served batches=3 2\r\na\n", false),
        ] {
            let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
            bench.send(start_message(attempt(1))).await;
            bench
                .send(start_message(attempt_with_statement(
                    2,
                    LARGE_STATEMENT_BYTES,
                )))
                .await;
            let mut peer = bench.accept().await;
            peer.read_exact(&mut [0; 20]).await.expect("bytes");
            bench
                .send(cancel_message(1, AfterCancellation::NoRetry))
                .await;
            assert!(
                bench.has_no_event().await,
                "the cancellation is queued behind output that the peer has not read"
            );
            peer.write_all(format!("0000000000000001 {answer}\r\n").as_bytes())
                .await
                .expect("answer");
            match bench.next_event().await {
                (
                    1,
                    AttemptEvent::Ended {
                        outcome: Outcome::Ok,
                        body: Some(_),
                        ..
                    },
                ) => assert!(is_complete),
                event => assert!(
                    !is_complete && is_cancelled(&event, 1, AttemptEnd::Answered),
                    "{event:?}"
                ),
            }
        }
    });
}

/// The log at `debug` contains the connection of each attempt, the answers that were ignored, and
/// why the connection was closed.
#[test]
fn debug_log_contains_the_connection_of_each_attempt_and_the_reasons_of_its_events() {
    run_test(async {
        let log = LogCapture::new(LogLevel::Debug, LogFormat::Json);
        let mut bench = EngineTestBench::new(EngineProtocol::Lines).await;
        bench.send(start_message(attempt(1))).await;
        let mut peer = bench.accept().await;
        // The peer reads all of the attempt, because closing a socket with unread bytes resets the
        // connection.
        let mut received = Vec::new();
        while !received.ends_with(b"          \r\n") {
            assert!(peer.read_buf(&mut received).await.expect("bytes") > 0);
        }
        let answers =
            "00000000000000aa served batches=1 0\r\n\r\n0000000000000001 crashed - 0\r\n\r\n";
        peer.write_all(answers.as_bytes()).await.expect("answers");
        assert!(is_ended(&bench.next_event().await, 1, Outcome::Error));
        drop(peer);
        let closed = "connection to an engine closed";
        let is_logged = async {
            while log.events(closed).is_empty() {
                tokio::task::yield_now().await;
            }
        };
        let logged = tokio::time::timeout(TEST_TIMEOUT, is_logged).await;
        logged.unwrap_or_else(|_| {
            panic!(
                "the log does not contain the close of the connection: {}",
                log.text()
            )
        });
        let event = |message| log.events(message).remove(0);
        let number = event("connection to an engine opened")["connection"].clone();
        assert!(number.is_u64(), "{}", log.text());
        let queued_for_writing = event("attempt queued for writing on its connection");
        assert_eq!(
            (&queued_for_writing["connection"], &queued_for_writing["id"]),
            (&number, &1.into())
        );
        let ignored = event("answer of an engine ignored");
        assert_eq!(ignored["reason"], "NoSuchAttempt");
        assert_eq!(
            event("attempt ended by an answer without a result")["status"],
            "Failed"
        );
        let ended = event("attempt ended on its connection");
        assert_eq!((&ended["connection"], &ended["id"]), (&number, &1.into()));
        assert_eq!(event(closed)["reason"], "ClosedByEngine");
    });
}

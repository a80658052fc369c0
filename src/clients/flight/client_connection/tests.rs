//! Tests of the state of a client connection, without sockets.

use super::{ClientConnection, REMEMBERED_RESETS};
use crate::clients::connection_slots::ConnectionSlots;
use crate::clients::flight::frame_scanner::{FrameHeader, FrameKind};
use crate::clients::tests::test_frontend::TestFrontend;
use crate::limits::SharedLimit;
use crate::metrics::Metrics;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The longest silence of a client in these tests.
const MAX_SILENCE: Duration = Duration::from_secs(30);

async fn connection() -> (Arc<ClientConnection>, Arc<Metrics>) {
    let test = TestFrontend::new(1, |_| {}).await;
    let limits = test.frontend.limits.clone();
    let slots = ConnectionSlots::new(SharedLimit::new(&limits, 4), &limits, test.metrics.clone());
    let connection = ClientConnection::new(slots.take_slot(), &test.frontend);
    (connection, test.metrics)
}

fn frame(kind: FrameKind, stream: u32, ends_stream: bool) -> FrameHeader {
    FrameHeader {
        kind,
        stream,
        ends_stream,
        payload_bytes: 10,
    }
}

fn begin_answer(connection: &ClientConnection, stream: u32) {
    connection.frame_written(frame(FrameKind::Headers, stream, false));
}

fn end_answer(connection: &ClientConnection, stream: u32) {
    connection.frame_written(frame(FrameKind::Headers, stream, true));
}

/// Whether a shutdown waits for the connection.
fn is_pending(metrics: &Metrics) -> bool {
    metrics.client_connections_pending.get() > 0
}

/// Whether the client has stalled within this time.
async fn stalls_within(connection: &ClientConnection, time: Duration) -> bool {
    timeout(time, connection.stalled(MAX_SILENCE)).await.is_ok()
}

#[tokio::test]
async fn connection_is_pending_until_its_last_answer_is_written() {
    let (connection, metrics) = connection().await;
    begin_answer(&connection, 1);
    begin_answer(&connection, 3);
    connection.frame_written(frame(FrameKind::Data, 3, false));
    end_answer(&connection, 1);
    assert!(is_pending(&metrics));
    end_answer(&connection, 3);
    assert!(!is_pending(&metrics));
    connection.set_write_blocked(true);
    assert!(is_pending(&metrics));
    connection.set_write_blocked(false);
    assert!(!is_pending(&metrics));
}

/// A reset of either side ends the answer, also if the first frame of the answer is written after
/// the client's reset was read.
#[tokio::test]
async fn answer_ends_with_the_reset_of_its_stream() {
    let (connection, metrics) = connection().await;
    begin_answer(&connection, 1);
    connection.frame_read(frame(FrameKind::ResetStream, 1, false));
    begin_answer(&connection, 3);
    connection.frame_written(frame(FrameKind::ResetStream, 3, false));
    connection.frame_read(frame(FrameKind::ResetStream, 5, false));
    begin_answer(&connection, 5);
    assert!(!is_pending(&metrics));
}

/// The memory for resets is bounded, however many a client sends.
#[tokio::test]
async fn a_limited_number_of_resets_is_remembered() {
    let (connection, _) = connection().await;
    for stream in 0..10 * REMEMBERED_RESETS as u32 {
        connection.frame_read(frame(FrameKind::ResetStream, stream, false));
    }
    assert_eq!(connection.answers().reset_streams.len(), REMEMBERED_RESETS);
}

/// The memory of answers stays reserved until they are written, or are known never to be.
#[tokio::test]
async fn unwritten_bytes_are_counted_until_they_are_written() {
    let (connection, _) = connection().await;
    begin_answer(&connection, 1);
    begin_answer(&connection, 3);
    connection.add_unwritten_bytes(25);
    connection.frame_written(frame(FrameKind::Data, 1, true));
    assert_eq!(connection.answers().unwritten_bytes, 15);
    connection.frame_read(frame(FrameKind::ResetStream, 3, false));
    assert_eq!(connection.answers().unwritten_bytes, 0);
}

#[tokio::test(start_paused = true)]
async fn client_stalls_once_nothing_was_written_for_the_longest_silence() {
    let (connection, _) = connection().await;
    sleep(MAX_SILENCE).await;
    begin_answer(&connection, 1);
    let begun_at = Instant::now();
    connection.stalled(MAX_SILENCE).await;
    assert_eq!(begun_at.elapsed(), MAX_SILENCE);
}

#[tokio::test(start_paused = true)]
async fn client_does_not_stall_while_it_reads_or_the_engine_is_awaited() {
    let (connection, _) = connection().await;
    assert!(!stalls_within(&connection, 3 * MAX_SILENCE).await);
    begin_answer(&connection, 1);
    for _ in 0..4 {
        assert!(!stalls_within(&connection, MAX_SILENCE / 2).await);
        connection.frame_written(frame(FrameKind::Data, 1, false));
    }
    connection.begin_engine_wait();
    assert!(!stalls_within(&connection, 3 * MAX_SILENCE).await);
    connection.end_engine_wait();
    assert!(!stalls_within(&connection, MAX_SILENCE / 2).await);
    end_answer(&connection, 1);
    assert!(!stalls_within(&connection, 3 * MAX_SILENCE).await);
}

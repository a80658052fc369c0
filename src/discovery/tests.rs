//! Tests of following the feed over a TCP connection, and of decoding frames.

use super::frame::{Frame, FrameError, HEADER_BYTES, RECORD_BYTES, decode};
use super::*;
use crate::core::{Clock, CoreMessage};
use crate::decision::EngineState;
use crate::engines::EngineContext;
use crate::node_config::engine_id;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any, proptest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Returns a frame as the feed sends it, with one record for each engine in `ids`.
fn frame(number: u64, kind: u8, ids: std::ops::Range<u32>, state: u8) -> Vec<u8> {
    let mut frame = (HEADER_BYTES as u32 + ids.len() as u32 * RECORD_BYTES as u32)
        .to_be_bytes()
        .to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    for id in ids {
        frame.extend(id.to_be_bytes());
        frame.extend([127, 0, 0, 1]);
        frame.extend((10_000 + id as u16).to_be_bytes());
        frame.extend([state, 0, 0, 0, 0]);
        frame.extend(1000u32.to_be_bytes());
        frame.extend(0u64.to_be_bytes());
    }
    frame
}

/// Accepts the next connection, and reads the number of the last known event from it.
async fn accept(feed: &TcpListener) -> (TcpStream, u64) {
    let mut stream = feed.accept().await.expect("accept").0;
    let last = stream.read_u64().await.expect("number");
    (stream, last)
}

/// The feed sends a list of 1,024 engines and then an event with draining engines, and is silent
/// until the timeout. Its next connection closes in the middle of an event, and the one after that
/// repeats the known event and the incomplete one. Each event must reach the core once, complete
/// and in order.
#[test]
fn each_event_is_passed_on_once_when_the_feed_fails_during_a_large_release() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let feed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let (core, mut inputs) = Handle::new(64, Clock::new());
        let mut limits = Limits::clone(&EngineContext::for_tests(core.clone()).limits);
        limits.feed_read_timeout = std::time::Duration::from_millis(50);
        let metrics: Arc<Metrics> = Arc::default();
        let (_feed, address) = watch::channel(feed.local_addr().expect("address"));
        let (first_frame_received, _) = watch::channel(false);
        let (_settings, settings) = watch::channel(Arc::new(EngineContext::settings_for_tests()));
        let context = FollowerContext {
            core,
            limits: Arc::new(limits),
            metrics: metrics.clone(),
            first_frame_received,
            settings,
        };
        tokio::spawn(follow(address, 0, context));
        let (mut stream, last) = accept(&feed).await;
        assert_eq!(last, 0);
        stream
            .write_all(&frame(1, 1, 0..1024, 0))
            .await
            .expect("full list");
        stream
            .write_all(&frame(2, 2, 0..614, 1))
            .await
            .expect("draining");
        let (mut next, last) = accept(&feed).await;
        assert_eq!((last, metrics.feed_timeouts.get()), (2, 1));
        let added = frame(3, 2, 1024..1638, 0);
        next.write_all(&added[..added.len() / 2])
            .await
            .expect("a half");
        drop(next);
        let (mut next, last) = accept(&feed).await;
        assert_eq!(last, 2);
        next.write_all(&[frame(2, 2, 0..614, 1), added].concat())
            .await
            .expect("both");
        for (number, entries) in [(1, 1024), (2, 614), (3, 614)] {
            let Some(CoreMessage::EndpointList(event)) = inputs.next_message().await else {
                panic!("no event")
            };
            assert_eq!((event.number, event.records.len()), (number, entries));
        }
        assert_eq!(
            (metrics.feed_events.get(), metrics.feed_malformed.get()),
            (3, 0)
        );
    });
}

/// A record with unknown values must not prevent the use of the other records or of later frames. A
/// draining or removed engine is passed on whatever its zone and machine type are.
#[test]
fn only_the_record_with_unknown_values_is_left_out() {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":1,"giveUpMs":9}],
        "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
        "limits":{"attemptsCap":6},"zones":["hall-a","hall-b"],"shapes":["std-8c"]}"#;
    let settings = crate::settings_json::parse(text.as_bytes()).expect("settings");
    let decode_with_second_record = |state: u8, zone: u8, machine_type: u8| {
        let mut frame = frame(7, 2, 1..4, 0).split_off(4);
        let second_record = HEADER_BYTES + RECORD_BYTES;
        frame[second_record + 10..second_record + 13].copy_from_slice(&[state, zone, machine_type]);
        let Ok(Frame::Event(event)) = decode(&frame, &settings) else {
            panic!("no event")
        };
        let states: Vec<_> = event.records.iter().map(|r| r.entry.state).collect();
        (states, event.unusable_engines)
    };
    let ready = EngineState::Ready;
    for (state, zone, machine_type) in [(3, 0, 0), (255, 0, 0), (0, 2, 0), (0, 0, 1)] {
        assert_eq!(
            decode_with_second_record(state, zone, machine_type),
            (vec![ready; 2], vec![engine_id(2)])
        );
    }
    assert_eq!(
        decode_with_second_record(0, 1, 0),
        (vec![ready; 3], Vec::new())
    );
    assert_eq!(
        decode_with_second_record(1, 9, 9),
        (vec![ready, EngineState::Draining, ready], Vec::new())
    );
    assert_eq!(
        decode_with_second_record(2, 9, 9),
        (vec![ready, EngineState::Removed, ready], Vec::new())
    );
    // An incomplete record at the end makes the whole frame invalid.
    let mut short = frame(7, 2, 1..4, 0).split_off(4);
    short.pop();
    let error = decode(&short, &settings).expect_err("cut short");
    assert_eq!(error, FrameError::PartialRecord(RECORD_BYTES - 1));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2048))]

    /// Guards against a frame that ends the task of the feed: a changed frame is decoded or refused.
    #[test]
    fn changed_frames_are_decoded_without_a_panic(
        kind in 0..4_u8,
        changes in vec((any::<usize>(), any::<u8>()), 0..6),
        cut in 0..60_usize,
    ) {
        let mut input = frame(7, kind, 0..3, 0);
        for (position, value) in changes {
            let position = position % input.len();
            input[position] = value;
        }
        input.truncate(input.len() - cut.min(input.len()));
        let content = input.get(4..).unwrap_or_default();
        let _ = decode(content, &EngineContext::settings_for_tests());
    }
}

//! Tests that the limits together fit the memory and the descriptors.

use super::basis::{ENGINE_BYTES, RECORD_BYTES, engine_connection_bytes};
use super::{Limits, PeerUse, SharedLimit};
use crate::decision::EngineId;
use crate::node_config::EngineRecord;
use crate::settings_json;
use rstest::rstest;
use std::sync::Arc;

/// Bytes of a record that waits for an engine slot. It is an entry of a tree whose nodes may be
/// half full.
const WAITING_RECORD_BYTES: usize = 2 * size_of::<(EngineId, EngineRecord)>();

/// If all limits are reached at once, the memory and the descriptors must be enough even on the
/// smallest machine. The descriptors include a second connection to the feed, which is open while
/// the feed's address changes.
#[rstest]
fn all_limits_fit_memory_and_descriptors_together(
    #[values(64, 256, 384, 512, 1024)] sockets: usize,
    #[values(32, 192, 256)] memory_mb: usize,
) {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":1,"giveUpMs":9}],
        "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
        "limits":{"attemptsCap":6}}"#;
    let limits = Limits::new(
        sockets,
        memory_mb,
        true,
        &settings_json::parse(text.as_bytes()).expect("settings"),
    );
    let buffered_bytes = limits.client_request_bytes
        + limits.client_answer_bytes
        + limits.partial_result_bytes
        + limits.flight_ticket_bytes;
    let engine_connections = limits.engine_connections + limits.engine_connections_reserved;
    let connection_bytes = engine_connections * engine_connection_bytes(limits.page_bytes)
        + limits.client_connections * limits.client_input_buffer_bytes
        + limits.flight_connections * limits.flight_window_bytes as usize
        + limits.feed_frame_bytes;
    // The number of records that wait for an engine slot is at most the number of slots.
    let list_bytes =
        limits.engines * (ENGINE_BYTES + WAITING_RECORD_BYTES) + 2 * limits.state_bytes as usize;
    assert!(
        limits.engines >= 2 * 1024,
        "the limit is below 1,024 listed engines and as many draining ones"
    );
    assert!(
        memory_mb < 256 || limits.engines >= 22_000 + 22_000 / 10,
        "the limit is below 22,000 listed engines and one tenth as many draining ones"
    );
    assert!(
        limits.feed_frame_bytes >= limits.engines * RECORD_BYTES + 9,
        "the full list does not fit one frame"
    );
    // The program text takes 2 to 3 MB and is shared by two processes. The value has a reserve.
    let program_text_bytes = 4 << 20;
    // The state of one process takes 0.5 MB. The value has a reserve.
    let process_state_bytes = 1 << 20;
    let required_bytes = buffered_bytes
        + connection_bytes
        + list_bytes
        + limits.flight_message_bytes
        + program_text_bytes
        + process_state_bytes;
    assert!(
        required_bytes <= memory_mb << 20,
        "{required_bytes} bytes needed, {memory_mb} MB available"
    );
    // Two processes during a hot restart.
    assert!(limits.set_peer_use(PeerUse::Share) && !limits.set_peer_use(PeerUse::Share));
    let limits = Arc::new(limits);
    let share = |total| SharedLimit::new(&limits, total).capacity();
    let bytes_per_process = share(buffered_bytes)
        + share(connection_bytes)
        + share(limits.flight_message_bytes)
        + list_bytes
        + process_state_bytes;
    let required_bytes = 2 * bytes_per_process + program_text_bytes;
    assert!(
        required_bytes <= memory_mb << 20,
        "both processes need {required_bytes} bytes, {memory_mb} MB available"
    );
    let shared_limits = [
        limits.client_connections,
        limits.flight_connections,
        limits.admin_connections,
        limits.engine_connections,
        limits.engine_connections_reserved,
    ];
    let descriptors_per_process = shared_limits
        .iter()
        .map(|limit| share(*limit))
        .sum::<usize>()
        + 17;
    assert!(
        sockets < 256 || 2 * descriptors_per_process <= sockets,
        "each process needs {descriptors_per_process} descriptors, both together have {sockets}"
    );
    // Descriptors for the standard streams, the runtime, signals (five), the listeners, the SNMP
    // agent, the feed (two) and files.
    let process_descriptors = 19;
    let required_descriptors = limits.client_connections
        + limits.flight_connections
        + limits.admin_connections
        + engine_connections
        + process_descriptors;
    assert!(
        required_descriptors <= sockets,
        "{required_descriptors} descriptors needed, {sockets} available"
    );
}

//! Tests of this module.

use super::Limits;
use super::basis::{ENGINE_BYTES, RECORD_BYTES, engine_connection_bytes};
use crate::decision::EngineId;
use crate::node_config::EngineRecord;
use crate::settings_json;
use rstest::rstest;

/// Bytes of a record that waits for a slot: an entry of a tree whose nodes may be half full.
const WAITING_RECORD_BYTES: usize = 2 * size_of::<(EngineId, EngineRecord)>();

/// The smallest machine holds everything at its bound at once, and so does the smallest table of descriptors, with the
/// feed's second connection while the feed moves.
#[rstest]
fn all_limits_fit_memory_and_descriptors_together(
    #[values(64, 256, 384, 512, 1024)] sockets: usize,
    #[values(32, 192, 256)] memory: usize,
) {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":1,"giveUpMs":9}],
        "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
        "limits":{"attemptsCap":6}}"#;
    let limits = Limits::new(
        sockets,
        memory,
        true,
        &settings_json::parse(text.as_bytes()).expect("settings"),
    );
    let shared = limits.input_bytes
        + limits.output_bytes
        + limits.partial_result_bytes
        + limits.open_statement_bytes
        + limits.flight_ticket_bytes;
    let engine_conns = limits.engine_connections + limits.engine_connections_reserved;
    let buffers = engine_conns * engine_connection_bytes(limits.page_bytes)
        + limits.client_connections * 4096
        + limits.feed_frame_bytes;
    // As many records may wait for a slot as there are slots.
    let list =
        limits.engines * (ENGINE_BYTES + WAITING_RECORD_BYTES) + 2 * limits.state_bytes as usize;
    assert!(
        limits.engines >= 2 * 1024,
        "a list of 1,024 beside as many that drain"
    );
    assert!(
        memory < 256 || limits.engines >= 22_000 + 22_000 / 10,
        "22,000 beside a tenth that drains"
    );
    assert!(
        limits.feed_frame_bytes >= limits.engines * RECORD_BYTES + 9,
        "a whole list is one frame"
    );
    let program = 4 << 20; // its text, which two processes share: 2 to 3 as measured, with a reserve
    let own = 1 << 20; // 0.5 as measured
    let all = shared + buffers + list + limits.flight_message_bytes + program + own;
    assert!(all <= memory << 20, "{all} bytes of {memory} MB");
    // Two processes of an upgrade.
    assert!(!limits.set_peer_process(true) && limits.set_peer_process(true));
    let per_process = limits.share(shared)
        + limits.share(buffers)
        + limits.share(limits.flight_message_bytes)
        + list
        + own;
    let all = 2 * per_process + program;
    assert!(all <= memory << 20, "{all} bytes of {memory} MB for both");
    let all = [
        limits.client_connections,
        limits.flight_connections,
        limits.admin_connections,
        limits.engine_connections,
        limits.engine_connections_reserved,
    ];
    let all = all.iter().map(|n| limits.share(*n)).sum::<usize>() + 17;
    assert!(
        sockets < 256 || 2 * all <= sockets,
        "twice {all} descriptors of {sockets}"
    );
    let program = 19; // standard ones, the runtime's, five for signals, listeners, the agent, the feed twice, files
    let all = limits.client_connections
        + limits.flight_connections
        + limits.admin_connections
        + engine_conns
        + program;
    assert!(all <= sockets, "{all} descriptors of {sockets}");
}

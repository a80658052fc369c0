//! Tests of the frame scanner.

use super::{FrameHeader, FrameKind, FrameScanner};
use rstest::rstest;

/// A frame with a payload of zero bytes in number `payload_bytes`.
fn frame(kind: u8, flags: u8, stream: u32, payload_bytes: u8) -> Vec<u8> {
    let mut frame = vec![0, 0, payload_bytes, kind, flags];
    frame.extend(stream.to_be_bytes());
    frame.extend(vec![0xff; usize::from(payload_bytes)]);
    frame
}

fn header(kind: FrameKind, stream: u32, ends_stream: bool, payload_bytes: usize) -> FrameHeader {
    FrameHeader {
        kind,
        stream,
        ends_stream,
        payload_bytes,
    }
}

/// Frames are found whatever the pieces are in which their bytes pass.
#[rstest]
fn frames_are_found_in_pieces_of_any_size(
    #[values(1, 2, 8, 9, 10, 1000)] piece_bytes: usize,
    #[values(true, false)] from_client: bool,
) {
    let mut bytes = Vec::new();
    let mut scanner = FrameScanner::from_server();
    if from_client {
        bytes.extend(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        scanner = FrameScanner::from_client();
    }
    bytes.extend(frame(4, 1, 0, 0));
    bytes.extend(frame(1, 4, 1, 20));
    // The reserved bit of the stream's id is set.
    bytes.extend(frame(0, 1, 1 | 1 << 31, 200));
    bytes.extend(frame(3, 1, 3, 4));
    bytes.extend(frame(1, 5, 5, 0));
    let mut found = Vec::new();
    for piece in bytes.chunks(piece_bytes) {
        scanner.scan(piece, |frame| found.push(frame));
    }
    let expected = [
        header(FrameKind::Other, 0, false, 0),
        header(FrameKind::Headers, 1, false, 20),
        header(FrameKind::Data, 1, true, 200),
        header(FrameKind::ResetStream, 3, false, 4),
        header(FrameKind::Headers, 5, true, 0),
    ];
    assert_eq!(found, expected);
}

/// A frame counts once its last byte has passed.
#[test]
fn incomplete_frame_is_not_reported() {
    let bytes = frame(0, 1, 1, 10);
    let mut scanner = FrameScanner::from_server();
    scanner.scan(&bytes[..bytes.len() - 1], |frame| panic!("{frame:?}"));
    let mut found = 0;
    scanner.scan(&bytes[bytes.len() - 1..], |_| found += 1);
    assert_eq!(found, 1);
}

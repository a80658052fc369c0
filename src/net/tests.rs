//! Tests of this module.

use super::Outbox;

/// A write may end anywhere: inside a piece, at its end, or over several.
#[test]
fn a_partial_write_leaves_the_rest_queued() {
    let mut out = Outbox::default();
    for piece in ["head ", "", "body", "\r\n"] {
        out.push(piece.as_bytes());
    }
    for (taken, left) in [(3, 8), (2, 6), (5, 1), (1, 0)] {
        out.advance(taken);
        assert_eq!(out.waiting(), left);
        assert_eq!(
            out.chunks
                .iter()
                .map(|chunk| chunk.len() as u64)
                .sum::<u64>(),
            left
        );
    }
    assert!(out.is_empty() && out.written() == 11);
}

//! Tests of this module.

use super::Outbox;

/// A write may end anywhere: inside a piece, at its end, or over several.
#[test]
fn partial_writes_lose_nothing() {
    let mut out = Outbox::default();
    for piece in ["head ", "", "body", "\r\n"] {
        out.push(piece.as_bytes());
    }
    for (taken, left) in [(3, 8), (2, 6), (5, 1), (1, 0)] {
        out.advance(taken);
        assert_eq!(out.waiting(), left);
        assert_eq!(out.pieces.iter().map(|p| p.len() as u64).sum::<u64>(), left);
    }
    assert!(out.is_empty() && out.written() == 11);
}

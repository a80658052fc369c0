//! Tests of the output queue.

use super::Outbox;

/// A write may end inside a chunk, at its end, or after several chunks.
#[test]
fn partial_write_leaves_the_rest_queued() {
    let mut outbox = Outbox::default();
    for chunk in ["head ", "", "body", "\r\n"] {
        outbox.push(chunk.as_bytes());
    }
    for (accepted_bytes, unwritten) in [(3, 8), (2, 6), (5, 1), (1, 0)] {
        outbox.advance(accepted_bytes);
        assert_eq!(outbox.unwritten_bytes(), unwritten);
        assert_eq!(
            outbox
                .chunks
                .iter()
                .map(|chunk| chunk.len() as u64)
                .sum::<u64>(),
            unwritten
        );
    }
    assert!(outbox.is_empty() && outbox.written_bytes() == 11);
}

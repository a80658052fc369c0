//! Tests of the references of requests that may have run.

use super::SpentReferences;

#[test]
fn the_last_references_are_kept_and_older_ones_are_dropped() {
    let mut references = SpentReferences::new(2);
    for reference in ["00000000000000aa", "00000000000000bb", "00000000000000bb"] {
        references.insert(reference.as_bytes());
    }
    assert!(references.contains(b"00000000000000aa"));
    references.insert(b"00000000000000cc");
    assert!(!references.contains(b"00000000000000aa"));
    assert!(references.contains(b"00000000000000BB") && references.contains(b"00000000000000cc"));
}

#[test]
fn reference_that_is_not_a_number_of_64_bits_is_not_kept() {
    let mut references = SpentReferences::new(2);
    references.insert(b"00000000000000000a1");
    references.insert(b"100000000000000000");
    references.insert(b"x");
    assert!(!references.contains(b"100000000000000000") && !references.contains(b"x"));
}

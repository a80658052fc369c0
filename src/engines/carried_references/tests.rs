//! Tests of the references that a connection has carried.

use super::CarriedReferences;
use bytes::Bytes;

/// Hex digits in upper and lower case are the same reference for an engine that parses it as a
/// number.
#[test]
fn a_reference_is_allowed_once() {
    let mut carried = CarriedReferences::new(8);
    let reference = Bytes::from_static(b"00000000000000ab");
    assert!(carried.allows(&reference));
    carried.record(&reference);
    assert!(!carried.allows(&reference));
    assert!(!carried.allows(&Bytes::from_static(b"00000000000000AB")));
    assert!(carried.allows(&Bytes::from_static(b"00000000000000ac")));
}

#[test]
fn no_reference_is_allowed_once_the_limit_is_reached() {
    let mut carried = CarriedReferences::new(2);
    for reference in ["0000000000000001", "0000000000000002"] {
        assert!(!carried.is_full());
        carried.record(&Bytes::from_static(reference.as_bytes()));
    }
    assert!(carried.is_full());
    assert!(!carried.allows(&Bytes::from_static(b"0000000000000003")));
}

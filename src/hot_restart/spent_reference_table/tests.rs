//! Tests of the shared table of spent references.

use super::{ENTRIES, SpentReferenceTable};
use crate::core::SharedReferences;
use std::fs::File;
use std::num::NonZeroU64;
use std::sync::Arc;

/// Two processes' tables on one file.
fn tables(name: &str) -> [SpentReferenceTable; 2] {
    let path =
        std::env::temp_dir().join(format!("magpiechute-spent-{name}-{}", std::process::id()));
    let open = || {
        let file = File::options()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&path);
        SpentReferenceTable::new(Arc::new(file.expect("file")), Arc::default())
    };
    let tables = [open(), open()];
    std::fs::remove_file(path).expect("the file is removed");
    tables
}

fn reference(value: u64) -> NonZeroU64 {
    NonZeroU64::new(value).expect("not zero")
}

#[test]
fn reference_of_one_process_is_known_to_the_other_until_it_is_removed() {
    let [one, other] = tables("known");
    assert!(!other.contains(reference(7)));
    one.insert(reference(7));
    assert!(other.contains(reference(7)) && !other.contains(reference(8)));
    other.remove(reference(8));
    one.remove(reference(7));
    assert!(!other.contains(reference(7)));
}

#[test]
fn later_reference_with_the_same_entry_replaces_an_earlier_one() {
    let [one, other] = tables("replaced");
    let (earlier, later) = (reference(7), reference(7 + ENTRIES));
    one.insert(earlier);
    other.insert(later);
    assert!(one.contains(later) && !one.contains(earlier));
    one.remove(earlier);
    assert!(one.contains(later));
}

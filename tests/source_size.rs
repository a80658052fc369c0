//! Checks that the source files of the program stay short enough to be read as a whole.

use std::fs;
use std::path::{Path, PathBuf};

/// Most lines of a source file of the program. Files of tests are not limited.
const MAX_LINES: usize = 400;

/// Appends the Rust files in a folder and its sub-folders to `found`.
fn source_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the folder entry is readable").path();
        if path.is_dir() {
            source_files(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

/// Whether a file contains tests: it is called `tests.rs` or is in a folder `tests`.
fn is_test(path: &Path) -> bool {
    path.file_name().is_some_and(|name| name == "tests.rs")
        || path.iter().any(|folder| folder == "tests")
}

#[test]
fn source_files_stay_short() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    source_files(&root.join("src"), &mut files);
    assert!(files.len() > 20, "src has more than 20 source files");
    for path in files.iter().filter(|path| !is_test(path)) {
        let name = path.strip_prefix(root).expect("the file is below the root");
        let lines = fs::read_to_string(path)
            .expect("the file is readable")
            .lines()
            .count();
        assert!(
            lines <= MAX_LINES,
            "{} has {lines} lines; at most {MAX_LINES} are allowed",
            name.display()
        );
    }
}

//! The source stays readable: no file of the program is longer than a reader can keep in mind.

use std::fs;
use std::path::{Path, PathBuf};

/// Lines of a source file of the program, tests left out.
const MAX_LINES: usize = 400;

fn source_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("folder") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            source_files(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

fn is_test(path: &Path) -> bool {
    path.file_name().is_some_and(|name| name == "tests.rs")
        || path.iter().any(|folder| folder == "tests")
}

#[test]
fn source_files_stay_short() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    source_files(&root.join("src"), &mut files);
    assert!(files.len() > 20, "the source is in src");
    for path in files.iter().filter(|path| !is_test(path)) {
        let name = path.strip_prefix(root).expect("below the root");
        let lines = fs::read_to_string(path).expect("file").lines().count();
        assert!(
            lines <= MAX_LINES,
            "{}: {lines} lines, {MAX_LINES} allowed",
            name.display()
        );
    }
}

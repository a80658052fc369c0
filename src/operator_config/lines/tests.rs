//! Tests of the search for the lines of keys.

use super::line_of;

#[test]
fn line_of_finds_keys_tables_and_routes() {
    let text = "version = 1\n[attempts.class.\"seat.check\"]\ntimeout_ms = 5\n\n[[attempts.route]]\nname = \"a\"\n\
                [[attempts.route]]\nname = \"b\"\nbackoff = { base_ms = 1, max_ms = 2, jitter = 3 }\n";
    assert_eq!(line_of(text, "version"), Some(1));
    assert_eq!(
        line_of(text, "attempts.class.seat.check.timeout_ms"),
        Some(3)
    );
    assert_eq!(line_of(text, "attempts.route[1].backoff.jitter"), Some(9));
    assert_eq!(line_of(text, "attempts.route[1].name"), Some(8));
    // A key that the file does not contain has the line of the table that would contain it.
    assert_eq!(line_of(text, "attempts.route[0].budget"), Some(5));
    assert_eq!(line_of("version = [", "version"), None);
}

//! Suggestions for the faults in the operators' file.

/// Suggests the known name with the smallest edit distance to the word.
pub(super) fn nearest_name<'a>(
    word: &str,
    known_names: impl IntoIterator<Item = &'a str>,
) -> String {
    let nearest = known_names
        .into_iter()
        .min_by_key(|name| strsim::levenshtein(word, name));
    match nearest {
        Some(name) => format!("did you mean {name:?}?"),
        None => "there are no such names to choose from".to_owned(),
    }
}

/// A suggestion for an error message of the TOML parser.
pub(super) fn for_syntax_error(message: &str) -> &'static str {
    if message.contains("unknown field") {
        "remove the key, or spell it as in docs/attempts.md"
    } else if message.contains("missing field") {
        "add the key"
    } else if message.contains("invalid type") || message.contains("expected") {
        "set a value of the type that docs/attempts.md gives"
    } else {
        "write it as TOML"
    }
}

//! Suggestions that go with the faults of the operators' file.

/// The known name that is most like a word.
pub(super) fn nearest_name<'a>(
    word: &str,
    known_names: impl IntoIterator<Item = &'a str>,
) -> String {
    let nearest = known_names
        .into_iter()
        .min_by_key(|name| strsim::levenshtein(word, name));
    match nearest {
        Some(name) => format!("did you mean {name:?}?"),
        None => "there are none".to_owned(),
    }
}

/// What to do about a message of the TOML parser.
pub(super) fn for_syntax_error(message: &str) -> &'static str {
    if message.contains("unknown field") {
        "remove the key, or spell it as the page names it"
    } else if message.contains("missing field") {
        "add the key"
    } else if message.contains("invalid type") || message.contains("expected") {
        "give a value of the type that the page names"
    } else {
        "write it as TOML"
    }
}

//! Finds the line numbers of keys in the operators' file, for the messages of faults.

use toml::de::{DeTable, DeValue};

/// The line number, counted from 1, of the byte at this offset.
pub(super) fn line_at(source: &str, byte: usize) -> usize {
    let before = &source.as_bytes()[..byte.min(source.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// The line of the key at a path such as `attempts.class.NAME.timeout_ms` or
/// `attempts.route[2].backoff.jitter`. If the file does not contain the key, the line of the
/// innermost table on its path that the file does contain. `None` if the file contains no part of
/// the path or is not TOML.
pub(super) fn line_of(source: &str, path: &str) -> Option<usize> {
    let root = DeTable::parse(source).ok()?;
    let mut table = root.get_ref();
    let mut line = None;
    let mut rest = path;
    loop {
        let segment = split_first_segment(table, rest)?;
        let Some((key, mut value)) = table.get_key_value(segment.key) else {
            return line;
        };
        line = Some(line_at(source, key.span().start));
        if let Some(index) = segment.index {
            let DeValue::Array(items) = value.get_ref() else {
                return line;
            };
            let Some(item) = items.get(index) else {
                return line;
            };
            line = Some(line_at(source, item.span().start));
            value = item;
        }
        match (value.get_ref(), segment.rest) {
            (DeValue::Table(inner), Some(after)) => (table, rest) = (inner, after),
            _ => return line,
        }
    }
}

/// The first segment of a path.
struct PathSegment<'p> {
    /// The key. It contains dots if the table has a key with dots.
    key: &'p str,
    /// The index, if the segment refers to an element of an array.
    index: Option<usize>,
    /// The path after this segment.
    rest: Option<&'p str>,
}

/// Splits the first segment off a path. The longest prefix that is a key of the table becomes the
/// segment's key, so that a class whose name contains a dot is found. If no prefix is a key, the
/// segment ends at the first separator.
fn split_first_segment<'p>(table: &DeTable<'_>, path: &'p str) -> Option<PathSegment<'p>> {
    let separators = path
        .char_indices()
        .filter(|(_, character)| matches!(character, '.' | '['))
        .map(|(index, _)| index);
    let mut ends: Vec<usize> = separators.chain([path.len()]).collect();
    ends.reverse();
    let longest_key = ends
        .iter()
        .copied()
        .find(|end| table.get(&path[..*end]).is_some());
    let (key, mut rest) = path.split_at(longest_key.unwrap_or(*ends.last()?));
    let mut index = None;
    if let Some(in_brackets) = rest.strip_prefix('[') {
        let close = in_brackets.find(']')?;
        index = in_brackets[..close].parse().ok();
        rest = &in_brackets[close + 1..];
    }
    Some(PathSegment {
        key,
        index,
        rest: rest.strip_prefix('.'),
    })
}

#[cfg(test)]
mod tests;

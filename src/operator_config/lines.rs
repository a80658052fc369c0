//! Line numbers of keys in the operators' file, so that a fault can name its line.

use toml::de::{DeTable, DeValue};

/// The line, from 1, of a byte of the text.
pub(super) fn line_at(source: &str, byte: usize) -> usize {
    let before = &source.as_bytes()[..byte.min(source.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// The line of a key with a path as `attempts.class.NAME.timeout_ms` or `attempts.route[2].backoff.jitter`. Where the key
/// is not written, the line of the nearest table that it lies in. None where the text is not TOML.
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

/// The first step of a path.
struct PathSegment<'p> {
    /// A key; it holds dots where the table has such a key.
    key: &'p str,
    /// The position in the array that the key holds.
    index: Option<usize>,
    /// The path below.
    rest: Option<&'p str>,
}

/// Splits the first step off a path. The key is the longest prefix that the table has as a key, so that a class whose
/// name holds a dot is found; where no prefix is a key, it ends at the first separator.
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

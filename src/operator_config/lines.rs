//! Lines of the file: where a key of a dotted path stands, so that a fault can name it.

use toml::de::{DeTable, DeValue};

/// The line, from 1, of a byte of the text.
pub(super) fn line_at(source: &str, byte: usize) -> usize {
    let byte = byte.min(source.len());
    source.as_bytes()[..byte]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
        + 1
}

/// The line of a key named as `attempts.class.NAME.timeout_ms` or `attempts.route[2].backoff.jitter`, or of
/// the nearest table that it lies in where the key itself is not written. None where the text is no TOML.
pub(super) fn line_of(source: &str, path: &str) -> Option<usize> {
    let root = DeTable::parse(source).ok()?;
    let mut table = root.get_ref();
    let mut line = None;
    let mut rest = path;
    loop {
        let (name, index, after) = next(table, rest)?;
        let Some((key, value)) = table.get_key_value(name) else {
            return line;
        };
        line = Some(line_at(source, key.span().start));
        let mut value = value;
        if let Some(at) = index {
            let DeValue::Array(items) = value.get_ref() else {
                return line;
            };
            let Some(item) = items.get(at) else {
                return line;
            };
            line = Some(line_at(source, item.span().start));
            value = item;
        }
        match (value.get_ref(), after) {
            (DeValue::Table(inner), Some(after)) => (table, rest) = (inner, after),
            _ => return line,
        }
    }
}

/// The first step of a path in this table: a key, which may hold dots where the table has such a key, an index,
/// and what is left.
fn next<'p>(
    table: &DeTable<'_>,
    path: &'p str,
) -> Option<(&'p str, Option<usize>, Option<&'p str>)> {
    // The longest prefix that the table has as a key, so that a class named with a dot is found.
    let ends = path
        .char_indices()
        .filter(|(_, c)| matches!(c, '.' | '['))
        .map(|(at, _)| at);
    let mut ends: Vec<usize> = ends.chain([path.len()]).collect();
    ends.reverse();
    let end = ends
        .iter()
        .copied()
        .find(|end| table.get(&path[..*end]).is_some())
        .unwrap_or(*ends.last()?);
    let (name, mut tail) = path.split_at(end);
    let mut index = None;
    if let Some(inner) = tail.strip_prefix('[') {
        let close = inner.find(']')?;
        index = inner[..close].parse().ok();
        tail = &inner[close + 1..];
    }
    Some((name, index, tail.strip_prefix('.')))
}

#[cfg(test)]
mod tests;

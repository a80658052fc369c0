//! What a statement tells of itself: its group of tables, and whether it reads.

/// The number behind the underscore in the name of the schema that a statement reads or writes: 17 in
/// `sales_17.orders`. Names inside strings and comments do not count, nor does the schema `staging`. A schema
/// in the place of a table counts before one in the place of a column, whose first part may be an alias.
pub(crate) fn dataset(sql: &[u8]) -> Option<u32> {
    let mut words = Words { sql, at: 0 };
    let (mut any, mut before) = (None, Word::Other);
    while let Some(word) = words.next() {
        if let Word::Name(name) = word {
            let mut look = Words { sql, at: words.at };
            let qualified =
                look.next() == Some(Word::Dot) && matches!(look.next(), Some(Word::Name(_)));
            let number = if qualified && before != Word::Dot {
                group(name)
            } else {
                None
            };
            let table =
                matches!(before, Word::Name(w) if TABLE.iter().any(|t| w.eq_ignore_ascii_case(t)));
            match number {
                Some(n) if table => return Some(n),
                Some(n) => any = any.or(Some(n)),
                None => {}
            }
        }
        before = word;
    }
    any
}

/// Words that a table's name follows.
const TABLE: [&[u8]; 8] = [
    b"from", b"join", b"into", b"update", b"table", b"only", b"copy", b"using",
];

/// Whether a statement reads only: told by its first word, and where that opens a list of common tables, by
/// there being no word that changes any.
pub(crate) fn reads(sql: &[u8]) -> bool {
    const READS: [&[u8]; 4] = [b"select", b"values", b"show", b"explain"];
    const CHANGES: [&[u8]; 4] = [b"insert", b"update", b"delete", b"merge"];
    let any = |all: &[&[u8]], w: &[u8]| all.iter().any(|r| w.eq_ignore_ascii_case(r));
    let mut words = Words { sql, at: 0 };
    match words.next() {
        Some(Word::Name(w)) if w.eq_ignore_ascii_case(b"with") => {
            !words.any(|w| matches!(w, Word::Name(w) if any(&CHANGES, w)))
        }
        Some(Word::Name(w)) => any(&READS, w),
        _ => false,
    }
}

fn group(schema: &[u8]) -> Option<u32> {
    if schema.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    let at = schema.iter().rposition(|b| *b == b'_')?;
    let digits = &schema[at + 1..];
    let fine =
        at > 0 && !digits.is_empty() && digits.len() <= 9 && digits.iter().all(u8::is_ascii_digit);
    fine.then(|| digits.iter().fold(0, |n, d| n * 10 + u32::from(d - b'0')))
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Word<'a> {
    Name(&'a [u8]),
    Dot,
    Other,
}

struct Words<'a> {
    sql: &'a [u8],
    at: usize,
}

impl<'a> Words<'a> {
    /// Moves behind the next `end`, or to the end of the text where there is none.
    fn past(&mut self, end: &[u8]) {
        let rest = &self.sql[self.at..];
        let found = rest.windows(end.len()).position(|w| w == end);
        self.at += found.map_or(rest.len(), |i| i + end.len());
    }

    /// Comments nest, as the standard has them.
    fn comment(&mut self) {
        let mut depth = 0;
        while let Some(two) = self.sql.get(self.at..self.at + 2) {
            match two {
                b"/*" => depth += 1,
                b"*/" => depth -= 1,
                _ => {
                    self.at += 1;
                    continue;
                }
            }
            self.at += 2;
            if depth == 0 {
                return;
            }
        }
        self.at = self.sql.len();
    }

    /// The body between quotes; a doubled quote stands for one and closes nothing.
    fn quoted(&mut self, quote: u8) -> &'a [u8] {
        let from = self.at + 1;
        self.at = from;
        while let Some(b) = self.sql.get(self.at) {
            if *b == quote {
                if self.sql.get(self.at + 1) != Some(&quote) {
                    let body = &self.sql[from..self.at];
                    self.at += 1;
                    return body;
                }
                self.at += 1;
            }
            self.at += 1;
        }
        self.at = self.sql.len();
        &self.sql[from.min(self.at)..]
    }
}

impl<'a> Iterator for Words<'a> {
    type Item = Word<'a>;

    fn next(&mut self) -> Option<Word<'a>> {
        loop {
            let rest = &self.sql[self.at..];
            let first = *rest.first()?;
            match first {
                b'\'' => {
                    self.quoted(b'\'');
                    return Some(Word::Other);
                }
                b'"' | b'`' => return Some(Word::Name(self.quoted(first))),
                b'-' if rest.starts_with(b"--") => self.past(b"\n"),
                b'/' if rest.starts_with(b"/*") => self.comment(),
                b'.' => {
                    self.at += 1;
                    return Some(Word::Dot);
                }
                b if b.is_ascii_whitespace() => self.at += 1,
                b if b == b'_' || b.is_ascii_alphabetic() || b >= 0x80 => {
                    let name = |b: &u8| {
                        *b == b'_' || *b == b'$' || b.is_ascii_alphanumeric() || *b >= 0x80
                    };
                    let long = rest.iter().position(|b| !name(b)).unwrap_or(rest.len());
                    self.at += long;
                    return Some(Word::Name(&rest[..long]));
                }
                b if b.is_ascii_digit() => {
                    // A number with its fraction is one word: its dot qualifies nothing.
                    let long = rest
                        .iter()
                        .position(|b| !(b.is_ascii_alphanumeric() || *b == b'.'));
                    self.at += long.unwrap_or(rest.len());
                    return Some(Word::Other);
                }
                _ => {
                    self.at += 1;
                    return Some(Word::Other);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;

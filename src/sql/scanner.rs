//! Splits a statement into names, dots and other tokens. Comments, white space and the content of
//! strings are left out.

/// One token of a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Token<'a> {
    /// A keyword or an identifier, without its quotes.
    Name(&'a [u8]),
    /// A dot outside a number.
    Dot,
    /// A string, a number or another character.
    Other,
}

/// Iterates over the tokens of a statement.
#[derive(Clone)]
pub(super) struct Scanner<'a> {
    statement: &'a [u8],
    position: usize,
}

impl<'a> Scanner<'a> {
    pub(super) fn new(statement: &'a [u8]) -> Scanner<'a> {
        Scanner {
            statement,
            position: 0,
        }
    }

    /// The part of the statement that has not been scanned.
    fn rest(&self) -> &'a [u8] {
        &self.statement[self.position..]
    }

    /// Takes the bytes before the first byte for which `is_end` is true, or all remaining bytes.
    fn take_until(&mut self, is_end: impl Fn(&u8) -> bool) -> &'a [u8] {
        let rest = self.rest();
        let length = rest.iter().position(is_end).unwrap_or(rest.len());
        self.position += length;
        &rest[..length]
    }

    /// Skips a comment to the end of its line.
    fn skip_line_comment(&mut self) {
        self.take_until(|byte| *byte == b'\n');
        self.position = self.statement.len().min(self.position + 1);
    }

    /// Skips a comment between `/*` and `*/`. Such comments may be nested, as in the SQL standard.
    fn skip_block_comment(&mut self) {
        let mut depth = 0;
        while let Some(pair) = self.statement.get(self.position..self.position + 2) {
            match pair {
                b"/*" => depth += 1,
                b"*/" => depth -= 1,
                _ => {
                    self.position += 1;
                    continue;
                }
            }
            self.position += 2;
            if depth == 0 {
                return;
            }
        }
        self.position = self.statement.len();
    }

    /// Takes the bytes between quotes. A doubled quote is part of the content and does not end it.
    /// If the closing quote is missing, all remaining bytes are taken.
    fn take_quoted(&mut self, quote: u8) -> &'a [u8] {
        let start = self.position + 1;
        self.position = start;
        while let Some(byte) = self.statement.get(self.position) {
            if *byte == quote {
                if self.statement.get(self.position + 1) != Some(&quote) {
                    let content = &self.statement[start..self.position];
                    self.position += 1;
                    return content;
                }
                self.position += 1;
            }
            self.position += 1;
        }
        self.position = self.statement.len();
        &self.statement[start.min(self.position)..]
    }
}

impl<'a> Iterator for Scanner<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let rest = self.rest();
            let first = *rest.first()?;
            match first {
                b'-' if rest.starts_with(b"--") => self.skip_line_comment(),
                b'/' if rest.starts_with(b"/*") => self.skip_block_comment(),
                _ if first.is_ascii_whitespace() => self.position += 1,
                b'\'' => {
                    self.take_quoted(first);
                    return Some(Token::Other);
                }
                b'"' | b'`' => return Some(Token::Name(self.take_quoted(first))),
                _ if is_name_start(first) => {
                    return Some(Token::Name(
                        self.take_until(|byte| !is_name_continuation(*byte)),
                    ));
                }
                _ if first.is_ascii_digit() => {
                    // A number and its fraction are one token: the dot in it is not a qualifier.
                    self.take_until(|byte| !(byte.is_ascii_alphanumeric() || *byte == b'.'));
                    return Some(Token::Other);
                }
                _ => {
                    self.position += 1;
                    return Some(if first == b'.' {
                        Token::Dot
                    } else {
                        Token::Other
                    });
                }
            }
        }
    }
}

/// Whether a name may start with this byte. Bytes above ASCII count as letters, because a name may
/// be in any script.
fn is_name_start(byte: u8) -> bool {
    byte == b'_' || byte.is_ascii_alphabetic() || !byte.is_ascii()
}

/// Whether a name may contain this byte after its first.
fn is_name_continuation(byte: u8) -> bool {
    is_name_start(byte) || byte.is_ascii_digit() || byte == b'$'
}

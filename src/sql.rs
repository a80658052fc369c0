//! Finds the data set of a statement, and whether the statement is read-only. Statements are
//! scanned for keywords and names. They are not parsed, because their dialect depends on the
//! engine.

mod scanner;

#[cfg(test)]
mod tests;

use scanner::{Scanner, Token};

/// Keywords that are followed by the name of a table.
const TABLE_KEYWORDS: [&[u8]; 8] = [
    b"from", b"join", b"into", b"update", b"table", b"only", b"copy", b"using",
];

/// Keywords at the start of read-only statements.
const READ_ONLY_KEYWORDS: [&[u8]; 4] = [b"select", b"values", b"show", b"explain"];

/// Keywords of statements that change rows.
const MODIFYING_KEYWORDS: [&[u8]; 4] = [b"insert", b"update", b"delete", b"merge"];

/// A schema that is not part of any data set.
const SHARED_SCHEMA: &[u8] = b"staging";

/// Maximum number of digits of a data set's number. Any number of this length fits into 32 bits.
const MAX_DATA_SET_DIGITS: usize = 9;

/// The number of the data set that a statement reads or writes. It follows the last underscore in
/// the name of a schema, as 17 in `sales_17.orders`. Names inside strings and comments are ignored,
/// and so is the schema `staging`. A schema after a table keyword takes precedence over one
/// elsewhere, because the qualifier of a column may be a table alias.
pub(crate) fn data_set(statement: &[u8]) -> Option<u32> {
    let mut scanner = Scanner::new(statement);
    let mut first_outside_table_position = None;
    let mut previous = Token::Other;
    while let Some(token) = scanner.next() {
        if let Token::Name(name) = token
            && previous != Token::Dot
            && is_qualifier(&scanner)
            && let Some(number) = data_set_of_schema(name)
        {
            if is_table_keyword(previous) {
                return Some(number);
            }
            first_outside_table_position = first_outside_table_position.or(Some(number));
        }
        previous = token;
    }
    first_outside_table_position
}

/// Whether a statement is read-only. The first keyword decides. A statement that starts with `WITH`
/// is read-only if it contains no keyword that changes rows.
pub(crate) fn is_read_only(statement: &[u8]) -> bool {
    let mut scanner = Scanner::new(statement);
    match scanner.next() {
        Some(Token::Name(name)) if name.eq_ignore_ascii_case(b"with") => {
            !scanner.any(|token| is_keyword_of(token, &MODIFYING_KEYWORDS))
        }
        Some(first) => is_keyword_of(first, &READ_ONLY_KEYWORDS),
        None => false,
    }
}

/// Whether the name before the scanner's position qualifies another name: a dot and a name follow
/// it.
fn is_qualifier(scanner: &Scanner<'_>) -> bool {
    let mut ahead = scanner.clone();
    ahead.next() == Some(Token::Dot) && matches!(ahead.next(), Some(Token::Name(_)))
}

fn is_table_keyword(token: Token<'_>) -> bool {
    is_keyword_of(token, &TABLE_KEYWORDS)
}

/// Whether a token is one of these keywords, in upper or lower case.
fn is_keyword_of(token: Token<'_>, keywords: &[&[u8]]) -> bool {
    let Token::Name(name) = token else {
        return false;
    };
    keywords
        .iter()
        .any(|keyword| name.eq_ignore_ascii_case(keyword))
}

/// The number of the data set that a schema belongs to, taken from the schema's name.
fn data_set_of_schema(schema: &[u8]) -> Option<u32> {
    if schema.eq_ignore_ascii_case(SHARED_SCHEMA) {
        return None;
    }
    let underscore = schema.iter().rposition(|byte| *byte == b'_')?;
    let digits = &schema[underscore + 1..];
    let is_data_set_number = !digits.is_empty()
        && digits.len() <= MAX_DATA_SET_DIGITS
        && digits.iter().all(u8::is_ascii_digit);
    let number = || {
        digits
            .iter()
            .fold(0, |number, digit| number * 10 + u32::from(digit - b'0'))
    };
    (underscore > 0 && is_data_set_number).then(number)
}

//! An engine's answers: a line of space-separated fields, followed by as many bytes as its last field says.

use bytes::{Bytes, BytesMut};

/// The connection cannot go on.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Broken;

impl From<std::io::Error> for Broken {
    fn from(_: std::io::Error) -> Broken {
        Broken
    }
}

/// One answer of an engine.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(super) name: Bytes,
    pub(super) word: Bytes,
    fields: Bytes,
    pub(super) body: Bytes,
}

impl Reply {
    pub(super) fn field(&self, name: &str) -> Option<&[u8]> {
        let pairs = self.fields.split(|b| *b == b',');
        pairs
            .filter_map(|p| p.strip_prefix(name.as_bytes()))
            .find_map(|p| p.strip_prefix(b"="))
    }
}

/// Whether a page can be one: whole rows of text. What looks like noise is not passed on.
pub(super) fn rows_of(page: &[u8]) -> bool {
    let fine = |c: char| !c.is_control() || c == '\t' || c == '\n';
    page.last().is_none_or(|b| *b == b'\n')
        && std::str::from_utf8(page).is_ok_and(|text| text.chars().all(fine))
}

pub(super) fn number_of(text: &[u8]) -> Option<u32> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Takes one whole answer off the front of the buffer: `ID WORD FIELDS LENGTH`, the bytes, and a line end.
pub(crate) fn take(
    buffer: &mut BytesMut,
    line_bytes: usize,
    page_bytes: usize,
) -> Result<Option<Reply>, Broken> {
    let Some(end) = buffer.iter().take(line_bytes).position(|b| *b == b'\n') else {
        return if buffer.len() >= line_bytes {
            Err(Broken)
        } else {
            Ok(None)
        };
    };
    let line = buffer[..end].strip_suffix(b"\r").ok_or(Broken)?;
    let mut words = line.split(|b| *b == b' ');
    let (Some(name), Some(word), Some(fields), Some(length), None) = (
        words.next(),
        words.next(),
        words.next(),
        words.next(),
        words.next(),
    ) else {
        return Err(Broken);
    };
    let length = number_of(length)
        .map(|n| n as usize)
        .filter(|n| *n <= page_bytes)
        .ok_or(Broken)?;
    let at = |part: &[u8], from: usize| from..from + part.len();
    let name = at(name, 0);
    let word = at(word, name.end + 1);
    let fields = at(fields, word.end + 1);
    // A name, a word and FIELDS: what is none of these was not meant as an answer.
    let pairs = |f: &[u8]| f == b"-" || f.split(|b| *b == b',').all(|p| p.contains(&b'='));
    if !crate::clients::is_client_reference(&line[name.clone()]) || !pairs(&line[fields.clone()]) {
        return Err(Broken);
    }
    let body = end + 1..end + 1 + length;
    if buffer.len() < body.end + 2 {
        return Ok(None);
    }
    if &buffer[body.end..body.end + 2] != b"\r\n" {
        return Err(Broken);
    }
    let bytes = buffer.split_to(body.end + 2).freeze();
    Ok(Some(Reply {
        name: bytes.slice(name),
        word: bytes.slice(word),
        fields: bytes.slice(fields),
        body: bytes.slice(body),
    }))
}

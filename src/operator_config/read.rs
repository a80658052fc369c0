//! Reads the operators' file, which another program may replace or write during the read.

use super::faults::Fault;
use std::fs::{self, File, Metadata};
use std::io::{self, Read};
use std::path::Path;
use std::string::FromUtf8Error;
use std::time::SystemTime;
use thiserror::Error;

/// The largest operators' file that is accepted, in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// A file is rejected if it changes during each of this many reads.
const MAX_READS: usize = 3;

/// Why a file cannot be read.
#[derive(Debug, Error)]
enum ReadError {
    #[error("cannot be opened: {0}")]
    Open(io::Error),
    #[error("metadata cannot be read: {0}")]
    Metadata(io::Error),
    #[error("is a folder")]
    Folder,
    #[error("cannot be read: {0}")]
    Read(io::Error),
    #[error("is larger than {MAX_FILE_BYTES} bytes")]
    TooLarge,
    #[error("is not UTF-8 after byte {valid_bytes}")]
    NotUtf8 { valid_bytes: usize, line: usize },
    #[error("changed during each of three reads")]
    Unstable,
}

impl From<FromUtf8Error> for ReadError {
    fn from(error: FromUtf8Error) -> Self {
        let valid_bytes = error.utf8_error().valid_up_to();
        let valid = &error.as_bytes()[..valid_bytes];
        ReadError::NotUtf8 {
            valid_bytes,
            line: valid.iter().filter(|byte| **byte == b'\n').count() + 1,
        }
    }
}

impl From<ReadError> for Fault {
    fn from(error: ReadError) -> Self {
        let suggestion = match error {
            ReadError::Unstable => {
                "write the text to another file and rename that file to this path"
            }
            _ => "give the path of a readable TOML file of 1 MiB at most",
        };
        let line = match error {
            ReadError::NotUtf8 { line, .. } => Some(line),
            _ => None,
        };
        Fault {
            line,
            ..Fault::of_file(error.to_string(), suggestion)
        }
    }
}

/// One read of the file.
struct Snapshot {
    bytes: Vec<u8>,
    /// Whether the file has the same size and modification time after the read as before it.
    is_stable: bool,
}

/// Reads a file of at most [`MAX_FILE_BYTES`] bytes. Returns `None` if the file does not exist.
///
/// # Errors
///
/// The file cannot be read, is a folder, is too large, is not UTF-8 or changes during each read.
pub fn read(path: &Path) -> Result<Option<String>, Fault> {
    Ok(read_stable(path)?)
}

/// Repeats the read if the file was replaced or written meanwhile, since the bytes may be a mix of
/// two versions.
fn read_stable(path: &Path) -> Result<Option<String>, ReadError> {
    let mut previous: Option<Vec<u8>> = None;
    for _ in 0..MAX_READS {
        let Some(snapshot) = read_once(path)? else {
            return Ok(None);
        };
        let same_as_previous = previous
            .as_ref()
            .is_none_or(|bytes| *bytes == snapshot.bytes);
        if snapshot.is_stable && same_as_previous {
            return Ok(Some(String::from_utf8(snapshot.bytes)?));
        }
        previous = Some(snapshot.bytes);
    }
    Err(ReadError::Unstable)
}

/// Reads the file once. Returns `None` if the file does not exist.
fn read_once(path: &Path) -> Result<Option<Snapshot>, ReadError> {
    let mut file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(ReadError::Open(error)),
    };
    let metadata_before = file.metadata().map_err(ReadError::Metadata)?;
    if metadata_before.is_dir() {
        return Err(ReadError::Folder);
    }
    let mut bytes = Vec::new();
    // The read stops one byte after the limit, which is enough to detect a file that is too large.
    let mut bounded = file.by_ref().take(MAX_FILE_BYTES + 1);
    bounded.read_to_end(&mut bytes).map_err(ReadError::Read)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(ReadError::TooLarge);
    }
    let is_stable = fs::metadata(path).is_ok_and(|metadata_after| {
        size_and_modification_time(&metadata_after) == size_and_modification_time(&metadata_before)
            && metadata_after.len() == bytes.len() as u64
    });
    Ok(Some(Snapshot { bytes, is_stable }))
}

/// The size and the modification time, by which a change of the file's content is detected.
fn size_and_modification_time(metadata: &Metadata) -> (u64, Option<SystemTime>) {
    (metadata.len(), metadata.modified().ok())
}

//! Finds the frames in one direction of an HTTP/2 connection (RFC 9113, section 4.1), without their
//! content.

/// Length of the header of a frame, in bytes.
const HEADER_BYTES: usize = 9;

/// Length of the bytes that a client sends before its first frame (RFC 9113, section 3.4).
const CLIENT_PREFACE_BYTES: usize = 24;

/// The flag of a frame that is the last one of its stream in this direction.
const END_STREAM_FLAG: u8 = 0x1;

/// The kinds of frames that matter here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameKind {
    Data,
    Headers,
    ResetStream,
    Other,
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameHeader {
    pub(super) kind: FrameKind,
    pub(super) stream: u32,
    /// Whether it is the last frame of its stream in this direction.
    pub(super) ends_stream: bool,
    pub(super) payload_bytes: usize,
}

impl FrameHeader {
    fn parse(bytes: [u8; HEADER_BYTES]) -> FrameHeader {
        let [l0, l1, l2, kind, flags, s0, s1, s2, s3] = bytes;
        let kind = match kind {
            0x0 => FrameKind::Data,
            0x1 => FrameKind::Headers,
            0x3 => FrameKind::ResetStream,
            _ => FrameKind::Other,
        };
        let may_end_stream = matches!(kind, FrameKind::Data | FrameKind::Headers);
        FrameHeader {
            kind,
            // The highest bit is reserved.
            stream: u32::from_be_bytes([s0 & 0x7f, s1, s2, s3]),
            ends_stream: may_end_stream && flags & END_STREAM_FLAG != 0,
            payload_bytes: u32::from_be_bytes([0, l0, l1, l2]) as usize,
        }
    }
}

/// Splits the bytes of one direction into frames. It stores at most one header.
pub(super) struct FrameScanner {
    header: [u8; HEADER_BYTES],
    header_length: usize,
    /// Bytes to skip until the next header: the rest of a payload, or of the client's preface.
    skip_bytes: usize,
    /// The frame whose payload is being skipped.
    current: Option<FrameHeader>,
}

impl FrameScanner {
    /// Creates a scanner for the direction from the client.
    pub(super) fn from_client() -> FrameScanner {
        FrameScanner {
            skip_bytes: CLIENT_PREFACE_BYTES,
            ..FrameScanner::from_server()
        }
    }

    /// Creates a scanner for the direction to the client.
    pub(super) fn from_server() -> FrameScanner {
        FrameScanner {
            header: [0; HEADER_BYTES],
            header_length: 0,
            skip_bytes: 0,
            current: None,
        }
    }

    /// Scans the next bytes. Calls `on_frame` for each frame that they complete.
    pub(super) fn scan(&mut self, mut bytes: &[u8], mut on_frame: impl FnMut(FrameHeader)) {
        loop {
            let skipped = self.skip_bytes.min(bytes.len());
            self.skip_bytes -= skipped;
            bytes = &bytes[skipped..];
            if self.skip_bytes > 0 {
                return;
            }
            if let Some(frame) = self.current.take() {
                on_frame(frame);
            }
            if bytes.is_empty() {
                return;
            }
            bytes = self.read_header(bytes);
        }
    }

    /// Adds bytes to the next frame's header, and returns the bytes after it.
    fn read_header<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let missing = &mut self.header[self.header_length..];
        let added = missing.len().min(bytes.len());
        missing[..added].copy_from_slice(&bytes[..added]);
        self.header_length += added;
        if self.header_length == HEADER_BYTES {
            let header = FrameHeader::parse(self.header);
            self.header_length = 0;
            self.skip_bytes = header.payload_bytes;
            self.current = Some(header);
        }
        &bytes[added..]
    }
}

#[cfg(test)]
mod tests;

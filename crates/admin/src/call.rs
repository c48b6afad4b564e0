//! The calls of the admin interface and the parser of their lines. No I/O.

/// Longest accepted line in bytes, the line end included.
pub const MAX_LINE_BYTES: usize = 256;

/// A call to the admin interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Status,
    /// All metrics.
    Stats,
    /// What this front knows of its fleet, as one JSON object.
    Fleet,
}

/// Why a line is not a valid call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCall {
    /// The line is empty.
    #[error("the line is empty")]
    Empty,
    /// The line exceeds [`MAX_LINE_BYTES`].
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// The line names no known call.
    #[error("no such call; there are: status, stats, fleet")]
    Unknown,
    /// The line was not complete before the parse timeout.
    #[error("no whole line in time")]
    TimedOut,
}

/// Accumulates the bytes of a line until it is complete.
#[derive(Debug, Default)]
pub struct Line(Vec<u8>);

impl Line {
    /// Appends received bytes; an empty slice marks the end of the stream. Returns the parsed call once the line is complete
    /// or has become invalid.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Call, InvalidCall>> {
        self.0.extend_from_slice(bytes);
        let end = self.0.iter().position(|b| *b == b'\n');
        let end = end.or(bytes.is_empty().then_some(self.0.len()));
        match end {
            Some(end) if end < MAX_LINE_BYTES => Some(parse(&self.0[..end])),
            None if self.0.len() < MAX_LINE_BYTES => None,
            _ => Some(Err(InvalidCall::TooLong)),
        }
    }
}

fn parse(line: &[u8]) -> Result<Call, InvalidCall> {
    let line = std::str::from_utf8(line).map_err(|_| InvalidCall::NotUtf8)?;
    match line.trim() {
        "" => Err(InvalidCall::Empty),
        "status" => Ok(Call::Status),
        "stats" => Ok(Call::Stats),
        "fleet" => Ok(Call::Fleet),
        _ => Err(InvalidCall::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn feed_all(chunks: &[&[u8]]) -> Option<Result<Call, InvalidCall>> {
        let mut line = Line::default();
        chunks.iter().find_map(|p| line.feed(p))
    }

    #[test]
    fn a_line_may_arrive_in_chunks_and_end_with_lf_crlf_or_end_of_stream() {
        assert_eq!(
            feed_all(&[b"sta", b"tus", b"\r", b"\n"]),
            Some(Ok(Call::Status))
        );
        assert_eq!(
            feed_all(&[b"stats\nmore that nobody reads"]),
            Some(Ok(Call::Stats))
        );
        assert_eq!(
            feed_all(&[b"stats", b""]),
            Some(Ok(Call::Stats)),
            "the end of the stream ends the line"
        );
        assert_eq!(feed_all(&[b"stat"]), None);
    }

    #[test]
    fn an_invalid_line_reports_why() {
        let long = [b'a'; MAX_LINE_BYTES];
        for (chunks, error) in [
            (&[b"\r\n" as &[u8]][..], InvalidCall::Empty),
            (&[b""], InvalidCall::Empty),
            (&[b"reboot\n"], InvalidCall::Unknown),
            (&[b"STATUS\n"], InvalidCall::Unknown),
            (&[b"\xff\xfe\n"], InvalidCall::NotUtf8),
            (&[&long], InvalidCall::TooLong),
            (&[&long[1..], b"\n"], InvalidCall::Unknown),
        ] {
            assert_eq!(feed_all(chunks), Some(Err(error)), "{chunks:?}");
        }
    }
}

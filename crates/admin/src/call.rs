//! What may be asked at the door, and how its line is read. No I/O.

/// The longest line, its end included.
pub const LINE_MOST: usize = 256;

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Status,
    /// All figures.
    Stats,
    /// What this front knows of its fleet, one JSON object.
    Fleet,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoCall {
    /// Nothing stands in it.
    #[error("the line is empty")]
    Empty,
    /// It is longer than any call.
    #[error("the line is longer than {LINE_MOST} bytes")]
    Long,
    /// It is not text.
    #[error("the line is not UTF-8")]
    Text,
    /// It names no call.
    #[error("no such call; there are: status, stats, fleet")]
    Unknown,
    /// It did not come whole in time.
    #[error("no whole line in time")]
    Late,
}

/// A line on its way in.
#[derive(Debug, Default)]
pub struct Line(Vec<u8>);

impl Line {
    /// Takes bytes that came; no bytes are the end of what comes. The call, once the line is whole or cannot become one.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Call, NoCall>> {
        self.0.extend_from_slice(bytes);
        let end = self.0.iter().position(|b| *b == b'\n');
        let end = end.or(bytes.is_empty().then_some(self.0.len()));
        match end {
            Some(end) if end < LINE_MOST => Some(read(&self.0[..end])),
            None if self.0.len() < LINE_MOST => None,
            _ => Some(Err(NoCall::Long)),
        }
    }
}

fn read(line: &[u8]) -> Result<Call, NoCall> {
    let line = std::str::from_utf8(line).map_err(|_| NoCall::Text)?;
    match line.trim() {
        "" => Err(NoCall::Empty),
        "status" => Ok(Call::Status),
        "stats" => Ok(Call::Stats),
        "fleet" => Ok(Call::Fleet),
        _ => Err(NoCall::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn whole(pieces: &[&[u8]]) -> Option<Result<Call, NoCall>> {
        let mut line = Line::default();
        pieces.iter().find_map(|p| line.feed(p))
    }

    #[test]
    fn a_line_may_come_in_pieces_with_either_end() {
        assert_eq!(
            whole(&[b"sta", b"tus", b"\r", b"\n"]),
            Some(Ok(Call::Status))
        );
        assert_eq!(
            whole(&[b"stats\nmore that nobody reads"]),
            Some(Ok(Call::Stats))
        );
        assert_eq!(
            whole(&[b"stats", b""]),
            Some(Ok(Call::Stats)),
            "its end is the end of what comes"
        );
        assert_eq!(whole(&[b"stat"]), None);
    }

    #[test]
    fn what_is_no_call_says_why() {
        let long = [b'a'; LINE_MOST];
        for (pieces, why) in [
            (&[b"\r\n" as &[u8]][..], NoCall::Empty),
            (&[b""], NoCall::Empty),
            (&[b"reboot\n"], NoCall::Unknown),
            (&[b"STATUS\n"], NoCall::Unknown),
            (&[b"\xff\xfe\n"], NoCall::Text),
            (&[&long], NoCall::Long),
            (&[&long[1..], b"\n"], NoCall::Unknown),
        ] {
            assert_eq!(whole(pieces), Some(Err(why)), "{pieces:?}");
        }
    }
}

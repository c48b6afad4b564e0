//! Just enough HTTP/1.1 for the stand-ins: one message at a time, lengths given by `Content-Length`. Written apart from
//! the fronts' own code, so that one mistake does not hide in both.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Heads and bodies longer than this end the connection.
const MOST: usize = 32 << 20;

/// A message: its first line, its fields by lower-case name, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// The fields, names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Bytes on the wire, head and body.
    pub size: usize,
}

impl Message {
    /// A field's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// The second word of the first line: a request's target, or an answer's status.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// An answer's status; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }

    /// The value of a parameter of the target's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.second().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }
}

/// Reads messages off a stream, keeping what came ahead of the next.
pub struct Reader {
    kept: Vec<u8>,
}

impl Default for Reader {
    fn default() -> Self {
        Reader {
            kept: Vec::with_capacity(1024),
        }
    }
}

impl Reader {
    /// The next message; none where the stream ends between two.
    pub async fn next(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.kept.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.more(stream).await? == 0 {
                return match self.kept.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.kept[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_string();
        let field = |l: &str| {
            l.split_once(':')
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
        };
        let mut message = Message {
            line,
            fields: lines.filter_map(field).collect(),
            ..Message::default()
        };
        let length: usize = message
            .field("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        if length > MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        while self.kept.len() < end + length {
            if self.more(stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.kept[end..end + length].to_vec();
        message.size = end + length;
        self.kept.drain(..end + length);
        Ok(Some(message))
    }

    async fn more(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        if self.kept.len() > MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        stream.read_buf(&mut self.kept).await
    }
}

/// Writes an answer; `fields` are whole lines, each with its end. Tells how many bytes went out.
pub async fn answer(
    stream: &mut TcpStream,
    status: &str,
    fields: &str,
    body: &[u8],
) -> io::Result<usize> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{fields}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await?;
    Ok(bytes.len())
}

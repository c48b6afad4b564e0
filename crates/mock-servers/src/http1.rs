//! A minimal HTTP/1.1 implementation for the mock servers: one message at a time, bodies framed by `Content-Length`. It
//! shares no code with the fronts, so that a bug in one does not hide the same bug in the other.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A longer head or body closes the connection.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// The header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// The message body.
    pub body: Vec<u8>,
    /// Size on the wire in bytes, head and body.
    pub size: usize,
}

impl Message {
    /// The value of a header field. `name` is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(field_name, _)| field_name == name)
            .map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: a request's target or a response's status code.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// A response's status code; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }

    /// The value of a query parameter of the request target.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.second().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Reads messages from a stream and buffers bytes that belong to the next one.
pub struct Reader {
    buffer: Vec<u8>,
}

impl Default for Reader {
    fn default() -> Self {
        Reader {
            buffer: Vec::with_capacity(1024),
        }
    }
}

impl Reader {
    /// The next message, or none if the stream ends between two messages.
    pub async fn next(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<Option<Message>> {
        let body_start = loop {
            if let Some(head_end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break head_end + 4;
            }
            if self.read_more(stream).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..body_start]).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_string();
        let parse_field = |line: &str| {
            line.split_once(':')
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        };
        let mut message = Message {
            line,
            fields: lines.filter_map(parse_field).collect(),
            ..Message::default()
        };
        let length: usize = message
            .field("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        if length > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        while self.buffer.len() < body_start + length {
            if self.read_more(stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[body_start..body_start + length].to_vec();
        message.size = body_start + length;
        self.buffer.drain(..body_start + length);
        Ok(Some(message))
    }

    async fn read_more(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        stream.read_buf(&mut self.buffer).await
    }
}

/// Writes a response and returns its size in bytes. `fields` holds header lines, each with its line ending.
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

//! HTTP exchanges and how golden files show them.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// The longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// A longer body is shown as its length only.
const MAX_SHOWN_BODY_BYTES: usize = 4_096;

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The method and the path.
    pub line: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The declared length, where it differs from the body that is sent.
    pub declared_bytes: Option<u64>,
}

impl Call {
    /// A request without a body.
    pub fn new(line: &str) -> Call {
        Call {
            line: line.to_owned(),
            ..Call::default()
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Call {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Call {
        self.body = body.into();
        self
    }

    /// Declares a length without sending a body.
    pub fn declares(mut self, bytes: u64) -> Call {
        self.declared_bytes = Some(bytes);
        self
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("{} HTTP/1.1\r\nconnection: close\r\n", self.line);
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let length = self.declared_bytes.unwrap_or(self.body.len() as u64);
        let _ = write!(head, "content-length: {length}\r\n\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// Makes a call and returns the full answer without its `date` header.
///
/// # Errors
///
/// Fails if no complete answer arrives.
pub fn exchange(address: SocketAddrV4, call: &Call) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(&call.to_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text
        .split_once("\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let lines = head
        .split("\r\n")
        .filter(|line| !line.to_ascii_lowercase().starts_with("date:"));
    Ok(lines.chain(["", body]).collect::<Vec<_>>().join("\n"))
}

/// A sequence of exchanges in the form of a golden file.
#[derive(Debug, Default)]
pub struct Record {
    text: String,
}

impl Record {
    /// Adds an exchange: the request, the requests that the head received for it, and the answer.
    pub fn add(&mut self, name: &str, call: &Call, asked: &[String], answer: &str) {
        let _ = writeln!(self.text, "### {name}\n> {}", call.line);
        for (header, value) in &call.headers {
            let _ = writeln!(self.text, "> {header}: {value}");
        }
        if let Some(bytes) = call.declared_bytes {
            let _ = writeln!(self.text, "> content-length: {bytes}");
        }
        if !call.body.is_empty() {
            let _ = writeln!(self.text, "> {}", format_body(&call.body));
        }
        for asked in asked {
            let _ = writeln!(self.text, "asked {asked}");
        }
        let _ = writeln!(self.text, "{}\n", answer.trim_end_matches('\n'));
    }

    /// The recorded text.
    pub fn text(&self) -> &str {
        &self.text
    }
}

fn format_body(body: &[u8]) -> String {
    match std::str::from_utf8(body) {
        Ok(text) if text.len() <= MAX_SHOWN_BODY_BYTES => text.to_owned(),
        Ok(text) => format!("({} bytes of text)", text.len()),
        Err(_) => format!("({} bytes that are no text)", body.len()),
    }
}

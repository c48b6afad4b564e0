//! Plain HTTP exchanges, and their form in golden files.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// How long an answer may take.
const ANSWER_WITHIN: Duration = Duration::from_secs(20);
/// A body longer than this is told by its length, in bytes.
const BODY_SHOWN_MOST: usize = 4_096;

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The method and the path.
    pub line: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The length that is declared in place of the body's own, where nothing of the body is sent.
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

    /// The same with one more header.
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Call {
        self.headers.push((name, value.to_string()));
        self
    }

    /// The same with a body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Call {
        self.body = body.into();
        self
    }

    /// The same with a declared length and no body.
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

/// Makes a call and returns the whole answer as it came, but for its date.
///
/// # Errors
///
/// Where no whole answer comes.
pub fn exchange(address: SocketAddrV4, call: &Call) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_WITHIN))?;
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

/// Exchanges one after the other, as a golden file shows them.
#[derive(Debug, Default)]
pub struct Record {
    text: String,
}

impl Record {
    /// Adds an exchange: the request, what was asked of the head for it, and the answer.
    pub fn add(&mut self, name: &str, call: &Call, asked: &[String], answer: &str) {
        let _ = writeln!(self.text, "### {name}\n> {}", call.line);
        for (header, value) in &call.headers {
            let _ = writeln!(self.text, "> {header}: {value}");
        }
        if let Some(bytes) = call.declared_bytes {
            let _ = writeln!(self.text, "> content-length: {bytes}");
        }
        if !call.body.is_empty() {
            let _ = writeln!(self.text, "> {}", shown(&call.body));
        }
        for asked in asked {
            let _ = writeln!(self.text, "asked {asked}");
        }
        let _ = writeln!(self.text, "{}\n", answer.trim_end_matches('\n'));
    }

    /// Everything that was added.
    pub fn text(&self) -> &str {
        &self.text
    }
}

fn shown(body: &[u8]) -> String {
    match std::str::from_utf8(body) {
        Ok(text) if text.len() <= BODY_SHOWN_MOST => text.to_owned(),
        Ok(text) => format!("({} bytes of text)", text.len()),
        Err(_) => format!("({} bytes that are no text)", body.len()),
    }
}

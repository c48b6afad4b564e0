//! HTTP/1.1 calls, each on a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: String,
    pub path: String,
    /// The `Host` header.
    pub host: String,
    /// Further header lines, without their ends.
    pub headers: Vec<String>,
    pub body: String,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends a call; closes the connection if there is no complete answer in time.
pub fn send(address: SocketAddr, call: &Call, patience: Duration) -> Result<Answer, String> {
    let until = Instant::now() + patience;
    let mut stream =
        TcpStream::connect_timeout(&address, patience).map_err(|error| error.to_string())?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\n",
        call.method, call.path, call.host
    );
    for line in &call.headers {
        head += &format!("{line}\r\n");
    }
    if !call.body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    head += &format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n",
        call.body.len()
    );
    stream
        .write_all(&[head.as_bytes(), call.body.as_bytes()].concat())
        .map_err(|error| error.to_string())?;
    let mut received = Vec::new();
    let mut buffer = [0; 8192];
    loop {
        if let Some(answer) = complete(&received) {
            return Ok(answer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".to_owned());
        }
        stream
            .set_read_timeout(Some(left))
            .map_err(|error| error.to_string())?;
        match stream.read(&mut buffer) {
            Ok(0) => return Err("closed without an answer".to_owned()),
            Ok(bytes) => received.extend_from_slice(&buffer[..bytes]),
            Err(error) => return Err(format!("no answer: {error}")),
        }
    }
}

/// The answer, once all of it has come.
fn complete(received: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(Some(0), |(_, value)| value.trim().parse::<usize>().ok())?;
    (body.len() >= length).then(|| Answer {
        status,
        body: body[..length].to_owned(),
    })
}

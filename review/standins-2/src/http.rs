//! An HTTP/1.1 client: one connection for each call.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Makes a call and waits for the whole answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    ));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut received = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(answer) = complete(&received) {
            return Ok(answer);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::ErrorKind::TimedOut.into())
            }
            Err(error) => return Err(error),
        }
    }
}

fn complete(received: &[u8]) -> Option<Answer> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).to_string();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let body = received.get(end..end + length)?;
    Some(Answer {
        status,
        body: String::from_utf8_lossy(body).to_string(),
    })
}

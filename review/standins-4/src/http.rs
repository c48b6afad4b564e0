//! A client of HTTP/1.1 that makes one call on each connection.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// The bytes of a call. `headers` are complete lines.
pub fn request(method: &str, path: &str, host: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n{headers}Connection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Opens a connection and sends a call on it.
pub fn send(to: SocketAddrV4, request: &str, within: Duration) -> Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to.into(), within)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(within))?;
    stream.write_all(request.as_bytes())?;
    Ok(stream)
}

/// Reads the answer on a connection.
pub fn receive(stream: &mut TcpStream, within: Duration) -> Result<Answer> {
    let until = Instant::now() + within;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let count = stream.read(&mut buffer)?;
        bytes.extend_from_slice(&buffer[..count]);
        if let Some(answer) = complete(&bytes, count == 0) {
            return Ok(answer);
        }
        if count == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "cut"));
        }
    }
}

/// Makes a call and waits for its answer.
pub fn call(to: SocketAddrV4, request: &str, within: Duration) -> Result<Answer> {
    let until = Instant::now() + within;
    let mut stream = send(to, request, within)?;
    receive(&mut stream, until.saturating_duration_since(Instant::now()))
}

fn complete(bytes: &[u8], ended: bool) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    });
    let is_complete = length.map_or(ended, |length| body.len() >= length);
    is_complete.then(|| Answer {
        status,
        body: body.to_owned(),
    })
}

//! One HTTP/1.1 call on a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer: its status and its body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// A call to be made.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    /// Further header lines, each with its line end.
    pub headers: String,
    pub body: &'a str,
}

/// Sends the call on a new connection, without waiting for the answer.
pub fn send(to: SocketAddr, call: &Call<'_>, timeout: Duration) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    let length = if call.body.is_empty() && call.method == "GET" {
        String::new()
    } else {
        format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            call.body.len()
        )
    };
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\n{}{}\r\n{}",
        call.method, call.path, call.host, call.headers, length, call.body
    );
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}

/// Reads one answer; none if none came whole before the deadline.
pub fn receive(stream: &mut TcpStream, deadline: Instant) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        if let Some(answer) = whole_answer(&bytes) {
            return Some(answer);
        }
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Makes a call; none for silence or a cut.
pub fn call(to: SocketAddr, call: &Call<'_>, timeout: Duration) -> Option<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = send(to, call, timeout).ok()?;
    receive(&mut stream, deadline)
}

fn whole_answer(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    (body.len() >= length).then(|| Answer {
        status,
        body: body[..length].to_owned(),
    })
}

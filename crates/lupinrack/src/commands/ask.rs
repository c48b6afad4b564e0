//! `lupinrack ask`: one call at a front's door.

use crate::ended::Ended;
use clap::{Args, ValueEnum};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long the answer may take; the door's own promise is a second.
const PATIENCE: Duration = Duration::from_secs(3);
/// The longest answer read.
const LONGEST: u64 = 1 << 20;

/// What to ask, and where.
#[derive(Debug, Args)]
pub struct Ask {
    /// The door's address: `management` in the front's configuration.
    address: SocketAddr,
    /// The call.
    #[arg(value_enum)]
    call: Call,
}

/// A call at the door.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Call {
    /// Whether the process is ready to serve.
    Status,
    /// All figures.
    Stats,
    /// What the front knows of its fleet, as JSON.
    Fleet,
}

/// Asks and prints the answer.
pub fn run(ask: &Ask) -> Result<(), Ended> {
    let answer = exchange(ask.address, ask.call)
        .map_err(|e| Ended::failed(format!("{}: {e}", ask.address)))?;
    print!("{answer}");
    match answer.starts_with("200") {
        true => Ok(()),
        false if answer.is_empty() => Err(Ended::failed(format!("{}: no answer", ask.address))),
        false => Err(Ended::Failed(String::new())),
    }
}

/// One call and its whole answer.
pub fn exchange(address: SocketAddr, call: Call) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let line: &[u8] = match call {
        Call::Status => b"status\n",
        Call::Stats => b"stats\n",
        Call::Fleet => b"fleet\n",
    };
    stream.write_all(line)?;
    let mut answer = String::new();
    stream.take(LONGEST).read_to_string(&mut answer)?;
    Ok(answer)
}

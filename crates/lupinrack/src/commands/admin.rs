//! `lupinrack admin`: sends one call to a front's admin interface. `ask`, its earlier name, stays as a hidden alias.

use crate::command_error::CommandError;
use clap::{Args, ValueEnum};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for the connect and for each read. The interface answers within a second.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the size of an answer.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// The call, and where it goes.
#[derive(Debug, Args)]
pub struct Admin {
    /// The admin interface's address: `management` in the front's configuration.
    address: SocketAddr,
    /// The call.
    #[arg(value_enum)]
    call: Call,
}

/// A call to the admin interface.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Call {
    /// Whether the process is ready to serve.
    Status,
    /// All metrics.
    Stats,
    /// What the front knows of its fleet, as JSON.
    Fleet,
}

/// Makes the call and prints the answer.
///
/// # Errors
///
/// If no answer comes, or one other than 200.
pub fn run(admin: &Admin) -> Result<(), CommandError> {
    let answer = exchange(admin.address, admin.call)
        .map_err(|e| CommandError::failed(format!("{}: {e}", admin.address)))?;
    print!("{answer}");
    match answer.starts_with("200") {
        true => Ok(()),
        false if answer.is_empty() => Err(CommandError::failed(format!(
            "{}: no answer",
            admin.address
        ))),
        false => Err(CommandError::Failed(String::new())),
    }
}

/// Sends a call and reads its complete answer.
///
/// # Errors
///
/// If the connection fails or the answer does not come in time.
pub fn exchange(address: SocketAddr, call: Call) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let line: &[u8] = match call {
        Call::Status => b"status\n",
        Call::Stats => b"stats\n",
        Call::Fleet => b"fleet\n",
    };
    stream.write_all(line)?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    Ok(answer)
}

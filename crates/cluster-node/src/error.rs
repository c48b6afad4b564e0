//! Errors that end a process.

use crate::core::CoreFault;
use lupinrack_control_state::SnapshotError;
use lupinrack_control_store::StoreError;
use std::error::Error;
use std::io;

/// An error that ends a process, named after the operation that failed.
#[derive(Debug, displaydoc::Display)]
pub enum NodeError {
    /// a core process needs `data-dir`
    MissingDataDirectory,
    /// the settings name no address for what the process serves
    MissingAddress,
    /// `commands=rpc` is not served: servers take their orders from the answers to their heartbeats
    UnservedCommands,
    /// the runtime does not start: {0}
    StartRuntime(io::Error),
    /// cannot listen for signals: {0}
    ListenForSignals(io::Error),
    /// cannot listen for other processes: {0}
    ListenForPeers(io::Error),
    /// cannot listen for HTTP requests: {0}
    ListenForHttp(io::Error),
    /// cannot start the thread that writes to the disk: {0}
    StartWriter(io::Error),
    /// cannot open the store: {0}
    OpenStore(StoreError),
    /// what is on the disk cannot be decoded: {0}
    DecodeDisk(io::Error),
    /// the snapshot on the disk cannot be decoded: {0}
    DecodeSnapshot(SnapshotError),
    /// the process cannot go on with what it has in memory: {0}
    Fault(CoreFault),
}

impl Error for NodeError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            NodeError::MissingDataDirectory
            | NodeError::MissingAddress
            | NodeError::UnservedCommands => None,
            NodeError::StartRuntime(error)
            | NodeError::ListenForSignals(error)
            | NodeError::ListenForPeers(error)
            | NodeError::ListenForHttp(error)
            | NodeError::StartWriter(error)
            | NodeError::DecodeDisk(error) => Some(error),
            NodeError::OpenStore(error) => Some(error),
            NodeError::DecodeSnapshot(error) => Some(error),
            NodeError::Fault(fault) => Some(fault),
        }
    }
}

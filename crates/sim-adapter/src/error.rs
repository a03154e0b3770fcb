//! Errors that end the adapter.

use std::io;

/// Failure to read or write a line, or an invalid line.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Failure to read a line.
    #[error("reading line {line}: {source}")]
    Read {
        /// Line number, from 1.
        line: u64,
        /// Cause.
        source: io::Error,
    },
    /// Line that is not valid UTF-8.
    #[error("line {line}: invalid UTF-8")]
    NotUtf8 {
        /// Line number, from 1.
        line: u64,
    },
    /// Line that violates the protocol.
    #[error("line {line}: {source}")]
    Protocol {
        /// Line number, from 1.
        line: u64,
        /// Cause.
        source: ProtocolError,
    },
    /// Failure to write a reply.
    #[error("writing a reply: {0}")]
    Write(#[from] io::Error),
}

/// Violation of the simulator's protocol.
///
/// Messages use the protocol's names: an instance is a `front`, an endpoint list a `directory`.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// Line that is not valid JSON or does not match the protocol, or a reply that could not be serialized.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Start of a batch while another is open.
    #[error("mark {serial}: batch {open} must be ended by yourTurn first")]
    NestedBatch {
        /// Serial number of the new batch.
        serial: u64,
        /// Serial number of the open batch.
        open: u64,
    },
    /// Line outside a batch.
    #[error("line outside a batch: a mark must come first")]
    OutsideBatch,
    /// Event for an instance that is not running.
    #[error("event for front {instance}, which is not running")]
    UnknownInstance {
        /// Instance number.
        instance: u32,
    },
    /// Endpoint update that refers to an unknown endpoint list.
    #[error("fleet: directory {list_id} has not been sent")]
    UnknownList {
        /// Number of the endpoint list.
        list_id: u32,
    },
    /// Class that the settings do not define.
    #[error("unknown class {name:?}: not among the grades of the settings")]
    UnknownClass {
        /// Class name.
        name: String,
    },
    /// Rollout phase outside the protocol's range.
    #[error("stepNews: course must be 0 to 3, got {phase}")]
    UnknownPhase {
        /// Phase number.
        phase: u8,
    },
    /// Gossip message that is not hex-encoded.
    #[error("whisper: octets must be pairs of hex digits, got {text:?}")]
    NotHex {
        /// Received text.
        text: String,
    },
}

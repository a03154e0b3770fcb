//! Why the adapter ends before the simulator does.

use std::io;

/// A fault of the input or of the pipes.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// Its number, from 1.
        line: u64,
        /// What failed.
        source: io::Error,
    },
    /// A line is not text.
    #[error("line {line}: not UTF-8")]
    NotUtf8 {
        /// Its number, from 1.
        line: u64,
    },
    /// A line breaks the protocol.
    #[error("line {line}: {source}")]
    Protocol {
        /// Its number, from 1.
        line: u64,
        /// What is wrong with it.
        source: ProtocolError,
    },
    /// A reply could not be written.
    #[error("{0}")]
    Write(#[from] io::Error),
}

/// What is wrong with a line of the simulator's.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// It is no line of the protocol, or a reply could not be serialized.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A batch begins inside another.
    #[error("mark {serial} came before yourTurn of batch {open}")]
    NestedBatch {
        /// The new batch.
        serial: u64,
        /// The one that is still open.
        open: u64,
    },
    /// A line outside a batch.
    #[error("a line outside a batch: no mark came before it")]
    OutsideBatch,
    /// An event for an instance that does not run.
    #[error("an event for front {instance}, which has not started")]
    UnknownInstance {
        /// The instance's number.
        instance: u32,
    },
    /// An update refers to an endpoint list that was not sent.
    #[error("fleet: directory {list_id} was never sent")]
    UnknownList {
        /// The list's number.
        list_id: u32,
    },
    /// A class that the settings do not have.
    #[error("class {name:?} is not among the grades of the settings")]
    UnknownClass {
        /// Its name.
        name: String,
    },
    /// A rollout phase that the protocol does not have.
    #[error("stepNews: course must be 0 to 3, got {phase}")]
    UnknownPhase {
        /// Its number.
        phase: u8,
    },
    /// A message that is not written in hex digits.
    #[error("whisper: octets {text:?} are not hex digits")]
    NotHex {
        /// What was given.
        text: String,
    },
}

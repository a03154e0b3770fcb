//! Errors after which a Raft node can't continue.

use crate::ids::Index;

/// An error after which an instance can't continue. None of them is transient: the instance must stop.
#[derive(Debug, thiserror::Error)]
pub enum RaftNodeError {
    /// Loss of entries from the store that this instance knew to be committed.
    #[error("the store has lost committed entries: got those up to {last}, expected those up to {committed}")]
    CommittedEntriesLost {
        /// Index of the last entry known to be committed.
        committed: Index,
        /// Index of the last entry in the store.
        last: Index,
    },
    /// Entry in the store of a kind that this version does not know.
    #[error("unknown kind {kind} of entry {index} in the store: must be 0, 1 or 2")]
    UnknownEntryKind {
        /// Index of the entry.
        index: Index,
        /// Kind of the entry.
        kind: u8,
    },
    /// Undecodable voters and learners of a stored snapshot.
    #[error("can't decode the members of the snapshot at index {index}: {source}")]
    UnreadableMembers {
        /// Index of the snapshot.
        index: Index,
        /// Cause of the failure.
        source: protobuf::ProtobufError,
    },
    /// Undecodable replicated state in a snapshot.
    #[error("can't decode the state in the snapshot at index {index}: {source}")]
    UnreadableSnapshot {
        /// Index of the snapshot.
        index: Index,
        /// Cause of the failure.
        source: postcard::Error,
    },
    /// Undecodable committed proposal. It may come from a later version, and instances that can decode it
    /// apply it: an instance that skipped it would diverge from them.
    #[error("can't decode the proposal in entry {index}: {source}")]
    UnreadableProposal {
        /// Index of the entry.
        index: Index,
        /// Cause of the failure.
        source: postcard::Error,
    },
    /// Undecodable committed configuration change.
    #[error("can't decode the configuration change in entry {index}: {source}")]
    UnreadableConfChange {
        /// Index of the entry.
        index: Index,
        /// Cause of the failure.
        source: protobuf::ProtobufError,
    },
    /// Undecodable membership change requested by an operator, stored with a committed configuration change.
    #[error("can't decode the membership change in entry {index}: {source}")]
    UnreadableMembershipChange {
        /// Index of the entry.
        index: Index,
        /// Cause of the failure.
        source: postcard::Error,
    },
    /// Committed entry that changes several members at once, which no instance proposes.
    #[error("entry {index} changes several members at once: only one member at a time may change")]
    JointConfChange {
        /// Index of the entry.
        index: Index,
    },
    /// Error reported by the Raft library.
    #[error("{0}")]
    Library(#[from] raft::Error),
}

//! Why an instance can't take part.

use crate::ids::Index;

/// Why an instance can't take part. None of these passes by itself: the instance must stop.
#[derive(Debug, thiserror::Error)]
pub enum RaftNodeError {
    /// The store has lost entries that this instance once knew to be committed.
    #[error(
        "the store has lost committed entries: those up to {committed} are committed, those up to {last} are held"
    )]
    CommittedEntriesLost {
        /// The last index that was committed.
        committed: Index,
        /// The last index that the store holds.
        last: Index,
    },
    /// The store holds an entry of a kind that this version doesn't know.
    #[error("the store holds entry {index} of kind {kind}: 0, 1 and 2 are known")]
    UnknownEntryKind {
        /// The entry's index.
        index: Index,
        /// Its kind.
        kind: u8,
    },
    /// The voters and learners beside a stored snapshot can't be decoded.
    #[error("the members of the snapshot at {index} can't be decoded: {source}")]
    UnreadableMembers {
        /// The snapshot's index.
        index: Index,
        /// Why not.
        source: protobuf::ProtobufError,
    },
    /// The state in a snapshot can't be decoded.
    #[error("the state in the snapshot at {index} can't be decoded: {source}")]
    UnreadableSnapshot {
        /// The snapshot's index.
        index: Index,
        /// Why not.
        source: postcard::Error,
    },
    /// A committed proposal can't be decoded. Every instance must skip the same entries: one that can't be decoded
    /// here may be of a later version, and going on without it would lead to another history.
    #[error("the proposal in entry {index} can't be decoded: {source}")]
    UnreadableProposal {
        /// The entry's index.
        index: Index,
        /// Why not.
        source: postcard::Error,
    },
    /// A committed configuration change can't be decoded.
    #[error("the configuration change in entry {index} can't be decoded: {source}")]
    UnreadableConfChange {
        /// The entry's index.
        index: Index,
        /// Why not.
        source: protobuf::ProtobufError,
    },
    /// What an operator asked for, beside a committed configuration change, can't be decoded.
    #[error("the member in the configuration change in entry {index} can't be decoded: {source}")]
    UnreadableMembershipChange {
        /// The entry's index.
        index: Index,
        /// Why not.
        source: postcard::Error,
    },
    /// A committed entry changes several members at once, which no instance ever proposes.
    #[error("entry {index} changes several members at once: only one at a time is supported")]
    JointConfChange {
        /// The entry's index.
        index: Index,
    },
    /// The Raft library reports a fault.
    #[error("{0}")]
    Library(#[from] raft::Error),
}

//! Consensus among several instances, without I/O, clocks or threads: the input consists of ticks, messages
//! and completed writes, the output of writes, messages and answers.
//!
//! In reading order:
//!
//! - [`ids`]: instances, indexes, terms, epochs, tickets and the names of roles and subjects;
//! - [`replicated_state`]: the state on which all instances agree: subjects, sessions, leases, notices and
//!   members;
//! - [`raft_node`]: the Raft node of one instance, built on a Raft library that performs no I/O;
//! - `raft_log`: the in-memory log that the library reads;
//! - [`pending_requests`]: proposals and reads that wait for an answer;
//! - [`membership`]: membership changes, one instance at a time;
//! - [`proposal_queue`]: a queue of commands in one session, each sent until it is answered;
//! - [`lease_client`]: acquisition, renewal and expiry of a lease at one instance;
//! - [`fencing`]: the fencing gate, which rejects actions under older epochs;
//! - [`build_verdicts`]: the proxies' verdicts on a build, and the vote derived from them;
//! - [`chunking`]: splitting and assembly of messages that are too long for one frame.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

pub mod build_verdicts;
pub mod chunking;
pub mod fencing;
pub mod ids;
pub mod lease_client;
pub mod membership;
pub mod pending_requests;
pub mod proposal_queue;
mod raft_log;
pub mod raft_node;
pub mod replicated_state;

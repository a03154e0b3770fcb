//! Consensus among several instances. No I/O, no clock, no threads: ticks, messages and completed writes come
//! in; writes, messages and answers go out.
//!
//! In reading order:
//!
//! - [`ids`]: instances, indexes, terms, epochs, tickets and the names of roles and subjects;
//! - [`replicated_state`]: what all instances agree on: subjects decided once, sessions, leases, notices, members;
//! - [`raft_node`]: one instance's part in the consensus, on a Raft library without I/O;
//! - `raft_log`: the log in memory, as the library reads it;
//! - [`pending_requests`]: proposals and reads that wait for their answer;
//! - [`membership`]: changes of membership, one instance at a time;
//! - [`proposal_queue`]: a session that sends a command again until it is answered;
//! - [`lease_client`]: when an instance acquires, renews and stops using a lease;
//! - [`fencing`]: the gate in front of whatever a lease allows, which rejects older epochs;
//! - [`build_verdicts`]: what the proxies think of a build, and the one vote that follows from it;
//! - [`chunking`]: messages too long for one frame.

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

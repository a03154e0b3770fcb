//! One decision among several instances. No I/O, no clock, no threads: ticks, messages and the word that a write
//! is durable come in; writes, messages and answers go out.
//!
//! - [`raft_node`]: one instance's part in the agreement, on a Raft library without I/O;
//! - [`replicated_state`]: the replicated state: subjects decided once, sessions, grants with epochs, members;
//! - [`fencing`]: what stands in front of whatever a grant allows, and refuses an older epoch;
//! - [`lease_client`]: when an instance takes, renews, uses and leaves a grant;
//! - [`pending_requests`]: proposals and reads that wait for their answer;
//! - [`membership`]: changes of membership, one instance at a time;
//! - [`proposal_queue`]: a session that sends a command again until it is answered;
//! - [`build_verdicts`]: what the fronts think of a build, and whose vote stands for all;
//! - [`chunking`]: messages too long for one frame.

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

//! One decision among several instances. No I/O, no clock, no threads: ticks, messages and the word that a write
//! is durable come in; writes, messages and answers go out.
//!
//! - [`node`]: one instance's part in the agreement, on a Raft library without I/O;
//! - [`ledger`]: the replicated state: subjects decided once, sessions, grants with epochs, members;
//! - [`gate`]: what stands in front of whatever a grant allows, and refuses an older epoch;
//! - [`clerk`]: when an instance takes, renews, uses and leaves a grant;
//! - [`desk`]: proposals and reads that wait for their answer;
//! - [`members`]: changes of membership, one instance at a time;
//! - [`proposer`]: a session that sends a command again until it is answered;
//! - [`trust`]: what the fronts think of a build, and whose vote stands for all;
//! - [`pieces`]: messages too long for one frame.

pub mod clerk;
pub mod desk;
pub mod gate;
pub mod ids;
mod journal;
pub mod ledger;
pub mod members;
pub mod node;
pub mod pieces;
pub mod proposer;
pub mod trust;

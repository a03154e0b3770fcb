//! Decides where a proxy's votes go. No I/O, no clock.
//!
//! While the agent on this machine is reachable and has a quorum, votes go to it, and one proxy of the cluster casts
//! for all. Otherwise each proxy casts its own votes at the release controller, exactly as it does without an agent.
//!
//! What the policy decides is never changed here. That the cluster has condemned a build reaches the policy only as a
//! lower exposure cap.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

mod message;
mod router;

pub use message::{AgentUpdate, CastAssignment, RouterAction, Vote, VoteOrigin};
pub use router::VoteRouter;

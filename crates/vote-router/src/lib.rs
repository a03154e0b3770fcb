//! Routing of a proxy's votes to its agent or to the release controller. No I/O, no clock.
//!
//! While the agent on this machine is reachable and has a quorum, votes go to it, and one proxy of the
//! cluster casts for all. Otherwise each proxy casts its own votes at the release controller, exactly as it
//! does without an agent.
//!
//! The decisions of the policy are never changed here. When the cluster condemns a build, the policy is only
//! notified of a lower exposure cap.

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

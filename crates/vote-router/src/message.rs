//! The inputs and outputs of the router.

use std::collections::BTreeSet;

use garnetcrank_policy::api::{Build, RolloutStatus, Verdict, VoteResult};

/// A verdict on a build at a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vote {
    /// Build that the vote is on.
    pub build: Build,
    /// Stage that the vote is for, from 0.
    pub stage: usize,
    /// Verdict on the build.
    pub verdict: Verdict,
}

impl Vote {
    /// Returns whether the vote is not an abstention.
    pub fn is_cast(&self) -> bool {
        self.verdict != Verdict::Abstain
    }

    /// Returns the vote that withdraws this one.
    pub fn withdrawal(self) -> Vote {
        Vote { verdict: Verdict::Abstain, ..self }
    }
}

/// Party on whose behalf a vote is cast at the release controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteOrigin {
    /// The proxy's own policy, which is notified of the result.
    Own,
    /// The cluster, or this proxy repeating its vote after the loss of its agent. The policy is not waiting
    /// for the result, and is notified only of the rollout status that comes with it.
    Cluster,
}

/// Action for the caller to carry out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouterAction {
    /// Casts this vote at the release controller.
    CastVote(Vote, VoteOrigin),
    /// Sends this vote to the agent, whose response goes to [`crate::VoteRouter::on_agent_response`].
    SendToAgent(Vote),
    /// Notifies the policy of the result of its vote.
    VoteCompleted(VoteResult),
    /// Notifies the policy of the rollout status.
    RolloutUpdated(RolloutStatus),
}

/// Assignment of the cluster's vote to a proxy, as seen by this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CastAssignment {
    /// Another proxy casts it, or none does.
    #[default]
    OtherProxy,
    /// This proxy casts the vote and renews it; none: the cluster has no vote at the moment.
    ThisProxy(Option<Vote>),
}

impl CastAssignment {
    /// Returns the vote that this proxy has to cast and renew.
    pub fn vote(self) -> Option<Vote> {
        match self {
            CastAssignment::ThisProxy(vote) => vote,
            CastAssignment::OtherProxy => None,
        }
    }
}

/// Update from the agent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentUpdate {
    /// Builds that the cluster has condemned.
    pub condemned: BTreeSet<Build>,
    /// Assignment of the cluster's vote.
    pub cast: CastAssignment,
    /// Whether the agent reaches a quorum.
    pub has_quorum: bool,
}

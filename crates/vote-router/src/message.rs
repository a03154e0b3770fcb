//! What goes into the router and what comes out of it.

use std::collections::BTreeSet;

use garnetcrank_policy::api::{Build, RolloutStatus, Verdict, VoteResult};

/// A verdict on a build at a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vote {
    /// The build.
    pub build: Build,
    /// The stage, from 0.
    pub stage: usize,
    /// What is to become of the build.
    pub verdict: Verdict,
}

impl Vote {
    /// Whether the vote asks for anything: it is not an abstention.
    pub fn is_cast(&self) -> bool {
        self.verdict != Verdict::Abstain
    }

    /// The vote that withdraws this one.
    pub fn withdrawal(self) -> Vote {
        Vote { verdict: Verdict::Abstain, ..self }
    }
}

/// On whose behalf a vote goes to the release controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteOrigin {
    /// The proxy's own policy, which is notified of the result.
    Own,
    /// The cluster, or this proxy again after its agent was lost. The policy is not waiting for a result; it learns
    /// only the rollout status that comes with it.
    Cluster,
}

/// What the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouterAction {
    /// Cast this vote at the release controller.
    CastVote(Vote, VoteOrigin),
    /// Send this vote to the agent; its reply goes to [`crate::VoteRouter::on_agent_reply`].
    SendToAgent(Vote),
    /// Notify the policy of the result of its vote.
    VoteCompleted(VoteResult),
    /// Notify the policy of the rollout status.
    RolloutUpdated(RolloutStatus),
}

/// Which proxy casts the cluster's vote, as far as this one is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CastAssignment {
    /// Another proxy does, or none.
    #[default]
    OtherProxy,
    /// This proxy has to keep this vote cast; none: nobody votes at the moment.
    ThisProxy(Option<Vote>),
}

impl CastAssignment {
    /// The vote that this proxy has to keep cast.
    pub fn vote(self) -> Option<Vote> {
        match self {
            CastAssignment::ThisProxy(vote) => vote,
            CastAssignment::OtherProxy => None,
        }
    }
}

/// One update from the agent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentUpdate {
    /// Builds that the cluster has condemned.
    pub condemned: BTreeSet<Build>,
    /// Which proxy casts for the cluster.
    pub cast: CastAssignment,
    /// Whether the agent reaches a quorum.
    pub has_quorum: bool,
}

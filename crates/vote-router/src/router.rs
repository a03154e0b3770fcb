//! The vote router, a state machine with one instance per proxy.

use std::collections::BTreeSet;

use garnetcrank_policy::api::{Build, Micros, RolloutPhase, RolloutStatus, VoteResult};

use crate::message::{AgentUpdate, RouterAction, Vote, VoteOrigin};

/// Maximum number of condemned builds that are remembered. The lowest build numbers are dropped first, as
/// build numbers grow and older builds are not offered again.
const MAX_CONDEMNED_BUILDS: usize = 256;

/// A vote cast at the release controller on behalf of the cluster.
#[derive(Debug, Clone, Copy)]
struct ClusterVote {
    vote: Vote,
    cast_at: Micros,
}

/// A rollout status and the time at which it was received.
#[derive(Debug, Clone, Copy)]
struct ReceivedStatus {
    status: RolloutStatus,
    received_at: Micros,
}

/// Routes the votes of one proxy.
#[derive(Debug, Default)]
pub struct VoteRouter {
    uses_agent: bool,
    /// The policy's latest vote.
    own_vote: Option<Vote>,
    /// Vote that this proxy has cast for the cluster.
    cluster_vote: Option<ClusterVote>,
    /// Vote that this proxy is assigned to cast for the cluster.
    assigned_vote: Option<Vote>,
    condemned: BTreeSet<Build>,
    latest_status: Option<ReceivedStatus>,
    vote_ttl: Micros,
}

impl VoteRouter {
    /// Creates the router of a proxy whose votes are valid for `vote_ttl` microseconds after they are cast.
    pub fn new(vote_ttl: Micros) -> Self {
        Self { vote_ttl, ..Self::default() }
    }

    /// Returns whether votes go to the agent.
    pub fn uses_agent(&self) -> bool {
        self.uses_agent
    }

    /// Routes a vote of the policy.
    pub fn on_vote(&mut self, vote: Vote) -> RouterAction {
        self.own_vote = Some(vote);
        if self.uses_agent {
            RouterAction::SendToAgent(vote)
        } else {
            RouterAction::CastVote(vote, VoteOrigin::Own)
        }
    }

    /// Handles the agent's response to a vote: whether the agent has forwarded it. No response counts as
    /// `false`.
    pub fn on_agent_response(&mut self, vote: Vote, forwarded: bool) -> Option<RouterAction> {
        if forwarded {
            return Some(RouterAction::VoteCompleted(VoteResult::Counted));
        }
        // A vote that a later one has replaced, such as one resent on the agent's return, is not cast: the
        // policy no longer waits for its result.
        let is_latest = self.own_vote == Some(vote);
        is_latest.then_some(RouterAction::CastVote(vote, VoteOrigin::Own))
    }

    /// Handles an update from the agent.
    pub fn on_agent_update(&mut self, now: Micros, update: AgentUpdate) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        if update.condemned != self.condemned {
            actions.extend(self.extend_condemned(now, update.condemned));
        }
        match (self.uses_agent, update.has_quorum) {
            (false, true) => {
                self.uses_agent = true;
                // The cluster has not received the votes cast while the agent was unavailable.
                let unsent = self.own_vote.filter(Vote::is_cast);
                actions.extend(unsent.map(RouterAction::SendToAgent));
            }
            (true, false) => actions.extend(self.stop_using_agent(now)),
            _ => {}
        }
        if self.uses_agent {
            self.assigned_vote = update.cast.vote();
            actions.extend(self.reconcile_cluster_vote(now));
        }
        actions
    }

    /// Handles the loss of the agent.
    pub fn on_agent_lost(&mut self, now: Micros) -> Vec<RouterAction> {
        self.stop_using_agent(now)
    }

    /// Returns the action that is due by `now`.
    pub fn on_tick(&mut self, now: Micros) -> Option<RouterAction> {
        if self.uses_agent { self.reconcile_cluster_vote(now) } else { None }
    }

    /// Handles a rollout status from the release controller. Returns the status for the policy.
    pub fn on_rollout_update(&mut self, now: Micros, status: RolloutStatus) -> RolloutStatus {
        self.latest_status = Some(ReceivedStatus { status, received_at: now });
        self.with_condemned_cap(status)
    }

    /// Adds condemned builds. Returns a notification of the current status if this lowers its exposure cap.
    ///
    /// Builds are only added, so that an agent that has lost its state does not clear a condemned build.
    fn extend_condemned(&mut self, now: Micros, condemned: BTreeSet<Build>) -> Option<RouterAction> {
        self.condemned.extend(condemned);
        while self.condemned.len() > MAX_CONDEMNED_BUILDS {
            self.condemned.pop_first();
        }
        let ReceivedStatus { status, received_at } = self.latest_status?;
        let capped = self.with_condemned_cap(status);
        if capped.exposure_cap == status.exposure_cap {
            return None;
        }
        let age = status.age + now.saturating_sub(received_at);
        Some(RouterAction::RolloutUpdated(RolloutStatus { age, ..capped }))
    }

    /// Switches to casting this proxy's own votes. The latest one is cast at once, because the policy assumes
    /// that it counts.
    fn stop_using_agent(&mut self, now: Micros) -> Vec<RouterAction> {
        if !self.uses_agent {
            return Vec::new();
        }
        self.uses_agent = false;
        self.assigned_vote = None;
        match self.own_vote.filter(Vote::is_cast) {
            Some(vote) => {
                self.cluster_vote = None;
                vec![RouterAction::CastVote(vote, VoteOrigin::Cluster)]
            }
            None => self.reconcile_cluster_vote(now).into_iter().collect(),
        }
    }

    /// Casts, renews or withdraws the cluster's vote at the release controller, as the assignment requires.
    fn reconcile_cluster_vote(&mut self, now: Micros) -> Option<RouterAction> {
        match (self.assigned_vote, self.cluster_vote) {
            (Some(assigned), Some(cluster_vote))
                if assigned == cluster_vote.vote && !self.is_renewal_due(cluster_vote, now) =>
            {
                None
            }
            (Some(assigned), _) => {
                self.cluster_vote = Some(ClusterVote { vote: assigned, cast_at: now });
                Some(RouterAction::CastVote(assigned, VoteOrigin::Cluster))
            }
            // Another proxy casts from now on, or there is no vote. Two proxies' votes for the cluster would
            // count as two instances.
            (None, Some(cluster_vote)) => {
                self.cluster_vote = None;
                let expired = now >= cluster_vote.cast_at + self.vote_ttl;
                let withdrawal = cluster_vote.vote.withdrawal();
                (!expired).then_some(RouterAction::CastVote(withdrawal, VoteOrigin::Cluster))
            }
            (None, None) => None,
        }
    }

    /// Returns whether a vote is due for renewal, which is after half of its TTL.
    fn is_renewal_due(&self, cluster_vote: ClusterVote, now: Micros) -> bool {
        now >= cluster_vote.cast_at + self.vote_ttl / 2
    }

    /// Returns the status with an exposure cap of 0 if it is of a condemned build on trial.
    ///
    /// Staying below the cap of the release controller is always allowed. A released build may be the only
    /// one left, so its cap is not changed.
    fn with_condemned_cap(&self, status: RolloutStatus) -> RolloutStatus {
        let is_blocked = status.phase == RolloutPhase::OnTrial && self.condemned.contains(&status.build);
        if is_blocked { RolloutStatus { exposure_cap: 0.0, ..status } } else { status }
    }
}

//! The router: one state machine a proxy.

use std::collections::BTreeSet;

use garnetcrank_policy::api::{Build, Micros, RolloutPhase, RolloutStatus, VoteResult};

use crate::message::{AgentUpdate, RouterAction, Vote, VoteOrigin};

/// Condemned builds that are remembered. Build numbers grow, and builds older than these are not offered again.
const MAX_CONDEMNED_BUILDS: usize = 256;

/// A vote that stands at the release controller on behalf of the cluster.
#[derive(Debug, Clone, Copy)]
struct StandingVote {
    vote: Vote,
    cast_at: Micros,
}

/// A rollout status and when it was received.
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
    /// What this proxy has cast for the cluster.
    standing: Option<StandingVote>,
    /// What this proxy should have cast for the cluster.
    wanted: Option<Vote>,
    condemned: BTreeSet<Build>,
    latest_status: Option<ReceivedStatus>,
    vote_ttl: Micros,
}

impl VoteRouter {
    /// A router of a proxy whose votes stand at the release controller for `vote_ttl` microseconds.
    pub fn new(vote_ttl: Micros) -> Self {
        Self { vote_ttl, ..Self::default() }
    }

    /// Whether votes go to the agent.
    pub fn uses_agent(&self) -> bool {
        self.uses_agent
    }

    /// The policy votes.
    pub fn on_vote(&mut self, vote: Vote) -> RouterAction {
        self.own_vote = Some(vote);
        if self.uses_agent {
            RouterAction::SendToAgent(vote)
        } else {
            RouterAction::CastVote(vote, VoteOrigin::Own)
        }
    }

    /// The agent's reply to a vote: whether it passes the vote on. No reply counts as `false`.
    pub fn on_agent_reply(&mut self, vote: Vote, passed_on: bool) -> Option<RouterAction> {
        if passed_on {
            return Some(RouterAction::VoteCompleted(VoteResult::Counted));
        }
        // A vote that was repeated after the agent came back has had its result.
        let is_latest = self.own_vote == Some(vote);
        is_latest.then_some(RouterAction::CastVote(vote, VoteOrigin::Own))
    }

    /// An update from the agent.
    pub fn on_agent_update(&mut self, now: Micros, update: AgentUpdate) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        if update.condemned != self.condemned {
            actions.extend(self.extend_condemned(now, update.condemned));
        }
        match (self.uses_agent, update.has_quorum) {
            (false, true) => {
                self.uses_agent = true;
                // The cluster has not seen what was voted while the agent was away.
                let missed = self.own_vote.filter(Vote::is_cast);
                actions.extend(missed.map(RouterAction::SendToAgent));
            }
            (true, false) => actions.extend(self.leave_agent(now)),
            _ => {}
        }
        if self.uses_agent {
            self.wanted = update.cast.vote();
            actions.extend(self.reconcile_standing_vote(now));
        }
        actions
    }

    /// The agent is no longer reachable.
    pub fn on_agent_lost(&mut self, now: Micros) -> Vec<RouterAction> {
        self.leave_agent(now)
    }

    /// What is due by now.
    pub fn on_tick(&mut self, now: Micros) -> Option<RouterAction> {
        if self.uses_agent { self.reconcile_standing_vote(now) } else { None }
    }

    /// A rollout status from the release controller. Returns the status that the policy is to be notified of.
    pub fn on_rollout_update(&mut self, now: Micros, status: RolloutStatus) -> RolloutStatus {
        self.latest_status = Some(ReceivedStatus { status, received_at: now });
        self.with_condemned_cap(status)
    }

    /// Adds condemned builds. The set only grows: an agent that has lost its memory makes no build trusted again.
    /// Returns the present status if its cap has changed by that.
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

    /// From here on this proxy votes alone. The policy believes that its latest vote counts, so it is cast now.
    fn leave_agent(&mut self, now: Micros) -> Vec<RouterAction> {
        if !self.uses_agent {
            return Vec::new();
        }
        self.uses_agent = false;
        self.wanted = None;
        match self.own_vote.filter(Vote::is_cast) {
            Some(vote) => {
                self.standing = None;
                vec![RouterAction::CastVote(vote, VoteOrigin::Cluster)]
            }
            None => self.reconcile_standing_vote(now).into_iter().collect(),
        }
    }

    /// Brings what stands at the release controller for the cluster in line with what should stand there.
    fn reconcile_standing_vote(&mut self, now: Micros) -> Option<RouterAction> {
        match (self.wanted, self.standing) {
            (Some(wanted), Some(standing))
                if wanted == standing.vote && !self.is_renewal_due(standing, now) =>
            {
                None
            }
            (Some(wanted), _) => {
                self.standing = Some(StandingVote { vote: wanted, cast_at: now });
                Some(RouterAction::CastVote(wanted, VoteOrigin::Cluster))
            }
            // Another proxy casts from here on, or there is no vote: two votes for the cluster would count as two
            // instances.
            (None, Some(standing)) => {
                self.standing = None;
                let lapsed = now >= standing.cast_at + self.vote_ttl;
                let withdrawal = standing.vote.withdrawal();
                (!lapsed).then_some(RouterAction::CastVote(withdrawal, VoteOrigin::Cluster))
            }
            (None, None) => None,
        }
    }

    /// A standing vote is renewed after half of its TTL.
    fn is_renewal_due(&self, standing: StandingVote, now: Micros) -> bool {
        now >= standing.cast_at + self.vote_ttl / 2
    }

    /// Sets the cap of a condemned build on trial to 0, whatever exposure the release controller still allows: a lower
    /// cap breaks no rule. A released build may be the only one left, so its cap stays.
    fn with_condemned_cap(&self, status: RolloutStatus) -> RolloutStatus {
        let is_barred = status.phase == RolloutPhase::OnTrial && self.condemned.contains(&status.build);
        if is_barred { RolloutStatus { exposure_cap: 0.0, ..status } } else { status }
    }
}

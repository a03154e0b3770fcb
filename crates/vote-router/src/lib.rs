//! Where a front's verdicts go. While its agent is heard and reaches the others, they go there, and one front casts for
//! all; else each front casts its own, exactly as it does without an agent. No I/O, no clock.
//!
//! What the `Brain` decides is never changed here. What all remember of a build is told to it only as a lower cap.

use std::collections::BTreeSet;

use garnetcrank_policy::api::{Build, Micros, RolloutPhase, RolloutStatus, Verdict, VoteResult};

/// A verdict on a build at a stage.
pub type Vote = (Build, usize, Verdict);

/// Whose vote it is that goes to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteOrigin {
    /// The front's own decisions': they hear of its answer.
    Own,
    /// Cast for all, or again for want of an agent: the front's own decisions asked nothing and hear nothing but the
    /// news that comes with the answer.
    Cluster,
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouterAction {
    /// Cast this at the platform.
    CastVote(Vote, VoteOrigin),
    /// Tell the agent; its answer goes to [`VoteRouter::on_agent_reply`].
    SendToAgent(Vote),
    /// The front's own decisions hear this of their vote.
    VoteCompleted(VoteResult),
    /// The front's own decisions hear this of the newest build.
    RolloutUpdated(RolloutStatus),
}

/// What the agent says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentUpdate {
    /// Builds that are condemned.
    pub condemned: BTreeSet<Build>,
    /// This front casts for all; and what, if anybody says anything.
    pub cast: Option<Option<Vote>>,
    /// The agent reaches the others.
    pub has_quorum: bool,
}

/// A front's ballots.
#[derive(Debug, Default)]
pub struct VoteRouter {
    uses_agent: bool,
    own: Option<Vote>,
    /// What this front has standing at the platform for all, and since when.
    standing: Option<(Vote, Micros)>,
    wanted: Option<Vote>,
    condemned: BTreeSet<Build>,
    stage: Option<(RolloutStatus, Micros)>,
    life: Micros,
}

impl VoteRouter {
    /// Ballots of a front whose votes stand at the platform for `life`.
    pub fn new(life: Micros) -> Self {
        Self { life, ..Self::default() }
    }

    /// Whether verdicts go to the agent.
    pub fn uses_agent(&self) -> bool {
        self.uses_agent
    }

    /// The front's own decisions vote.
    pub fn on_vote(&mut self, vote: Vote) -> RouterAction {
        self.own = Some(vote);
        if self.uses_agent {
            RouterAction::SendToAgent(vote)
        } else {
            RouterAction::CastVote(vote, VoteOrigin::Own)
        }
    }

    /// The agent's answer to a verdict: whether it is passed on. No answer is none.
    pub fn on_agent_reply(&mut self, vote: Vote, passed_on: bool) -> Option<RouterAction> {
        // Said again when the agent came back: the decisions have had their answer.
        if self.own != Some(vote) {
            return Some(RouterAction::VoteCompleted(VoteResult::Counted)).filter(|_| passed_on);
        }
        Some(if passed_on {
            RouterAction::VoteCompleted(VoteResult::Counted)
        } else {
            RouterAction::CastVote(vote, VoteOrigin::Own)
        })
    }

    /// The agent says something.
    pub fn on_agent_update(&mut self, now: Micros, line: AgentUpdate) -> Vec<RouterAction> {
        let mut steps = Vec::new();
        if line.condemned != self.condemned {
            // Grows only: a build that all have condemned is not trusted again because an agent has lost its memory.
            self.condemned.extend(line.condemned);
            // Builds come in the order of their numbers; older ones than these are not offered again.
            while self.condemned.len() > 256 {
                self.condemned.pop_first();
            }
            if let Some((stage, since)) = self.stage {
                let told = self.as_told(stage);
                if told.exposure_cap != stage.exposure_cap {
                    steps.push(RouterAction::RolloutUpdated(RolloutStatus {
                        age: stage.age + now.saturating_sub(since),
                        ..told
                    }));
                }
            }
        }
        match (self.uses_agent, line.has_quorum) {
            (false, true) => {
                self.uses_agent = true;
                // What was said while it was away is said to the others now.
                steps.extend(
                    self.own.filter(|vote| vote.2 != Verdict::Abstain).map(RouterAction::SendToAgent),
                );
            }
            (true, false) => steps.extend(self.part(now)),
            _ => {}
        }
        if self.uses_agent {
            self.wanted = line.cast.flatten();
            steps.extend(self.cast_wanted(now));
        }
        steps
    }

    /// The agent is not heard any more.
    pub fn on_agent_lost(&mut self, now: Micros) -> Vec<RouterAction> {
        self.part(now)
    }

    /// From here on this front is on its own: what its decisions have said, and believe to be counted, it casts now.
    fn part(&mut self, now: Micros) -> Vec<RouterAction> {
        if !std::mem::take(&mut self.uses_agent) {
            return Vec::new();
        }
        self.wanted = None;
        match self.own.filter(|vote| vote.2 != Verdict::Abstain) {
            Some(vote) => {
                self.standing = None;
                vec![RouterAction::CastVote(vote, VoteOrigin::Cluster)]
            }
            None => self.cast_wanted(now).into_iter().collect(),
        }
    }

    /// Whatever is due by now.
    pub fn on_tick(&mut self, now: Micros) -> Option<RouterAction> {
        if self.uses_agent { self.cast_wanted(now) } else { None }
    }

    /// Brings what stands at the platform for all in line with what is wanted there.
    fn cast_wanted(&mut self, now: Micros) -> Option<RouterAction> {
        match (self.wanted, self.standing) {
            (Some(wanted), Some((standing, since))) if wanted == standing && now < since + self.life / 2 => {
                None
            }
            (Some(wanted), _) => {
                self.standing = Some((wanted, now));
                Some(RouterAction::CastVote(wanted, VoteOrigin::Cluster))
            }
            // Another casts from here on, or nobody says anything: two votes for all would count as two instances.
            (None, Some(((build, stage, _), since))) => {
                self.standing = None;
                let lapsed = now >= since + self.life;
                (!lapsed)
                    .then_some(RouterAction::CastVote((build, stage, Verdict::Abstain), VoteOrigin::Cluster))
            }
            (None, None) => None,
        }
    }

    /// News of the newest build, as the front's own decisions are told it.
    pub fn on_rollout_update(&mut self, now: Micros, stage: RolloutStatus) -> RolloutStatus {
        self.stage = Some((stage, now));
        self.as_told(stage)
    }

    /// A build on trial that all have condemned gets nothing here, whatever share the platform still announces: a lower
    /// cap breaks no rule. One that is released may be all there is, so its cap stands.
    fn as_told(&self, stage: RolloutStatus) -> RolloutStatus {
        let barred = stage.phase == RolloutPhase::OnTrial && self.condemned.contains(&stage.build);
        RolloutStatus { exposure_cap: if barred { 0.0 } else { stage.exposure_cap }, ..stage }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn vote(build: u32, verdict: Verdict) -> Vote {
        (Build(build), 1, verdict)
    }

    fn line(together: bool, cast: Option<Option<Vote>>) -> AgentUpdate {
        AgentUpdate { condemned: BTreeSet::new(), cast, has_quorum: together }
    }

    fn stage(build: u32, phase: RolloutPhase, cap: f64) -> RolloutStatus {
        RolloutStatus { build: Build(build), stage: 1, phase, exposure_cap: cap, age: S }
    }

    #[test]
    fn without_an_agent_every_vote_goes_to_the_platform_as_ever() {
        let mut alone = VoteRouter::new(4 * S);
        for verdict in [Verdict::Hold, Verdict::RollBack, Verdict::Abstain] {
            assert_eq!(
                alone.on_vote(vote(42, verdict)),
                RouterAction::CastVote(vote(42, verdict), VoteOrigin::Own)
            );
        }
        assert_eq!((alone.on_tick(9 * S), alone.on_agent_lost(9 * S)), (None, vec![]));
        assert!(
            alone.on_agent_update(S, line(false, None)).is_empty(),
            "an agent that reaches nobody changes nothing"
        );
        assert_eq!(
            alone.on_vote(vote(42, Verdict::Advance)),
            RouterAction::CastVote(vote(42, Verdict::Advance), VoteOrigin::Own)
        );
    }

    #[test]
    fn with_an_agent_verdicts_go_to_the_others_and_one_front_casts_for_all() {
        let mut front = VoteRouter::new(4 * S);
        assert!(front.on_agent_update(S, line(true, None)).is_empty());
        let hold = vote(42, Verdict::Hold);
        assert_eq!(front.on_vote(hold), RouterAction::SendToAgent(hold));
        assert_eq!(front.on_agent_reply(hold, true), Some(RouterAction::VoteCompleted(VoteResult::Counted)));
        let cast = front.on_agent_update(2 * S, line(true, Some(Some(hold))));
        assert_eq!(cast, [RouterAction::CastVote(hold, VoteOrigin::Cluster)]);
        assert!(front.on_agent_update(3 * S, line(true, Some(Some(hold)))).is_empty(), "it stands");
        assert_eq!(
            front.on_tick(4 * S),
            Some(RouterAction::CastVote(hold, VoteOrigin::Cluster)),
            "renewed before it lapses"
        );
        let off = vote(42, Verdict::Abstain);
        assert_eq!(
            front.on_agent_update(5 * S, line(true, None)),
            [RouterAction::CastVote(off, VoteOrigin::Cluster)],
            "another casts now"
        );
        assert!(front.on_agent_update(6 * S, line(true, None)).is_empty());
    }

    #[test]
    fn a_verdict_that_the_agent_does_not_pass_on_is_cast_at_once() {
        let mut front = VoteRouter::new(4 * S);
        front.on_agent_update(S, line(true, None));
        let back = vote(42, Verdict::RollBack);
        front.on_vote(back);
        assert_eq!(front.on_agent_reply(back, false), Some(RouterAction::CastVote(back, VoteOrigin::Own)));
        front.on_vote(vote(42, Verdict::Abstain));
        assert_eq!(front.on_agent_reply(back, false), None, "one that is not meant any more is not cast");
    }

    #[test]
    fn an_agent_that_falls_silent_leaves_no_verdict_uncast() {
        let mut front = VoteRouter::new(4 * S);
        front.on_agent_update(S, line(true, None));
        let hold = vote(42, Verdict::Hold);
        front.on_vote(hold);
        front.on_agent_reply(hold, true);
        assert_eq!(front.on_agent_lost(2 * S), [RouterAction::CastVote(hold, VoteOrigin::Cluster)]);
        assert!(front.on_agent_lost(3 * S).is_empty(), "once");
        assert_eq!(front.on_vote(hold), RouterAction::CastVote(hold, VoteOrigin::Own));
        assert_eq!(
            front.on_agent_update(4 * S, line(true, None)),
            [RouterAction::SendToAgent(hold)],
            "and said again when it is back"
        );
    }

    #[test]
    fn what_was_cast_for_others_is_taken_off_when_the_agent_falls_silent() {
        let mut front = VoteRouter::new(4 * S);
        front.on_agent_update(S, line(true, Some(Some(vote(42, Verdict::RollBack)))));
        assert_eq!(
            front.on_agent_lost(2 * S),
            [RouterAction::CastVote(vote(42, Verdict::Abstain), VoteOrigin::Cluster)]
        );
        front.on_agent_update(3 * S, line(true, Some(Some(vote(42, Verdict::RollBack)))));
        assert!(front.on_agent_lost(9 * S).is_empty(), "it has lapsed by itself");
    }

    #[test]
    fn a_condemned_build_on_trial_gets_nothing_and_a_released_one_keeps_its_cap() {
        let mut front = VoteRouter::new(4 * S);
        assert_eq!(front.on_rollout_update(S, stage(42, RolloutPhase::OnTrial, 0.2)).exposure_cap, 0.2);
        let condemned = AgentUpdate { condemned: BTreeSet::from([Build(42)]), ..line(true, None) };
        let steps = front.on_agent_update(2 * S, condemned);
        let Some(RouterAction::RolloutUpdated(told)) = steps.first() else { panic!("{steps:?}") };
        assert_eq!((told.exposure_cap, told.age), (0.0, 2 * S));
        assert_eq!(front.on_rollout_update(3 * S, stage(42, RolloutPhase::OnTrial, 0.6)).exposure_cap, 0.0);
        assert_eq!(front.on_rollout_update(4 * S, stage(42, RolloutPhase::Released, 1.0)).exposure_cap, 1.0);
        assert_eq!(front.on_rollout_update(5 * S, stage(43, RolloutPhase::OnTrial, 0.05)).exposure_cap, 0.05);
        assert!(front.on_agent_update(6 * S, line(true, None)).is_empty());
        assert_eq!(
            front.on_rollout_update(7 * S, stage(42, RolloutPhase::OnTrial, 0.6)).exposure_cap,
            0.0,
            "it stays condemned"
        );
    }
}

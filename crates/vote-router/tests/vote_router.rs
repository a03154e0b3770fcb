//! Routing of votes with an agent, without one, and after its loss.

use std::collections::BTreeSet;

use garnetcrank_policy::api::{Build, Micros, RolloutPhase, RolloutStatus, Verdict, VoteResult};
use garnetcrank_vote_router::{AgentUpdate, CastAssignment, RouterAction, Vote, VoteOrigin, VoteRouter};

const SECOND: Micros = 1_000_000;

fn vote(build: u32, verdict: Verdict) -> Vote {
    Vote { build: Build(build), stage: 1, verdict }
}

fn update(has_quorum: bool, cast: CastAssignment) -> AgentUpdate {
    AgentUpdate { condemned: BTreeSet::new(), cast, has_quorum }
}

fn status(build: u32, phase: RolloutPhase, cap: f64) -> RolloutStatus {
    RolloutStatus { build: Build(build), stage: 1, phase, exposure_cap: cap, age: SECOND }
}

#[test]
fn without_an_agent_every_vote_goes_to_the_release_controller() {
    let mut router = VoteRouter::new(4 * SECOND);
    for verdict in [Verdict::Hold, Verdict::RollBack, Verdict::Abstain] {
        assert_eq!(
            router.on_vote(vote(42, verdict)),
            RouterAction::CastVote(vote(42, verdict), VoteOrigin::Own)
        );
    }
    assert_eq!((router.on_tick(9 * SECOND), router.on_agent_lost(9 * SECOND)), (None, vec![]));
    assert!(
        router.on_agent_update(SECOND, update(false, CastAssignment::OtherProxy)).is_empty(),
        "an update without a quorum caused actions"
    );
    assert_eq!(
        router.on_vote(vote(42, Verdict::Advance)),
        RouterAction::CastVote(vote(42, Verdict::Advance), VoteOrigin::Own)
    );
}

#[test]
fn with_an_agent_votes_go_to_it_and_the_assigned_proxy_casts_for_the_cluster() {
    let mut router = VoteRouter::new(4 * SECOND);
    assert!(router.on_agent_update(SECOND, update(true, CastAssignment::OtherProxy)).is_empty());
    let hold = vote(42, Verdict::Hold);
    assert_eq!(router.on_vote(hold), RouterAction::SendToAgent(hold));
    assert_eq!(router.on_agent_response(hold, true), Some(RouterAction::VoteCompleted(VoteResult::Counted)));
    let cast = router.on_agent_update(2 * SECOND, update(true, CastAssignment::ThisProxy(Some(hold))));
    assert_eq!(cast, [RouterAction::CastVote(hold, VoteOrigin::Cluster)]);
    assert!(
        router.on_agent_update(3 * SECOND, update(true, CastAssignment::ThisProxy(Some(hold)))).is_empty(),
        "a vote that is not due for renewal was cast again"
    );
    assert_eq!(
        router.on_tick(4 * SECOND),
        Some(RouterAction::CastVote(hold, VoteOrigin::Cluster)),
        "the vote was not renewed before it expired"
    );
    let withdrawal = vote(42, Verdict::Abstain);
    assert_eq!(
        router.on_agent_update(5 * SECOND, update(true, CastAssignment::OtherProxy)),
        [RouterAction::CastVote(withdrawal, VoteOrigin::Cluster)],
        "the vote was not withdrawn although another proxy casts it"
    );
    assert!(router.on_agent_update(6 * SECOND, update(true, CastAssignment::OtherProxy)).is_empty());
}

#[test]
fn a_vote_that_the_agent_does_not_pass_on_is_cast_at_once() {
    let mut router = VoteRouter::new(4 * SECOND);
    router.on_agent_update(SECOND, update(true, CastAssignment::OtherProxy));
    let roll_back = vote(42, Verdict::RollBack);
    router.on_vote(roll_back);
    assert_eq!(
        router.on_agent_response(roll_back, false),
        Some(RouterAction::CastVote(roll_back, VoteOrigin::Own))
    );
    router.on_vote(vote(42, Verdict::Abstain));
    assert_eq!(router.on_agent_response(roll_back, false), None, "a replaced vote was cast");
}

#[test]
fn the_latest_vote_is_cast_on_loss_of_the_agent_and_resent_on_its_return() {
    let mut router = VoteRouter::new(4 * SECOND);
    router.on_agent_update(SECOND, update(true, CastAssignment::OtherProxy));
    let hold = vote(42, Verdict::Hold);
    router.on_vote(hold);
    router.on_agent_response(hold, true);
    assert_eq!(router.on_agent_lost(2 * SECOND), [RouterAction::CastVote(hold, VoteOrigin::Cluster)]);
    assert!(router.on_agent_lost(3 * SECOND).is_empty(), "the vote was cast twice");
    assert_eq!(router.on_vote(hold), RouterAction::CastVote(hold, VoteOrigin::Own));
    assert_eq!(
        router.on_agent_update(4 * SECOND, update(true, CastAssignment::OtherProxy)),
        [RouterAction::SendToAgent(hold)],
        "the vote was not resent on the agent's return"
    );
}

#[test]
fn losing_the_agent_withdraws_a_valid_vote_cast_for_the_cluster() {
    let mut router = VoteRouter::new(4 * SECOND);
    router
        .on_agent_update(SECOND, update(true, CastAssignment::ThisProxy(Some(vote(42, Verdict::RollBack)))));
    assert_eq!(
        router.on_agent_lost(2 * SECOND),
        [RouterAction::CastVote(vote(42, Verdict::Abstain), VoteOrigin::Cluster)]
    );
    router.on_agent_update(
        3 * SECOND,
        update(true, CastAssignment::ThisProxy(Some(vote(42, Verdict::RollBack)))),
    );
    assert!(router.on_agent_lost(9 * SECOND).is_empty(), "an expired vote was withdrawn");
}

#[test]
fn a_condemned_build_gets_no_exposure_on_trial_and_keeps_its_cap_once_released() {
    let mut router = VoteRouter::new(4 * SECOND);
    assert_eq!(router.on_rollout_update(SECOND, status(42, RolloutPhase::OnTrial, 0.2)).exposure_cap, 0.2);
    let condemned =
        AgentUpdate { condemned: BTreeSet::from([Build(42)]), ..update(true, CastAssignment::OtherProxy) };
    let actions = router.on_agent_update(2 * SECOND, condemned);
    let Some(RouterAction::RolloutUpdated(notified)) = actions.first() else { panic!("{actions:?}") };
    assert_eq!((notified.exposure_cap, notified.age), (0.0, 2 * SECOND));
    assert_eq!(
        router.on_rollout_update(3 * SECOND, status(42, RolloutPhase::OnTrial, 0.6)).exposure_cap,
        0.0
    );
    assert_eq!(
        router.on_rollout_update(4 * SECOND, status(42, RolloutPhase::Released, 1.0)).exposure_cap,
        1.0
    );
    assert_eq!(
        router.on_rollout_update(5 * SECOND, status(43, RolloutPhase::OnTrial, 0.05)).exposure_cap,
        0.05
    );
    assert!(router.on_agent_update(6 * SECOND, update(true, CastAssignment::OtherProxy)).is_empty());
    assert_eq!(
        router.on_rollout_update(7 * SECOND, status(42, RolloutPhase::OnTrial, 0.6)).exposure_cap,
        0.0,
        "the build is no longer condemned"
    );
}

//! Exposure caps and votes.

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, progress, request, state, wait_until,
};

use crate::common::{ok, trial_setup};

#[test]
fn a_cap_of_zero_keeps_requests_off_a_build_on_trial() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    wait_until("the build on trial is used", || {
        client.exchange(&request("GET", "/look", 9000, "")).is_some() && !new.requests().is_empty()
    });
    let lower = progress(&state(5, 0, "ROLLING_BACK", 0.0));
    controller.publish(&lower, &lower);
    wait_until("the lower cap is known", || proxy.log().contains("RollingBack"));
    let sent = new.requests().len();
    for _ in 0..20 {
        assert_eq!(client.get().body, b"old");
    }
    assert_eq!(new.requests().len(), sent);
}

#[test]
fn a_failing_build_is_voted_back_and_the_answer_updates_the_rollout() {
    let (old, new) = (
        ScriptedEndpoint::start(ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    );
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.answer_votes(200, &setup.rollout);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let voted = |ruling: &str| controller.votes().iter().any(|v| v.contains(ruling));
    wait_until("a vote to hold, then one back", || {
        client.get();
        if voted("HOLD") {
            controller.answer_votes(200, &state(5, 0, "ROLLING_BACK", 0.0));
        }
        voted("ROLLBACK")
    });
    assert!(controller.votes()[0].contains(r#""release":5,"tranche":0,"ruling":"HOLD""#));
    wait_until("the answer is taken as a rollout update", || proxy.log().contains("RollingBack"));
}

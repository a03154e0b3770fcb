//! Exposure caps and votes.

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, request, rollout_event_json, rollout_state_json,
    wait_until,
};

use crate::common::{respond_ok, trial_setup};

#[test]
fn an_exposure_cap_of_zero_stops_requests_to_a_build_on_trial() {
    let (old, new) = (ScriptedEndpoint::start(respond_ok("old")), ScriptedEndpoint::start(respond_ok("new")));
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    wait_until("the build on trial is used", || {
        client.exchange(&request("GET", "/look", 9000, "")).is_some() && !new.requests().is_empty()
    });
    let lower_cap = rollout_event_json(&rollout_state_json(5, 0, "ROLLING_BACK", 0.0));
    controller.publish(&lower_cap, &lower_cap);
    wait_until("the proxy receives the lower cap", || proxy.log().contains("RollingBack"));
    let sent = new.requests().len();
    for _ in 0..20 {
        assert_eq!(client.get().body, b"old");
    }
    assert_eq!(new.requests().len(), sent);
}

#[test]
fn a_failing_build_gets_a_vote_to_roll_back_whose_response_updates_the_rollout() {
    let (old, new) = (
        ScriptedEndpoint::start(respond_ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    );
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.set_vote_response(200, &setup.rollout);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let voted = |ruling: &str| controller.votes().iter().any(|vote| vote.contains(ruling));
    wait_until("a vote to hold and a vote to roll back", || {
        client.get();
        if voted("HOLD") {
            controller.set_vote_response(200, &rollout_state_json(5, 0, "ROLLING_BACK", 0.0));
        }
        voted("ROLLBACK")
    });
    assert!(controller.votes()[0].contains(r#""release":5,"tranche":0,"ruling":"HOLD""#));
    wait_until("the response to the vote updates the rollout", || proxy.log().contains("RollingBack"));
}

//! Votes of a proxy with an agent: they go to the cluster while the agent is reachable, else to the release
//! controller.

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, ProxySetup, RunningProxy, ScriptedEndpoint, ScriptedStream, wait_until,
};

use crate::common::{respond_ok, run_with_invalid_features, trial_setup};

fn agent_event_json(condemned: &str, cast: &str) -> String {
    format!(r#"{{"condemned":[{condemned}],{cast}"together":true}}"#)
}

fn start_endpoints_with_failing_build() -> (ScriptedEndpoint, ScriptedEndpoint) {
    (
        ScriptedEndpoint::start(respond_ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    )
}

fn with_agent(setup: ProxySetup, agent: &ScriptedStream) -> ProxySetup {
    let features = format!(r#"{{"agreement":{{"agent":"{}","silence_ms":1500}}}}"#, agent.address);
    ProxySetup { features: Some(features), ..setup }
}

fn count_votes(controller: &ScriptedStream, ruling: &str) -> usize {
    controller.votes().iter().filter(|vote| vote.contains(ruling)).count()
}

#[test]
fn verdicts_go_to_the_agent_and_only_the_assigned_proxy_votes() {
    let (old, new) = start_endpoints_with_failing_build();
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.set_vote_response(200, &setup.rollout);
    let agent = ScriptedStream::start(&agent_event_json("", ""));
    agent.set_vote_response(200, r#"{"heard":true}"#);
    let proxy = RunningProxy::start(&with_agent(setup, &agent));
    wait_until("the proxy uses the agent", || proxy.log().contains("votes go to the agent"));
    assert_eq!(agent.requested_targets()[0], "/v1/watch?front=n1");
    let mut client = proxy.client();
    wait_until("the agent receives a hold, then a vote to roll back", || {
        client.get();
        let agent_votes = agent.votes();
        agent_votes.iter().any(|vote| vote.contains(r#""word":"hold""#))
            && agent_votes.iter().any(|vote| vote.contains(r#""word":"back""#))
    });
    assert!(
        agent.votes()[0].contains(r#"{"front":"n1","opinion":{"build":5,"stage":0,"#),
        "{:?}",
        agent.votes()
    );
    assert!(
        controller.votes().is_empty(),
        "the proxy voted without being assigned: {:?}",
        controller.votes()
    );
    let cast = r#""cast":{"epoch":3,"opinion":{"build":5,"stage":0,"word":"back"}},"#;
    agent.publish(&agent_event_json("5", cast), &agent_event_json("5", cast));
    wait_until("the assigned proxy casts the vote", || count_votes(&controller, "ROLLBACK") > 0);
    wait_until("the vote is renewed before it expires", || count_votes(&controller, "ROLLBACK") > 1);
    agent.publish(&agent_event_json("5", ""), &agent_event_json("5", ""));
    wait_until("the vote is withdrawn after reassignment", || count_votes(&controller, "WITHDRAW") > 0);
}

#[test]
fn a_proxy_whose_agent_hangs_casts_its_own_votes() {
    let (old, new) = start_endpoints_with_failing_build();
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.set_vote_response(200, &setup.rollout);
    let agent = ScriptedStream::start(&agent_event_json("", ""));
    agent.set_vote_response(200, r#"{"heard":true}"#);
    let proxy = RunningProxy::start(&with_agent(setup, &agent));
    wait_until("the proxy uses the agent", || proxy.log().contains("votes go to the agent"));
    let mut client = proxy.client();
    wait_until("the agent receives a hold", || {
        client.get();
        agent.votes().iter().any(|vote| vote.contains(r#""word":"hold""#))
    });
    // The agent's connections stay open but carry nothing, and it responds to no verdict.
    agent.set_silent(true);
    agent.set_vote_response(0, "");
    wait_until("the proxy casts its own vote", || {
        client.get();
        count_votes(&controller, "HOLD") + count_votes(&controller, "ROLLBACK") > 0
    });
    wait_until("the proxy casts a vote to roll back", || {
        client.get();
        count_votes(&controller, "ROLLBACK") > 0
    });
    assert!(proxy.log().contains("voting alone"));
}

#[test]
fn a_proxy_whose_agent_is_unreachable_casts_its_own_votes() {
    let (old, new) = start_endpoints_with_failing_build();
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.set_vote_response(200, &setup.rollout);
    let mut unreachable_agent = ScriptedStream::start("");
    unreachable_agent.address = "127.0.0.1:1".parse().expect("a valid address");
    let proxy = RunningProxy::start(&with_agent(setup, &unreachable_agent));
    let mut client = proxy.client();
    wait_until("a vote to hold and a vote to roll back", || {
        client.get();
        count_votes(&controller, "HOLD") > 0 && count_votes(&controller, "ROLLBACK") > 0
    });
}

#[test]
fn a_new_proxy_sends_nothing_to_a_condemned_build() {
    let (old, new) = (ScriptedEndpoint::start(respond_ok("old")), ScriptedEndpoint::start(respond_ok("new")));
    let (_discovery, _controller, setup) = trial_setup(&old, &new);
    let agent = ScriptedStream::start(&agent_event_json("4,5", ""));
    let proxy = RunningProxy::start(&with_agent(setup, &agent));
    wait_until("the proxy uses the agent", || proxy.log().contains("votes go to the agent"));
    let (mut client, sent) = (proxy.client(), new.requests().len());
    for _ in 0..40 {
        assert_eq!(client.get().body, b"old");
    }
    assert_eq!(new.requests().len(), sent);
}

#[test]
fn an_invalid_features_key_is_named_and_the_start_fails() {
    for (features, expected_key) in [
        (r#"{"agreement":{"agent":"there"}}"#, "agreement.agent"),
        (r#"{"agrement":1}"#, "agrement"),
        (r#"{"agreement":{"agent":"127.0.0.1:1","silence_ms":1}}"#, "agreement.silence_ms"),
    ] {
        let output = run_with_invalid_features(features);
        assert_eq!(output.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&output.stderr).contains(expected_key), "{output:?}");
    }
}

//! A proxy with an agent beside it: votes go to the cluster while it is reachable, and none is lost when it is not.

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, ProxySetup, RunningProxy, ScriptedEndpoint, ScriptedStream, wait_until,
};

use crate::common::{ok, run_rejected_with_features, trial_setup};

fn line(condemned: &str, cast: &str) -> String {
    format!(r#"{{"condemned":[{condemned}],{cast}"together":true}}"#)
}

fn bad_build() -> (ScriptedEndpoint, ScriptedEndpoint) {
    (
        ScriptedEndpoint::start(ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    )
}

fn with_agent(setup: ProxySetup, agent: &ScriptedStream) -> ProxySetup {
    let features = format!(r#"{{"agreement":{{"agent":"{}","silence_ms":1500}}}}"#, agent.address);
    ProxySetup { features: Some(features), ..setup }
}

fn votes(controller: &ScriptedStream, ruling: &str) -> usize {
    controller.votes().iter().filter(|vote| vote.contains(ruling)).count()
}

#[test]
fn votes_go_to_the_agent_and_only_the_assigned_proxy_casts() {
    let (old, new) = bad_build();
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.answer_votes(200, &setup.rollout);
    let agent = ScriptedStream::start(&line("", ""));
    agent.answer_votes(200, r#"{"heard":true}"#);
    let proxy = RunningProxy::start(&with_agent(setup, &agent));
    wait_until("it is joined", || proxy.log().contains("votes go to the agent"));
    assert_eq!(agent.requested_targets()[0], "/v1/watch?front=n1");
    let mut client = proxy.client();
    wait_until("the agent receives a hold, then a vote to roll back", || {
        client.get();
        let said = agent.votes();
        said.iter().any(|s| s.contains(r#""word":"hold""#))
            && said.iter().any(|s| s.contains(r#""word":"back""#))
    });
    assert!(
        agent.votes()[0].contains(r#"{"front":"n1","opinion":{"build":5,"stage":0,"#),
        "{:?}",
        agent.votes()
    );
    assert!(controller.votes().is_empty(), "another casts: {:?}", controller.votes());
    let cast = r#""cast":{"epoch":3,"opinion":{"build":5,"stage":0,"word":"back"}},"#;
    agent.publish(&line("5", cast), &line("5", cast));
    wait_until("it casts for all", || votes(&controller, "ROLLBACK") > 0);
    wait_until("and again before that lapses", || votes(&controller, "ROLLBACK") > 1);
    agent.publish(&line("5", ""), &line("5", ""));
    wait_until("and takes it off when another casts", || votes(&controller, "WITHDRAW") > 0);
}

#[test]
fn a_proxy_whose_agent_freezes_casts_its_vote_itself() {
    let (old, new) = bad_build();
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.answer_votes(200, &setup.rollout);
    let agent = ScriptedStream::start(&line("", ""));
    agent.answer_votes(200, r#"{"heard":true}"#);
    let proxy = RunningProxy::start(&with_agent(setup, &agent));
    wait_until("it is joined", || proxy.log().contains("votes go to the agent"));
    let mut client = proxy.client();
    wait_until("the agent receives a hold", || {
        client.get();
        agent.votes().iter().any(|s| s.contains(r#""word":"hold""#))
    });
    // Its connections stay open and nothing comes on them, and no verdict is answered.
    agent.set_silent(true);
    agent.answer_votes(0, "");
    wait_until("the proxy casts its vote itself", || {
        client.get();
        votes(&controller, "HOLD") + votes(&controller, "ROLLBACK") > 0
    });
    wait_until("and goes on to a vote to roll back", || {
        client.get();
        votes(&controller, "ROLLBACK") > 0
    });
    assert!(proxy.log().contains("voting alone"));
}

#[test]
fn without_its_agent_a_proxy_casts_its_own_votes() {
    let (old, new) = bad_build();
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.answer_votes(200, &setup.rollout);
    let mut nobody = ScriptedStream::start("");
    nobody.address = "127.0.0.1:1".parse().expect("an address");
    let proxy = RunningProxy::start(&with_agent(setup, &nobody));
    let mut client = proxy.client();
    wait_until("a vote to hold, then one back", || {
        client.get();
        votes(&controller, "HOLD") > 0 && votes(&controller, "ROLLBACK") > 0
    });
}

#[test]
fn a_new_proxy_sends_nothing_to_a_condemned_build() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, _controller, setup) = trial_setup(&old, &new);
    let agent = ScriptedStream::start(&line("4,5", ""));
    let proxy = RunningProxy::start(&with_agent(setup, &agent));
    wait_until("it is joined", || proxy.log().contains("votes go to the agent"));
    let (mut client, sent) = (proxy.client(), new.requests().len());
    for _ in 0..40 {
        assert_eq!(client.get().body, b"old");
    }
    assert_eq!(new.requests().len(), sent);
}

#[test]
fn an_invalid_features_file_is_named_and_nothing_starts() {
    for (features, word) in [
        (r#"{"agreement":{"agent":"there"}}"#, "agreement.agent"),
        (r#"{"agrement":1}"#, "agrement"),
        (r#"{"agreement":{"agent":"127.0.0.1:1","silence_ms":1}}"#, "agreement.silence_ms"),
    ] {
        let output = run_rejected_with_features(features);
        assert_eq!(output.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&output.stderr).contains(word), "{output:?}");
    }
}

//! A front with an agent beside it: verdicts go to the others while it is heard, and nothing is lost when it is not.

use garnetcrank_test_support::scripted_servers::*;

use super::{ok, on_trial, refuses_with};

fn line(condemned: &str, cast: &str) -> String {
    format!(r#"{{"condemned":[{condemned}],{cast}"together":true}}"#)
}

fn bad_build() -> (ScriptedEndpoint, ScriptedEndpoint) {
    (
        ScriptedEndpoint::start(ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    )
}

fn with_agent(plan: ProxySetup, agent: &ScriptedStream) -> ProxySetup {
    let extras = format!(r#"{{"agreement":{{"agent":"{}","silence_ms":1500}}}}"#, agent.address);
    ProxySetup { features: Some(extras), ..plan }
}

fn votes(platform: &ScriptedStream, ruling: &str) -> usize {
    platform.votes().iter().filter(|vote| vote.contains(ruling)).count()
}

#[test]
fn verdicts_go_to_the_agent_and_only_the_front_that_is_told_to_casts() {
    let (old, new) = bad_build();
    let (_discovery, platform, plan) = on_trial(&old, &new);
    platform.answer_votes(200, &plan.news);
    let agent = ScriptedStream::start(&line("", ""));
    agent.answer_votes(200, r#"{"heard":true}"#);
    let front = RunningProxy::start(&with_agent(plan, &agent));
    wait_until("it is joined", || front.log().contains("verdicts go to the others"));
    assert_eq!(agent.requested_targets()[0], "/v1/watch?front=n1");
    let mut client = front.client();
    wait_until("the agent hears a hold, then the word to go back", || {
        client.look();
        let said = agent.votes();
        said.iter().any(|s| s.contains(r#""word":"hold""#))
            && said.iter().any(|s| s.contains(r#""word":"back""#))
    });
    assert!(
        agent.votes()[0].contains(r#"{"front":"n1","opinion":{"build":5,"stage":0,"#),
        "{:?}",
        agent.votes()
    );
    assert!(platform.votes().is_empty(), "another casts: {:?}", platform.votes());
    let cast = r#""cast":{"epoch":3,"opinion":{"build":5,"stage":0,"word":"back"}},"#;
    agent.publish(&line("5", cast), &line("5", cast));
    wait_until("it casts for all", || votes(&platform, "ROLLBACK") > 0);
    wait_until("and again before that lapses", || votes(&platform, "ROLLBACK") > 1);
    agent.publish(&line("5", ""), &line("5", ""));
    wait_until("and takes it off when another casts", || votes(&platform, "WITHDRAW") > 0);
}

#[test]
fn a_front_whose_agent_freezes_casts_what_it_had_said_and_votes_alone() {
    let (old, new) = bad_build();
    let (_discovery, platform, plan) = on_trial(&old, &new);
    platform.answer_votes(200, &plan.news);
    let agent = ScriptedStream::start(&line("", ""));
    agent.answer_votes(200, r#"{"heard":true}"#);
    let front = RunningProxy::start(&with_agent(plan, &agent));
    wait_until("it is joined", || front.log().contains("verdicts go to the others"));
    let mut client = front.client();
    wait_until("the agent hears a hold", || {
        client.look();
        agent.votes().iter().any(|s| s.contains(r#""word":"hold""#))
    });
    // Its connections stay open and nothing comes on them, and no verdict is answered.
    agent.set_silent(true);
    agent.answer_votes(0, "");
    wait_until("the front casts by itself", || {
        client.look();
        votes(&platform, "HOLD") + votes(&platform, "ROLLBACK") > 0
    });
    wait_until("and goes on to the word to go back", || {
        client.look();
        votes(&platform, "ROLLBACK") > 0
    });
    assert!(front.log().contains("this front votes alone"));
}

#[test]
fn without_its_agent_a_front_votes_as_ever() {
    let (old, new) = bad_build();
    let (_discovery, platform, plan) = on_trial(&old, &new);
    platform.answer_votes(200, &plan.news);
    let mut nobody = ScriptedStream::start("");
    nobody.address = "127.0.0.1:1".parse().expect("an address");
    let front = RunningProxy::start(&with_agent(plan, &nobody));
    let mut client = front.client();
    wait_until("a vote to hold, then one back", || {
        client.look();
        votes(&platform, "HOLD") > 0 && votes(&platform, "ROLLBACK") > 0
    });
}

#[test]
fn a_front_that_starts_sends_nothing_to_a_build_that_all_have_condemned() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, _platform, plan) = on_trial(&old, &new);
    let agent = ScriptedStream::start(&line("4,5", ""));
    let front = RunningProxy::start(&with_agent(plan, &agent));
    wait_until("it is joined", || front.log().contains("verdicts go to the others"));
    let (mut client, sent) = (front.client(), new.requests().len());
    for _ in 0..40 {
        assert_eq!(client.look().body, b"old");
    }
    assert_eq!(new.requests().len(), sent);
}

#[test]
fn extras_that_are_wrong_end_the_program_with_the_key() {
    for (extras, word) in [
        (r#"{"agreement":{"agent":"there"}}"#, "agreement.agent"),
        (r#"{"agrement":1}"#, "agrement"),
        (r#"{"agreement":{"agent":"127.0.0.1:1","silence_ms":1}}"#, "agreement.silence_ms"),
    ] {
        let output = refuses_with(extras);
        assert_eq!(output.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&output.stderr).contains(word), "{output:?}");
    }
}

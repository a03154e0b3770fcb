//! A front with an agent beside it: verdicts go to the others while it is heard, and nothing is lost when it is not.

use garnetcrank_test_support::front::*;

use super::{ok, on_trial, refuses_with};

fn line(condemned: &str, cast: &str) -> String {
    format!(r#"{{"condemned":[{condemned}],{cast}"together":true}}"#)
}

fn bad_build() -> (Machine, Machine) {
    (Machine::start(ok("old")), Machine::start(Does::Answer(500, "", Vec::new())))
}

fn with_agent(plan: Plan, agent: &Source) -> Plan {
    let extras = format!(r#"{{"agreement":{{"agent":"{}","silence_ms":1500}}}}"#, agent.address);
    Plan { extras: Some(extras), ..plan }
}

fn votes(platform: &Source, ruling: &str) -> usize {
    platform.votes().iter().filter(|vote| vote.contains(ruling)).count()
}

#[test]
fn verdicts_go_to_the_agent_and_only_the_front_that_is_told_to_casts() {
    let (old, new) = bad_build();
    let (_discovery, platform, plan) = on_trial(&old, &new);
    platform.answer_votes(200, &plan.news);
    let agent = Source::start(&line("", ""));
    agent.answer_votes(200, r#"{"heard":true}"#);
    let front = Running::start(&with_agent(plan, &agent));
    until("it is joined", || front.log().contains("verdicts go to the others"));
    assert_eq!(agent.asked()[0], "/v1/watch?front=n1");
    let mut client = front.client();
    until("the agent hears a hold, then the word to go back", || {
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
    agent.tell(&line("5", cast), &line("5", cast));
    until("it casts for all", || votes(&platform, "ROLLBACK") > 0);
    until("and again before that lapses", || votes(&platform, "ROLLBACK") > 1);
    agent.tell(&line("5", ""), &line("5", ""));
    until("and takes it off when another casts", || votes(&platform, "WITHDRAW") > 0);
}

#[test]
fn a_front_whose_agent_freezes_casts_what_it_had_said_and_votes_alone() {
    let (old, new) = bad_build();
    let (_discovery, platform, plan) = on_trial(&old, &new);
    platform.answer_votes(200, &plan.news);
    let agent = Source::start(&line("", ""));
    agent.answer_votes(200, r#"{"heard":true}"#);
    let front = Running::start(&with_agent(plan, &agent));
    until("it is joined", || front.log().contains("verdicts go to the others"));
    let mut client = front.client();
    until("the agent hears a hold", || {
        client.look();
        agent.votes().iter().any(|s| s.contains(r#""word":"hold""#))
    });
    // Its connections stay open and nothing comes on them, and no verdict is answered.
    agent.silence(true);
    agent.answer_votes(0, "");
    until("the front casts by itself", || {
        client.look();
        votes(&platform, "HOLD") + votes(&platform, "ROLLBACK") > 0
    });
    until("and goes on to the word to go back", || {
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
    let mut nobody = Source::start("");
    nobody.address = "127.0.0.1:1".parse().expect("an address");
    let front = Running::start(&with_agent(plan, &nobody));
    let mut client = front.client();
    until("a vote to hold, then one back", || {
        client.look();
        votes(&platform, "HOLD") > 0 && votes(&platform, "ROLLBACK") > 0
    });
}

#[test]
fn a_front_that_starts_sends_nothing_to_a_build_that_all_have_condemned() {
    let (old, new) = (Machine::start(ok("old")), Machine::start(ok("new")));
    let (_discovery, _platform, plan) = on_trial(&old, &new);
    let agent = Source::start(&line("4,5", ""));
    let front = Running::start(&with_agent(plan, &agent));
    until("it is joined", || front.log().contains("verdicts go to the others"));
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

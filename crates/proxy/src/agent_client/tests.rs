//! Golden tests of the JSON that is sent to the agent and parsed from its responses.

use std::collections::BTreeSet;

use garnetcrank_policy::api::{Build, Verdict};
use garnetcrank_vote_router::{AgentUpdate, CastAssignment, Vote};

use super::protocol::{BuildVerdict, UpdateLine, VoteRequest, VoteResponse};

const VERDICT_NAMES: [(Verdict, &str); 4] = [
    (Verdict::Abstain, "none"),
    (Verdict::Advance, "on"),
    (Verdict::Hold, "hold"),
    (Verdict::RollBack, "back"),
];

#[test]
fn a_vote_is_serialized_and_parsed_with_each_verdict() {
    for (verdict, name) in VERDICT_NAMES {
        let vote = Vote { build: Build(42), stage: 3, verdict };
        let request = VoteRequest { proxy_name: "f1", verdict: BuildVerdict::from(vote) };
        let expected = format!(r#"{{"front":"f1","opinion":{{"build":42,"stage":3,"word":"{name}"}}}}"#);
        assert_eq!(serde_json::to_string(&request).expect("JSON"), expected);
        let text = format!(r#"{{"build":42,"stage":3,"word":"{name}"}}"#);
        let parsed: BuildVerdict = serde_json::from_str(&text).expect("valid JSON");
        assert_eq!(Vote::from(parsed), vote);
    }
}

#[test]
fn the_response_to_a_vote_is_parsed() {
    for forwarded in [true, false] {
        let response: VoteResponse =
            serde_json::from_str(&format!(r#"{{"heard":{forwarded}}}"#)).expect("valid JSON");
        assert_eq!(response.forwarded, forwarded);
    }
    assert!(serde_json::from_str::<VoteResponse>("{}").is_err());
}

#[test]
fn each_form_of_update_line_is_parsed() {
    let parse = |text: &str| serde_json::from_str::<UpdateLine>(text).map(AgentUpdate::from);
    let parse_valid = |text: &str| parse(text).expect("valid JSON");
    let without_quorum = parse_valid(r#"{"condemned":[],"together":false}"#);
    let other_proxy = CastAssignment::OtherProxy;
    assert_eq!(
        without_quorum,
        AgentUpdate { condemned: BTreeSet::new(), cast: other_proxy, has_quorum: false }
    );
    let with_quorum = parse_valid(r#"{"condemned":[41,42],"together":true}"#);
    let condemned = [Build(41), Build(42)].into();
    assert_eq!(with_quorum, AgentUpdate { condemned, cast: other_proxy, has_quorum: true });
    let without_vote = parse_valid(r#"{"condemned":[],"cast":{"epoch":4,"opinion":null},"together":true}"#);
    assert_eq!(
        without_vote.cast,
        CastAssignment::ThisProxy(None),
        "this proxy casts for the cluster, and there is no vote"
    );
    for (verdict, name) in VERDICT_NAMES {
        let opinion = format!(r#"{{"build":42,"stage":3,"word":"{name}"}}"#);
        let update = parse_valid(&format!(
            r#"{{"condemned":[],"cast":{{"epoch":4,"opinion":{opinion}}},"together":true}}"#
        ));
        let vote = Vote { build: Build(42), stage: 3, verdict };
        let expected = (verdict != Verdict::Abstain).then_some(vote);
        assert_eq!(update.cast, CastAssignment::ThisProxy(expected), "{name}");
    }
    for invalid in [
        r#"{"together":true}"#,
        r#"{"condemned":[]}"#,
        r#"{"condemned":[],"cast":{"opinion":{"build":1,"stage":0,"word":"maybe"}},"together":true}"#,
    ] {
        assert!(parse(invalid).is_err(), "{invalid}");
    }
}

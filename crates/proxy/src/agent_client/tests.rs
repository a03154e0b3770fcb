//! Golden tests: the JSON that goes to the agent and what is read of its lines.

use std::collections::BTreeSet;

use garnetcrank_policy::api::{Build, Verdict};
use garnetcrank_vote_router::{AgentUpdate, CastAssignment, Vote};

use super::protocol::{BuildVerdict, UpdateLine, VoteReply, VoteRequest};

const WORDS: [(Verdict, &str); 4] = [
    (Verdict::Abstain, "none"),
    (Verdict::Advance, "on"),
    (Verdict::Hold, "hold"),
    (Verdict::RollBack, "back"),
];

#[test]
fn a_vote_is_sent_in_each_of_its_words() {
    for (verdict, word) in WORDS {
        let vote = Vote { build: Build(42), stage: 3, verdict };
        let request = VoteRequest { proxy_name: "f1", verdict: BuildVerdict::from(vote) };
        let golden = format!(r#"{{"front":"f1","opinion":{{"build":42,"stage":3,"word":"{word}"}}}}"#);
        assert_eq!(serde_json::to_string(&request).expect("JSON"), golden);
        let text = format!(r#"{{"build":42,"stage":3,"word":"{word}"}}"#);
        let read: BuildVerdict = serde_json::from_str(&text).expect("it is read");
        assert_eq!(Vote::from(read), vote);
    }
}

#[test]
fn the_reply_to_a_vote_is_read() {
    for passed_on in [true, false] {
        let reply: VoteReply =
            serde_json::from_str(&format!(r#"{{"heard":{passed_on}}}"#)).expect("it is read");
        assert_eq!(reply.passed_on, passed_on);
    }
    assert!(serde_json::from_str::<VoteReply>("{}").is_err());
}

#[test]
fn each_update_line_of_the_agent_is_read() {
    let read = |text: &str| serde_json::from_str::<UpdateLine>(text).map(AgentUpdate::from);
    let line = |text: &str| read(text).expect("it is read");
    let alone = line(r#"{"condemned":[],"together":false}"#);
    let other = CastAssignment::OtherProxy;
    assert_eq!(alone, AgentUpdate { condemned: BTreeSet::new(), cast: other, has_quorum: false });
    let together = line(r#"{"condemned":[41,42],"together":true}"#);
    let condemned = [Build(41), Build(42)].into();
    assert_eq!(together, AgentUpdate { condemned, cast: other, has_quorum: true });
    let nothing = line(r#"{"condemned":[],"cast":{"epoch":4,"opinion":null},"together":true}"#);
    assert_eq!(nothing.cast, CastAssignment::ThisProxy(None), "it casts and nobody votes");
    for (verdict, word) in WORDS {
        let opinion = format!(r#"{{"build":42,"stage":3,"word":"{word}"}}"#);
        let update =
            line(&format!(r#"{{"condemned":[],"cast":{{"epoch":4,"opinion":{opinion}}},"together":true}}"#));
        let vote = Vote { build: Build(42), stage: 3, verdict };
        let expected = (verdict != Verdict::Abstain).then_some(vote);
        assert_eq!(update.cast, CastAssignment::ThisProxy(expected), "{word}");
    }
    for bad in [
        r#"{"together":true}"#,
        r#"{"condemned":[]}"#,
        r#"{"condemned":[],"cast":{"opinion":{"build":1,"stage":0,"word":"maybe"}},"together":true}"#,
    ] {
        assert!(read(bad).is_err(), "{bad}");
    }
}

//! Golden tests: the JSON that goes to the agent and what is read of its lines. Agents of other versions speak it as well.

use super::*;

const WORDS: [(Verdict, &str); 4] =
    [(Verdict::None, "none"), (Verdict::On, "on"), (Verdict::Hold, "hold"), (Verdict::Back, "back")];

#[test]
fn a_verdict_goes_out_in_each_of_its_words() {
    for (verdict, word) in WORDS {
        let vote = (Build(42), 3, verdict);
        let said = Said { front: "f1", opinion: Opinion::of(vote) };
        let golden = format!(r#"{{"front":"f1","opinion":{{"build":42,"stage":3,"word":"{word}"}}}}"#);
        assert_eq!(serde_json::to_string(&said).expect("JSON"), golden);
        let opinion = format!(r#"{{"build":42,"stage":3,"word":"{word}"}}"#);
        assert_eq!(serde_json::from_str::<Opinion>(&opinion).expect("it is read").vote(), vote);
    }
}

#[test]
fn the_answer_to_a_verdict_is_read() {
    for heard in [true, false] {
        let answer: Heard = serde_json::from_str(&format!(r#"{{"heard":{heard}}}"#)).expect("it is read");
        assert_eq!(answer.heard, heard);
    }
    assert!(serde_json::from_str::<Heard>("{}").is_err());
}

#[test]
fn each_line_of_the_agent_is_read() {
    let read = |text: &str| serde_json::from_str::<Told>(text).map(Line::from);
    let line = |text: &str| read(text).expect("it is read");
    let alone = line(r#"{"condemned":[],"together":false}"#);
    assert_eq!(alone, Line { condemned: BTreeSet::new(), cast: None, together: false });
    let together = line(r#"{"condemned":[41,42],"together":true}"#);
    assert_eq!(together, Line { condemned: [Build(41), Build(42)].into(), cast: None, together: true });
    let nothing = line(r#"{"condemned":[],"cast":{"epoch":4,"opinion":null},"together":true}"#);
    assert_eq!(nothing.cast, Some(None), "it casts and nobody says anything");
    for (verdict, word) in WORDS {
        let opinion = format!(r#"{{"build":42,"stage":3,"word":"{word}"}}"#);
        let told =
            line(&format!(r#"{{"condemned":[],"cast":{{"epoch":4,"opinion":{opinion}}},"together":true}}"#));
        let vote = (verdict != Verdict::None).then_some((Build(42), 3, verdict));
        assert_eq!(told.cast, Some(vote), "{word}");
    }
    for bad in [
        r#"{"together":true}"#,
        r#"{"condemned":[]}"#,
        r#"{"condemned":[],"cast":{"opinion":{"build":1,"stage":0,"word":"maybe"}},"together":true}"#,
    ] {
        assert!(read(bad).is_err(), "{bad}");
    }
}

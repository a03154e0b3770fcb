//! Transcripts of the wire through the real binary: replies, recycled lists, malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_garnetcrank-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at the first malformed line.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn replies(input: &str) -> Vec<serde_json::Value> {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect()
}

/// The message of a run that must fail.
fn complaint(input: &str) -> (String, String) {
    let output = run(input);
    assert!(!output.status.success(), "accepted: {input}");
    (String::from_utf8(output.stderr).expect("UTF-8"), String::from_utf8(output.stdout).expect("UTF-8"))
}

const CONFIG: &str = r#"{"balancers":2,"grades":[
{"name":"look","effect":"repeatable","goalTime":400.0,"deadline":1000.0,"credit":1.0,"futureKey":[1]},
{"name":"book","effect":"by_key","dedupScope":"all","repeatWindow":3000.0,"goalTime":400.0,"deadline":1000.0},
{"name":"pay","effect":"once","goalTime":400.0,"deadline":1000.0,"credit":5.0}],
"kinds":["box"],"limits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfter":900.0},
"myZone":"north","registryMode":"pushed","resolution":5.0,"somethingNew":{"a":1},
"safety":{"answerSlack":20.0,"coldFrom":0.4,"drainGrace":500.0,"fall":2000.0,"fallMultiple":3.0,"warmAfter":3000.0},
"specifics":{"voteMode":"timer","ballotTtl":4000.0,"voteWait":800.0,"exposureWindow":3000.0,"spareTries":2.0,
"steps":[0.1,1.0],"mostShares":[0.2,1.0],"movesAfter":2500.0},"zones":["north","south"]}"#;

fn start(front: u32) -> String {
    let config = CONFIG.replace('\n', "");
    format!(
        "{{\"cmd\":\"newInstance\",\"front\":{front},\"initSeed\":7,\"config\":{config}}}\n{}\n{}\n{}\n",
        list(front, &["a:1", "b:1"]),
        format_args!(
            "{{\"cmd\":\"fleet\",\"front\":{front},\"index\":1,\"how\":\"SAVED\",\"rosterId\":{front}}}"
        ),
        format_args!(
            "{{\"cmd\":\"stepNews\",\"front\":{front},\"release\":4,\"wave\":1,\"course\":2,\"how\":0,\
             \"outcome\":\"pass\",\"limitShare\":1.0,\"behind\":100.0}}"
        )
    )
}

fn list(id: u32, machines: &[&str]) -> String {
    let rows: Vec<String> = machines
        .iter()
        .map(|m| {
            format!(
                "{{\"flavor\":\"box\",\"unitGroup\":0,\"dc\":\"north\",\"availability\":\"on\",\
                 \"machine\":\"{m}\",\"build\":4,\"rating\":1}}"
            )
        })
        .collect();
    format!("{{\"cmd\":\"directory\",\"rosterId\":{id},\"membersList\":[{}]}}", rows.join(","))
}

fn ingress(front: u32, id: u32, class: &str) -> String {
    format!(
        "{{\"cmd\":\"ingress\",\"front\":{front},\"opId\":{id},\"class\":\"{class}\",\
         \"clientDeadline\":2000.0,\"cost\":12.0,\"bits\":1,\"unheardOf\":true}}\n"
    )
}

fn batch(wall: f64, serial: u64, body: &str) -> String {
    format!("{{\"cmd\":\"mark\",\"wall\":{wall},\"serial\":{serial}}}\n{body}{{\"cmd\":\"yourTurn\"}}\n")
}

fn named<'a>(all: &'a [serde_json::Value], cmd: &str) -> Vec<&'a serde_json::Value> {
    all.iter().filter(|v| v["cmd"] == cmd).collect()
}

#[test]
fn an_empty_batch_is_answered_with_its_number() {
    let all = replies(&batch(8412.25, 41, ""));
    assert_eq!(all, [serde_json::json!({"cmd": "finished", "serial": 41})]);
}

#[test]
fn a_request_is_placed_and_its_outcome_ends_it() {
    let done = "{\"cmd\":\"done\",\"front\":3,\"opId\":9,\"roundNo\":0,\"machine\":\"a:1\",\
                \"outcome\":\"pass\",\"lag\":18.5,\"ended\":true}\n";
    let input =
        batch(1000.0, 1, &start(3)) + &batch(1005.0, 2, &ingress(3, 9, "look")) + &batch(1030.0, 3, done);
    let all = replies(&input);
    let places = named(&all, "place");
    assert_eq!(places.len(), 1);
    assert_eq!((&places[0]["front"], &places[0]["opId"]), (&3.into(), &9.into()));
    assert!(["a:1", "b:1"].contains(&places[0]["machine"].as_str().expect("a name")));
    assert_eq!(places[0]["tryFor"], 400.0);
    assert_eq!(named(&all, "finished").len(), 3);
    assert!(named(&all, "fail").is_empty() && named(&all, "turnAway").is_empty());
}

#[test]
fn a_list_number_is_resolved_where_it_stands_though_used_again_in_the_batch() {
    let use_list = "{\"cmd\":\"fleet\",\"front\":3,\"index\":2,\"how\":\"FULL\",\"rosterId\":5}\n";
    let body = format!(
        "{}\n{use_list}{}{}\n{use_list}{}",
        list(5, &["c:1"]),
        ingress(3, 1, "look"),
        list(5, &["d:1"]),
        ingress(3, 2, "look")
    );
    let all = replies(&(batch(1000.0, 1, &start(3)) + &batch(1005.0, 2, &body)));
    let machines: Vec<_> = named(&all, "place").iter().map(|p| p["machine"].clone()).collect();
    assert_eq!(machines, ["c:1", "d:1"]);
}

#[test]
fn an_instance_acts_alike_whatever_stands_beside_it() {
    let story = |others: bool| {
        let beside = |text: String| if others { text } else { String::new() };
        let mut input = batch(1000.0, 1, &(beside(start(1)) + &start(3) + &beside(start(8))));
        for i in 0..40u32 {
            let body =
                beside(ingress(1, 500 + i, "pay")) + &ingress(3, i, "look") + &beside(ingress(8, i, "book"));
            input += &batch(1005.0 + 5.0 * f64::from(i), 2 + u64::from(i), &body);
        }
        replies(&input).into_iter().filter(|v| v["front"] == 3).collect::<Vec<_>>()
    };
    let alone = story(false);
    assert_eq!(named(&alone, "place").len(), 40);
    assert_eq!(alone, story(true));
}

#[test]
fn a_stopped_instance_is_forgotten_and_may_start_again() {
    let again = format!("{{\"cmd\":\"retire\",\"front\":3}}\n{}", start(3));
    let stray = batch(1010.0, 3, &ingress(3, 2, "look"));
    let all = replies(
        &(batch(1000.0, 1, &(start(3) + &ingress(3, 1, "look"))) + &batch(1005.0, 2, &again) + &stray),
    );
    assert_eq!(named(&all, "place").len(), 2);
    let (message, _) = complaint(
        &(batch(1000.0, 1, &start(3)) + &batch(1005.0, 2, "{\"cmd\":\"retire\",\"front\":3}\n") + &stray),
    );
    assert!(message.contains("front 3"), "{message}");
}

#[test]
fn every_outcome_event_and_status_is_understood() {
    let mut body = String::new();
    for (i, outcome) in
        ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"].iter().enumerate()
    {
        body += &ingress(3, i as u32, "look");
        body += &format!(
            "{{\"cmd\":\"done\",\"front\":3,\"opId\":{i},\"roundNo\":0,\"machine\":\"a:1\",\
             \"outcome\":\"{outcome}\",\"lag\":1.5,\"usage\":[0.5]}}\n"
        );
        body += &format!(
            "{{\"cmd\":\"stepNews\",\"front\":3,\"how\":1,\"outcome\":\"{outcome}\",\"release\":4,\"course\":2}}\n"
        );
    }
    body += "{\"cmd\":\"aborted\",\"front\":3,\"opId\":77}\n{\"cmd\":\"ring\",\"front\":3,\"cookie\":1}\n\
             {\"cmd\":\"underWay\",\"front\":3,\"opId\":1,\"lag\":2.5,\"roundNo\":0,\"machine\":\"a:1\"}\n\
             {\"cmd\":\"healthResult\",\"front\":3,\"machine\":\"a:1\",\"lag\":1.0,\"outcome\":\"pass\",\"usage\":[1]}\n\
             {\"cmd\":\"whisper\",\"front\":3,\"sender\":1,\"octets\":\"68692037\"}\n\
             {\"cmd\":\"scorecard\",\"front\":3,\"lag\":21.5,\"class\":\"pay\",\"release\":4,\"errors\":4,\"behind\":9.0,\"count\":180}\n\
             {\"cmd\":\"reportedWrong\",\"front\":3,\"machine\":\"zz:9\",\"behind\":2400.0,\"class\":\"pay\"}\n\
             {\"cmd\":\"fleet\",\"front\":3,\"index\":9,\"how\":\"FAILED\",\"rosterId\":14}\n";
    let all = replies(&(batch(1000.0, 1, &start(3)) + &batch(1005.0, 2, &body)));
    assert_eq!(named(&all, "finished").len(), 2);
    assert!(named(&all, "broken").is_empty());
}

#[test]
fn malformed_input_is_named_and_ends_the_run_without_half_a_reply() {
    let good = batch(1000.0, 1, &start(3));
    let needs = |body: &str, words: &[&str]| {
        let (message, output) =
            complaint(&(good.clone() + &batch(1005.0, 2, &(ingress(3, 1, "look") + body))));
        for word in words {
            assert!(message.contains(word), "{word:?} is not in {message:?}");
        }
        assert_eq!(output.lines().last(), Some("{\"cmd\":\"finished\",\"serial\":1}"), "half a reply");
    };
    needs("{\"cmd\":\"ring\",\n", &["line"]);
    needs("{\"cmd\":\"earthquake\",\"front\":3}\n", &["line 9", "earthquake"]);
    needs("{\"cmd\":\"fleet\",\"front\":3,\"how\":\"FULL\",\"rosterId\":13}\n", &["line 9", "directory 13"]);
    needs("{\"cmd\":\"ring\",\"front\":44,\"cookie\":1}\n", &["line 9", "front 44"]);
    needs(&ingress(3, 2, "unheard-of"), &["line 9", "unheard-of"]);
    needs("{\"cmd\":\"ring\",\"cookie\":1}\n", &["line 9", "front"]);
    needs("{\"cmd\":\"whisper\",\"front\":3,\"sender\":1,\"octets\":\"6g\"}\n", &["line 9", "6g"]);
    needs("{\"cmd\":\"mark\",\"wall\":1.0,\"serial\":3}\n", &["line 9", "mark 3"]);
}

#[test]
fn a_missing_setting_is_named() {
    for key in
        ["balancers", "grades", "resolution", "limits", "safety", "specifics", "ballotTtl", "warmAfter"]
    {
        let (message, output) =
            complaint(&batch(1000.0, 1, &start(3)).replace(&format!("\"{key}\""), "\"gone\""));
        assert!(message.contains(key) && message.contains("line 2"), "{key}: {message}");
        assert!(output.is_empty());
    }
}

#[test]
fn a_line_outside_a_batch_is_refused() {
    let (message, _) = complaint("{\"cmd\":\"yourTurn\"}\n");
    assert!(message.contains("line 1") && message.contains("batch"), "{message}");
}

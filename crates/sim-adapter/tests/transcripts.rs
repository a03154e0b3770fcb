//! Batches sent to the compiled adapter: its replies, reused endpoint list ids and malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_garnetcrank-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    // The adapter may stop reading at the first malformed line.
    let _ = child.stdin.take().expect("standard input is not piped").write_all(input.as_bytes());
    child.wait_with_output().expect("failed to wait for the adapter")
}

/// Runs the adapter, which must succeed; returns the lines of its replies.
fn replies(input: &str) -> Vec<serde_json::Value> {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("standard output is not UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("reply line is not JSON")).collect()
}

/// Runs the adapter, which must fail; returns its standard error and standard output.
fn failing_run(input: &str) -> (String, String) {
    let output = run(input);
    assert!(!output.status.success(), "the adapter accepted invalid input: {input}");
    (
        String::from_utf8(output.stderr).expect("standard error is not UTF-8"),
        String::from_utf8(output.stdout).expect("standard output is not UTF-8"),
    )
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

/// Lines that start instance `front` with two endpoints of a released build.
fn start_instance(front: u32) -> String {
    let config = CONFIG.replace('\n', "");
    format!(
        "{{\"cmd\":\"newInstance\",\"front\":{front},\"initSeed\":7,\"config\":{config}}}\n{}\n{}\n{}\n",
        endpoint_list(front, &["a:1", "b:1"]),
        format_args!(
            "{{\"cmd\":\"fleet\",\"front\":{front},\"index\":1,\"how\":\"SAVED\",\"rosterId\":{front}}}"
        ),
        format_args!(
            "{{\"cmd\":\"stepNews\",\"front\":{front},\"release\":4,\"wave\":1,\"course\":2,\"how\":0,\
             \"outcome\":\"pass\",\"limitShare\":1.0,\"behind\":100.0}}"
        )
    )
}

fn endpoint_list(list_id: u32, endpoints: &[&str]) -> String {
    let rows: Vec<String> = endpoints
        .iter()
        .map(|endpoint| {
            format!(
                "{{\"flavor\":\"box\",\"unitGroup\":0,\"dc\":\"north\",\"availability\":\"on\",\
                 \"machine\":\"{endpoint}\",\"build\":4,\"rating\":1}}"
            )
        })
        .collect();
    format!("{{\"cmd\":\"directory\",\"rosterId\":{list_id},\"membersList\":[{}]}}", rows.join(","))
}

fn request(front: u32, id: u32, class: &str) -> String {
    format!(
        "{{\"cmd\":\"ingress\",\"front\":{front},\"opId\":{id},\"class\":\"{class}\",\
         \"clientDeadline\":2000.0,\"cost\":12.0,\"bits\":1,\"unheardOf\":true}}\n"
    )
}

fn batch(now: f64, serial: u64, body: &str) -> String {
    format!("{{\"cmd\":\"mark\",\"wall\":{now},\"serial\":{serial}}}\n{body}{{\"cmd\":\"yourTurn\"}}\n")
}

fn with_command<'a>(replies: &'a [serde_json::Value], cmd: &str) -> Vec<&'a serde_json::Value> {
    replies.iter().filter(|reply| reply["cmd"] == cmd).collect()
}

#[test]
fn the_reply_to_an_empty_batch_holds_only_its_serial_number() {
    let replies = replies(&batch(8412.25, 41, ""));
    assert_eq!(replies, [serde_json::json!({"cmd": "finished", "serial": 41})]);
}

#[test]
fn a_request_is_forwarded_once_and_finished_by_a_success() {
    let completed = "{\"cmd\":\"done\",\"front\":3,\"opId\":9,\"roundNo\":0,\"machine\":\"a:1\",\
                \"outcome\":\"pass\",\"lag\":18.5,\"ended\":true}\n";
    let input = batch(1000.0, 1, &start_instance(3))
        + &batch(1005.0, 2, &request(3, 9, "look"))
        + &batch(1030.0, 3, completed);
    let replies = replies(&input);
    let forwards = with_command(&replies, "place");
    assert_eq!(forwards.len(), 1);
    assert_eq!((&forwards[0]["front"], &forwards[0]["opId"]), (&3.into(), &9.into()));
    assert!(["a:1", "b:1"].contains(&forwards[0]["machine"].as_str().expect("machine is not a string")));
    assert_eq!(forwards[0]["tryFor"], 400.0);
    assert_eq!(with_command(&replies, "finished").len(), 3);
    assert!(with_command(&replies, "fail").is_empty() && with_command(&replies, "turnAway").is_empty());
}

/// Guards against an update that uses the wrong endpoint list: a batch may define one list id twice.
#[test]
fn an_endpoint_list_id_refers_to_the_latest_list_before_the_update() {
    let update = "{\"cmd\":\"fleet\",\"front\":3,\"index\":2,\"how\":\"FULL\",\"rosterId\":5}\n";
    let body = format!(
        "{}\n{update}{}{}\n{update}{}",
        endpoint_list(5, &["c:1"]),
        request(3, 1, "look"),
        endpoint_list(5, &["d:1"]),
        request(3, 2, "look")
    );
    let replies = replies(&(batch(1000.0, 1, &start_instance(3)) + &batch(1005.0, 2, &body)));
    let endpoints: Vec<_> =
        with_command(&replies, "place").iter().map(|forward| forward["machine"].clone()).collect();
    assert_eq!(endpoints, ["c:1", "d:1"]);
}

#[test]
fn the_replies_of_an_instance_do_not_depend_on_other_instances() {
    let replies_of_instance = |with_others: bool| {
        let other = |lines: String| if with_others { lines } else { String::new() };
        let mut input =
            batch(1000.0, 1, &(other(start_instance(1)) + &start_instance(3) + &other(start_instance(8))));
        for i in 0..40u32 {
            let body =
                other(request(1, 500 + i, "pay")) + &request(3, i, "look") + &other(request(8, i, "book"));
            input += &batch(1005.0 + 5.0 * f64::from(i), 2 + u64::from(i), &body);
        }
        replies(&input).into_iter().filter(|reply| reply["front"] == 3).collect::<Vec<_>>()
    };
    let alone = replies_of_instance(false);
    assert_eq!(with_command(&alone, "place").len(), 40);
    assert_eq!(alone, replies_of_instance(true));
}

#[test]
fn a_stopped_instance_rejects_events_until_it_is_restarted() {
    let restart = format!("{{\"cmd\":\"retire\",\"front\":3}}\n{}", start_instance(3));
    let next_request = batch(1010.0, 3, &request(3, 2, "look"));
    let replies = replies(
        &(batch(1000.0, 1, &(start_instance(3) + &request(3, 1, "look")))
            + &batch(1005.0, 2, &restart)
            + &next_request),
    );
    assert_eq!(with_command(&replies, "place").len(), 2);
    let (message, _) = failing_run(
        &(batch(1000.0, 1, &start_instance(3))
            + &batch(1005.0, 2, "{\"cmd\":\"retire\",\"front\":3}\n")
            + &next_request),
    );
    assert!(message.contains("front 3"), "{message}");
}

#[test]
fn every_event_and_outcome_of_the_protocol_is_accepted() {
    let mut body = String::new();
    for (i, outcome) in
        ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"].iter().enumerate()
    {
        body += &request(3, i as u32, "look");
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
    let replies = replies(&(batch(1000.0, 1, &start_instance(3)) + &batch(1005.0, 2, &body)));
    assert_eq!(with_command(&replies, "finished").len(), 2);
    assert!(with_command(&replies, "broken").is_empty());
}

#[test]
fn malformed_input_is_reported_and_leaves_no_partial_reply() {
    let valid_batch = batch(1000.0, 1, &start_instance(3));
    let assert_rejected = |body: &str, expected_parts: &[&str]| {
        let (message, output) =
            failing_run(&(valid_batch.clone() + &batch(1005.0, 2, &(request(3, 1, "look") + body))));
        for part in expected_parts {
            assert!(message.contains(part), "message {message:?} does not contain {part:?}");
        }
        assert_eq!(
            output.lines().last(),
            Some("{\"cmd\":\"finished\",\"serial\":1}"),
            "the reply to the rejected batch was written in part"
        );
    };
    assert_rejected("{\"cmd\":\"ring\",\n", &["line"]);
    assert_rejected("{\"cmd\":\"earthquake\",\"front\":3}\n", &["line 9", "earthquake"]);
    assert_rejected(
        "{\"cmd\":\"fleet\",\"front\":3,\"how\":\"FULL\",\"rosterId\":13}\n",
        &["line 9", "directory 13"],
    );
    assert_rejected("{\"cmd\":\"ring\",\"front\":44,\"cookie\":1}\n", &["line 9", "front 44"]);
    assert_rejected(&request(3, 2, "unheard-of"), &["line 9", "unheard-of"]);
    assert_rejected("{\"cmd\":\"ring\",\"cookie\":1}\n", &["line 9", "front"]);
    assert_rejected("{\"cmd\":\"whisper\",\"front\":3,\"sender\":1,\"octets\":\"6g\"}\n", &["line 9", "6g"]);
    assert_rejected("{\"cmd\":\"mark\",\"wall\":1.0,\"serial\":3}\n", &["line 9", "mark 3"]);
}

#[test]
fn a_missing_setting_is_reported_by_its_key() {
    for key in
        ["balancers", "grades", "resolution", "limits", "safety", "specifics", "ballotTtl", "warmAfter"]
    {
        let (message, output) =
            failing_run(&batch(1000.0, 1, &start_instance(3)).replace(&format!("\"{key}\""), "\"gone\""));
        assert!(message.contains(key) && message.contains("line 2"), "{key}: {message}");
        assert!(output.is_empty());
    }
}

#[test]
fn a_line_outside_a_batch_is_rejected() {
    let (message, _) = failing_run("{\"cmd\":\"yourTurn\"}\n");
    assert!(message.contains("line 1") && message.contains("batch"), "{message}");
}

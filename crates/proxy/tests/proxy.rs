//! The whole program on loopback, between small stand-ins for clients, machines, discovery and the platform.

mod consensus;
mod workers;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};

use garnetcrank_test_support::scripted_servers::*;

fn ok(body: &str) -> EndpointBehavior {
    EndpointBehavior::Respond(200, "X-Made-By: machine\r\n", body.as_bytes().to_vec())
}

/// Discovery, a platform and a plan for these machines, of a released build.
fn around(machines: &[SocketAddr]) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let members: Vec<String> =
        machines.iter().enumerate().map(|(i, a)| member(&format!("s-{i}"), *a, 4, "Ready")).collect();
    standing(&members, state(4, 1, "COMPLETE", 1.0))
}

/// The same for a machine of the released build and one of a build on trial that may take everything.
fn on_trial(old: &ScriptedEndpoint, new: &ScriptedEndpoint) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let members = [member("s-0", old.address, 4, "Ready"), member("s-1", new.address, 5, "Ready")];
    standing(&members, state(5, 0, "IN_PROGRESS", 1.0))
}

fn standing(members: &[String], news: String) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let known = list(1, true, members);
    let discovery = ScriptedStream::start(&known);
    let platform = ScriptedStream::start(&progress(&news));
    let plan = ProxySetup::new(&known, news, &discovery, &platform);
    (discovery, platform, plan)
}

/// The program's end on a configuration on which it must not serve.
fn refuses(text: &str) -> Output {
    let path = config_file(text);
    let output =
        Command::new(program()).env_clear().env("RELAY_CONFIG", &path).output().expect("the program runs");
    let _ = std::fs::remove_file(path);
    output
}

/// The same on a file of extras beside a whole configuration.
fn refuses_with(extras: &str) -> Output {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let (path, extras) = (config_file(&plan.config(free_address())), config_file(extras));
    let output = Command::new(program())
        .env_clear()
        .env("RELAY_CONFIG", &path)
        .arg("--extras")
        .arg(&extras)
        .output()
        .expect("the program runs");
    let _ = (std::fs::remove_file(path), std::fs::remove_file(extras));
    output
}

#[test]
fn a_calm_exchange_passes_everything_through_unchanged() {
    let machine = ScriptedEndpoint::start(ok("an answer\0with any bytes"));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    for round in 0..3 {
        let text = request("POST", "/book/7?x=%20y", 5000, "body & more");
        let answer = client.exchange(&text).expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"an answer\0with any bytes"[..]));
        assert_eq!(answer.header("x-made-by"), Some("machine"));
        let got = machine.requests().pop().expect("a request");
        assert_eq!(got.first, "POST /book/7?x=%20y HTTP/1.1");
        assert_eq!(got.body, b"body & more");
        assert!(text.contains(got.header("request-id").expect("an id")));
        let wait: u64 = got.header("request-timeout-ms").and_then(|t| t.parse().ok()).expect("a time");
        assert!((1..=5000).contains(&wait), "{wait} ms in round {round}");
        // A connection rests after an answer, as a second one may come late; it is used again however long that takes.
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert_eq!(machine.connections(), 1, "a kept connection is used again");
}

#[test]
fn a_request_may_come_in_pieces_and_the_next_one_right_behind_it() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    let (first, second) = (request("POST", "/book", 9000, "one"), request("POST", "/book", 9000, "two"));
    for byte in first.chars() {
        client.send(&byte.to_string());
    }
    client.send(&second);
    for body in [b"one", b"two"] {
        assert_eq!(client.read().expect("an answer").status(), 200);
        assert!(machine.requests().iter().any(|r| r.body == body));
    }
}

#[test]
fn what_cannot_be_understood_gets_a_4xx_a_closed_connection_and_no_machine() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let good = request("GET", "/look", 1000, "");
    let long = format!("GET /look HTTP/1.1\r\nHost: x\r\nX: {}\r\n\r\n", "y".repeat(20_000));
    for (text, status) in [
        ("nonsense\r\n\r\n".to_owned(), 400),
        (good.replace("Request-Id", "Other"), 400),
        (good.replace("/look", "/unheard"), 404),
        (good.replace("acme", "nobody"), 400),
        (good.replace("1000", "soon"), 400),
        (good.replace("Host: service.internal\r\n", ""), 400),
        (
            request("POST", "/book", 1000, "ab")
                .replace("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 3"),
            400,
        ),
        (
            request("POST", "/book", 1000, "ab")
                .replace("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked"),
            400,
        ),
        (request("POST", "/book", 1000, "ab").replace("Content-Length: 2", "Content-Length: 99999999"), 413),
        (request("POST", "/book", 1000, "ab").replace("Content-Length: 2", "Transfer-Encoding: gzip"), 501),
        (good.replace("HTTP/1.1", "HTTP/1.0"), 505),
        (good.replace("GET", "HEAD"), 501),
        (long, 431),
    ] {
        let mut client = front.client();
        let answer = client.exchange(&text).unwrap_or_else(|| panic!("no answer to {text:?}"));
        assert_eq!(answer.status(), status, "{text:?}");
        assert!(client.is_closed(), "still open after {text:?}");
    }
    assert!(machine.requests().is_empty());
    assert_eq!(front.client().exchange(&good).expect("an answer").status(), 200, "it serves on");
}

#[test]
fn a_request_that_never_comes_whole_is_given_up() {
    let (_discovery, _platform, plan) = around(&[]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    let answer = client.exchange("POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
    assert_eq!(answer.expect("an answer").status(), 408);
    assert!(client.is_closed());
}

#[test]
fn each_way_in_which_an_attempt_can_end_is_told_apart() {
    // Where an attempt may have run, a request that must not run twice is failed and never sent again.
    for (does, status) in [
        (EndpointBehavior::Respond(500, "", Vec::new()), 502),
        (EndpointBehavior::Respond(503, "", Vec::new()), 502),
        (EndpointBehavior::Close, 502),
        (EndpointBehavior::SendRaw(b"no such protocol\r\n\r\n".to_vec()), 502),
        (
            EndpointBehavior::SendRaw(
                b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on".to_vec(),
            ),
            502,
        ),
        (EndpointBehavior::SendRaw(b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello".to_vec()), 502),
        (EndpointBehavior::SendRaw([b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'y'; 20_000]].concat()), 502),
        (EndpointBehavior::SendRaw(b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(50)), 502),
        // Cut short, it would look whole: nothing says how long it is.
        (EndpointBehavior::SendRawAndClose("HTTP/1.1 200 OK\r\n\r\nhalf an ans"), 502),
        (EndpointBehavior::SendRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf an ans"), 502),
        (EndpointBehavior::Respond(200, "", vec![b'x'; 70_000]), 502),
        (EndpointBehavior::Respond(503, "Not-Started: 1\r\n", Vec::new()), 503),
        (EndpointBehavior::Respond(504, "Not-Started: 1\r\n", Vec::new()), 503),
    ] {
        let machine = ScriptedEndpoint::start(does.clone());
        let (_discovery, _platform, plan) = around(&[machine.address]);
        let front = RunningProxy::start(&plan);
        let answer = front.client().exchange(&request("POST", "/pay", 5000, "x")).expect("an answer");
        assert_eq!(answer.status(), status, "{does:?}");
        let sent = machine.requests().len();
        let expected = if status == 502 { 1..=1 } else { 1..=3 };
        assert!(expected.contains(&sent), "sent {sent} times: {does:?}");
        assert_eq!(answer.header("retry-after").is_some(), status == 503, "{does:?}");
    }
}

#[test]
fn a_dead_machine_never_ran_anything_and_the_request_goes_elsewhere() {
    // Bound and not listening: refused for as long as the test runs, and nobody else's meanwhile.
    let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    held.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let dead = held.local_addr().expect("an address").as_socket().expect("with a port");
    let alive = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, plan) = around(&[dead, alive.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("POST", "/pay", 9000, "x")).expect("an answer").status(), 200);
    }
    assert_eq!(alive.requests().len(), 20);
}

#[test]
fn a_silent_machine_costs_a_final_answer_in_time_and_never_a_second_one() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    let answer = client.exchange(&request("POST", "/pay", 300, "x")).expect("an answer");
    assert_eq!(answer.status(), 502);
    // The late answer of the first must reach nobody, least of all the next request.
    machine.release();
    machine.set_behavior(ok("the second"));
    let answer = client.exchange(&request("POST", "/book", 9000, "x")).expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"the second"[..]));
}

#[test]
fn an_answer_that_came_in_time_is_passed_on_by_a_process_that_stood_still() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    client.send(&request("POST", "/pay", 1_000, "x"));
    wait_until("the request at the machine", || machine.requests().len() == 1);
    front.signal("STOP");
    machine.release();
    // The answer lies unread while the request's time runs out, and both are found in one turn.
    std::thread::sleep(std::time::Duration::from_millis(1_200));
    front.signal("CONT");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body), (200, b"late".to_vec()));
    assert_eq!(machine.requests().len(), 1);
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along_and_holds_nothing_up() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    for gone in 1..=5 {
        let mut client = front.client();
        client.send(&request("GET", "/look", 20_000, ""));
        wait_until("the request at the machine", || machine.requests().len() == gone);
        drop(client);
    }
    machine.set_behavior(ok("yes"));
    assert_eq!(front.client().look().status(), 200);
    wait_until("five clients counted as gone", || {
        front.signal("USR1");
        let log = front.log();
        log.contains(" left=5 ") && log.contains(" withdrawn=5 ")
    });
}

#[test]
fn a_client_that_leaves_in_the_same_breath_is_noticed_too() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::Ignore);
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    for _ in 0..5 {
        // Its end comes together with its request, before the front has read either.
        front.signal("STOP");
        let mut client = front.client();
        client.send(&request("GET", "/look", 20_000, ""));
        drop(client);
        front.signal("CONT");
    }
    wait_until("five clients counted as gone", || {
        front.signal("USR1");
        front.log().contains(" left=5 ")
    });
}

#[test]
fn a_draining_machine_gets_nothing_new_and_a_new_one_its_share() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (discovery, _platform, plan) = around(&[old.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    assert_eq!(client.look().body, b"old");
    let change = [member("s-0", old.address, 4, "Terminating"), member("s-9", new.address, 4, "Ready")];
    discovery.publish(&list(2, false, &change), &list(2, true, &change));
    wait_until("answers from the new machine", || client.look().body == b"new");
    let sent = old.requests().len();
    for _ in 0..20 {
        assert_eq!(client.look().body, b"new");
    }
    assert_eq!(old.requests().len(), sent);
}

#[test]
fn a_machine_that_moves_is_found_at_its_new_address() {
    let (before, after) = (ScriptedEndpoint::start(ok("before")), ScriptedEndpoint::start(ok("after")));
    let (discovery, _platform, plan) = around(&[before.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    assert_eq!(client.look().body, b"before");
    let change = [member("s-0", after.address, 4, "Ready")];
    discovery.publish(&list(2, false, &change), &list(2, true, &change));
    wait_until("answers from the new address", || client.look().body == b"after");
}

#[test]
fn a_cap_of_nothing_keeps_requests_off_a_build_on_trial() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, platform, plan) = on_trial(&old, &new);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    wait_until("the build on trial is used", || {
        client.exchange(&request("GET", "/look", 9000, "")).is_some() && !new.requests().is_empty()
    });
    let lower = progress(&state(5, 0, "ROLLING_BACK", 0.0));
    platform.publish(&lower, &lower);
    wait_until("the lower cap is known", || front.log().contains("RollingBack"));
    let sent = new.requests().len();
    for _ in 0..20 {
        assert_eq!(client.look().body, b"old");
    }
    assert_eq!(new.requests().len(), sent);
}

#[test]
fn a_failing_build_is_voted_back_and_the_answer_is_news() {
    let (old, new) = (
        ScriptedEndpoint::start(ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    );
    let (_discovery, platform, plan) = on_trial(&old, &new);
    platform.answer_votes(200, &plan.news);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    let voted = |ruling: &str| platform.votes().iter().any(|v| v.contains(ruling));
    wait_until("a vote to hold, then one back", || {
        client.look();
        if voted("HOLD") {
            platform.answer_votes(200, &state(5, 0, "ROLLING_BACK", 0.0));
        }
        voted("ROLLBACK")
    });
    assert!(platform.votes()[0].contains(r#""release":5,"tranche":0,"ruling":"HOLD""#));
    wait_until("the answer is taken as news", || front.log().contains("RollingBack"));
}

#[test]
fn silent_discovery_and_platform_are_noticed_and_made_anew() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (discovery, platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    discovery.set_silent(true);
    platform.set_silent(true);
    wait_until("both are found silent", || {
        let log = front.log();
        log.contains("discovery: no sign of life") && log.contains("platform: no sign of life")
    });
    let mut client = front.client();
    assert_eq!(client.look().status(), 200);
    discovery.set_silent(false);
    platform.set_silent(false);
    discovery.disconnect_all();
    platform.disconnect_all();
    wait_until("both are connected again", || {
        front.log().matches("discovery: connected").count() > 1
            && front.log().matches("platform: connected").count() > 1
    });
    assert!(discovery.requested_targets().iter().all(|t| t.starts_with("/v1/servers?stream=1&index=")));
}

#[test]
fn news_that_cannot_be_read_is_logged_and_the_connection_made_anew() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (discovery, platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let (asked, heard) = (discovery.requested_targets().len(), platform.requested_targets().len());
    discovery.publish("{\"revision\":", &plan.known);
    platform.publish("][", &progress(&plan.news));
    wait_until("new connections", || {
        discovery.requested_targets().len() > asked && platform.requested_targets().len() > heard
    });
    assert!(front.log().contains("can't be read"));
    assert_eq!(front.client().look().status(), 200);
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (discovery, _platform, mut plan) = around(&[machine.address]);
    plan.known = list(0, true, &[]);
    plan.settings["registryMode"] = "on_request".into();
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    wait_until("an answer from a machine of the list", || {
        client.exchange(&request("GET", "/look", 9000, "")).is_some_and(|a| a.status() == 200)
    });
    assert!(!discovery.requested_targets().is_empty());
}

#[test]
fn the_word_to_stop_loses_nothing_that_was_taken() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let mut front = RunningProxy::start(&plan);
    let (mut held, mut kept) = (front.client(), front.client());
    held.send(&request("GET", "/look", 25_000, ""));
    wait_until("the request at the machine", || machine.requests().len() == 1);
    front.signal("TERM");
    wait_until("the front drains", || front.log().contains("draining"));
    // Clients still come, on kept connections and on new ones; one kept idle stays open for a while.
    machine.set_behavior(ok("still here"));
    std::thread::sleep(std::time::Duration::from_millis(100));
    let answer = kept.exchange(&request("GET", "/look", 9000, "")).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(kept.is_closed());
    machine.release();
    assert_eq!(held.read().expect("an answer").body, b"late");
    assert!(front.exit().success());
    wait_until("its counters", || front.log().contains("counters requests="));
    assert!(front.log().contains("counters requests=2 passed=2 "), "{}", front.log());
}

#[test]
fn half_a_request_at_the_word_to_stop_is_read_and_answered_before_the_exit() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let mut front = RunningProxy::start(&plan);
    let mut client = front.client();
    let text = request("POST", "/book", 9000, "a body that comes in two halves");
    let (half, rest) = text.split_at(text.len() - 10);
    client.send(half);
    front.signal("TERM");
    wait_until("nobody is taken any more", || TcpStream::connect(front.address).is_err());
    // A front that takes half a request for none is gone within a few sweeps; time alone lets no sound one fail.
    std::thread::sleep(std::time::Duration::from_millis(200));
    client.send(rest);
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.is_closed() && front.exit().success());
    wait_until("its last words", || front.log().contains("counters requests="));
    assert!(!front.log().contains("with requests unanswered"), "{}", front.log());
}

#[test]
fn a_request_that_no_machine_answers_gets_its_answer_before_the_process_may_be_killed() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::Ignore);
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let mut front = RunningProxy::start(&plan);
    let mut client = front.client();
    client.send(&request("POST", "/pay", 25_000, "x"));
    wait_until("the request at the machine", || machine.requests().len() == 1);
    front.signal("TERM");
    // Long before its own time, for it is not what the process is given.
    assert_eq!(client.read().expect("an answer").status(), 504);
    assert!(client.is_closed() && front.exit().success());
    wait_until("its counters", || front.log().contains("counters requests="));
    assert!(front.log().contains(" overdue=1 "), "{}", front.log());
    assert_eq!(machine.requests().len(), 1, "what may have run was sent again");
}

#[test]
fn signals_while_the_configuration_is_read_end_nothing() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let text = plan.config(free_address());
    // A pipe holds the reader until the test writes.
    let path = config_file("");
    std::fs::remove_file(&path).expect("a free name");
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    let program = Command::new(program())
        .env_clear()
        .env("RELAY_CONFIG", &path)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).expect("it reads its configuration");
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM"] {
        let sent = Command::new("kill").args([signal, &program.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
    // Read again it is a file.
    std::fs::rename(config_file(&text), &path).expect("the file is replaced");
    std::io::Write::write_all(&mut pipe, text.as_bytes()).expect("written");
    drop(pipe);
    let output = program.wait_with_output().expect("its end");
    let _ = std::fs::remove_file(&path);
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{:?}: {log}", output.status);
    assert!(log.contains("draining") && log.contains("stopped"), "{log}");
}

#[test]
fn a_client_whose_idle_connection_is_closed_at_the_end_comes_again_and_is_answered() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    // It has a tenth of a second to come again, which a busy host may take from it; not ten times in a row.
    let answered = (0..10).any(|_| {
        let front = RunningProxy::start(&plan);
        let mut client = front.client();
        assert_eq!(client.look().status(), 200);
        front.signal("TERM");
        assert!(client.is_closed(), "an answer to no request");
        let Ok(again) = TcpStream::connect(front.address) else { return false };
        TestClient::on(again).exchange(&request("GET", "/look", 9000, "")).is_some_and(|a| a.status() == 200)
    });
    assert!(answered, "nobody listens any more once idle connections are closed");
}

#[test]
fn it_starts_again_at_once_under_the_same_address() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, mut plan) = around(&[machine.address]);
    let first = RunningProxy::start(&plan);
    plan.listen = Some(first.address);
    let mut client = first.client();
    assert_eq!(client.look().status(), 200);
    first.signal("KILL");
    assert!(client.is_closed());
    drop(first);
    let second = RunningProxy::start(&plan);
    assert_eq!(second.client().look().status(), 200);
}

#[test]
fn with_descriptors_running_out_it_refuses_and_lives() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, mut plan) = around(&[machine.address]);
    plan.sockets = 64;
    let front = RunningProxy::start(&plan);
    let mut clients: Vec<TestClient> = (0..120).map(|_| front.client()).collect();
    for client in &mut clients {
        client.send(&request("GET", "/look", 1500, ""));
    }
    // Every one of them gets a final answer, though only few can be held at once.
    let mut refused = 0;
    for client in &mut clients {
        let status = client.read().expect("an answer").status();
        assert!([502, 503, 504].contains(&status), "{status}");
        refused += usize::from(status == 503);
    }
    assert!(refused > 0);
    machine.set_behavior(ok("yes"));
    drop(clients);
    wait_until("it serves again", || {
        front.client().exchange(&request("GET", "/look", 9000, "")).is_some_and(|a| a.status() == 200)
    });
}

#[test]
fn a_streamed_answer_is_passed_on_as_it_comes() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::Stream(vec!["one", "two"], true));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    client.send(&request("GET", "/tail", 5000, ""));
    machine.release();
    let mut seen = Vec::new();
    while !seen.windows(3).any(|w| w == b"one") {
        let part = client.read_at_most(1000);
        assert!(!part.is_empty(), "ended early");
        seen.extend(part);
    }
    assert!(!seen.windows(3).any(|w| w == b"two"), "held back until whole");
    machine.release();
    machine.release();
    while !seen.ends_with(b"0\r\n\r\n") {
        let part = client.read_at_most(1000);
        assert!(!part.is_empty(), "ended early");
        seen.extend(part);
    }
}

#[test]
fn a_stream_that_breaks_is_seen_to_be_incomplete() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::Stream(vec!["one"], false));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    client.send(&request("GET", "/tail", 5000, ""));
    machine.release();
    machine.release();
    assert!(client.read().is_none(), "it looked whole");
}

#[test]
fn a_wrong_configuration_is_named_and_nothing_starts() {
    let (discovery, platform, plan) = around(&[]);
    let good = plan.config(free_address());
    let complaint = |text: &str| {
        let output = refuses(text);
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    for (from, to, named) in [
        ("\"seed\":\"8c", "\"seed\":\"zz", "seed"),
        ("\"sockets\":1024", "\"sockets\":9", "limits.sockets"),
        ("\"memory_mb\":192", "\"memory_mb\":\"much\"", "limits.memory_mb"),
        ("\"mode\":\"COMPLETE\"", "\"mode\":\"ODD\"", "pipeline.news.mode"),
        ("\"listen\"", "\"gone\"", "listen"),
        ("\"discovery\"", "\"gone\"", "discovery"),
        ("\"known\"", "\"gone\"", "known"),
        ("\"connectTimeout\":250.0", "\"connectTimeout\":-1", "limits.connectTimeout"),
        ("\"voteMode\":\"timer\"", "\"voteMode\":\"dice\"", "specifics.voteMode"),
        ("\"maxAttempts\":3", "\"maxAttempts\":0", "limits.maxAttempts"),
    ] {
        assert!(good.contains(from), "{from} is not in the configuration");
        let message = complaint(&good.replace(from, to));
        assert!(message.contains(named), "{named} is not in {message:?}");
    }
    let output = Command::new(program()).env_clear().output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("RELAY_CONFIG is not set"));
    drop((discovery, platform));
}

#[test]
fn an_address_in_use_is_a_plain_message() {
    let (_discovery, _platform, plan) = around(&[]);
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let output = refuses(&plan.config(taken.local_addr().expect("an address")));
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("listen: "));
}

#[test]
fn a_new_configuration_moves_discovery_and_platform_under_load_and_undoes_nothing() {
    let (first, second) = (ScriptedEndpoint::start(ok("first")), ScriptedEndpoint::start(ok("second")));
    let (discovery, platform, mut plan) = around(&[first.address]);
    // What the environment said at the start does not outlive the file.
    let front = RunningProxy::start_with(&plan, &[("RELAY_DISCOVERY", &discovery.address.to_string())]);
    let mut client = front.client();
    assert_eq!(client.look().body, b"first");
    for round in 2..5 {
        let machine = if round % 2 == 0 { &second } else { &first };
        let now = list(round, true, &[member("s-0", machine.address, 4, "Ready")]);
        let (to, platform_to) = (ScriptedStream::start(&now), ScriptedStream::start(&progress(&plan.news)));
        // The file itself holds the list and the state of the start, which are old by now.
        (plan.discovery, plan.platform) = (to.address, platform_to.address);
        front.reload(&plan.config(front.address));
        let expected: &[u8] = if round % 2 == 0 { b"second" } else { b"first" };
        wait_until("answers by the list of the new address", || client.look().body == expected);
        wait_until("news from the new platform", || !platform_to.requested_targets().is_empty());
        let asked = to.requested_targets();
        assert!(asked[0].ends_with(&format!("index={}", round - 1)), "{asked:?}");
    }
    let older = [member("s-0", free_address(), 4, "Ready")];
    plan.known = list(1, true, &older);
    front.reload(&plan.config(front.address));
    wait_until("the fourth reload", || front.log().matches("reload: discovery at").count() == 4);
    for _ in 0..20 {
        assert_eq!((client.look().status(), client.look().body), (200, b"second".to_vec()));
    }
    assert_eq!(
        (discovery.requested_targets().len(), platform.requested_targets().len()),
        (1, 1),
        "the old addresses are let go"
    );
}

#[test]
fn a_mute_agent_after_a_reload_is_left_for_a_new_connection_at_once() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, _platform, mut plan) = around(&[old.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    assert_eq!(client.look().body, b"old");
    let moved = ScriptedStream::start(&list(2, true, &[member("s-9", new.address, 4, "Ready")]));
    moved.set_silent(true);
    plan.discovery = moved.address;
    front.reload(&plan.config(front.address));
    wait_until("the first connection there", || moved.requested_targets().len() == 1);
    moved.set_silent(false); // on connections to come
    wait_until("answers by the list of the new address", || client.look().body == b"new");
    assert!(front.log().contains("discovery: not a word on a new connection"), "{}", front.log());
    assert!(!front.log().contains("discovery: no sign of life"), "it waited for a sign of life");
}

#[test]
fn a_faulty_or_missing_configuration_changes_nothing_and_is_named() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, mut plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let good = plan.config(front.address);
    front.reload(&good.replace("\"listen\"", "\"gone\""));
    wait_until("the missing key is named", || {
        front.log().contains("reload: ") && front.log().contains("listen is missing")
    });
    front.reload("{\"name\"");
    wait_until("half a file is refused", || front.log().matches("all stays as it was").count() == 2);
    front.forget_config();
    wait_until("a missing file is refused", || front.log().matches("all stays as it was").count() == 3);
    plan.sockets = 512;
    front.reload(&plan.config(front.address));
    wait_until("what needs a restart is named", || {
        front.log().contains("limits.sockets: a new value counts from the next start on")
    });
    assert_eq!(front.client().look().status(), 200);
}

#[test]
fn what_a_good_answer_brings_along_reaches_nobody() {
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    for extra in [good, "\0\x01 noise", "HTTP/1.1 500 X\r\n\r\n"] {
        let machine =
            ScriptedEndpoint::start(EndpointBehavior::SendRaw(format!("{good}{extra}").into_bytes()));
        let (_discovery, _platform, plan) = around(&[machine.address]);
        let front = RunningProxy::start(&plan);
        let mut client = front.client();
        for served in 1..=3 {
            assert_eq!((client.look().status(), machine.requests().len()), (200, served), "{extra:?}");
        }
        assert_eq!(machine.connections(), 3, "used again after {extra:?}");
    }
    let interim = format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\n\r\n{good}");
    let machine = ScriptedEndpoint::start(EndpointBehavior::SendRaw(interim.into_bytes()));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    assert_eq!(front.client().look().body, b"good");
}

#[test]
fn a_silent_crowd_takes_no_places_and_is_turned_away() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, mut plan) = around(&[machine.address]);
    plan.sockets = 64;
    let front = RunningProxy::start(&plan);
    let mut crowd: Vec<TestClient> = (0..80).map(|_| front.client()).collect();
    for _ in 0..5 {
        assert_eq!(front.client().look().status(), 200);
    }
    assert!(crowd.iter_mut().all(TestClient::is_closed), "a silent client was answered");
}

#[test]
fn clients_that_ask_once_and_stay_fill_no_more_than_half_of_the_places() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, mut plan) = around(&[machine.address]);
    plan.sockets = 64;
    let front = RunningProxy::start(&plan);
    let (mut staying, mut closed) = (Vec::new(), 0);
    for _ in 0..60 {
        let mut client = front.client();
        let answer = client.look();
        assert_eq!(answer.status(), 200);
        closed += usize::from(answer.header("connection") == Some("close"));
        staying.push(client);
    }
    assert!((30..60).contains(&closed), "{closed} of 60 connections were closed with the answer");
    front.signal("USR1");
    wait_until("the counters", || front.log().contains("counters"));
    assert!(front.log().contains(" accepts_paused=0 "), "clients had to wait");
    assert!(staying.iter_mut().all(TestClient::is_closed), "idle connections end by themselves");
}

#[test]
fn a_request_named_like_an_open_one_never_reaches_a_machine() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let (text, mut first, mut second) = (request("GET", "/look", 9000, ""), front.client(), front.client());
    first.send(&text);
    wait_until("the request at the machine", || machine.requests().len() == 1);
    assert_eq!(second.exchange(&text).expect("an answer").status(), 409);
    assert!(second.is_closed());
    machine.release();
    assert_eq!(first.read().expect("an answer").body, b"late");
    assert_eq!(machine.requests().len(), 1);
}

#[test]
fn dripping_is_no_progress() {
    let (_discovery, _platform, plan) = around(&[]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    client.send("GET /look HTTP/1.1\r\nHost: x\r\nX: ");
    wait_until("the connection ends", || {
        std::thread::sleep(std::time::Duration::from_millis(50));
        !client.send("y")
    });
    wait_until("it is counted as late", || {
        front.signal("USR1");
        front.log().contains(" bad_late=1 ")
    });
}

#[test]
fn a_huge_body_is_turned_away_while_usual_clients_are_served() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    let mut usual = front.client();
    for _ in 0..3 {
        let mut client = front.client();
        client.send(
            &request("POST", "/book", 9000, "").replace("Content-Length: 0", "Content-Length: 60000000"),
        );
        let block = "x".repeat(1_000_000);
        let taken = (0..60).take_while(|_| client.send(&block)).count();
        assert!(taken < 60, "all of it was read");
        assert_eq!(usual.look().status(), 200);
    }
    wait_until("they are counted as too large", || {
        front.signal("USR1");
        front.log().contains(" bad_large=3 ")
    });
    assert_eq!(machine.requests().len(), 3);
}

#[test]
fn silent_clients_make_way_for_the_connections_of_held_requests() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, mut plan) = around(&[machine.address]);
    plan.sockets = 64;
    let front = RunningProxy::start(&plan);
    let _crowd: Vec<TestClient> = (0..31).map(|_| front.client()).collect();
    let mut usual: Vec<TestClient> = (0..15).map(|_| front.client()).collect();
    for client in &mut usual {
        client.send(&request("GET", "/look", 25_000, ""));
    }
    wait_until("all requests at the machine", || machine.requests().len() == 15);
    machine.release();
    assert!(usual.iter_mut().all(|c| c.read().is_some_and(|a| a.status() == 200)));
}

#[test]
fn a_watch_spoilt_again_and_again_still_brings_the_news() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (discovery, platform, plan) = around(&[old.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    // What was whole before the noise stands, and every connection after it is spoilt from its first line on.
    let change = [member("s-0", old.address, 4, "Terminating"), member("s-9", new.address, 4, "Ready")];
    discovery.publish_corrupt(&list(2, false, &change), "][");
    platform.publish("][", "{\"type\":");
    wait_until("answers from the machine told before the noise", || client.look().body == b"new");
    wait_until("several connections, all spoilt", || {
        discovery.requested_targets().len() > 4 && platform.requested_targets().len() > 4
    });
    let back = list(3, true, &[member("s-0", old.address, 4, "Ready")]);
    discovery.publish("", &back);
    platform.publish("", &progress(&state(5, 0, "IN_PROGRESS", 0.5)));
    wait_until("the list is back", || client.look().body == b"old");
    wait_until("the platform's news is back", || front.log().contains("build 5 stage 0: OnTrial"));
}

#[test]
fn odd_lists_are_taken_by_their_words_and_end_nothing() {
    let (first, second) = (ScriptedEndpoint::start(ok("first")), ScriptedEndpoint::start(ok("second")));
    let (discovery, _platform, plan) = around(&[first.address]);
    let front = RunningProxy::start(&plan);
    let mut client = front.client();
    assert_eq!(client.look().body, b"first");
    // An entry that stands twice: the last word counts.
    let twice = [member("s-0", first.address, 4, "Ready"), member("s-0", second.address, 4, "Ready")];
    let now = list(2, true, &twice);
    discovery.publish(&now, &now);
    wait_until("the last of two words", || client.look().body == b"second");
    // A list of nothing: there is nowhere to send to, which is said at once and harmless to try again.
    let now = list(3, true, &[]);
    discovery.publish(&now, &now);
    wait_until("a refusal", || client.look().status() == 503);
    // A change of a revision that goes back says nothing; a whole list of one does, as discovery may have begun anew.
    let entry = [member("s-0", first.address, 4, "Ready")];
    let (change, whole) = (list(1, false, &entry), list(1, true, &entry));
    discovery.publish(&change, &change);
    discovery.publish("", &change); // a sign of life behind it, so that it has been read
    for _ in 0..20 {
        assert_eq!(client.look().status(), 503);
    }
    discovery.publish(&whole, &whole);
    wait_until("the machine of the whole list", || client.look().body == b"first");
    assert_eq!(
        discovery.requested_targets().len(),
        1,
        "none of these is a reason to connect anew: {}",
        front.log()
    );
}

#[test]
fn settings_of_another_deployment_at_a_reload_wait_for_the_next_start_and_mix_with_nothing() {
    let machine = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _platform, mut plan) = around(&[machine.address]);
    let front = RunningProxy::start(&plan);
    // Another customer's: the classes in another order and of other names, and a tenant of another name.
    for grade in plan.settings["grades"].as_array_mut().expect("classes") {
        grade["name"] = format!("other-{}", grade["name"].as_str().expect("a name")).into();
    }
    plan.settings["grades"].as_array_mut().expect("classes").reverse();
    plan.settings["tenants"][0]["name"] = "others".into();
    front.reload(&plan.config(front.address));
    wait_until("it is said", || {
        front.log().contains("reload: settings: a new value counts from the next start on")
    });
    let mut client = front.client();
    assert_eq!(client.look().status(), 200, "its own classes and tenants stand");
    let others = request("GET", "/other-look", 900, "").replace("Tenant: acme", "Tenant: others");
    assert_eq!(client.exchange(&others).expect("an answer").status(), 404);
    let own_class = request("GET", "/look", 900, "").replace("Tenant: acme", "Tenant: others");
    assert_eq!(front.client().exchange(&own_class).expect("an answer").status(), 400);
    assert_eq!(machine.requests().len(), 1, "what another deployment's settings name went to a machine");
    // The next start goes by them alone.
    drop(front);
    let front = RunningProxy::start(&plan);
    assert_eq!(front.client().exchange(&others).expect("an answer").status(), 200);
    assert_eq!(front.client().exchange(&request("GET", "/look", 900, "")).expect("an answer").status(), 404);
}

#[test]
fn requests_of_one_name_from_two_tenants_never_meet_in_one_answer() {
    // The page has a fresh id on each request; one that is open already is told so, and changes nothing for the other.
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, mut plan) = around(&[machine.address]);
    let mut other = plan.settings["tenants"][0].clone();
    other["name"] = "others".into();
    plan.settings["tenants"].as_array_mut().expect("tenants").push(other);
    let front = RunningProxy::start(&plan);
    let (mut first, mut second) = (front.client(), front.client());
    let text = request("POST", "/pay", 9000, "of the first");
    first.send(&text);
    wait_until("the first at the machine", || machine.requests().len() == 1);
    let taken = second.exchange(&text.replace("Tenant: acme", "Tenant: others")).expect("an answer");
    assert_eq!((taken.status(), taken.header("connection")), (409, Some("close")));
    machine.release();
    assert_eq!(first.read().expect("an answer").status(), 200);
    assert_eq!(machine.requests().len(), 1);
}

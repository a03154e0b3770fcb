//! Start, graceful shutdown and restart.

use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, TestClient, config_file, free_address, program,
    request, wait_until,
};

use crate::common::{ok, proxy_setup};

#[test]
fn a_graceful_shutdown_loses_no_accepted_request() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let mut proxy = RunningProxy::start(&setup);
    let (mut held, mut kept) = (proxy.client(), proxy.client());
    held.send(&request("GET", "/look", 25_000, ""));
    wait_until("the request at the endpoint", || endpoint.requests().len() == 1);
    proxy.signal("TERM");
    wait_until("the proxy drains", || proxy.log().contains("draining"));
    // Clients still come, on kept connections and on new ones; one kept idle stays open for a while.
    endpoint.set_behavior(ok("still here"));
    std::thread::sleep(Duration::from_millis(100));
    let answer = kept.exchange(&request("GET", "/look", 9000, "")).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(kept.is_closed());
    endpoint.release();
    assert_eq!(held.read().expect("an answer").body, b"late");
    assert!(proxy.exit().success());
    wait_until("its counters", || proxy.log().contains("counters requests="));
    assert!(proxy.log().contains("counters requests=2 passed=2 "), "{}", proxy.log());
}

#[test]
fn a_partial_request_at_sigterm_is_read_and_answered() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let mut proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let text = request("POST", "/book", 9000, "a body that comes in two halves");
    let (half, rest) = text.split_at(text.len() - 10);
    client.send(half);
    proxy.signal("TERM");
    wait_until("nobody is taken any more", || TcpStream::connect(proxy.address).is_err());
    // A proxy that takes half a request for none is gone within a few sweeps; time alone lets no sound one fail.
    std::thread::sleep(Duration::from_millis(200));
    client.send(rest);
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.is_closed() && proxy.exit().success());
    wait_until("its last log lines", || proxy.log().contains("counters requests="));
    assert!(!proxy.log().contains("with requests unanswered"), "{}", proxy.log());
}

#[test]
fn an_unanswered_request_is_failed_before_the_process_may_be_killed() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::Ignore);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let mut proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("POST", "/pay", 25_000, "x"));
    wait_until("the request at the endpoint", || endpoint.requests().len() == 1);
    proxy.signal("TERM");
    // Long before its own time, for it is not what the process is given.
    assert_eq!(client.read().expect("an answer").status(), 504);
    assert!(client.is_closed() && proxy.exit().success());
    wait_until("its counters", || proxy.log().contains("counters requests="));
    assert!(proxy.log().contains(" overdue=1 "), "{}", proxy.log());
    assert_eq!(endpoint.requests().len(), 1, "what may have run was sent again");
}

#[test]
fn signals_during_startup_and_draining_break_nothing() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let text = setup.config(free_address());
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
fn a_client_whose_idle_connection_is_closed_reconnects_and_is_answered() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    // It has a tenth of a second to come again, which a busy host may take from it; not ten times in a row.
    let answered = (0..10).any(|_| {
        let proxy = RunningProxy::start(&setup);
        let mut client = proxy.client();
        assert_eq!(client.get().status(), 200);
        proxy.signal("TERM");
        assert!(client.is_closed(), "an answer to no request");
        let Ok(again) = TcpStream::connect(proxy.address) else { return false };
        TestClient::on(again).exchange(&request("GET", "/look", 9000, "")).is_some_and(|a| a.status() == 200)
    });
    assert!(answered, "nobody listens any more once idle connections are closed");
}

#[test]
fn it_restarts_at_once_at_the_same_address() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    let first = RunningProxy::start(&setup);
    setup.listen = Some(first.address);
    let mut client = first.client();
    assert_eq!(client.get().status(), 200);
    first.signal("KILL");
    assert!(client.is_closed());
    drop(first);
    let second = RunningProxy::start(&setup);
    assert_eq!(second.client().get().status(), 200);
}

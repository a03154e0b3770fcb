//! Start, graceful shutdown and restart.

use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, TestClient, free_address, proxy_executable, request,
    wait_until, write_config_file,
};

use crate::common::{proxy_setup, respond_ok};

#[test]
fn a_graceful_shutdown_loses_no_accepted_request() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let mut proxy = RunningProxy::start(&setup);
    let (mut waiting, mut idle) = (proxy.client(), proxy.client());
    waiting.send(&request("GET", "/look", 25_000, ""));
    wait_until("the request reaches the endpoint", || endpoint.requests().len() == 1);
    proxy.signal("TERM");
    wait_until("the proxy drains", || proxy.log().contains("draining"));
    // A draining proxy still serves requests on open and on new connections, and keeps idle ones open for a
    // while.
    endpoint.set_behavior(respond_ok("still here"));
    std::thread::sleep(Duration::from_millis(100));
    let response = idle.exchange(&request("GET", "/look", 9000, "")).expect("the proxy responds");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(idle.is_closed());
    endpoint.release();
    assert_eq!(waiting.read().expect("the proxy responds").body, b"late");
    assert!(proxy.wait_for_exit().success());
    wait_until("the counters are logged", || proxy.log().contains("counters requests="));
    assert!(proxy.log().contains("counters requests=2 passed=2 "), "{}", proxy.log());
}

#[test]
fn a_partial_request_at_sigterm_is_read_and_answered() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let mut proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let text = request("POST", "/book", 9000, "a body that comes in two halves");
    let (half, rest) = text.split_at(text.len() - 10);
    client.send(half);
    proxy.signal("TERM");
    wait_until("the proxy stops listening", || TcpStream::connect(proxy.address).is_err());
    // A proxy that ignored the partial request would exit within a few sweeps, before this wait ends. A
    // correct proxy passes however long the wait takes.
    std::thread::sleep(Duration::from_millis(200));
    client.send(rest);
    let response = client.read().expect("the proxy responds");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(client.is_closed() && proxy.wait_for_exit().success());
    wait_until("the last log lines are read", || proxy.log().contains("counters requests="));
    assert!(!proxy.log().contains("with requests unanswered"), "{}", proxy.log());
}

#[test]
fn an_unanswered_request_is_failed_before_the_process_may_be_killed() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::Ignore);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let mut proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("POST", "/pay", 25_000, "x"));
    wait_until("the request reaches the endpoint", || endpoint.requests().len() == 1);
    proxy.signal("TERM");
    // The request fails long before its own timeout, which is longer than the process may take to stop.
    assert_eq!(client.read().expect("the proxy responds").status(), 504);
    assert!(client.is_closed() && proxy.wait_for_exit().success());
    wait_until("the counters are logged", || proxy.log().contains("counters requests="));
    assert!(proxy.log().contains(" overdue=1 "), "{}", proxy.log());
    assert_eq!(endpoint.requests().len(), 1, "a request that may have run was retried");
}

#[test]
fn signals_during_startup_and_draining_break_nothing() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let text = setup.config(free_address());
    // The configuration file is a named pipe, so that the program waits in its startup until the test writes.
    let path = write_config_file("");
    std::fs::remove_file(&path).expect("the empty file is removed");
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    let program = Command::new(proxy_executable())
        .env_clear()
        .env("RELAY_CONFIG", &path)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut pipe =
        std::fs::OpenOptions::new().write(true).open(&path).expect("the program opens its configuration");
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM"] {
        let sent = Command::new("kill").args([signal, &program.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
    // For the reload the named pipe is replaced by a regular file.
    std::fs::rename(write_config_file(&text), &path).expect("the file is replaced");
    std::io::Write::write_all(&mut pipe, text.as_bytes()).expect("the configuration is written");
    drop(pipe);
    let output = program.wait_with_output().expect("the program exits");
    let _ = std::fs::remove_file(&path);
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{:?}: {log}", output.status);
    assert!(log.contains("draining") && log.contains("stopped"), "{log}");
}

#[test]
fn a_client_whose_idle_connection_is_closed_reconnects_and_is_answered() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    // The client has 0.1 s to reconnect. On a busy host it may miss that, but not ten times in a row.
    let answered = (0..10).any(|_| {
        let proxy = RunningProxy::start(&setup);
        let mut client = proxy.client();
        assert_eq!(client.get().status(), 200);
        proxy.signal("TERM");
        assert!(client.is_closed(), "an unrequested response");
        let Ok(reconnected) = TcpStream::connect(proxy.address) else { return false };
        TestClient::new(reconnected)
            .exchange(&request("GET", "/look", 9000, ""))
            .is_some_and(|response| response.status() == 200)
    });
    assert!(answered, "no client could reconnect after its idle connection was closed");
}

#[test]
fn a_killed_proxy_restarts_at_once_at_the_same_address() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
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

#[test]
fn signals_in_the_last_moment_of_a_shutdown_do_not_kill_the_process() {
    for _ in 0..5 {
        let (_discovery, _controller, setup) = proxy_setup(&[]);
        let mut proxy = RunningProxy::start(&setup);
        proxy.signal("TERM");
        proxy.signal_without_pause(Duration::from_secs(1));
        let status = proxy.wait_for_exit();
        assert!(status.success(), "{status}");
    }
}

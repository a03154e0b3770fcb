//! Exit codes of requests that no agent answers.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;

use garnetcrank_test_support::scripted_servers::{read_message, reset_on_close};

const EXIT_UNREACHABLE: i32 = 3;
const EXIT_INDETERMINATE: i32 = 4;

/// Starts an agent that takes requests and never answers.
fn start_silent_agent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).is_ok_and(|read| read > 0) {}
            });
        }
    });
    address
}

/// Starts an agent that sends `response` to each request and then ends the connection.
fn start_answering_agent(response: &'static str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let request = read_message(&mut BufReader::new(&stream));
            assert!(request.is_some(), "the request is complete");
            stream.write_all(response.as_bytes()).expect("sends");
            if is_reset {
                reset_on_close(&stream);
            }
        }
    });
    address
}

/// Returns an address without a listener.
fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

fn exit_code(agents: &[SocketAddr], arguments: &[&str]) -> Option<i32> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetcrank"));
    command.env_remove("GARNETCRANK_AGENT").args(["ledger", "--within", "0.1"]);
    for agent in agents {
        command.arg("--agent").arg(agent.to_string());
    }
    command.args(arguments).output().expect("garnetcrank can be started").status.code()
}

/// Guards against exit code 3, which says that nothing was done, for a request that an agent took before it was
/// suspended.
#[test]
fn a_request_that_an_agent_may_have_received_has_an_unknown_outcome() {
    let (silent, refusing) = (start_silent_agent(), refusing_address());
    for arguments in [&["propose", "condemned/42", "yes"][..], &["transfer", "n2"]] {
        assert_eq!(exit_code(&[refusing], arguments), Some(EXIT_UNREACHABLE), "{arguments:?}: no listener");
        assert_eq!(exit_code(&[silent], arguments), Some(EXIT_INDETERMINATE), "{arguments:?}: no answer");
        assert_eq!(
            exit_code(&[silent, refusing], arguments),
            Some(EXIT_INDETERMINATE),
            "{arguments:?}: no answer, then no listener"
        );
    }
}

/// Guards against exit code 3 for a request that an agent has answered, where its answer is cut off. The HTTP client
/// reports no reset that ends an answer without a length.
#[test]
fn a_request_whose_answer_is_cut_off_has_an_unknown_outcome() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"result\":",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n{\"result\":\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"result\":",
    ] {
        for is_reset in [false, true] {
            let agent = start_answering_agent(response, is_reset);
            for arguments in [&["propose", "condemned/42", "yes"][..], &["transfer", "n2"]] {
                assert_eq!(
                    exit_code(&[agent], arguments),
                    Some(EXIT_INDETERMINATE),
                    "{arguments:?}, reset: {is_reset}, {response:?}"
                );
            }
        }
    }
}

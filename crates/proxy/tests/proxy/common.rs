//! Scripted endpoints, discovery and release controller around one proxy.

use std::process::{Command, Output};

pub use garnetcrank_test_support::load_generator::proxy_setup;
use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, ProxySetup, ScriptedEndpoint, ScriptedStream, config_file, free_address, list, member,
    program, progress, state,
};

pub fn ok(body: &str) -> EndpointBehavior {
    EndpointBehavior::Respond(200, "X-Made-By: machine\r\n", body.as_bytes().to_vec())
}

/// Discovery, a release controller and a setup of a proxy for an endpoint of the released build and one of a build on
/// trial that may take everything.
pub fn trial_setup(
    old: &ScriptedEndpoint,
    new: &ScriptedEndpoint,
) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let members = [member("s-0", old.address, 4, "Ready"), member("s-1", new.address, 5, "Ready")];
    setup_with(&members, state(5, 0, "IN_PROGRESS", 1.0))
}

pub fn setup_with(members: &[String], rollout: String) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let known = list(1, true, members);
    let discovery = ScriptedStream::start(&known);
    let controller = ScriptedStream::start(&progress(&rollout));
    let setup = ProxySetup::new(&known, rollout, &discovery, &controller);
    (discovery, controller, setup)
}

/// Runs the program on a configuration that it must reject.
pub fn run_rejected(text: &str) -> Output {
    let path = config_file(text);
    let output =
        Command::new(program()).env_clear().env("RELAY_CONFIG", &path).output().expect("the program runs");
    let _ = std::fs::remove_file(path);
    output
}

/// Runs the program on a features file that it must reject, beside a valid configuration.
pub fn run_rejected_with_features(features: &str) -> Output {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let (path, features) = (config_file(&setup.config(free_address())), config_file(features));
    let output = Command::new(program())
        .env_clear()
        .env("RELAY_CONFIG", &path)
        .arg("--extras")
        .arg(&features)
        .output()
        .expect("the program runs");
    let _ = (std::fs::remove_file(path), std::fs::remove_file(features));
    output
}

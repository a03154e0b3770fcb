//! Setups that the socket tests of the proxy share.

use std::ops::Range;
use std::process::{Command, Output};
use std::time::Duration;

pub use garnetcrank_test_support::load_generator::proxy_setup;
use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, ProxySetup, ScriptedEndpoint, ScriptedStream, endpoint_json, endpoint_list_json,
    free_address, proxy_executable, rollout_event_json, rollout_state_json, write_config_file,
};

/// Time after which a response to a request of 1 s counts as lost.
pub const LOST_AFTER: Duration = Duration::from_millis(1_500);

/// Returns the seeds that an environment variable names as `FIRST..LAST`, the last one not included, or the usual ones.
pub fn seeds(variable: &str, usual: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else { return usual };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    first.parse().expect("a number")..last.parse().expect("a number")
}

pub fn respond_ok(body: &str) -> EndpointBehavior {
    EndpointBehavior::Respond(200, "X-Made-By: machine\r\n", body.as_bytes().to_vec())
}

/// Starts discovery and a release controller for one endpoint of the released build and one of a build on
/// trial with an exposure cap of 1. Returns them with the proxy's setup.
pub fn trial_setup(
    old: &ScriptedEndpoint,
    new: &ScriptedEndpoint,
) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let endpoints =
        [endpoint_json("s-0", old.address, 4, "Ready"), endpoint_json("s-1", new.address, 5, "Ready")];
    setup_with_endpoints(&endpoints, rollout_state_json(5, 0, "IN_PROGRESS", 1.0))
}

pub fn setup_with_endpoints(
    endpoints: &[String],
    rollout: String,
) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let cached_list = endpoint_list_json(1, true, endpoints);
    let discovery = ScriptedStream::start(&cached_list);
    let controller = ScriptedStream::start(&rollout_event_json(&rollout));
    let setup = ProxySetup::new(&cached_list, rollout, &discovery, &controller);
    (discovery, controller, setup)
}

/// Runs the proxy with a configuration that it must reject.
pub fn run_with_invalid_config(text: &str) -> Output {
    let path = write_config_file(text);
    let output = Command::new(proxy_executable())
        .env_clear()
        .env("RELAY_CONFIG", &path)
        .output()
        .expect("the program runs");
    let _ = std::fs::remove_file(path);
    output
}

/// Runs the proxy with a valid configuration and a features file that it must reject.
pub fn run_with_invalid_features(features: &str) -> Output {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let (path, features) = (write_config_file(&setup.config(free_address())), write_config_file(features));
    let output = Command::new(proxy_executable())
        .env_clear()
        .env("RELAY_CONFIG", &path)
        .arg("--extras")
        .arg(&features)
        .output()
        .expect("the program runs");
    let _ = (std::fs::remove_file(path), std::fs::remove_file(features));
    output
}

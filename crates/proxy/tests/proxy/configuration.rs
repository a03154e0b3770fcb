//! The configuration file at the start and on reloads by SIGHUP.

use std::net::TcpListener;
use std::process::Command;

use garnetcrank_test_support::scripted_servers::{
    RunningProxy, ScriptedEndpoint, ScriptedStream, endpoint_json, endpoint_list_json, free_address,
    proxy_executable, request, rollout_event_json, wait_until,
};

use crate::common::{proxy_setup, respond_ok, run_with_invalid_config};

#[test]
fn an_invalid_configuration_key_is_named_and_the_start_fails() {
    let (discovery, controller, setup) = proxy_setup(&[]);
    let valid = setup.config(free_address());
    let startup_error = |text: &str| {
        let output = run_with_invalid_config(text);
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    for (from, to, expected_key) in [
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
        assert!(valid.contains(from), "{from} is not in the configuration");
        let message = startup_error(&valid.replace(from, to));
        assert!(message.contains(expected_key), "{expected_key} is not in {message:?}");
    }
    let output = Command::new(proxy_executable()).env_clear().output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("RELAY_CONFIG is not set"));
    drop((discovery, controller));
}

#[test]
fn an_address_in_use_is_reported() {
    let (_discovery, _controller, setup) = proxy_setup(&[]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let output =
        run_with_invalid_config(&setup.config(listener.local_addr().expect("the listener has an address")));
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("listen: "));
}

#[test]
fn a_reload_moves_discovery_and_release_controller_under_load() {
    let (first, second) =
        (ScriptedEndpoint::start(respond_ok("first")), ScriptedEndpoint::start(respond_ok("second")));
    let (discovery, controller, mut setup) = proxy_setup(&[first.address]);
    // On a reload the file's address of discovery replaces the one from the environment.
    let proxy = RunningProxy::start_with(&setup, &[("RELAY_DISCOVERY", &discovery.address.to_string())]);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"first");
    for round in 2..5 {
        let endpoint = if round % 2 == 0 { &second } else { &first };
        let update = endpoint_list_json(round, true, &[endpoint_json("s-0", endpoint.address, 4, "Ready")]);
        let (new_discovery, new_controller) =
            (ScriptedStream::start(&update), ScriptedStream::start(&rollout_event_json(&setup.rollout)));
        // The file still holds the endpoint list and the rollout state of the start, which are out of date by
        // now.
        (setup.discovery, setup.controller) = (new_discovery.address, new_controller.address);
        proxy.reload(&setup.config(proxy.address));
        let expected: &[u8] = if round % 2 == 0 { b"second" } else { b"first" };
        wait_until("responses by the endpoint list of the new discovery", || client.get().body == expected);
        wait_until("the new controller's stream", || !new_controller.requested_targets().is_empty());
        let targets = new_discovery.requested_targets();
        assert!(targets[0].ends_with(&format!("index={}", round - 1)), "{targets:?}");
    }
    let old_endpoints = [endpoint_json("s-0", free_address(), 4, "Ready")];
    setup.cached_list = endpoint_list_json(1, true, &old_endpoints);
    proxy.reload(&setup.config(proxy.address));
    wait_until("the fourth reload", || proxy.log().matches("reload: discovery at").count() == 4);
    for _ in 0..20 {
        assert_eq!((client.get().status(), client.get().body), (200, b"second".to_vec()));
    }
    assert_eq!(
        (discovery.requested_targets().len(), controller.requested_targets().len()),
        (1, 1),
        "the proxy reconnected to a previous address"
    );
}

#[test]
fn a_silent_discovery_after_a_reload_is_reconnected_at_once() {
    let (old, new) = (ScriptedEndpoint::start(respond_ok("old")), ScriptedEndpoint::start(respond_ok("new")));
    let (_discovery, _controller, mut setup) = proxy_setup(&[old.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"old");
    let new_discovery =
        ScriptedStream::start(&endpoint_list_json(2, true, &[endpoint_json("s-9", new.address, 4, "Ready")]));
    new_discovery.set_silent(true);
    setup.discovery = new_discovery.address;
    proxy.reload(&setup.config(proxy.address));
    wait_until("the first connection to the new discovery", || new_discovery.requested_targets().len() == 1);
    new_discovery.set_silent(false); // takes effect on later connections
    wait_until("responses by the endpoint list of the new discovery", || client.get().body == b"new");
    assert!(
        proxy.log().contains(r#"peer=discovery reason="no byte on a new connection""#),
        "{}",
        proxy.log()
    );
    assert!(
        !proxy.log().contains(r#"peer=discovery reason="no heartbeat""#),
        "the proxy waited for a heartbeat"
    );
}

#[test]
fn an_invalid_reload_is_logged_and_changes_nothing() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let valid = setup.config(proxy.address);
    proxy.reload(&valid.replace("\"listen\"", "\"gone\""));
    wait_until("the missing key is logged", || {
        proxy.log().contains("reload: ") && proxy.log().contains("listen is missing")
    });
    proxy.reload("{\"name\"");
    wait_until("the truncated file is rejected", || {
        proxy.log().matches("the current configuration stays in effect").count() == 2
    });
    proxy.remove_config();
    wait_until("the missing file is rejected", || {
        proxy.log().matches("the current configuration stays in effect").count() == 3
    });
    setup.descriptor_limit = 512;
    proxy.reload(&setup.config(proxy.address));
    wait_until("the key that needs a restart is logged", || {
        proxy.log().contains("limits.sockets: the new value takes effect at the next start")
    });
    assert_eq!(proxy.client().get().status(), 200);
}

#[test]
fn reloaded_settings_take_effect_at_the_next_start() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    // The settings of another deployment: classes renamed and in reverse order, and a tenant of another name.
    for class in setup.settings["grades"].as_array_mut().expect("a list of classes") {
        class["name"] = format!("other-{}", class["name"].as_str().expect("a class name")).into();
    }
    setup.settings["grades"].as_array_mut().expect("a list of classes").reverse();
    setup.settings["tenants"][0]["name"] = "others".into();
    proxy.reload(&setup.config(proxy.address));
    wait_until("the ignored settings are logged", || {
        proxy.log().contains("reload: settings: the new value takes effect at the next start")
    });
    let mut client = proxy.client();
    assert_eq!(client.get().status(), 200, "the classes and tenants of the start stay in effect");
    let new_class_request = request("GET", "/other-look", 900, "").replace("Tenant: acme", "Tenant: others");
    assert_eq!(client.exchange(&new_class_request).expect("the proxy responds").status(), 404);
    let new_tenant_request = request("GET", "/look", 900, "").replace("Tenant: acme", "Tenant: others");
    assert_eq!(proxy.client().exchange(&new_tenant_request).expect("the proxy responds").status(), 400);
    assert_eq!(endpoint.requests().len(), 1, "a request under the ignored settings reached the endpoint");
    // After a restart only the new settings apply.
    drop(proxy);
    let proxy = RunningProxy::start(&setup);
    assert_eq!(proxy.client().exchange(&new_class_request).expect("the proxy responds").status(), 200);
    assert_eq!(
        proxy.client().exchange(&request("GET", "/look", 900, "")).expect("the proxy responds").status(),
        404
    );
}

//! What hundreds of instances together send to endpoints in slow start while all others drain.

use garnetcrank_test_support::virtual_fleet::{FleetLoad, FleetPlan, Hints, simulate};

fn assert_no_overload(plan: FleetPlan) -> FleetLoad {
    let load = simulate(plan);
    println!("worst {:.2}, sent {:.2}", load.worst_overload, load.sent);
    assert!(
        load.worst_overload <= 0.8,
        "{:.2} of the capacity of an endpoint in slow start: {plan:?}",
        load.worst_overload
    );
    load
}

#[test]
fn hundreds_of_instances_overload_no_endpoint_in_slow_start() {
    for seed in 1..=3 {
        let load = assert_no_overload(FleetPlan { seed, ..FleetPlan::default() });
        assert!(load.sent > 0.7, "{:.2} of the requests sent", load.sent);
    }
}

#[test]
fn slow_endpoints_are_not_overloaded() {
    assert_no_overload(FleetPlan { speed: 0.6, ..FleetPlan::default() });
}

#[test]
fn handshakes_of_all_instances_overload_no_endpoint() {
    assert_no_overload(FleetPlan { handshake: 10_000, ..FleetPlan::default() });
}

#[test]
fn without_work_hints_no_endpoint_is_overloaded() {
    assert_no_overload(FleetPlan { hints: Hints::Absent, ..FleetPlan::default() });
}

#[test]
fn endpoints_that_become_known_late_are_not_overloaded() {
    assert_no_overload(FleetPlan { hidden_for: 3_500_000, ..FleetPlan::default() });
}

#[test]
fn instances_that_restart_without_state_overload_no_endpoint() {
    assert_no_overload(FleetPlan { killed_share: 0.7, ..FleetPlan::default() });
}

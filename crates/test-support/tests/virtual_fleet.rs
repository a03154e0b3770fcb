//! Load of endpoints in slow start from hundreds of instances, while all other endpoints drain.

use garnetcrank_test_support::virtual_fleet::{FleetLoad, FleetPlan, WorkHints, simulate};

fn assert_no_overload(plan: FleetPlan) -> FleetLoad {
    let load = simulate(plan);
    println!("worst overload {:.2}, forwarded {:.2}", load.worst_overload, load.forwarded_share);
    assert!(
        load.worst_overload <= 0.8,
        "an endpoint in slow start got {:.2} of its capacity, above 0.8: {plan:?}",
        load.worst_overload
    );
    load
}

#[test]
fn hundreds_of_instances_overload_no_endpoint_in_slow_start() {
    for seed in 1..=3 {
        let load = assert_no_overload(FleetPlan { seed, ..FleetPlan::default() });
        assert!(
            load.forwarded_share > 0.7,
            "only {:.2} of the requests forwarded, more than 0.7 expected",
            load.forwarded_share
        );
    }
}

#[test]
fn slow_endpoints_are_not_overloaded() {
    assert_no_overload(FleetPlan { core_speed: 0.6, ..FleetPlan::default() });
}

#[test]
fn handshakes_of_all_instances_overload_no_endpoint() {
    assert_no_overload(FleetPlan { handshake_work: 10_000, ..FleetPlan::default() });
}

#[test]
fn without_work_hints_no_endpoint_is_overloaded() {
    assert_no_overload(FleetPlan { hints: WorkHints::Absent, ..FleetPlan::default() });
}

#[test]
fn endpoints_that_are_discovered_late_are_not_overloaded() {
    assert_no_overload(FleetPlan { discovery_delay: 3_500_000, ..FleetPlan::default() });
}

#[test]
fn instances_that_restart_without_state_overload_no_endpoint() {
    assert_no_overload(FleetPlan { kill_probability: 0.7, ..FleetPlan::default() });
}

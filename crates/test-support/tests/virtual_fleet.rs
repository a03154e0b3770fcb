//! What hundreds of fronts together send to cold machines of one core while all others are drained.

use garnetcrank_test_support::virtual_fleet::{FleetLoad, FleetPlan, Hints, simulate};

fn bears(plan: FleetPlan) -> FleetLoad {
    let came = simulate(plan);
    println!("worst {:.2}, sent {:.2}", came.worst, came.sent);
    assert!(came.worst <= 0.8, "{:.2} of what a cold machine bears: {plan:?}", came.worst);
    came
}

#[test]
fn machines_of_one_core_bear_what_hundreds_of_fronts_send_while_others_are_drained() {
    for seed in 1..=3 {
        let came = bears(FleetPlan { seed, ..FleetPlan::default() });
        assert!(came.sent > 0.7, "{:.2} of the requests sent", came.sent);
    }
}

#[test]
fn slow_cores_bear_what_all_send() {
    bears(FleetPlan { speed: 0.6, ..FleetPlan::default() });
}

#[test]
fn handshakes_of_all_fronts_are_counted() {
    bears(FleetPlan { handshake: 10_000, ..FleetPlan::default() });
}

#[test]
fn work_that_nobody_hints_is_taken_from_what_is_usual() {
    bears(FleetPlan { hints: Hints::Absent, ..FleetPlan::default() });
}

#[test]
fn machines_that_started_behind_a_cut_bear_what_all_send_once_it_heals() {
    bears(FleetPlan { hidden: 3_500_000, ..FleetPlan::default() });
}

#[test]
fn fronts_that_are_killed_and_forget_send_no_more() {
    bears(FleetPlan { killed: 0.7, ..FleetPlan::default() });
}

//! What hundreds of fronts together send to cold machines of one core while all others are drained.

use garnetcrank_test_support::fleet::{Came, Hints, Plan, play};

fn bears(plan: Plan) -> Came {
    let came = play(plan);
    println!("worst {:.2}, sent {:.2}", came.worst, came.sent);
    assert!(came.worst <= 0.8, "{:.2} of what a cold machine bears: {plan:?}", came.worst);
    came
}

#[test]
fn machines_of_one_core_bear_what_hundreds_of_fronts_send_while_others_are_drained() {
    for seed in 1..=3 {
        let came = bears(Plan { seed, ..Plan::default() });
        assert!(came.sent > 0.7, "{:.2} of the requests sent", came.sent);
    }
}

#[test]
fn slow_cores_bear_what_all_send() {
    bears(Plan { speed: 0.6, ..Plan::default() });
}

#[test]
fn handshakes_of_all_fronts_are_counted() {
    bears(Plan { handshake: 10_000, ..Plan::default() });
}

#[test]
fn work_that_nobody_hints_is_taken_from_what_is_usual() {
    bears(Plan { hints: Hints::Absent, ..Plan::default() });
}

#[test]
fn machines_that_started_behind_a_cut_bear_what_all_send_once_it_heals() {
    bears(Plan { hidden: 3_500_000, ..Plan::default() });
}

#[test]
fn fronts_that_are_killed_and_forget_send_no_more() {
    bears(Plan { killed: 0.7, ..Plan::default() });
}

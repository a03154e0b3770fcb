//! Leaders that freeze, splits, crashes, clocks and disks gone wrong, in virtual time; each hard case by itself, then
//! all of them mixed, and the same checks seen to fail with a protection switched off.

#[path = "../examples/handover/disk.rs"]
mod disk;
#[path = "../examples/handover/world/mod.rs"]
mod world;

use disk::Kind;
use world::{Fault, Outcomes, Planned, TROUBLE, Without, World, schedule};

fn play(seed: u64, instances: usize, without: Without, kind: Kind, plan: &[Planned]) -> Outcomes {
    // The library's own checks end in a panic: a violation like any other.
    std::panic::catch_unwind(|| World::new(seed, instances, without, kind).run(plan))
        .unwrap_or_else(|_| Outcomes { lost: vec!["panic".to_owned()], ..Outcomes::default() })
}

fn all_sound(instances: usize, plan: impl Fn(u64) -> Vec<Planned>) -> u64 {
    let mut refused = 0;
    for seed in 0..12 {
        let plan = plan(seed);
        let outcomes = play(seed, instances, Without::Nothing, Kind::Model, &plan);
        assert!(outcomes.sound(), "seed {seed}, {plan:?}: {outcomes:?}");
        assert!(outcomes.decisions >= 12, "seed {seed}: {} decisions", outcomes.decisions);
        refused += outcomes.stale_refused;
    }
    refused
}

/// Every instance in turn freezes for so long, from so many steps on, each so long after the other.
fn freezes(instances: usize, long: u64, gap: u64) -> Vec<Planned> {
    let turn = |n: u64| (30 + n * gap, Fault::Freeze(n as usize % instances, long));
    (0..).map(turn).take_while(|(at, _)| *at < TROUBLE).collect()
}

#[test]
fn a_leader_frozen_between_its_check_and_its_act_does_nothing_after_hand_over() {
    let refused = all_sound(3, |_| freezes(3, 60, 64));
    assert!(refused > 0, "some act of a deposed holder must have come to the gate, or nothing was tested");
}

#[test]
fn freezes_shorter_than_an_election_and_freezes_that_overlap() {
    all_sound(3, |_| freezes(3, 7, 9));
    all_sound(5, |_| freezes(5, 50, 20));
}

#[test]
fn splits_in_two_and_three_and_in_one_direction_heal() {
    all_sound(5, |seed| vec![(40 + seed, Fault::Split(0b00011, 120))]);
    all_sound(5, |seed| {
        vec![(40 + seed, Fault::Split(0b00011, 100)), (40 + seed, Fault::Third(0b00100, 100))]
    });
    all_sound(3, |seed| {
        (0..3)
            .map(|n| (30 + 60 * n, Fault::OneWay(n as usize, (n as usize + 1 + seed as usize % 2) % 3, 55)))
            .collect()
    });
    // Every split with another majority: both sides hold entries that the other has never seen.
    all_sound(3, |_| vec![(30, Fault::Split(1, 50)), (85, Fault::Split(2, 50)), (140, Fault::Split(4, 50))]);
}

#[test]
fn messages_lost_doubled_reordered_and_very_late() {
    all_sound(3, |_| vec![(20, Fault::Noise(30, 30, 25, 200))]);
    all_sound(5, |_| {
        vec![(20, Fault::Noise(20, 50, 40, 200)), (90, Fault::Freeze(0, 50)), (100, Fault::Freeze(1, 70))]
    });
}

#[test]
fn clocks_that_jump_run_fast_and_stand_still() {
    all_sound(3, |seed| {
        let who = seed as usize % 3;
        vec![
            (30, Fault::Clock(who, 0, 180)),
            (30, Fault::Clock((who + 1) % 3, 5, 180)),
            (60, Fault::Jump((who + 2) % 3, 200)),
            (120, Fault::Freeze((who + 1) % 3, 40)),
        ]
    });
}

#[test]
fn crashes_of_one_of_many_and_of_all() {
    all_sound(3, |_| (0..3).map(|n| (50 + n, Fault::Crash(n as usize, 20))).collect());
    all_sound(5, |seed| (0..8).map(|n| (30 + 22 * n, Fault::Crash((n + seed) as usize % 5, 30))).collect());
}

#[test]
fn disks_slow_by_seconds() {
    all_sound(3, |seed| vec![(30, Fault::Slow(seed as usize % 3, 100, 180)), (60, Fault::Crash(0, 20))]);
    all_sound(3, |_| (0..3).map(|n| (30, Fault::Slow(n, 12, 200))).collect());
}

#[test]
fn disks_that_are_full_take_nothing_new_and_lose_nothing() {
    all_sound(3, |seed| vec![(30, Fault::Full(seed as usize % 3, 190)), (90, Fault::Crash(1, 30))]);
    // All of them at once: nothing is decided until one has room again.
    all_sound(3, |_| (0..3).map(|n| (60, Fault::Full(n, 60 + 20 * n as u64))).collect());
}

#[test]
fn crashes_while_a_snapshot_is_installed_or_a_member_added() {
    // The newcomer's disk is slow, so that it is cut off in the midst of what it is sent first, at any step of it.
    all_sound(3, |seed| {
        let who = seed as usize % 3;
        vec![
            (40, Fault::Wipe(who, 5)),
            (44, Fault::Slow(who, 9, 100)),
            (70 + 3 * seed, Fault::Crash(who, 10)),
        ]
    });
    // A member far behind, whose log has been folded away, crashes while it catches up.
    all_sound(3, |seed| {
        let who = (seed as usize + 1) % 3;
        vec![
            (30, Fault::Crash(who, 90)),
            (118, Fault::Slow(who, 6, 60)),
            (122 + seed, Fault::Crash(who, 5)),
            (140 + seed, Fault::Crash(who, 5)),
        ]
    });
}

#[test]
fn an_instance_whose_disk_is_lost_comes_back_as_another_member() {
    all_sound(3, |seed| vec![(40, Fault::Wipe(seed as usize % 3, 10))]);
    // The last one that was not needed for a quorum goes while the new one is being added.
    all_sound(3, |seed| {
        let who = seed as usize % 3;
        vec![(40, Fault::Wipe(who, 10)), (75 + seed, Fault::Crash((who + 1) % 3, 90))]
    });
    all_sound(5, |seed| {
        vec![(40, Fault::Wipe(seed as usize % 5, 5)), (52, Fault::Crash((seed as usize + 2) % 5, 40))]
    });
}

#[test]
fn everything_mixed_and_the_same_seed_gives_the_same_run() {
    for seed in 0..120 {
        let instances = if seed % 2 == 0 { 3 } else { 5 };
        let plan = schedule(seed, instances);
        let outcomes = play(seed, instances, Without::Nothing, Kind::Model, &plan);
        assert!(outcomes.sound(), "seed {seed}, {plan:?}: {outcomes:?}");
        if seed % 40 == 0 {
            assert_eq!(outcomes, play(seed, instances, Without::Nothing, Kind::Model, &plan));
        }
    }
}

#[test]
fn everything_mixed_on_the_store_itself() {
    for seed in 0..6 {
        let plan = schedule(seed, 3);
        let outcomes = play(seed, 3, Without::Nothing, Kind::Store, &plan);
        assert!(outcomes.sound(), "seed {seed}, {plan:?}: {outcomes:?}");
    }
}

#[test]
fn without_the_gate_or_the_syncs_the_same_checks_fail() {
    for without in [Without::Gate, Without::Sync] {
        let fails = |seed| !play(seed, 3, without, Kind::Model, &schedule(seed, 3)).sound();
        assert!((0..200).any(fails), "{without:?}: a check that can't fail is none");
    }
}

//! Leaders that freeze, splits, crashes, clocks and disks gone wrong, in virtual time; each hard case by itself, then
//! all of them mixed, and the same checks seen to fail with a protection switched off.

#[path = "../examples/handover/disk.rs"]
mod disk;
#[path = "../examples/handover/world/mod.rs"]
mod world;

use disk::DiskKind;
use world::checks::RunReport;
use world::faults::{FAULT_STEPS, Fault, PlannedFault, schedule};
use world::network::Noise;
use world::{DisabledProtection, World};

fn at(step: u64, fault: Fault) -> PlannedFault {
    PlannedFault { at: step, fault }
}

fn play(
    seed: u64,
    instances: usize,
    disabled: DisabledProtection,
    disk_kind: DiskKind,
    plan: &[PlannedFault],
) -> RunReport {
    // The library's own checks end in a panic: a violation like any other.
    std::panic::catch_unwind(|| World::new(seed, instances, disabled, disk_kind).run(plan))
        .unwrap_or_else(|_| RunReport { lost: vec!["panic".to_owned()], ..RunReport::default() })
}

fn assert_all_sound(instances: usize, plan: impl Fn(u64) -> Vec<PlannedFault>) -> u64 {
    let mut rejected = 0;
    for seed in 0..12 {
        let plan = plan(seed);
        let report = play(seed, instances, DisabledProtection::None, DiskKind::Model, &plan);
        assert!(report.is_sound(), "seed {seed}, {plan:?}: {report:?}");
        assert!(report.decisions >= 12, "seed {seed}: {} decisions", report.decisions);
        rejected += report.stale_rejected;
    }
    rejected
}

/// Every instance in turn freezes for so long, from so many steps on, each so long after the other.
fn freezes(instances: usize, steps: u64, gap: u64) -> Vec<PlannedFault> {
    let turn = |n: u64| at(30 + n * gap, Fault::Freeze { instance: n as usize % instances, steps });
    (0..).map(turn).take_while(|planned| planned.at < FAULT_STEPS).collect()
}

#[test]
fn a_holder_frozen_between_its_check_and_its_act_does_nothing_once_deposed() {
    let rejected = assert_all_sound(3, |_| freezes(3, 60, 64));
    assert!(rejected > 0, "some act of a deposed holder must have come to the gate, or nothing was tested");
}

#[test]
fn freezes_shorter_than_an_election_and_freezes_that_overlap() {
    assert_all_sound(3, |_| freezes(3, 7, 9));
    assert_all_sound(5, |_| freezes(5, 50, 20));
}

#[test]
fn partitions_in_two_and_three_and_in_one_direction_heal() {
    assert_all_sound(5, |seed| vec![at(40 + seed, Fault::Partition { side: 0b00011, steps: 120 })]);
    assert_all_sound(5, |seed| {
        vec![
            at(40 + seed, Fault::Partition { side: 0b00011, steps: 100 }),
            at(40 + seed, Fault::Partition { side: 0b00100, steps: 100 }),
        ]
    });
    assert_all_sound(3, |seed| {
        (0..3)
            .map(|n| {
                at(
                    30 + 60 * n,
                    Fault::OneWayLoss {
                        from: n as usize,
                        to: (n as usize + 1 + seed as usize % 2) % 3,
                        steps: 55,
                    },
                )
            })
            .collect()
    });
    // Every partition with another majority: both sides hold entries that the other has never seen.
    assert_all_sound(3, |_| {
        vec![
            at(30, Fault::Partition { side: 1, steps: 50 }),
            at(85, Fault::Partition { side: 2, steps: 50 }),
            at(140, Fault::Partition { side: 4, steps: 50 }),
        ]
    });
}

#[test]
fn messages_lost_duplicated_reordered_and_much_delayed() {
    assert_all_sound(3, |_| {
        vec![at(20, Fault::Noise { noise: Noise { lost: 30, duplicated: 30, delayed: 25 }, steps: 200 })]
    });
    assert_all_sound(5, |_| {
        vec![
            at(20, Fault::Noise { noise: Noise { lost: 20, duplicated: 50, delayed: 40 }, steps: 200 }),
            at(90, Fault::Freeze { instance: 0, steps: 50 }),
            at(100, Fault::Freeze { instance: 1, steps: 70 }),
        ]
    });
}

#[test]
fn clocks_that_jump_run_fast_and_stand_still() {
    assert_all_sound(3, |seed| {
        let instance = seed as usize % 3;
        vec![
            at(30, Fault::ClockRate { instance, ticks: 0, steps: 180 }),
            at(30, Fault::ClockRate { instance: (instance + 1) % 3, ticks: 5, steps: 180 }),
            at(60, Fault::ClockJump { instance: (instance + 2) % 3, ticks: 200 }),
            at(120, Fault::Freeze { instance: (instance + 1) % 3, steps: 40 }),
        ]
    });
}

#[test]
fn crashes_of_one_of_many_and_of_all() {
    assert_all_sound(3, |_| {
        (0..3).map(|n| at(50 + n, Fault::Crash { instance: n as usize, steps: 20 })).collect()
    });
    assert_all_sound(5, |seed| {
        (0..8)
            .map(|n| at(30 + 22 * n, Fault::Crash { instance: (n + seed) as usize % 5, steps: 30 }))
            .collect()
    });
}

#[test]
fn disks_slow_by_seconds() {
    assert_all_sound(3, |seed| {
        vec![
            at(30, Fault::SlowDisk { instance: seed as usize % 3, write_steps: 100, steps: 180 }),
            at(60, Fault::Crash { instance: 0, steps: 20 }),
        ]
    });
    assert_all_sound(3, |_| {
        (0..3).map(|n| at(30, Fault::SlowDisk { instance: n, write_steps: 12, steps: 200 })).collect()
    });
}

#[test]
fn disks_that_are_full_take_nothing_new_and_lose_nothing() {
    assert_all_sound(3, |seed| {
        vec![
            at(30, Fault::FullDisk { instance: seed as usize % 3, steps: 190 }),
            at(90, Fault::Crash { instance: 1, steps: 30 }),
        ]
    });
    // All of them at once: nothing is decided until one has room again.
    assert_all_sound(3, |_| {
        (0..3).map(|n| at(60, Fault::FullDisk { instance: n, steps: 60 + 20 * n as u64 })).collect()
    });
}

#[test]
fn crashes_while_a_snapshot_is_installed_or_a_member_added() {
    // The newcomer's disk is slow, so that it is cut off in the midst of what it is sent first, at any step of it.
    assert_all_sound(3, |seed| {
        let instance = seed as usize % 3;
        vec![
            at(40, Fault::Wipe { instance, steps: 5 }),
            at(44, Fault::SlowDisk { instance, write_steps: 9, steps: 100 }),
            at(70 + 3 * seed, Fault::Crash { instance, steps: 10 }),
        ]
    });
    // A member far behind, whose log has been compacted, crashes while it catches up.
    assert_all_sound(3, |seed| {
        let instance = (seed as usize + 1) % 3;
        vec![
            at(30, Fault::Crash { instance, steps: 90 }),
            at(118, Fault::SlowDisk { instance, write_steps: 6, steps: 60 }),
            at(122 + seed, Fault::Crash { instance, steps: 5 }),
            at(140 + seed, Fault::Crash { instance, steps: 5 }),
        ]
    });
}

#[test]
fn an_instance_whose_disk_is_lost_comes_back_as_another_member() {
    assert_all_sound(3, |seed| vec![at(40, Fault::Wipe { instance: seed as usize % 3, steps: 10 })]);
    // The last one that was not needed for a quorum goes while the new one is being added.
    assert_all_sound(3, |seed| {
        let instance = seed as usize % 3;
        vec![
            at(40, Fault::Wipe { instance, steps: 10 }),
            at(75 + seed, Fault::Crash { instance: (instance + 1) % 3, steps: 90 }),
        ]
    });
    assert_all_sound(5, |seed| {
        vec![
            at(40, Fault::Wipe { instance: seed as usize % 5, steps: 5 }),
            at(52, Fault::Crash { instance: (seed as usize + 2) % 5, steps: 40 }),
        ]
    });
}

#[test]
fn everything_mixed_and_the_same_seed_gives_the_same_run() {
    for seed in 0..120 {
        let instances = if seed % 2 == 0 { 3 } else { 5 };
        let plan = schedule(seed, instances);
        let report = play(seed, instances, DisabledProtection::None, DiskKind::Model, &plan);
        assert!(report.is_sound(), "seed {seed}, {plan:?}: {report:?}");
        if seed % 40 == 0 {
            assert_eq!(report, play(seed, instances, DisabledProtection::None, DiskKind::Model, &plan));
        }
    }
}

#[test]
fn everything_mixed_on_the_store_itself() {
    for seed in 0..6 {
        let plan = schedule(seed, 3);
        let report = play(seed, 3, DisabledProtection::None, DiskKind::Store, &plan);
        assert!(report.is_sound(), "seed {seed}, {plan:?}: {report:?}");
    }
}

#[test]
fn without_the_gate_or_the_syncs_the_same_checks_fail() {
    for disabled in [DisabledProtection::FencingGate, DisabledProtection::DiskSync] {
        let fails = |seed| !play(seed, 3, disabled, DiskKind::Model, &schedule(seed, 3)).is_sound();
        assert!((0..200).any(fails), "{disabled:?}: a check that can't fail is none");
    }
}

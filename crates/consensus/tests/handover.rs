//! Tests lease and leadership hand-over on simulated clusters in virtual time: paused instances, partitions, crashes,
//! faulty clocks and disks, each alone and then in random combinations. A last test shows that the same checks fail
//! when a protection is disabled.

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

fn run_schedule(
    seed: u64,
    instances: usize,
    disabled: DisabledProtection,
    disk_kind: DiskKind,
    plan: &[PlannedFault],
) -> RunReport {
    // A panic, such as of an assertion in the library, is reported as a violation.
    std::panic::catch_unwind(|| World::new(seed, instances, disabled, disk_kind).run(plan))
        .unwrap_or_else(|_| RunReport { lost: vec!["panic".to_owned()], ..RunReport::default() })
}

/// Runs the plan of each of 12 seeds and returns the total number of stale orders that the gate rejected.
///
/// # Panics
/// Panics on a violation or on fewer than 12 decisions in a run.
fn assert_no_violations(instances: usize, plan: impl Fn(u64) -> Vec<PlannedFault>) -> u64 {
    let mut rejected = 0;
    for seed in 0..12 {
        let plan = plan(seed);
        let report = run_schedule(seed, instances, DisabledProtection::None, DiskKind::Model, &plan);
        assert!(report.has_no_violations(), "seed {seed}, {plan:?}: {report:?}");
        assert!(report.decisions >= 12, "seed {seed}: {} decisions", report.decisions);
        rejected += report.stale_orders_rejected;
    }
    rejected
}

/// Schedules freezes of `steps` steps for the instances in turn, with their starts `gap` steps apart.
fn freezes(instances: usize, steps: u64, gap: u64) -> Vec<PlannedFault> {
    let planned_freeze = |n: u64| at(30 + n * gap, Fault::Freeze { instance: n as usize % instances, steps });
    (0..).map(planned_freeze).take_while(|planned| planned.at < FAULT_STEPS).collect()
}

#[test]
fn a_holder_frozen_between_lease_check_and_send_executes_nothing_once_deposed() {
    let rejected = assert_no_violations(3, |_| freezes(3, 60, 64));
    assert!(
        rejected > 0,
        "no order of a deposed holder reached the gate, so that the property was not tested"
    );
}

#[test]
fn freezes_shorter_than_an_election_and_overlapping_freezes_cause_no_violation() {
    assert_no_violations(3, |_| freezes(3, 7, 9));
    assert_no_violations(5, |_| freezes(5, 50, 20));
}

#[test]
fn two_way_three_way_and_one_way_partitions_cause_no_violation() {
    assert_no_violations(5, |seed| vec![at(40 + seed, Fault::Partition { side: 0b00011, steps: 120 })]);
    assert_no_violations(5, |seed| {
        vec![
            at(40 + seed, Fault::Partition { side: 0b00011, steps: 100 }),
            at(40 + seed, Fault::Partition { side: 0b00100, steps: 100 }),
        ]
    });
    assert_no_violations(3, |seed| {
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
    // Each partition has a different majority, so that both sides hold entries that the other has not seen.
    assert_no_violations(3, |_| {
        vec![
            at(30, Fault::Partition { side: 1, steps: 50 }),
            at(85, Fault::Partition { side: 2, steps: 50 }),
            at(140, Fault::Partition { side: 4, steps: 50 }),
        ]
    });
}

#[test]
fn lost_duplicated_reordered_and_long_delayed_messages_cause_no_violation() {
    assert_no_violations(3, |_| {
        vec![at(20, Fault::Noise { noise: Noise { lost: 30, duplicated: 30, delayed: 25 }, steps: 200 })]
    });
    assert_no_violations(5, |_| {
        vec![
            at(20, Fault::Noise { noise: Noise { lost: 20, duplicated: 50, delayed: 40 }, steps: 200 }),
            at(90, Fault::Freeze { instance: 0, steps: 50 }),
            at(100, Fault::Freeze { instance: 1, steps: 70 }),
        ]
    });
}

#[test]
fn jumping_fast_and_stopped_clocks_cause_no_violation() {
    assert_no_violations(3, |seed| {
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
fn simultaneous_and_successive_crashes_cause_no_violation() {
    assert_no_violations(3, |_| {
        (0..3).map(|n| at(50 + n, Fault::Crash { instance: n as usize, steps: 20 })).collect()
    });
    assert_no_violations(5, |seed| {
        (0..8)
            .map(|n| at(30 + 22 * n, Fault::Crash { instance: (n + seed) as usize % 5, steps: 30 }))
            .collect()
    });
}

#[test]
fn slow_disks_cause_no_violation() {
    assert_no_violations(3, |seed| {
        vec![
            at(30, Fault::SlowDisk { instance: seed as usize % 3, write_steps: 100, steps: 180 }),
            at(60, Fault::Crash { instance: 0, steps: 20 }),
        ]
    });
    assert_no_violations(3, |_| {
        (0..3).map(|n| at(30, Fault::SlowDisk { instance: n, write_steps: 12, steps: 200 })).collect()
    });
}

#[test]
fn full_disks_lose_no_decision() {
    assert_no_violations(3, |seed| {
        vec![
            at(30, Fault::FullDisk { instance: seed as usize % 3, steps: 190 }),
            at(90, Fault::Crash { instance: 1, steps: 30 }),
        ]
    });
    // All disks are full at the same time: nothing is decided until one has space again.
    assert_no_violations(3, |_| {
        (0..3).map(|n| at(60, Fault::FullDisk { instance: n, steps: 60 + 20 * n as u64 })).collect()
    });
}

#[test]
fn crashes_during_snapshot_installation_or_member_addition_cause_no_violation() {
    // The replacement's disk is slow, so that the crash interrupts its first snapshot or entries, at a step that varies
    // with the seed.
    assert_no_violations(3, |seed| {
        let instance = seed as usize % 3;
        vec![
            at(40, Fault::Wipe { instance, steps: 5 }),
            at(44, Fault::SlowDisk { instance, write_steps: 9, steps: 100 }),
            at(70 + 3 * seed, Fault::Crash { instance, steps: 10 }),
        ]
    });
    // A member that is far behind a compacted log crashes while it catches up.
    assert_no_violations(3, |seed| {
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
fn an_instance_that_lost_its_disk_rejoins_as_a_new_member() {
    assert_no_violations(3, |seed| vec![at(40, Fault::Wipe { instance: seed as usize % 3, steps: 10 })]);
    // A further instance, the last one that the quorum can spare, crashes while the replacement is being added.
    assert_no_violations(3, |seed| {
        let instance = seed as usize % 3;
        vec![
            at(40, Fault::Wipe { instance, steps: 10 }),
            at(75 + seed, Fault::Crash { instance: (instance + 1) % 3, steps: 90 }),
        ]
    });
    assert_no_violations(5, |seed| {
        vec![
            at(40, Fault::Wipe { instance: seed as usize % 5, steps: 5 }),
            at(52, Fault::Crash { instance: (seed as usize + 2) % 5, steps: 40 }),
        ]
    });
}

#[test]
fn random_schedules_cause_no_violation_and_are_reproducible_by_seed() {
    for seed in 0..120 {
        let instances = if seed % 2 == 0 { 3 } else { 5 };
        let plan = schedule(seed, instances);
        let report = run_schedule(seed, instances, DisabledProtection::None, DiskKind::Model, &plan);
        assert!(report.has_no_violations(), "seed {seed}, {plan:?}: {report:?}");
        if seed % 40 == 0 {
            assert_eq!(
                report,
                run_schedule(seed, instances, DisabledProtection::None, DiskKind::Model, &plan)
            );
        }
    }
}

#[test]
fn random_schedules_on_the_real_store_cause_no_violation() {
    for seed in 0..6 {
        let plan = schedule(seed, 3);
        let report = run_schedule(seed, 3, DisabledProtection::None, DiskKind::Store, &plan);
        assert!(report.has_no_violations(), "seed {seed}, {plan:?}: {report:?}");
    }
}

#[test]
fn without_fencing_or_disk_syncs_the_checks_detect_violations() {
    for disabled in [DisabledProtection::FencingGate, DisabledProtection::DiskSync] {
        let fails =
            |seed| !run_schedule(seed, 3, disabled, DiskKind::Model, &schedule(seed, 3)).has_no_violations();
        assert!((0..200).any(fails), "{disabled:?}: no violation was detected with the protection disabled");
    }
}

//! Faults of a run and the random schedules of them.

use fastrand::Rng;
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::membership::MembershipChange;

use super::instance::{Temporary, TicketOwner};
use super::network::{Noise, OneWayLoss, Partition};
use super::operator::Replacements;
use super::{DisabledProtection, World, member};
use crate::disk::SimDisk;

/// Steps in which faults may occur; afterwards all faults end.
pub const FAULT_STEPS: u64 = 240;

/// Fault at an instance or between two. Instances are given by their position; `steps` is the duration of the fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Pause of the process: its clock stops and incoming messages are queued until it resumes.
    Freeze { instance: usize, steps: u64 },
    /// Power loss; the instance restarts after `steps`.
    Crash { instance: usize, steps: u64 },
    /// Partition of the instances by their bits in `side`: messages pass only between instances with the same bit. Two
    /// partitions at once split the instances into three or four groups.
    Partition { side: u32, steps: u64 },
    /// Loss of all messages from one instance to another, but not of those in the opposite direction.
    OneWayLoss { from: usize, to: usize, steps: u64 },
    /// Clock that runs at `ticks` ticks a step.
    ClockRate { instance: usize, ticks: u8, steps: u64 },
    /// Forward jump of the clock by `ticks` ticks.
    ClockJump { instance: usize, ticks: u64 },
    /// Disk whose writes take `write_steps` steps each.
    SlowDisk { instance: usize, write_steps: u64, steps: u64 },
    /// Nearly full disk: the instance writes only what safety requires.
    FullDisk { instance: usize, steps: u64 },
    /// Random loss, duplication and long delay of messages.
    Noise { noise: Noise, steps: u64 },
    /// Transfer of the leadership to an instance.
    Transfer { to: usize },
    /// Loss of the disk: the machine restarts empty under its old name, and the operator replaces the member.
    Wipe { instance: usize, steps: u64 },
}

/// Fault and the step at which it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Step at which the fault starts.
    pub at: u64,
    /// Fault to inject.
    pub fault: Fault,
}

/// Draws a random schedule of faults; the same seed gives the same schedule.
pub fn schedule(seed: u64, instances: usize) -> Vec<PlannedFault> {
    let mut rng = Rng::with_seed(seed);
    let count = rng.u32(5..11);
    let mut plan: Vec<PlannedFault> = (0..count).map(|_| random_fault(&mut rng, instances)).collect();
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// Draws one fault. Every fault draws all of the leading values, whether it uses them or not, because the order of
/// draws determines the schedule of a seed.
fn random_fault(rng: &mut Rng, instances: usize) -> PlannedFault {
    let at = rng.u64(20..FAULT_STEPS - 30);
    let instance = rng.usize(..instances);
    let other = rng.usize(..instances);
    // The range spans faults shorter than an election and faults longer than a lease's ttl, and lets faults overlap.
    let steps = rng.u64(3..90);
    let side = rng.u32(1..(1 << instances) - 1);
    let fault = match rng.u8(0..15) {
        0..=3 => Fault::Freeze { instance, steps },
        4 | 5 => Fault::Crash { instance, steps },
        6 | 7 => Fault::Partition { side, steps },
        8 => Fault::OneWayLoss { from: instance, to: other, steps },
        9 => Fault::ClockRate { instance, ticks: *rng.choice(&[0, 2, 5]).unwrap_or(&0), steps },
        10 => Fault::ClockJump { instance, ticks: steps },
        11 => Fault::SlowDisk { instance, write_steps: rng.u64(2..12), steps },
        12 => Fault::FullDisk { instance, steps },
        13 => {
            let lost = rng.u8(0..40);
            let duplicated = rng.u8(0..30);
            let delayed = rng.u8(0..20);
            Fault::Noise { noise: Noise { lost, duplicated, delayed }, steps }
        }
        _ if rng.bool() => Fault::Transfer { to: instance },
        _ => Fault::Wipe { instance, steps },
    };
    PlannedFault { at, fault }
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Freeze { instance, steps } => self.instances[instance].frozen_until = now + steps,
            Fault::Crash { instance, steps } => self.crash(instance, steps),
            Fault::Partition { side, steps } => {
                self.network.partitions.push(Partition { side, until: now + steps });
            }
            Fault::OneWayLoss { from, to, steps } => {
                self.network.one_way_losses.push(OneWayLoss { from, to, until: now + steps });
            }
            Fault::ClockRate { instance, ticks, steps } => {
                self.instances[instance].ticks_per_step = Temporary { value: ticks, until: now + steps };
            }
            Fault::ClockJump { instance, ticks } => self.jump_clock(instance, ticks),
            Fault::SlowDisk { instance, write_steps, steps } => {
                self.instances[instance].write_steps = Temporary { value: write_steps, until: now + steps };
            }
            Fault::FullDisk { instance, steps } => self.instances[instance].full_until = now + steps,
            Fault::Noise { noise, steps } => {
                self.network.noise = Temporary { value: noise, until: now + steps };
            }
            Fault::Transfer { to } => self.transfer_leadership(to),
            Fault::Wipe { instance, steps } => self.wipe(instance, steps),
        }
    }

    fn jump_clock(&mut self, instance: usize, ticks: u64) {
        let Some(process) = &mut self.instances[instance].process else { return };
        for _ in 0..ticks {
            process.node.tick();
        }
    }

    fn transfer_leadership(&mut self, to: usize) {
        let successor = self.instances[to].id;
        for instance in &mut self.instances {
            let Some(process) = &mut instance.process else { continue };
            if process.node.is_leader() {
                let ticket = process.new_ticket(TicketOwner::Ignored);
                process.node.transfer_leadership(ticket, successor);
            }
        }
    }

    fn crash(&mut self, instance: usize, steps: u64) {
        let seed = self.rng.u64(..);
        let instance = &mut self.instances[instance];
        if let Some(process) = instance.process.take() {
            // A write in progress is either complete or missing after the power loss; the store's own tests cover torn
            // writes.
            if let Some(write) = process.write
                && seed & 1 == 0
            {
                instance.disk.write(&write.ready.batch);
            }
            instance.disk.crash(seed);
        }
        instance.inbox.clear();
        instance.down_until = self.now + steps;
        instance.frozen_until = 0;
    }

    fn wipe(&mut self, position: usize, steps: u64) {
        // Only one disk is lost in a run, since losing the disks of a quorum always loses decisions. No disk is lost
        // when a protection is disabled, so that any violation is due to the missing protection.
        let any_wiped = self.instances.iter().any(|instance| instance.wiped);
        if any_wiped || self.disabled != DisabledProtection::None {
            return;
        }
        self.crash(position, steps);
        let new_id = InstanceId(self.next_id);
        self.next_id += 1;
        let instance = &mut self.instances[position];
        let old_id = instance.id;
        instance.id = new_id;
        instance.wiped = true;
        instance.starts = 0;
        instance.disk = SimDisk::new(instance.disk.kind(), new_id);
        self.replacements = Replacements::new([
            MembershipChange::Remove(old_id),
            MembershipChange::Add(member(new_id, position)),
        ]);
    }

    /// Ends all faults. Instances that are down restart in the next step.
    pub(super) fn heal(&mut self) {
        self.network.heal();
        for instance in &mut self.instances {
            instance.frozen_until = 0;
            instance.down_until = 0;
            instance.ticks_per_step = Temporary::default();
            instance.write_steps = Temporary::default();
            instance.full_until = 0;
        }
    }
}

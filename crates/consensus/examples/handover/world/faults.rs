//! What goes wrong in a run, and when.

use fastrand::Rng;
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::membership::MembershipChange;

use super::instance::{Temporary, TicketOwner};
use super::network::{Noise, OneWayLoss, Partition};
use super::operator::Replacements;
use super::{DisabledProtection, World, member};
use crate::disk::SimDisk;

/// Steps with faults; then all is healed.
pub const FAULT_STEPS: u64 = 240;

/// Something that goes wrong at an instance or between two. Instances are given by their position; `steps` is how
/// long the fault lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process stops and goes on later, with its clock and its messages waiting.
    Freeze { instance: usize, steps: u64 },
    /// Power off; on again later.
    Crash { instance: usize, steps: u64 },
    /// Instances are split by their bits in `side`; messages pass only between instances with the same bit. Two of
    /// these at once split them into three or four parts.
    Partition { side: u32, steps: u64 },
    /// Messages from one to the other are lost, not those the other way.
    OneWayLoss { from: usize, to: usize, steps: u64 },
    /// The clock runs so many ticks a step.
    ClockRate { instance: usize, ticks: u8, steps: u64 },
    /// The clock jumps by so many ticks.
    ClockJump { instance: usize, ticks: u64 },
    /// Writes take so many steps.
    SlowDisk { instance: usize, write_steps: u64, steps: u64 },
    /// The disk takes only what must be kept to stay safe.
    FullDisk { instance: usize, steps: u64 },
    /// Of a hundred messages so many are lost, duplicated or much delayed.
    Noise { noise: Noise, steps: u64 },
    /// Leadership is transferred.
    Transfer { to: usize },
    /// The disk is lost; the machine comes back empty under its old name and is replaced as an operator would.
    Wipe { instance: usize, steps: u64 },
}

/// A fault and the step at which it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// The step.
    pub at: u64,
    /// The fault.
    pub fault: Fault,
}

/// A random schedule of faults; the same for the same seed.
pub fn schedule(seed: u64, instances: usize) -> Vec<PlannedFault> {
    let mut rng = Rng::with_seed(seed);
    let count = rng.u32(5..11);
    let mut plan: Vec<PlannedFault> = (0..count).map(|_| random_fault(&mut rng, instances)).collect();
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// The order of draws is part of what a seed means: every fault draws all of these, whether it needs them or not.
fn random_fault(rng: &mut Rng, instances: usize) -> PlannedFault {
    let at = rng.u64(20..FAULT_STEPS - 30);
    let instance = rng.usize(..instances);
    let other = rng.usize(..instances);
    // Some shorter than an election, some that overlap, some longer than a lease's ttl.
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
                process.node.transfer(ticket, successor);
            }
        }
    }

    fn crash(&mut self, instance: usize, steps: u64) {
        let seed = self.rng.u64(..);
        let instance = &mut self.instances[instance];
        if let Some(process) = instance.process.take() {
            // The write in progress when the power goes is there or not; half of it is the store's own test.
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
        // One lost disk at a time: losing a quorum's disks loses decisions whatever is done. A protection that is
        // disabled must show without it.
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

    /// Ends all faults.
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

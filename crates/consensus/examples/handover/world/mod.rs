//! A cluster in virtual time: instances with their clocks and disks, a network that loses, duplicates and delays, a
//! fencing gate with effects behind it, clients, and a schedule of faults. The same seed and schedule give the same
//! run.
//!
//! In reading order: `faults`, `network`, `instance`, `order_dispatch` (the holder's work), `gate`, `clients`,
//! `operator`, `checks`.

pub mod checks;
mod clients;
pub mod faults;
mod gate;
mod instance;
pub mod network;
mod operator;
mod order_dispatch;

use fastrand::Rng;
use garnetcrank_consensus::ids::{InstanceId, Role, Subject};
use garnetcrank_consensus::raft_node;
use garnetcrank_consensus::replicated_state::Member;
use garnetcrank_test_support::linearizability::History;

use self::checks::{RaftInvariants, RunReport};
use self::clients::Client;
use self::faults::{FAULT_STEPS, PlannedFault};
use self::gate::GateProcess;
use self::instance::Instance;
use self::network::{Address, Network};
use self::operator::Replacements;
use crate::disk::{DiskKind, SimDisk};

/// Steps after which a healed cluster must have answered everything.
const RECOVERY_STEPS: u64 = 1_200;
/// Orders that holders dispatch.
const ORDERS: u64 = 12;
const CLIENTS: usize = 3;

/// A protection that can be disabled, to see the checks fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledProtection {
    /// None: all protections work.
    None,
    /// The gate admits every epoch.
    FencingGate,
    /// Disks say that they have synced and have not.
    DiskSync,
}

/// The simulated cluster and everything around it.
pub struct World {
    disabled: DisabledProtection,
    rng: Rng,
    /// The present step.
    now: u64,
    instances: Vec<Instance>,
    next_id: u64,
    network: Network,
    gate: GateProcess,
    clients: Vec<Client>,
    history: History,
    invariants: RaftInvariants,
    replacements: Replacements,
    report: RunReport,
}

fn role() -> Role {
    Role("orders".to_owned())
}

fn subject(number: u64) -> Subject {
    Subject::new("subject", number)
}

fn order(number: u64) -> Subject {
    Subject::new("order", number)
}

fn member(id: InstanceId, position: usize) -> Member {
    let address = format!("127.0.0.1:{}", 7000 + position);
    Member { id, name: format!("n{position}"), address }
}

impl World {
    /// A cluster of so many instances.
    pub fn new(seed: u64, instances: usize, disabled: DisabledProtection, disk_kind: DiskKind) -> Self {
        let founders: Vec<Member> =
            (0..instances).map(|position| member(InstanceId(position as u64 + 1), position)).collect();
        let initial_state = raft_node::initial_state(&founders);
        let found = |founder: &Member| {
            let mut disk = SimDisk::new(disk_kind, founder.id);
            // Synced whatever is disabled later.
            disk.write(&initial_state);
            disk.set_ignore_syncs(disabled == DisabledProtection::DiskSync);
            Instance::new(founder.id, disk)
        };
        Self {
            disabled,
            rng: Rng::with_seed(seed ^ 0x5eed),
            now: 0,
            instances: founders.iter().map(found).collect(),
            next_id: instances as u64 + 1,
            network: Network::default(),
            gate: GateProcess::default(),
            clients: (0..CLIENTS).map(|_| Client::new()).collect(),
            history: History::default(),
            invariants: RaftInvariants::default(),
            replacements: Replacements::default(),
            report: RunReport::default(),
        }
    }

    /// Plays the schedule, heals everything, and checks.
    pub fn run(mut self, plan: &[PlannedFault]) -> RunReport {
        let mut plan = plan.iter().peekable();
        while self.now < FAULT_STEPS {
            while let Some(planned) = plan.next_if(|planned| planned.at <= self.now) {
                self.inject(planned.fault);
            }
            self.step();
            if !self.report.is_sound() {
                return self.report;
            }
        }
        self.heal();
        let end = self.now + RECOVERY_STEPS;
        while self.now < end && !self.is_settled() {
            self.step();
            if !self.report.is_sound() {
                return self.report;
            }
        }
        self.check();
        self.report
    }

    fn step(&mut self) {
        self.now += 1;
        while let Some(arrived) = self.network.next_arrival(self.now) {
            match arrived.to {
                Address::Instance(position) => self.instances[position].inbox.push(arrived.packet),
                Address::Gate => self.at_gate(arrived.from, arrived.packet),
                Address::Clients => self.at_client(arrived.packet),
            }
        }
        for position in 0..self.instances.len() {
            self.start_if_due(position);
            self.step_instance(position);
        }
        for position in 0..self.clients.len() {
            self.client_turn(position);
        }
        self.operator_turn();
    }
}

//! Simulation of a cluster in virtual time: instances with their clocks and disks, a network that loses, duplicates and
//! delays messages, a fencing gate that executes orders, clients, and a schedule of faults. A run is deterministic:
//! the same seed and schedule give the same run.
//!
//! Suggested reading order of the modules: `faults`, `network`, `instance`, `order_dispatch` (what an instance does as
//! the lease holder), `gate`, `clients`, `operator`, `checks`.

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

/// Steps within which a cluster must have answered every request after its faults have ended.
const RECOVERY_STEPS: u64 = 1_200;
/// Number of orders that the lease holders dispatch.
const ORDERS: u64 = 12;
const CLIENTS: usize = 3;

/// Protection that a run can disable, to show that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledProtection {
    /// No protection is disabled.
    None,
    /// Fencing is disabled: the gate admits orders under older epochs.
    FencingGate,
    /// Disk syncs are disabled: disks report success without making the data durable.
    DiskSync,
}

/// Simulated cluster with its network, fencing gate, clients and operator.
pub struct World {
    disabled: DisabledProtection,
    rng: Rng,
    /// Current step.
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
    /// Creates a cluster of `instances` instances that have not started yet.
    pub fn new(seed: u64, instances: usize, disabled: DisabledProtection, disk_kind: DiskKind) -> Self {
        let initial_members: Vec<Member> =
            (0..instances).map(|position| member(InstanceId(position as u64 + 1), position)).collect();
        let initial_state = raft_node::initial_state(&initial_members);
        let create_instance = |member: &Member| {
            let mut disk = SimDisk::new(disk_kind, member.id);
            // The initial state is always durable, even if the run disables syncs.
            disk.write(&initial_state);
            disk.set_ignore_syncs(disabled == DisabledProtection::DiskSync);
            Instance::new(member.id, disk)
        };
        Self {
            disabled,
            rng: Rng::with_seed(seed ^ 0x5eed),
            now: 0,
            instances: initial_members.iter().map(create_instance).collect(),
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

    /// Runs the schedule, ends all faults, waits until the cluster has settled and checks the final state. Returns
    /// early at the first violation.
    pub fn run(mut self, plan: &[PlannedFault]) -> RunReport {
        let mut plan = plan.iter().peekable();
        while self.now < FAULT_STEPS {
            while let Some(planned) = plan.next_if(|planned| planned.at <= self.now) {
                self.inject(planned.fault);
            }
            self.step();
            if !self.report.has_no_violations() {
                return self.report;
            }
        }
        self.heal();
        let end = self.now + RECOVERY_STEPS;
        while self.now < end && !self.is_settled() {
            self.step();
            if !self.report.has_no_violations() {
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
                Address::Gate => self.deliver_to_gate(arrived.from, arrived.packet),
                Address::Clients => self.deliver_to_client(arrived.packet),
            }
        }
        for position in 0..self.instances.len() {
            self.start_if_due(position);
            self.step_instance(position);
        }
        for position in 0..self.clients.len() {
            self.step_client(position);
        }
        self.step_operator();
    }
}

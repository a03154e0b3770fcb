//! Simulated instance: its disk, its clock and, while it runs, its process.

use std::collections::BTreeMap;

use garnetcrank_consensus::ids::{InstanceId, Subject, Ticket};
use garnetcrank_consensus::lease_client::LeaseClient;
use garnetcrank_consensus::pending_requests::{Answer, TicketAnswer};
use garnetcrank_consensus::proposal_queue::ProposalQueue;
use garnetcrank_consensus::raft_node::{
    AppliedEntry, Message, RaftNode, RaftNodeError, RaftSettings, Ready, StorageHeadroom,
};
use garnetcrank_consensus::replicated_state::SubjectState;
use garnetcrank_store::StoreError;

use super::network::{Address, Packet};
use super::order_dispatch::{OrderProgress, ProposalPurpose};
use super::{World, role};
use crate::disk::SimDisk;

/// Ticks for which a lease stays valid without a renewal.
const LEASE_TTL_TICKS: u64 = 30;

/// Value that applies before the step `until`.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Temporary<T> {
    pub(super) value: T,
    pub(super) until: u64,
}

impl<T: Copy> Temporary<T> {
    pub(super) fn at(&self, now: u64) -> Option<T> {
        if self.until > now { Some(self.value) } else { None }
    }
}

pub(super) struct Instance {
    pub(super) id: InstanceId,
    pub(super) disk: SimDisk,
    /// Number of times that the process was started with this disk.
    pub(super) starts: u64,
    /// Running process; none while the power is off.
    pub(super) process: Option<Process>,
    pub(super) down_until: u64,
    pub(super) frozen_until: u64,
    pub(super) inbox: Vec<Packet>,
    /// Rate of the instance's clock under a fault; 1 tick a step otherwise.
    pub(super) ticks_per_step: Temporary<u8>,
    /// Duration of a write under a fault, in steps; 0 otherwise.
    pub(super) write_steps: Temporary<u64>,
    pub(super) full_until: u64,
    pub(super) wiped: bool,
}

/// Disk write in progress.
pub(super) struct PendingWrite {
    done_at: u64,
    pub(super) ready: Ready,
}

/// Sender of the request that a ticket identifies.
#[derive(Debug, Clone, Copy)]
pub(super) enum TicketOwner {
    /// The instance's own proposal queue.
    ProposalQueue,
    Client(usize),
    Operator,
    /// The answer is discarded.
    Ignored,
}

pub(super) struct Process {
    pub(super) node: RaftNode,
    pub(super) lease_client: LeaseClient,
    pub(super) proposals: ProposalQueue<ProposalPurpose>,
    pub(super) tickets: BTreeMap<Ticket, TicketOwner>,
    pub(super) next_ticket: u64,
    pub(super) write: Option<PendingWrite>,
    /// Orders that this process works on as the lease holder.
    pub(super) orders: BTreeMap<u64, OrderProgress>,
}

/// Packets that a process sends in a step.
#[derive(Default)]
struct StepOutput {
    to_gate: Vec<Packet>,
    to_peers: Vec<Message>,
}

/// Error at the start of an instance.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Disk(#[from] StoreError),
    #[error(transparent)]
    Node(#[from] RaftNodeError),
}

impl Process {
    fn new(node: RaftNode, lease_client: LeaseClient) -> Self {
        Self {
            node,
            lease_client,
            proposals: ProposalQueue::new(64, 3),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            write: None,
            orders: BTreeMap::new(),
        }
    }

    pub(super) fn new_ticket(&mut self, owner: TicketOwner) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.tickets.insert(ticket, owner);
        ticket
    }

    fn receive(&mut self, packet: Packet) {
        match packet {
            Packet::Raft(message) => self.node.receive(*message),
            Packet::EpochObserved(epoch) => self.lease_client.on_epoch_observed(epoch),
            Packet::NewerEpoch(epoch) => self.lease_client.on_newer_epoch(epoch),
            Packet::OrderAdmitted { epoch, order } => self.on_order_admitted(epoch, order),
            Packet::OrderStatus { epoch, order, executed } => self.on_order_status(epoch, order, executed),
            Packet::ObserveEpoch(_)
            | Packet::SubmitOrder { .. }
            | Packet::QueryOrder { .. }
            | Packet::ClientAnswer { .. } => {}
        }
    }

    /// Returns the value of a subject that is decided in this instance's state.
    fn decided_value(&self, subject: &Subject) -> Option<Vec<u8>> {
        match self.node.state().subject_state(subject) {
            Some(SubjectState::Decided(value)) => Some(value.clone()),
            _ => None,
        }
    }
}

impl Instance {
    pub(super) fn new(id: InstanceId, disk: SimDisk) -> Self {
        Self {
            id,
            disk,
            starts: 0,
            process: None,
            down_until: 0,
            frozen_until: 0,
            inbox: Vec::new(),
            ticks_per_step: Temporary::default(),
            write_steps: Temporary::default(),
            full_until: 0,
            wiped: false,
        }
    }

    /// Starts the process from the state on disk. `stagger` is passed to [`LeaseClient::new`].
    fn start(&mut self, seed: u64, stagger: u64) -> Result<(), StartError> {
        self.starts += 1;
        self.inbox.clear();
        let settings = RaftSettings {
            election_ticks: 10,
            heartbeat_ticks: 3,
            compact_every: 25,
            retained_entries: 5,
            max_pending_requests: 64,
            max_message_bytes: 16 * 1024,
            seed,
            ..RaftSettings::default()
        };
        let persisted = self.disk.load()?;
        let node = RaftNode::start(settings, self.id, self.starts, persisted)?;
        let lease_client = LeaseClient::new(role(), self.id, LEASE_TTL_TICKS, stagger);
        self.process = Some(Process::new(node, lease_client));
        Ok(())
    }

    /// Runs one step of the process: advances its clock, handles its messages, works on orders and writes to disk.
    fn step(&mut self, now: u64) -> Result<StepOutput, RaftNodeError> {
        let Some(process) = &mut self.process else { return Ok(StepOutput::default()) };
        for _ in 0..self.ticks_per_step.at(now).unwrap_or(1) {
            process.node.tick();
        }
        let is_full = self.full_until > now;
        let headroom = if is_full { StorageHeadroom::Low } else { StorageHeadroom::Sufficient };
        process.node.set_storage_headroom(headroom);
        for packet in std::mem::take(&mut self.inbox) {
            process.receive(packet);
        }
        let to_gate = process.advance_lease_and_orders(now);
        let to_peers = self.write(now)?;
        Ok(StepOutput { to_gate, to_peers })
    }

    /// Completes the disk writes that are done by this step and returns the messages that were waiting for them.
    fn write(&mut self, now: u64) -> Result<Vec<Message>, RaftNodeError> {
        let mut messages = Vec::new();
        let Some(process) = &mut self.process else { return Ok(messages) };
        let done_at = now + self.write_steps.at(now).unwrap_or(0);
        loop {
            if process.write.is_none() {
                process.write = process.node.ready()?.map(|ready| PendingWrite { done_at, ready });
            }
            let Some(write) = process.write.take_if(|write| write.done_at <= now) else { break };
            if !write.ready.batch.is_empty() {
                self.disk.write(&write.ready.batch);
            }
            messages.extend(write.ready.messages);
            process.node.on_persisted()?;
        }
        Ok(messages)
    }
}

impl World {
    /// Starts an instance whose downtime has ended.
    pub(super) fn start_if_due(&mut self, position: usize) {
        let instance = &mut self.instances[position];
        if instance.process.is_some() || instance.down_until > self.now {
            return;
        }
        let seed = self.rng.u64(..);
        let stagger = 5 + 7 * position as u64;
        if let Err(error) = instance.start(seed, stagger) {
            let violation = format!("step {}: instance n{position} does not start: {error}", self.now);
            self.report.lost.push(violation);
        }
    }

    /// Runs one step of an instance, unless it is frozen.
    pub(super) fn step_instance(&mut self, position: usize) {
        let now = self.now;
        if self.instances[position].frozen_until > now {
            return;
        }
        let output = match self.instances[position].step(now) {
            Ok(output) => output,
            Err(error) => {
                self.report.other.push(format!("step {now}: instance n{position} failed: {error}"));
                return;
            }
        };
        let from = Address::Instance(position);
        let to_gate = output.to_gate.into_iter().map(|packet| (Address::Gate, packet));
        let mut outbound: Vec<(Address, Packet)> = to_gate.collect();
        for message in output.to_peers {
            let receiver = self.instances.iter().position(|instance| instance.id.0 == message.to);
            if let Some(receiver) = receiver {
                outbound.push((Address::Instance(receiver), Packet::Raft(Box::new(message))));
            }
        }
        self.observe_node(position);
        outbound.extend(self.route_answers(position));
        for (to, packet) in outbound {
            self.network.send(&mut self.rng, now, from, to, packet);
        }
    }

    /// Checks the entries that the instance has applied, and its leadership, against the Raft invariants.
    fn observe_node(&mut self, position: usize) {
        let instance = &mut self.instances[position];
        let Some(process) = &mut instance.process else { return };
        for AppliedEntry { index, term } in process.node.take_applied() {
            let violation = self.invariants.on_applied(index, term);
            self.report
                .conflicts
                .extend(violation.map(|violation| format!("step {}: {violation}", self.now)));
        }
        if process.node.is_leader() {
            let violation = self.invariants.on_leader(process.node.status().term, instance.id);
            self.report
                .conflicts
                .extend(violation.map(|violation| format!("step {}: {violation}", self.now)));
        }
    }

    /// Passes each answer to the sender of its request; returns those that go to clients over the network.
    fn route_answers(&mut self, position: usize) -> Vec<(Address, Packet)> {
        let now = self.now;
        let mut to_clients = Vec::new();
        let Some(process) = &mut self.instances[position].process else { return to_clients };
        for TicketAnswer { ticket, answer } in process.node.take_answers() {
            match process.tickets.remove(&ticket) {
                Some(TicketOwner::ProposalQueue) => process.on_proposal_answer(now, answer),
                Some(TicketOwner::Client(client)) => {
                    let read_value = match self.clients[client].subject_read() {
                        Some(subject) if answer == Answer::ReadReady => process.decided_value(&subject),
                        _ => None,
                    };
                    let packet = Packet::ClientAnswer { client, ticket, answer, read_value };
                    to_clients.push((Address::Clients, packet));
                }
                Some(TicketOwner::Operator) => self.replacements.on_answer(&answer),
                Some(TicketOwner::Ignored) => {}
                None => {
                    let violation =
                        format!("step {now}: instance n{position} answered ticket {ticket} twice");
                    self.report.conflicts.push(violation);
                }
            }
        }
        to_clients
    }
}

//! Simulated network with partitions that loses, duplicates and delays messages.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use fastrand::Rng;
use garnetcrank_consensus::ids::{Epoch, Ticket};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::raft_node::Message;

use super::instance::Temporary;

/// Content of a message between two addresses.
#[derive(Debug, Clone)]
pub(super) enum Packet {
    /// Raft message between instances.
    Raft(Box<Message>),
    /// Lease holder's request that the gate observe its epoch.
    ObserveEpoch(Epoch),
    /// Lease holder's order to the gate.
    SubmitOrder { epoch: Epoch, order: u64 },
    /// Lease holder's query to the gate whether an order in doubt was executed.
    QueryOrder { epoch: Epoch, order: u64 },
    /// Gate's reply that it has observed this epoch.
    EpochObserved(Epoch),
    /// Gate's rejection of an older epoch: it has observed this newer one.
    NewerEpoch(Epoch),
    /// Gate's reply that it has admitted the order, now or earlier.
    OrderAdmitted { epoch: Epoch, order: u64 },
    /// Gate's reply to a query.
    OrderStatus { epoch: Epoch, order: u64, executed: bool },
    /// Answer to a client's request. `read_value` is the decided value that a read found, if any.
    ClientAnswer { client: usize, ticket: Ticket, answer: Answer, read_value: Option<Vec<u8>> },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Address {
    Instance(usize),
    Gate,
    Clients,
}

/// Packet in transit.
pub(super) struct InTransit {
    due: u64,
    /// Send sequence number: packets due at the same step arrive in the order in which they were sent.
    sequence: u64,
    pub(super) from: Address,
    pub(super) to: Address,
    pub(super) packet: Packet,
}

impl PartialEq for InTransit {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for InTransit {}

impl PartialOrd for InTransit {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for InTransit {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

/// Percentages of messages that are lost, duplicated and delayed for long.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Noise {
    /// Percentage of messages lost.
    pub lost: u8,
    /// Percentage of messages duplicated.
    pub duplicated: u8,
    /// Percentage of messages delayed for longer than an election, a lease's ttl or a transfer of leadership may take.
    pub delayed: u8,
}

/// Partition of the instances: two whose bits in `side` differ can't reach each other.
#[derive(Debug)]
pub(super) struct Partition {
    pub(super) side: u32,
    pub(super) until: u64,
}

impl Partition {
    fn separates(&self, from: usize, to: usize) -> bool {
        (self.side >> from & 1) != (self.side >> to & 1)
    }
}

/// Loss of all messages from one instance to another, but not of those in the opposite direction.
#[derive(Debug)]
pub(super) struct OneWayLoss {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) until: u64,
}

#[derive(Default)]
pub(super) struct Network {
    in_transit: BinaryHeap<Reverse<InTransit>>,
    sent_count: u64,
    pub(super) partitions: Vec<Partition>,
    pub(super) one_way_losses: Vec<OneWayLoss>,
    pub(super) noise: Temporary<Noise>,
}

impl Network {
    pub(super) fn heal(&mut self) {
        self.partitions.clear();
        self.one_way_losses.clear();
        self.noise = Temporary::default();
    }

    /// Sends a packet, unless the network loses it.
    pub(super) fn send(&mut self, rng: &mut Rng, now: u64, from: Address, to: Address, packet: Packet) {
        let noise = self.noise.at(now);
        if !self.connects(now, from, to) || noise.is_some_and(|noise| rng.u8(..100) < noise.lost) {
            return;
        }
        let duplicated = noise.is_some_and(|noise| rng.u8(..100) < noise.duplicated);
        let copies = if duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let delay = delay(rng, noise) + pause_before_send(rng, &packet);
            self.sent_count += 1;
            self.in_transit.push(Reverse(InTransit {
                due: now + 1 + delay,
                sequence: self.sent_count,
                from,
                to,
                packet: packet.clone(),
            }));
        }
    }

    /// Removes and returns the next packet that is due by this step.
    pub(super) fn next_arrival(&mut self, now: u64) -> Option<InTransit> {
        let Reverse(next) = self.in_transit.peek()?;
        if next.due > now {
            return None;
        }
        self.in_transit.pop().map(|Reverse(arrived)| arrived)
    }

    /// Returns whether a message can pass. Partitions affect only messages between instances: every instance can always
    /// reach the gate and the clients.
    fn connects(&self, now: u64, from: Address, to: Address) -> bool {
        let (Address::Instance(from), Address::Instance(to)) = (from, to) else { return true };
        let is_separated =
            self.partitions.iter().any(|partition| partition.until > now && partition.separates(from, to));
        let is_lost =
            self.one_way_losses.iter().any(|loss| loss.until > now && (loss.from, loss.to) == (from, to));
        !is_separated && !is_lost
    }
}

/// Draws the number of steps that a packet takes beyond the first. The upper limit is far below the minutes that a real
/// network may delay a packet: at 10 ms a step those would outlast the run. A delayed packet still arrives later than
/// an election, a lease's ttl or a transfer of leadership takes.
fn delay(rng: &mut Rng, noise: Option<Noise>) -> u64 {
    if noise.is_some_and(|noise| rng.u8(..100) < noise.delayed) { rng.u64(20..250) } else { rng.u64(0..3) }
}

/// Draws the number of steps between the lease check of an order and its sending: the sending thread may be descheduled
/// in between.
fn pause_before_send(rng: &mut Rng, packet: &Packet) -> u64 {
    match packet {
        Packet::SubmitOrder { .. } if rng.u8(..4) == 0 => rng.u64(1..120),
        _ => 0,
    }
}

//! A network that splits, loses, duplicates and delays.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use fastrand::Rng;
use garnetcrank_consensus::ids::{Epoch, Ticket};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::raft_node::Message;

use super::instance::Temporary;

/// What travels.
#[derive(Debug, Clone)]
pub(super) enum Packet {
    /// Between instances.
    Raft(Box<Message>),
    /// A holder shows its epoch to the gate.
    ObserveEpoch(Epoch),
    /// A holder sends an order.
    SubmitOrder { epoch: Epoch, order: u64 },
    /// A holder asks whether an order in doubt was executed.
    QueryOrder { epoch: Epoch, order: u64 },
    /// The gate has observed this epoch.
    EpochObserved(Epoch),
    /// The gate knows of this newer epoch.
    NewerEpoch(Epoch),
    /// The gate has admitted the order, now or before.
    OrderAdmitted { epoch: Epoch, order: u64 },
    /// The gate's answer to a query.
    OrderStatus { epoch: Epoch, order: u64, executed: bool },
    /// To a client. `read_value`: what a read found decided.
    ClientAnswer { client: usize, ticket: Ticket, answer: Answer, read_value: Option<Vec<u8>> },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Address {
    Instance(usize),
    Gate,
    Clients,
}

/// A packet under way.
pub(super) struct InTransit {
    due: u64,
    /// Tells packets that are due at the same step apart: they arrive in the order in which they were sent.
    number: u64,
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
        (self.due, self.number).cmp(&(other.due, other.number))
    }
}

/// Of a hundred messages so many are lost, duplicated or much delayed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Noise {
    /// Lost.
    pub lost: u8,
    /// Duplicated.
    pub duplicated: u8,
    /// Delayed beyond an election, a lease's ttl and a transfer of leadership.
    pub delayed: u8,
}

/// Instances whose bits differ in `side` can't reach one another.
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

/// Messages of one instance to another are lost.
#[derive(Debug)]
pub(super) struct OneWayLoss {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) until: u64,
}

#[derive(Default)]
pub(super) struct Network {
    in_transit: BinaryHeap<Reverse<InTransit>>,
    sent: u64,
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
            let delay = delay(rng, noise) + hesitation(rng, &packet);
            self.sent += 1;
            self.in_transit.push(Reverse(InTransit {
                due: now + 1 + delay,
                number: self.sent,
                from,
                to,
                packet: packet.clone(),
            }));
        }
    }

    /// The next packet that arrives by this step.
    pub(super) fn next_arrival(&mut self, now: u64) -> Option<InTransit> {
        let Reverse(next) = self.in_transit.peek()?;
        if next.due > now {
            return None;
        }
        self.in_transit.pop().map(|Reverse(arrived)| arrived)
    }

    /// Partitions are between instances alone: the gate and the clients are reached by all.
    fn connects(&self, now: u64, from: Address, to: Address) -> bool {
        let (Address::Instance(from), Address::Instance(to)) = (from, to) else { return true };
        let is_separated =
            self.partitions.iter().any(|partition| partition.until > now && partition.separates(from, to));
        let is_lost =
            self.one_way_losses.iter().any(|loss| loss.until > now && (loss.from, loss.to) == (from, to));
        !is_separated && !is_lost
    }
}

/// Steps that a packet takes beyond the first. Some minutes at a hundredth of a second a step would be beyond
/// any run: a delayed one is beyond an election, a lease's ttl and a transfer of leadership.
fn delay(rng: &mut Rng, noise: Option<Noise>) -> u64 {
    if noise.is_some_and(|noise| rng.u8(..100) < noise.delayed) { rng.u64(20..250) } else { rng.u64(0..3) }
}

/// An act waits between its check and its sending as long as the scheduler likes.
fn hesitation(rng: &mut Rng, packet: &Packet) -> u64 {
    match packet {
        Packet::SubmitOrder { .. } if rng.u8(..4) == 0 => rng.u64(1..120),
        _ => 0,
    }
}

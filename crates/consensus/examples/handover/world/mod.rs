//! A cluster in virtual time: instances with their clocks and disks, a network that loses, doubles and delays, a gate
//! with effects behind it, clients, and a schedule of faults. The same seed and schedule give the same run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use fastrand::Rng;
use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::*;
use garnetcrank_consensus::lease_client::{LeaseAction, LeaseClient};
use garnetcrank_consensus::membership::MembershipChange;
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::proposal_queue::{NextProposal, ProposalOutcome, ProposalQueue};
use garnetcrank_consensus::raft_node::{
    self, AppliedEntry, Message, RaftNode, RaftSettings, Ready, StorageHeadroom,
};
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal, Reply, SubjectState};
use garnetcrank_test_support::linearizability::History;

use crate::disk::{Kind, SimDisk};

/// Steps with faults; then all is healed.
pub const TROUBLE: u64 = 240;
/// Steps after which a healed cluster must have answered everything.
pub const HEALED: u64 = 1_200;
/// Subjects that clients decide.
const SUBJECTS: u64 = 6;
/// Orders that holders hand out.
const ORDERS: u64 = 12;
/// Steps that a client waits before it sends again, to another instance.
const PATIENCE: u64 = 40;
/// Ticks of a grant's life.
const LIFE: u64 = 30;

/// A protection that can be switched off, to see the check fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    /// Nothing: all protections work.
    Nothing,
    /// The gate lets every epoch through.
    Gate,
    /// Disks say that they have synced and have not.
    Sync,
}

/// Something that goes wrong at an instance or between two.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process stops and goes on later, with its clock and its messages waiting.
    Freeze(usize, u64),
    /// Power off; on again later.
    Crash(usize, u64),
    /// Who is in which part, as bits; messages pass within a part only.
    Split(u32, u64),
    /// A third part: bits of one more.
    Third(u32, u64),
    /// Messages from one to the other are lost, not the other way.
    OneWay(usize, usize, u64),
    /// The clock runs so many ticks a step.
    Clock(usize, u8, u64),
    /// The clock jumps.
    Jump(usize, u64),
    /// Writes take so many steps.
    Slow(usize, u64, u64),
    /// The disk takes only what must be kept to stay safe.
    Full(usize, u64),
    /// Of a hundred messages: lost, doubled, very late.
    Noise(u8, u8, u8, u64),
    /// The lead is handed over.
    Transfer(usize),
    /// The disk is lost; the machine comes back empty under its old name and is replaced as an operator would.
    Wipe(usize, u64),
}

/// A fault and its step.
pub type Planned = (u64, Fault);

/// The faults of a run.
pub fn schedule(seed: u64, instances: usize) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed);
    let mut plan = Vec::new();
    for _ in 0..rng.u32(5..11) {
        let at = rng.u64(20..TROUBLE - 30);
        let (who, other) = (rng.usize(..instances), rng.usize(..instances));
        let long = rng.u64(3..90);
        let bits = rng.u32(1..(1 << instances) - 1);
        plan.push((
            at,
            match rng.u8(0..15) {
                // Some shorter than an election, some that overlap, some longer than a grant's life.
                0..=3 => Fault::Freeze(who, long),
                4 | 5 => Fault::Crash(who, long),
                6 => Fault::Split(bits, long),
                7 => Fault::Third(bits, long),
                8 => Fault::OneWay(who, other, long),
                9 => Fault::Clock(who, *rng.choice(&[0, 2, 5]).unwrap_or(&0), long),
                10 => Fault::Jump(who, long),
                11 => Fault::Slow(who, rng.u64(2..12), long),
                12 => Fault::Full(who, long),
                13 => Fault::Noise(rng.u8(0..40), rng.u8(0..30), rng.u8(0..20), long),
                _ if rng.bool() => Fault::Transfer(who),
                _ => Fault::Wipe(who, long),
            },
        ));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// What travels.
#[derive(Debug, Clone)]
enum Load {
    Peer(Box<Message>),
    Show(Epoch),
    Pass(Epoch, u64),
    Ask(Epoch, u64),
    Shown(Epoch),
    Deposed(Epoch),
    Passed(Epoch, u64),
    Ran(Epoch, u64, bool),
    Answered { client: usize, ticket: Ticket, answer: Answer, seen: Option<Option<Vec<u8>>> },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    Instance(usize),
    Gate,
    Clients,
}

struct Travelling {
    due: u64,
    number: u64,
    from: At,
    to: At,
    load: Load,
}

impl PartialEq for Travelling {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.number) == (other.due, other.number)
    }
}
impl Eq for Travelling {}
impl PartialOrd for Travelling {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Travelling {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.number).cmp(&(other.due, other.number))
    }
}

/// Where a holder stands with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Handing,
    /// Handed out under this epoch; the gate is asked again from a step on.
    AtGate(Epoch, u64),
    /// Handed out under an older epoch: the gate is asked whether it ran.
    Doubt(u64),
    Settling,
}

/// What the instance's own proposals are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Own {
    Clerk,
    Hand(u64),
    Settle(u64, bool),
}

struct Running {
    node: RaftNode,
    clerk: LeaseClient,
    proposer: ProposalQueue<Own>,
    tickets: BTreeMap<Ticket, Ask>,
    next_ticket: u64,
    work: Option<(u64, Ready)>,
    progress: BTreeMap<u64, Progress>,
}

#[derive(Debug, Clone, Copy)]
enum Ask {
    Own,
    Client(usize),
    Operator,
    Nobody,
}

struct Instance {
    id: InstanceId,
    disk: SimDisk,
    starts: u64,
    running: Option<Running>,
    down_until: u64,
    frozen_until: u64,
    inbox: Vec<Load>,
    rate: (u8, u64),
    slow: (u64, u64),
    full_until: u64,
    wiped: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Doing {
    Opening,
    Idle,
    Deciding(u64, Vec<u8>),
    Reading(u64),
}

struct Client {
    session: SessionId,
    sequence: u64,
    doing: Doing,
    waits: Option<(Ticket, u64)>,
    ops_left: u32,
    op: usize,
}

/// What a run came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Subjects and orders decided.
    pub decisions: u64,
    /// Two decisions where one may be, in words.
    pub double: Vec<String>,
    /// Acknowledged decisions that are gone, in words.
    pub lost: Vec<String>,
    /// Acts of deposed holders that the gate refused.
    pub stale_refused: u64,
    /// Anything else that must not be, in words.
    pub other: Vec<String>,
}

impl Outcomes {
    /// Whether all went as it must.
    pub fn sound(&self) -> bool {
        self.double.is_empty() && self.lost.is_empty() && self.other.is_empty()
    }
}

/// The world.
pub struct World {
    without: Without,
    rng: Rng,
    now: u64,
    number: u64,
    instances: Vec<Instance>,
    next_id: u64,
    travelling: BinaryHeap<Reverse<Travelling>>,
    gate: FencingGate,
    effects: BTreeMap<u64, Vec<Epoch>>,
    newest_shown: Epoch,
    clients: Vec<Client>,
    history: History,
    parts: Vec<(u32, u64)>,
    one_way: Vec<(usize, usize, u64)>,
    noise: (u8, u8, u8, u64),
    applied: BTreeMap<u64, Term>,
    leaders: BTreeMap<u64, InstanceId>,
    to_replace: Vec<(MembershipChange, Option<u64>)>,
    outcomes: Outcomes,
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

fn member(id: InstanceId, at: usize) -> Member {
    Member { id, name: format!("n{at}"), address: format!("127.0.0.1:{}", 7000 + at) }
}

impl World {
    /// A cluster of so many instances.
    pub fn new(seed: u64, instances: usize, without: Without, kind: Kind) -> Self {
        let founders: Vec<Member> = (0..instances).map(|at| member(InstanceId(at as u64 + 1), at)).collect();
        let founding = raft_node::initial_state(&founders);
        let instances = (0..instances)
            .map(|at| {
                let mut disk = SimDisk::new(kind, founders[at].id, seed);
                disk.found(&founding);
                disk.set_ignore_syncs(without == Without::Sync);
                Instance {
                    id: founders[at].id,
                    disk,
                    starts: 0,
                    running: None,
                    down_until: 0,
                    frozen_until: 0,
                    inbox: Vec::new(),
                    rate: (1, 0),
                    slow: (0, 0),
                    full_until: 0,
                    wiped: false,
                }
            })
            .collect::<Vec<_>>();
        let client = || Client {
            session: SessionId(0),
            sequence: 0,
            doing: Doing::Opening,
            waits: None,
            ops_left: 10,
            op: 0,
        };
        Self {
            without,
            rng: Rng::with_seed(seed ^ 0x5eed),
            now: 0,
            number: 0,
            next_id: instances.len() as u64 + 1,
            instances,
            travelling: BinaryHeap::new(),
            gate: FencingGate::default(),
            effects: BTreeMap::new(),
            newest_shown: Epoch(0),
            clients: (0..3).map(|_| client()).collect(),
            history: History::default(),
            parts: Vec::new(),
            one_way: Vec::new(),
            noise: (0, 0, 0, 0),
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            to_replace: Vec::new(),
            outcomes: Outcomes::default(),
        }
    }

    /// Plays the schedule, heals everything, and checks.
    pub fn run(mut self, plan: &[Planned]) -> Outcomes {
        let mut plan = plan.iter().peekable();
        while self.now < TROUBLE {
            while let Some((_, fault)) = plan.next_if(|(at, _)| *at <= self.now) {
                self.cause(*fault);
            }
            self.step();
            if !self.outcomes.sound() {
                return self.outcomes;
            }
        }
        self.heal();
        let end = self.now + HEALED;
        while self.now < end && !self.settled() {
            self.step();
            if !self.outcomes.sound() {
                return self.outcomes;
            }
        }
        self.check();
        self.outcomes
    }

    fn cause(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Freeze(who, long) => self.instances[who].frozen_until = now + long,
            Fault::Crash(who, long) => self.crash(who, long),
            Fault::Split(bits, long) | Fault::Third(bits, long) => self.parts.push((bits, now + long)),
            Fault::OneWay(from, to, long) => self.one_way.push((from, to, now + long)),
            Fault::Clock(who, rate, long) => self.instances[who].rate = (rate, now + long),
            Fault::Jump(who, ticks) => {
                if let Some(running) = &mut self.instances[who].running {
                    for _ in 0..ticks {
                        running.node.tick();
                    }
                }
            }
            Fault::Slow(who, steps, long) => self.instances[who].slow = (steps, now + long),
            Fault::Full(who, long) => self.instances[who].full_until = now + long,
            Fault::Noise(lost, doubled, late, long) => self.noise = (lost, doubled, late, now + long),
            Fault::Transfer(to) => {
                let id = self.instances[to].id;
                for running in self.instances.iter_mut().filter_map(|i| i.running.as_mut()) {
                    if running.node.is_leader() {
                        running.next_ticket += 1;
                        let ticket = Ticket(running.next_ticket);
                        running.tickets.insert(ticket, Ask::Nobody);
                        running.node.transfer(ticket, id);
                    }
                }
            }
            Fault::Wipe(who, long) => self.wipe(who, long),
        }
    }

    fn crash(&mut self, who: usize, long: u64) {
        let seed = self.rng.u64(..);
        let instance = &mut self.instances[who];
        if let Some(running) = instance.running.take() {
            // The write under way when the power goes is there or not; half of it is the store's own test.
            if let Some((_, work)) = running.work
                && seed & 1 == 0
            {
                instance.disk.write(&work.batch);
            }
            instance.disk.crash(seed);
        }
        instance.inbox.clear();
        instance.down_until = self.now + long;
        instance.frozen_until = 0;
    }

    fn wipe(&mut self, who: usize, long: u64) {
        // One lost disk at a time: losing a quorum's disks loses decisions whatever is done.
        if self.instances.iter().any(|i| i.wiped) || self.without != Without::Nothing {
            return;
        }
        self.crash(who, long);
        let id = InstanceId(self.next_id);
        self.next_id += 1;
        let instance = &mut self.instances[who];
        let old = std::mem::replace(&mut instance.id, id);
        instance.wiped = true;
        instance.starts = 0;
        instance.disk = SimDisk::new(instance.disk.kind(), id, self.now);
        self.to_replace =
            vec![(MembershipChange::Remove(old), None), (MembershipChange::Add(member(id, who)), None)];
    }

    fn heal(&mut self) {
        self.parts.clear();
        self.one_way.clear();
        self.noise = (0, 0, 0, 0);
        for instance in &mut self.instances {
            instance.frozen_until = 0;
            instance.down_until = 0;
            instance.rate = (1, 0);
            instance.slow = (0, 0);
            instance.full_until = 0;
        }
    }

    fn passes(&self, from: At, to: At) -> bool {
        let (At::Instance(from), At::Instance(to)) = (from, to) else { return true };
        let parted = |(bits, until): &(u32, u64)| *until > self.now && (bits >> from & 1) != (bits >> to & 1);
        !self.parts.iter().any(parted)
            && !self.one_way.iter().any(|(a, b, until)| *until > self.now && (*a, *b) == (from, to))
    }

    fn post(&mut self, from: At, to: At, load: Load) {
        let (lost, doubled, late, until) = self.noise;
        let noisy = until > self.now;
        if !self.passes(from, to) || noisy && self.rng.u8(..100) < lost {
            return;
        }
        let copies = if noisy && self.rng.u8(..100) < doubled { 2 } else { 1 };
        for _ in 0..copies {
            // Some minutes late at a hundredth of a second a step would be beyond any run: late is beyond an
            // election, a grant's life and a hand-over.
            let delay =
                if noisy && self.rng.u8(..100) < late { self.rng.u64(20..250) } else { self.rng.u64(0..3) };
            // An act waits between its check and its sending as long as the scheduler likes.
            let hesitation = match load {
                Load::Pass(..) if self.rng.u8(..4) == 0 => self.rng.u64(1..120),
                _ => 0,
            };
            self.number += 1;
            let due = self.now + 1 + delay + hesitation;
            self.travelling.push(Reverse(Travelling {
                due,
                number: self.number,
                from,
                to,
                load: load.clone(),
            }));
        }
    }

    fn step(&mut self) {
        self.now += 1;
        while self.travelling.peek().is_some_and(|Reverse(t)| t.due <= self.now) {
            let Some(Reverse(arrived)) = self.travelling.pop() else { break };
            match arrived.to {
                At::Instance(who) => self.instances[who].inbox.push(arrived.load),
                At::Gate => self.at_gate(arrived.from, arrived.load),
                At::Clients => self.at_client(arrived.load),
            }
        }
        for who in 0..self.instances.len() {
            if self.instances[who].running.is_none() && self.instances[who].down_until <= self.now {
                self.start(who);
            }
            if self.instances[who].frozen_until <= self.now {
                self.advance(who);
            }
        }
        for client in 0..self.clients.len() {
            self.client_turn(client);
        }
        self.operator_turn();
    }

    fn start(&mut self, who: usize) {
        let instance = &mut self.instances[who];
        instance.starts += 1;
        instance.inbox.clear();
        let settings = RaftSettings {
            election_ticks: 10,
            heartbeat_ticks: 3,
            compact_every: 25,
            retained_entries: 5,
            max_pending_requests: 64,
            max_message_bytes: 16 * 1024,
            seed: self.rng.u64(..),
            ..RaftSettings::default()
        };
        let id = instance.id;
        let started = instance.disk.load().and_then(|loaded| {
            RaftNode::start(settings, id, instance.starts, loaded).map_err(|error| error.to_string())
        });
        match started {
            Ok(node) => {
                instance.running = Some(Running {
                    node,
                    clerk: LeaseClient::new(role(), id, LIFE, 5 + 7 * who as u64),
                    proposer: ProposalQueue::new(64, 3),
                    tickets: BTreeMap::new(),
                    next_ticket: 0,
                    work: None,
                    progress: BTreeMap::new(),
                });
            }
            Err(error) => {
                self.outcomes.lost.push(format!("step {}: n{who} does not start: {error}", self.now))
            }
        }
    }

    fn advance(&mut self, who: usize) {
        let now = self.now;
        let mut out: Vec<(At, Load)> = Vec::new();
        let instance = &mut self.instances[who];
        let Some(running) = &mut instance.running else { return };
        let ticks = if instance.rate.1 > now { instance.rate.0 } else { 1 };
        for _ in 0..ticks {
            running.node.tick();
        }
        running.node.set_storage_headroom(if instance.full_until > now {
            StorageHeadroom::Low
        } else {
            StorageHeadroom::Sufficient
        });
        for load in std::mem::take(&mut instance.inbox) {
            match load {
                Load::Peer(message) => running.node.receive(*message),
                Load::Shown(epoch) => running.clerk.on_epoch_observed(epoch),
                Load::Deposed(epoch) => running.clerk.on_newer_epoch(epoch),
                Load::Passed(epoch, order) => running.passed(epoch, order),
                Load::Ran(epoch, order, ran) => running.doubt_over(epoch, order, ran),
                Load::Show(_) | Load::Pass(..) | Load::Ask(..) | Load::Answered { .. } => {}
            }
        }
        running.act(now, &mut out);
        let slow = if instance.slow.1 > now { instance.slow.0 } else { 0 };
        let mut peers: Vec<Message> = Vec::new();
        loop {
            if running.work.is_none() {
                match running.node.ready() {
                    Ok(work) => running.work = work.map(|work| (now + slow, work)),
                    Err(error) => {
                        self.outcomes.other.push(format!("step {now}: n{who}: {error}"));
                        return;
                    }
                }
            }
            let Some((_, work)) = running.work.take_if(|(due, _)| *due <= now) else { break };
            if !work.batch.is_empty() {
                instance.disk.write(&work.batch);
            }
            peers.extend(work.messages);
            if let Err(error) = running.node.on_persisted() {
                self.outcomes.other.push(format!("step {now}: n{who}: {error}"));
                return;
            }
        }
        for message in peers {
            if let Some(to) = self.instances.iter().position(|i| i.id.0 == message.to) {
                out.push((At::Instance(to), Load::Peer(Box::new(message))));
            }
        }
        self.finish(who, out);
    }

    fn finish(&mut self, who: usize, mut out: Vec<(At, Load)>) {
        let (now, me) = (self.now, At::Instance(who));
        let instance = &mut self.instances[who];
        let id = instance.id;
        let Some(running) = &mut instance.running else { return };
        for AppliedEntry { index, term } in running.node.take_applied() {
            let known = *self.applied.entry(index.0).or_insert(term);
            if known != term {
                self.outcomes.double.push(format!("step {now}: entry {index} of terms {known} and {term}"));
            }
        }
        if running.node.is_leader() {
            let term = running.node.status().term.0;
            let known = *self.leaders.entry(term).or_insert(id);
            if known != id {
                self.outcomes.double.push(format!("step {now}: {known} and {id} lead in term {term}"));
            }
        }
        for (ticket, answer) in running.node.take_answers() {
            match running.tickets.remove(&ticket) {
                Some(Ask::Own) => running.own_answered(now, answer),
                Some(Ask::Client(client)) => {
                    let seen = (answer == Answer::ReadReady).then(|| {
                        let number = match &self.clients[client].doing {
                            Doing::Reading(number) => *number,
                            _ => u64::MAX,
                        };
                        match running.node.state().subject_state(&subject(number)) {
                            Some(SubjectState::Decided(value)) => Some(value.clone()),
                            _ => None,
                        }
                    });
                    out.push((At::Clients, Load::Answered { client, ticket, answer, seen }));
                }
                Some(Ask::Operator) => {
                    if answer == Answer::MembershipChanged
                        && !self.to_replace.is_empty()
                        && self.to_replace[0].1.is_some()
                    {
                        self.to_replace.remove(0);
                    } else if let Some(first) = self.to_replace.first_mut() {
                        first.1 = None;
                    }
                }
                Some(Ask::Nobody) => {}
                None => self.outcomes.double.push(format!("step {now}: n{who}: {ticket} is answered twice")),
            }
        }
        for (to, load) in out {
            self.post(me, to, load);
        }
    }

    fn at_gate(&mut self, from: At, load: Load) {
        let fenced = self.without != Without::Gate;
        // Its state survives its own crashes: read back from bytes now and then.
        if self.rng.u8(..20) == 0 {
            let bytes = postcard::to_stdvec(&self.gate).unwrap_or_default();
            self.gate = postcard::from_bytes(&bytes).unwrap_or_default();
        }
        let reply = match load {
            Load::Show(epoch) => {
                self.newest_shown = self.newest_shown.max(epoch);
                match self.gate.observe_epoch(&role(), epoch) {
                    Err(newest) if fenced => Load::Deposed(newest),
                    _ => Load::Shown(epoch),
                }
            }
            Load::Pass(epoch, number) => {
                let passage = self.gate.admit(&role(), epoch, &order(number));
                let passage = match passage {
                    // Without the fence it still knows what it let through.
                    FencingDecision::StaleEpoch { .. } if !fenced && self.effects.contains_key(&number) => {
                        FencingDecision::Duplicate { epoch }
                    }
                    FencingDecision::StaleEpoch { .. } if !fenced => FencingDecision::Admit,
                    passage => passage,
                };
                match passage {
                    FencingDecision::Admit => {
                        if epoch < self.newest_shown {
                            let newest = self.newest_shown;
                            let what =
                                format!("step {}: order {number} under {epoch} after {newest}", self.now);
                            self.outcomes.double.push(what);
                        }
                        let ran = self.effects.entry(number).or_default();
                        ran.push(epoch);
                        if ran.len() > 1 {
                            let what = format!("step {}: order {number} ran under {ran:?}", self.now);
                            self.outcomes.double.push(what);
                        }
                        Load::Passed(epoch, number)
                    }
                    FencingDecision::Duplicate { .. } => Load::Passed(epoch, number),
                    FencingDecision::StaleEpoch { newest } => {
                        self.outcomes.stale_refused += 1;
                        Load::Deposed(newest)
                    }
                    FencingDecision::Full => return,
                }
            }
            Load::Ask(epoch, number) => match self.gate.was_executed(&role(), epoch, &order(number)) {
                Ok(ran) => Load::Ran(epoch, number, ran),
                Err(newest) => Load::Deposed(newest),
            },
            _ => return,
        };
        self.post(At::Gate, from, reply);
    }

    fn client_turn(&mut self, at: usize) {
        let now = self.now;
        let client = &mut self.clients[at];
        if client.waits.is_some_and(|(_, until)| now < until) {
            return;
        }
        if client.doing == Doing::Idle {
            if client.ops_left == 0 || self.rng.u8(..4) != 0 {
                return;
            }
            client.ops_left -= 1;
            let number = self.rng.u64(..SUBJECTS);
            if self.rng.bool() {
                client.sequence += 1;
                let value = vec![at as u8, client.sequence as u8];
                client.op = self.history.begin_decide(number, value.clone(), now);
                client.doing = Doing::Deciding(number, value);
            } else {
                client.op = self.history.begin_read(number, now);
                client.doing = Doing::Reading(number);
            }
        }
        // To any instance that runs: one that is frozen or cut off answers late or never.
        let who = self.rng.usize(..self.instances.len());
        let client = &mut self.clients[at];
        client.waits = Some((Ticket(0), now + PATIENCE));
        let Instance { running: Some(running), starts, frozen_until, .. } = &mut self.instances[who] else {
            return;
        };
        if *frozen_until > now {
            return;
        }
        // Tickets of different instances and runs differ, or a late answer would pass for this one's.
        running.next_ticket += 1;
        let ticket = Ticket(*starts << 48 | (who as u64) << 40 | running.next_ticket);
        running.tickets.insert(ticket, Ask::Client(at));
        client.waits = Some((ticket, now + PATIENCE));
        let within = PATIENCE - 10;
        match &client.doing {
            Doing::Opening => running.node.open_session(ticket, within),
            Doing::Reading(_) => running.node.read(ticket, within),
            Doing::Deciding(number, value) => {
                let command = Command::Decide { subject: subject(*number), value: value.clone() };
                let proposal =
                    Proposal { session: client.session, sequence: Sequence(client.sequence), command };
                running.node.propose(ticket, proposal, within);
            }
            Doing::Idle => {}
        }
    }

    fn at_client(&mut self, load: Load) {
        let Load::Answered { client: at, ticket, answer, seen } = load else { return };
        let now = self.now;
        let client = &mut self.clients[at];
        if client.waits.is_none_or(|(waits, _)| waits != ticket) {
            return;
        }
        let done = match (&client.doing, answer) {
            (Doing::Opening, Answer::Applied(Reply::SessionOpened(session))) => {
                client.session = session;
                true
            }
            (Doing::Deciding(..), Answer::Applied(Reply::Decided { value, .. })) => {
                self.history.end_decide(client.op, value, now);
                true
            }
            (Doing::Deciding(..), Answer::Applied(reply)) => {
                self.outcomes.other.push(format!("step {now}: a decision was answered with {reply:?}"));
                true
            }
            (Doing::Reading(_), Answer::ReadReady) => {
                self.history.end_read(client.op, seen.flatten(), now);
                true
            }
            // Sent again, to another instance, at the next turn.
            _ => {
                client.waits = None;
                false
            }
        };
        if done {
            client.doing = Doing::Idle;
            client.waits = None;
        }
    }

    /// Removes the member whose disk was lost and adds the machine anew, as an operator would, at whoever leads.
    fn operator_turn(&mut self) {
        let now = self.now;
        let Some((change, asked)) = self.to_replace.first_mut() else { return };
        if asked.is_some_and(|at| now < at + 80) {
            return;
        }
        for instance in &mut self.instances {
            let Some(running) = &mut instance.running else { continue };
            if running.node.is_leader() && instance.frozen_until <= now {
                running.next_ticket += 1;
                let ticket = Ticket(running.next_ticket);
                running.tickets.insert(ticket, Ask::Operator);
                running.node.change_membership(ticket, change.clone(), 60);
                *asked = Some(now);
                return;
            }
        }
    }

    /// Whether everyone has had an answer and all instances hold the same.
    fn settled(&self) -> bool {
        let all: Option<Vec<&Running>> = self.instances.iter().map(|i| i.running.as_ref()).collect();
        let Some(all) = all else { return false };
        let applied = all[0].node.state().applied();
        self.clients.iter().all(|c| c.doing == Doing::Idle && c.ops_left == 0)
            && self.to_replace.is_empty()
            && all.iter().all(|r| r.node.state().applied() == applied && r.node.is_voter(r.node.status().id))
            && (0..ORDERS).all(|n| {
                matches!(all[0].node.state().subject_state(&order(n)), Some(SubjectState::Executed(_)))
            })
    }

    fn check(&mut self) {
        let settled = self.settled();
        let out = &mut self.outcomes;
        let ledgers: Vec<_> =
            self.instances.iter().filter_map(|i| Some(i.running.as_ref()?.node.state())).collect();
        let furthest = ledgers.iter().map(|ledger| ledger.applied()).max();
        for (number, value) in self.history.acknowledged() {
            for (n, ledger) in
                ledgers.iter().enumerate().filter(|(_, l)| settled || Some(l.applied()) == furthest)
            {
                match ledger.subject_state(&subject(number)) {
                    Some(SubjectState::Decided(held)) if *held == value => {}
                    held => out
                        .lost
                        .push(format!("subject {number}: {value:?} acknowledged, n{n} holds {held:?}")),
                }
            }
        }
        out.double.extend(self.history.not_linearizable());
        if let Some(ledger) = ledgers.iter().max_by_key(|ledger| ledger.applied()) {
            out.decisions =
                ledger.subjects("subject", 0).count() as u64 + ledger.subjects("order", 0).count() as u64;
            for (number, ran) in &self.effects {
                let held = ledger.subject_state(&order(*number));
                if !matches!(held, Some(SubjectState::Executed(epoch)) if ran.contains(epoch))
                    && out.double.is_empty()
                {
                    out.other.push(format!("order {number} ran under {ran:?}, the ledger holds {held:?}"));
                }
            }
        }
        if out.sound() && !settled {
            let waiting: Vec<_> = self.clients.iter().map(|c| (&c.doing, c.ops_left)).collect();
            let nodes: Vec<_> =
                self.instances.iter().filter_map(|i| Some(i.running.as_ref()?.node.status())).collect();
            let what = format!(
                "not settled {HEALED} steps after healing: {waiting:?} {:?} {nodes:?}",
                self.to_replace
            );
            self.outcomes.other.push(what);
        }
    }
}

impl Running {
    fn ask(&mut self, ask: Ask) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.tickets.insert(ticket, ask);
        ticket
    }

    /// The clerk's and the holder's work of this step.
    fn act(&mut self, now: u64, out: &mut Vec<(At, Load)>) {
        let ticks = self.node.now();
        let grant = self.node.state().lease(&role()).cloned();
        match self.clerk.poll(ticks, grant.as_ref()) {
            Some(LeaseAction::Propose(command)) => drop(self.proposer.submit(Own::Clerk, command)),
            Some(LeaseAction::ObserveEpoch(epoch)) => out.push((At::Gate, Load::Show(epoch))),
            None => {}
        }
        match self.clerk.valid_epoch(ticks) {
            Some(epoch) => self.hand_out(epoch, now, out),
            None => self.progress.clear(),
        }
        match self.proposer.next_proposal() {
            Some(NextProposal::OpenSession) => {
                let ticket = self.ask(Ask::Own);
                self.node.open_session(ticket, 20);
            }
            Some(NextProposal::Propose(proposal)) => {
                let ticket = self.ask(Ask::Own);
                self.node.propose(ticket, proposal, 20);
            }
            None => {}
        }
    }

    fn hand_out(&mut self, epoch: Epoch, now: u64, out: &mut Vec<(At, Load)>) {
        for number in 0..ORDERS.min(now / 12 + 1) {
            let standing = self.node.state().subject_state(&order(number));
            match (self.progress.get(&number).copied(), standing) {
                (_, Some(SubjectState::Executed(_))) => drop(self.progress.remove(&number)),
                (None, None) if self.progress.len() < 4 => {
                    let command = Command::DispatchOrder { role: role(), epoch, order: order(number) };
                    if self.proposer.submit(Own::Hand(number), command).is_ok() {
                        self.progress.insert(number, Progress::Handing);
                    }
                }
                (None, Some(SubjectState::Dispatched(handed))) => {
                    let state =
                        if *handed < epoch { Progress::Doubt(now) } else { Progress::AtGate(*handed, now) };
                    self.progress.insert(number, state);
                }
                (Some(Progress::AtGate(handed, due)), _) if due <= now => {
                    out.push((At::Gate, Load::Pass(handed, number)));
                    self.progress.insert(number, Progress::AtGate(handed, now + 25));
                }
                (Some(Progress::Doubt(due)), _) if due <= now => {
                    out.push((At::Gate, Load::Ask(epoch, number)));
                    self.progress.insert(number, Progress::Doubt(now + 25));
                }
                _ => {}
            }
        }
    }

    fn settle(&mut self, epoch: Epoch, number: u64, ran: bool) {
        let command = Command::ResolveOrder { role: role(), epoch, order: order(number), executed: ran };
        if self.proposer.submit(Own::Settle(number, ran), command).is_ok() {
            self.progress.insert(number, Progress::Settling);
        }
    }

    fn passed(&mut self, epoch: Epoch, number: u64) {
        if matches!(self.progress.get(&number), Some(Progress::AtGate(handed, _)) if *handed == epoch) {
            self.settle(epoch, number, true);
        }
    }

    fn doubt_over(&mut self, epoch: Epoch, number: u64, ran: bool) {
        if matches!(self.progress.get(&number), Some(Progress::Doubt(_))) {
            self.settle(epoch, number, ran);
        }
    }

    fn own_answered(&mut self, now: u64, answer: Answer) {
        let ticks = self.node.now();
        let Some((own, outcome)) = self.proposer.on_answer(answer) else { return };
        match (own, outcome) {
            (Own::Clerk, ProposalOutcome::Applied(reply)) => {
                self.clerk.on_answer(ticks, &Answer::Applied(reply))
            }
            (Own::Clerk, _) => self.clerk.on_answer(ticks, &Answer::Indeterminate),
            (Own::Hand(number), ProposalOutcome::Applied(Reply::Dispatched(epoch))) => {
                if self.clerk.valid_epoch(ticks) == Some(epoch) {
                    self.progress.insert(number, Progress::AtGate(epoch, now));
                }
            }
            // Whatever else: the ledger says how the order stands at the next look.
            (Own::Hand(number) | Own::Settle(number, _), _) => drop(self.progress.remove(&number)),
        }
    }
}

//! The core: one thread that owns the node, the clerk and the trust. Everything comes to it as an [`Input`], in one
//! bounded queue; it never waits for anything else.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use garnetcrank_consensus::build_verdicts::{self, BuildVerdicts};
use garnetcrank_consensus::ids::{InstanceId, Role, Sequence, SessionId, Subject, Ticket, Ticks};
use garnetcrank_consensus::lease_client::{LeaseAction, LeaseClient};
use garnetcrank_consensus::membership::MembershipChange;
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::proposal_queue::{NextProposal, ProposalOutcome, ProposalQueue};
use garnetcrank_consensus::raft_node::{Message, RaftNode, RaftNodeError, StorageHeadroom};
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal, ReplicatedState, Reply};
use garnetcrank_store::{Batch, StoreError};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};
use tracing::{error, info, warn};

use crate::api::{
    Cast, GrantView, MemberChange, MemberView, Operated, PAGE, Page, Proposed, StatusView, SubjectView,
    Verdict, Watched, from_hex, hex,
};
use crate::config::Config;
use crate::counters::count;
use crate::peers::{Ground, Outbox};

/// Inputs that wait for the core at the most.
pub const INPUTS_MOST: usize = 8192;
/// Inputs taken in one turn, so that ticks are never far behind.
const TURN: usize = 512;
/// Sessions kept open for callers that have none of their own.
const POOL: usize = 64;
/// Instances that have called and are no members: those that are to be added, or to add this one.
const MET_MOST: usize = 1024;

/// Everything that comes to the core.
#[derive(Debug)]
pub enum Input {
    /// A peer's message.
    Message(Box<Message>),
    /// A peer can't be reached.
    Unreachable(InstanceId),
    /// An instance has called.
    Met(Member),
    /// The batch under way is durable, and the file is so long; or the store has ended.
    Written(Result<u64, StoreError>),
    /// A caller of the local port.
    Ask(Ask),
    /// A front watches.
    FrontCame(String),
    /// It does no more.
    FrontLeft(String),
    /// End.
    Stop,
}

/// What may be read of the ledger.
#[derive(Debug, Clone)]
pub enum Query {
    /// One subject.
    Subject(Subject),
    /// Subjects after one, of a space or of all.
    Page {
        /// After this one.
        after: Option<Subject>,
        /// Of this space only.
        space: Option<String>,
    },
    /// Who holds which role.
    Grants,
}

/// What a query found.
#[derive(Debug)]
pub enum Read {
    /// A page of subjects, or the one asked for.
    Page(Page),
    /// Grants.
    Grants(Vec<GrantView>),
    /// No answer in time, or no room; and why.
    Not(&'static str),
}

/// A caller's request and where its answer goes.
#[derive(Debug)]
pub enum Ask {
    /// Figures.
    Status(oneshot::Sender<StatusView>),
    /// A session.
    Open(u64, oneshot::Sender<Proposed>),
    /// A proposal in the caller's session.
    Propose(Proposal, u64, oneshot::Sender<Proposed>),
    /// A command in a session of ours.
    Once(Command, u64, oneshot::Sender<Proposed>),
    /// A read; `true`: of what is here, however old.
    Read(Query, bool, u64, oneshot::Sender<Read>),
    /// A change of membership.
    Change(MemberChange, u64, oneshot::Sender<Operated>),
    /// A transfer of the lead to a member by name or number.
    Transfer(String, oneshot::Sender<Operated>),
    /// Fold the log into a snapshot now.
    Fold(oneshot::Sender<Operated>),
    /// A front's verdict. The answer: whether it is passed on to the others.
    Verdict(Verdict, oneshot::Sender<bool>),
}

/// What the fronts are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Public {
    /// For all.
    pub watched: Watched,
    /// The front that casts, by name.
    pub caster: Option<String>,
}

impl Default for Public {
    fn default() -> Self {
        Self { watched: Watched { condemned: Vec::new(), cast: None, together: false }, caster: None }
    }
}

/// Why the core ended.
#[derive(Debug, thiserror::Error)]
pub enum CoreError {
    /// The store ended.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The node can't go on.
    #[error("{0}")]
    Node(#[from] RaftNodeError),
    /// The store's thread is gone.
    #[error("the store's thread has ended")]
    Writer,
}

enum Waiter {
    Own,
    Propose(oneshot::Sender<Proposed>),
    OpenFor(Command, u64, oneshot::Sender<Proposed>),
    Once(SessionId, u64, oneshot::Sender<Proposed>),
    Read(Query, oneshot::Sender<Read>),
    Operate(oneshot::Sender<Operated>),
}

#[derive(Debug, Clone, Copy)]
enum Own {
    Clerk,
    Trust,
}

/// What the core works with.
pub struct Parts {
    /// The configuration.
    pub config: Config,
    /// The node.
    pub node: RaftNode,
    /// What connections know.
    pub ground: Arc<Ground>,
    /// The queue's own end, for connections.
    pub to_core: SyncSender<Input>,
    /// The store's thread.
    pub writer: SyncSender<Batch>,
    /// Where connections run.
    pub runtime: Handle,
    /// What fronts are told.
    pub public: watch::Sender<Public>,
    /// Times that the store was opened.
    pub starts: u64,
}

/// The core.
pub struct Core {
    parts: Parts,
    begun: Instant,
    ticked: u64,
    clerk: LeaseClient,
    trust: BuildVerdicts,
    proposer: ProposalQueue<Own>,
    waiters: HashMap<Ticket, Waiter>,
    next_ticket: u64,
    pool: Vec<(SessionId, u64)>,
    outboxes: BTreeMap<InstanceId, (SocketAddr, Outbox)>,
    met: BTreeMap<InstanceId, Member>,
    fronts: BTreeMap<String, u32>,
    writing: bool,
    file_bytes: u64,
    led: bool,
    told_leader: Option<InstanceId>,
    shown: Public,
    members_at: Vec<Member>,
}

impl Core {
    /// A core that has not begun.
    pub fn new(parts: Parts) -> Self {
        let me = parts.ground.me.id;
        let life = parts.config.ticks(parts.config.life_ms);
        // Another wait at each instance, so that not all take a free role at once.
        let stagger = 1 + me.0 % parts.config.election_ticks as u64;
        Self {
            begun: Instant::now(),
            ticked: 0,
            clerk: LeaseClient::new(build_verdicts::vote_role(), me, life, stagger),
            trust: BuildVerdicts::new(me, 2 * life),
            proposer: ProposalQueue::new(256, 3),
            waiters: HashMap::new(),
            next_ticket: 0,
            pool: Vec::new(),
            outboxes: BTreeMap::new(),
            met: BTreeMap::new(),
            fronts: BTreeMap::new(),
            writing: false,
            file_bytes: 0,
            led: false,
            told_leader: None,
            shown: Public::default(),
            members_at: Vec::new(),
            parts,
        }
    }

    /// Runs until it is told to stop.
    ///
    /// # Errors
    /// The store or the node can't go on: the process has to end.
    pub fn run(mut self, inputs: &Receiver<Input>) -> Result<(), CoreError> {
        let tick = Duration::from_millis(self.parts.config.tick_ms);
        loop {
            let next = self.begun + tick * u32::try_from(self.ticked + 1).unwrap_or(u32::MAX);
            match inputs.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(input) => self.take(input)?,
                Err(RecvTimeoutError::Timeout) => {}
            }
            for _ in 1..TURN {
                match inputs.try_recv() {
                    Ok(Input::Stop) => return Ok(()),
                    Ok(input) => self.take(input)?,
                    Err(_) => break,
                }
            }
            self.tick();
            self.duties();
            self.work()?;
            self.answer();
            self.show();
        }
    }

    /// Ticks of the system's steady clock, freezes included.
    fn wall(&self) -> Ticks {
        Ticks((self.begun.elapsed().as_millis() as u64) / self.parts.config.tick_ms)
    }

    fn tick(&mut self) {
        let wall = self.wall().0;
        let missed = wall.saturating_sub(self.ticked);
        let election = self.parts.config.election_ticks as u64;
        if missed > election {
            // It stood still: what the others have said meanwhile waits in the sockets. Ticked through at once it
            // would stand for election before it has read any of that.
            count(&self.parts.ground.counters.freezes);
            warn!(ms = missed * self.parts.config.tick_ms, "this process did not run for a while");
        }
        self.ticked = wall;
        for _ in 0..if missed > election { 1 } else { missed } {
            self.parts.node.tick();
        }
    }

    fn take(&mut self, input: Input) -> Result<(), CoreError> {
        match input {
            Input::Message(message) => {
                let from = InstanceId(message.from);
                let ledger = self.parts.node.state();
                // One without members waits to be added and takes the word of whoever calls it into its cluster.
                if ledger.members().next().is_none() || ledger.member(from).is_some() {
                    self.parts.node.receive(*message);
                }
            }
            Input::Unreachable(id) => self.parts.node.unreachable(id),
            Input::Met(member) => {
                if self.met.len() < MET_MOST || self.met.contains_key(&member.id) {
                    self.met.insert(member.id, member);
                }
            }
            Input::Written(written) => {
                self.file_bytes = written?;
                self.writing = false;
                self.parts.node.on_persisted()?;
                self.check_room();
            }
            Input::Ask(ask) => self.ask(ask),
            Input::FrontCame(name) => *self.fronts.entry(name).or_default() += 1,
            Input::FrontLeft(name) => {
                if let Some(count) = self.fronts.get_mut(&name) {
                    *count -= 1;
                    if *count == 0 {
                        self.fronts.remove(&name);
                        self.trust.remove_proxy(&name);
                    }
                }
            }
            Input::Stop => {}
        }
        Ok(())
    }

    fn check_room(&mut self) {
        let most = self.parts.config.store_most_mb * 1024 * 1024;
        let room = if self.file_bytes >= most { StorageHeadroom::Low } else { StorageHeadroom::Sufficient };
        if room == StorageHeadroom::Low && !self.parts.node.status().storage_low {
            warn!(bytes = self.file_bytes, most, "the store is nearly full: no new entries");
        }
        self.parts.node.set_storage_headroom(room);
    }

    fn ticket(&mut self, waiter: Waiter) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.waiters.insert(ticket, waiter);
        ticket
    }

    fn ask(&mut self, ask: Ask) {
        match ask {
            Ask::Status(reply) => drop(reply.send(self.status())),
            Ask::Open(within, reply) => {
                let within = self.parts.config.ticks(within);
                let ticket = self.ticket(Waiter::Propose(reply));
                self.parts.node.open_session(ticket, within);
            }
            Ask::Propose(proposal, within, reply) => {
                let within = self.parts.config.ticks(within);
                let ticket = self.ticket(Waiter::Propose(reply));
                self.parts.node.propose(ticket, proposal, within);
            }
            Ask::Once(command, within, reply) => {
                let within = self.parts.config.ticks(within);
                match self.pool.pop() {
                    Some((session, sequence)) => self.once(session, sequence, command, within, reply),
                    None => {
                        let ticket = self.ticket(Waiter::OpenFor(command, within, reply));
                        self.parts.node.open_session(ticket, within);
                    }
                }
            }
            Ask::Read(query, true, _, reply) => drop(reply.send(self.look(&query))),
            Ask::Read(query, false, within, reply) => {
                let within = self.parts.config.ticks(within);
                let ticket = self.ticket(Waiter::Read(query, reply));
                self.parts.node.read(ticket, within);
            }
            Ask::Change(change, within, reply) => {
                let within = self.parts.config.ticks(within);
                match self.change(&change) {
                    Ok(change) => {
                        let ticket = self.ticket(Waiter::Operate(reply));
                        self.parts.node.change_membership(ticket, change, within);
                    }
                    Err(why) => drop(reply.send(Operated::Refused { why })),
                }
            }
            Ask::Transfer(to, reply) => match self.named(&to) {
                Ok(id) => {
                    let ticket = self.ticket(Waiter::Operate(reply));
                    self.parts.node.transfer(ticket, id);
                }
                Err(why) => drop(reply.send(Operated::Refused { why })),
            },
            Ask::Fold(reply) => {
                self.parts.node.compact_now();
                drop(reply.send(Operated::Done));
            }
            Ask::Verdict(verdict, reply) => {
                count(&self.parts.ground.counters.verdicts);
                let now = self.wall();
                let heard =
                    self.together() && self.trust.record_verdict(now, &verdict.front, verdict.opinion);
                let _ = reply.send(heard);
            }
        }
    }

    fn once(
        &mut self,
        session: SessionId,
        sequence: u64,
        command: Command,
        within: u64,
        reply: oneshot::Sender<Proposed>,
    ) {
        let ticket = self.ticket(Waiter::Once(session, sequence, reply));
        self.parts.node.propose(ticket, Proposal { session, sequence: Sequence(sequence), command }, within);
    }

    fn named(&self, text: &str) -> Result<InstanceId, String> {
        let found = self.parts.node.state().members().find(|m| m.name == text || hex(m.id) == text);
        found.map(|m| m.id).ok_or_else(|| format!("{text} is no member: see members list"))
    }

    fn change(&self, change: &MemberChange) -> Result<MembershipChange, String> {
        Ok(match change {
            MemberChange::Add { id, name, address } => {
                address.parse::<SocketAddr>().map_err(|e| format!("address {address}: {e}"))?;
                MembershipChange::Add(Member {
                    id: from_hex(id)?,
                    name: name.clone(),
                    address: address.clone(),
                })
            }
            MemberChange::Remove(who) => MembershipChange::Remove(self.named(who)?),
        })
    }

    /// The clerk, the trust and the ways to peers.
    fn duties(&mut self) {
        let now = self.wall();
        self.reach();
        let ledger = self.parts.node.state();
        if !self.parts.node.is_voter(self.parts.ground.me.id) {
            return;
        }
        self.trust.observe_notices(now, ledger);
        let mut commands: Vec<(Own, Command)> =
            self.trust.proposals(now, ledger).into_iter().map(|c| (Own::Trust, c)).collect();
        match self.clerk.poll(now, ledger.lease(self.clerk.role())) {
            Some(LeaseAction::Propose(command)) => commands.push((Own::Clerk, command)),
            // The platform knows no epochs: there is no gate to be shown this one, and a vote of a deposed holder is
            // one more instance's own vote, which the platform counts as such.
            Some(LeaseAction::ObserveEpoch(epoch)) => {
                info!(%epoch, "this instance casts the platform's vote for all");
                count(&self.parts.ground.counters.granted);
                self.clerk.on_epoch_observed(epoch);
            }
            None => {}
        }
        for (own, command) in commands {
            if self.proposer.submit(own, command).is_err() {
                warn!("too many proposals of this instance wait: one is dropped");
                if matches!(own, Own::Clerk) {
                    self.clerk.on_answer(now, &Answer::Busy);
                }
            }
        }
        let within = self.parts.config.ticks(self.parts.config.life_ms) / 3 + 1;
        match self.proposer.next_proposal() {
            Some(NextProposal::OpenSession) => {
                let ticket = self.ticket(Waiter::Own);
                self.parts.node.open_session(ticket, within);
            }
            Some(NextProposal::Propose(proposal)) => {
                let ticket = self.ticket(Waiter::Own);
                self.parts.node.propose(ticket, proposal, within);
            }
            None => {}
        }
    }

    /// Keeps a way open to each member, and to whoever may add this instance.
    fn reach(&mut self) {
        let me = self.parts.ground.me.id;
        let ledger = self.parts.node.state();
        let alone = ledger.members().next().is_none();
        let wanted: Vec<Member> =
            if alone { self.met.values().cloned().collect() } else { ledger.members().cloned().collect() };
        if wanted == self.members_at {
            return;
        }
        if !alone {
            *self.parts.ground.members.write().unwrap_or_else(PoisonError::into_inner) = wanted.clone();
            self.met.clear();
        }
        let ids: BTreeSet<InstanceId> = wanted.iter().map(|m| m.id).collect();
        self.outboxes.retain(|id, _| ids.contains(id));
        for member in wanted.iter().filter(|m| m.id != me) {
            let via = self.parts.config.via.get(&member.name).copied();
            let Some(address) = via.or_else(|| member.address.parse().ok()) else {
                warn!(peer = member.name, address = member.address, "no address");
                continue;
            };
            if self.outboxes.get(&member.id).is_none_or(|(known, _)| *known != address) {
                let Parts { ground, to_core, runtime, .. } = &self.parts;
                let outbox = Outbox::open(ground, member.clone(), address, to_core.clone(), runtime);
                self.outboxes.insert(member.id, (address, outbox));
            }
        }
        let names: Vec<&str> = wanted.iter().map(|m| m.name.as_str()).collect();
        info!(?names, "members");
        self.members_at = wanted;
    }

    fn work(&mut self) -> Result<(), CoreError> {
        while !self.writing {
            let Some(work) = self.parts.node.ready()? else { break };
            for message in &work.messages {
                match self.outboxes.get(&InstanceId(message.to)) {
                    Some((_, outbox)) => outbox.send(message),
                    None => count(&self.parts.ground.counters.unsent),
                }
            }
            if work.batch.is_empty() {
                self.parts.node.on_persisted()?;
            } else {
                self.writing = true;
                self.parts.writer.send(work.batch).map_err(|_| CoreError::Writer)?;
            }
        }
        let leads = self.parts.node.is_leader();
        if leads && !self.led {
            count(&self.parts.ground.counters.led);
        }
        self.led = leads;
        let leader = self.parts.node.leader();
        if leader != self.told_leader {
            let name = leader.map_or("nobody".to_owned(), |id| self.name_of(id));
            info!(leader = name, term = self.parts.node.status().term.0, "leader");
            self.told_leader = leader;
        }
        self.parts.node.take_applied();
        Ok(())
    }

    fn answer(&mut self) {
        for (ticket, answer) in self.parts.node.take_answers() {
            let Some(waiter) = self.waiters.remove(&ticket) else {
                error!(%ticket, "a second answer to one request: report this with the log");
                continue;
            };
            match waiter {
                Waiter::Own => self.own_answered(answer),
                Waiter::Propose(reply) => drop(reply.send(self.proposed(answer))),
                Waiter::OpenFor(command, within, reply) => match answer {
                    Answer::Applied(Reply::SessionOpened(session)) => {
                        self.once(session, 1, command, within, reply)
                    }
                    // The session may have been opened, the command was never proposed.
                    Answer::Indeterminate => drop(reply.send(Proposed::NotProposed)),
                    answer => drop(reply.send(self.proposed(answer))),
                },
                Waiter::Once(session, sequence, reply) => {
                    let usable =
                        matches!(answer, Answer::Applied(ref reply) if *reply != Reply::SessionExpired);
                    if usable && self.pool.len() < POOL {
                        self.pool.push((session, sequence + 1));
                    }
                    drop(reply.send(self.proposed(answer)));
                }
                Waiter::Read(query, reply) => drop(reply.send(match answer {
                    Answer::ReadReady => self.look(&query),
                    Answer::Busy => Read::Not("too much waits here"),
                    _ => Read::Not("no quorum answered in time; ?stale=1 reads what is here"),
                })),
                Waiter::Operate(reply) => drop(reply.send(match answer {
                    Answer::MembershipChanged => Operated::Done,
                    Answer::NotLeader(leader) => {
                        Operated::NotLeader { leader: leader.map(|id| self.name_of(id)) }
                    }
                    Answer::Rejected(why) => Operated::Refused { why },
                    _ => Operated::MayYet,
                })),
            }
        }
    }

    fn proposed(&self, answer: Answer) -> Proposed {
        let counters = &self.parts.ground.counters;
        match answer {
            Answer::Applied(reply) => {
                count(&counters.applied);
                Proposed::Applied { reply }
            }
            Answer::Busy => {
                count(&counters.busy);
                Proposed::Busy
            }
            Answer::StoreFull => Proposed::StoreFull,
            Answer::Rejected(why) => Proposed::Refused { why },
            Answer::NotProposed => {
                count(&counters.unanswered);
                Proposed::NotProposed
            }
            Answer::Indeterminate
            | Answer::ReadReady
            | Answer::MembershipChanged
            | Answer::ReadTimedOut
            | Answer::NotLeader(_) => {
                count(&counters.unanswered);
                Proposed::MayYet
            }
        }
    }

    fn own_answered(&mut self, answer: Answer) {
        let now = self.wall();
        match self.proposer.on_answer(answer) {
            Some((Own::Clerk, ProposalOutcome::Applied(reply))) => {
                self.clerk.on_answer(now, &Answer::Applied(reply))
            }
            Some((Own::Clerk, _)) => self.clerk.on_answer(now, &Answer::Indeterminate),
            Some((Own::Trust, ProposalOutcome::Applied(Reply::Decided { first: true, .. }))) => {
                info!("a build is condemned on this instance's word");
            }
            Some((Own::Trust, _)) | None => {}
        }
    }

    /// Whether this instance can decide together with others just now.
    fn together(&self) -> bool {
        self.parts.node.leader().is_some() && self.parts.node.is_voter(self.parts.ground.me.id)
    }

    /// Tells the fronts what is new.
    fn show(&mut self) {
        let now = self.wall();
        let ledger = self.parts.node.state();
        let epoch = self.clerk.valid_epoch(now);
        let cast = epoch.map(|epoch| Cast { epoch, opinion: self.trust.vote_to_cast(now, ledger) });
        let condemned = build_verdicts::condemned_builds(ledger).collect();
        let watched = Watched { condemned, cast, together: self.together() };
        // The first by name, for as long as it watches: whichever it is, only one casts.
        let public = Public { watched, caster: self.fronts.keys().next().cloned() };
        if public != self.shown {
            self.shown = public.clone();
            self.parts.public.send_replace(public);
        }
    }

    fn look(&self, query: &Query) -> Read {
        let ledger = self.parts.node.state();
        match query {
            Query::Grants => Read::Grants(self.grants(ledger)),
            Query::Subject(subject) => {
                let found = ledger.subject_state(subject).cloned();
                let subjects = found
                    .map(|standing| SubjectView { subject: subject.clone(), standing })
                    .into_iter()
                    .collect();
                Read::Page(Page { applied: ledger.applied(), subjects, next: None })
            }
            Query::Page { after, space } => {
                let first = match (after, space) {
                    (None, Some(space)) => Some(Subject::new(space, 0)),
                    _ => None,
                };
                // The first of a space comes itself: what follows is asked for after one.
                let own = first.and_then(|s| {
                    Some(SubjectView { standing: ledger.subject_state(&s)?.clone(), subject: s })
                });
                let start = after.clone().or(space.as_ref().map(|space| Subject::new(space, 0)));
                let all = ledger.subjects_after(start.as_ref());
                let of_space = all.take_while(|(s, _)| space.as_ref().is_none_or(|space| s.space == *space));
                let rest = of_space
                    .map(|(s, standing)| SubjectView { subject: s.clone(), standing: standing.clone() });
                let mut subjects: Vec<SubjectView> = own.into_iter().chain(rest).take(PAGE + 1).collect();
                let more = subjects.len() > PAGE;
                subjects.truncate(PAGE);
                let next = subjects.last().filter(|_| more).map(|view| view.subject.clone());
                Read::Page(Page { applied: ledger.applied(), subjects, next })
            }
        }
    }

    fn grants(&self, ledger: &ReplicatedState) -> Vec<GrantView> {
        let view = |(role, grant): (&Role, &garnetcrank_consensus::replicated_state::Lease)| GrantView {
            role: role.0.clone(),
            holder: grant.holder.map(|id| self.name_of(id)),
            epoch: grant.epoch,
            renewed: grant.renewed,
        };
        ledger.leases().map(view).collect()
    }

    fn name_of(&self, id: InstanceId) -> String {
        self.parts.node.state().member(id).map_or_else(|| hex(id), |m| m.name.clone())
    }

    fn status(&self) -> StatusView {
        let node = &self.parts.node;
        let seen = node.peer_progress();
        let view = |member: &Member| {
            let seen = seen.iter().find(|s| s.id == member.id);
            let known = node.state().member(member.id).is_some();
            MemberView {
                id: hex(member.id),
                name: member.name.clone(),
                address: member.address.clone(),
                part: match (known, node.is_voter(member.id)) {
                    (true, true) => "voter",
                    (true, false) => "learner",
                    (false, _) => "none",
                }
                .to_owned(),
                living: seen.map(|s| s.recently_active),
                matched: seen.map(|s| s.matched),
            }
        };
        StatusView {
            cluster: self.parts.config.cluster.clone(),
            me: view(&self.parts.ground.me),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            starts: self.parts.starts,
            up_ms: self.begun.elapsed().as_millis() as u64,
            node: node.status(),
            leader: node.leader().map(|id| self.name_of(id)),
            members: node.state().members().map(view).collect(),
            subjects: node.state().subject_count(),
            sessions: node.state().session_count(),
            store_bytes: self.file_bytes,
        }
    }
}

//! One instance's part in the agreement.
//!
//! The caller drives it: [`Node::tick`], [`Node::receive`], [`Node::propose`], [`Node::read`] and so on change what
//! it wants; [`Node::work`] says what is to be written and sent now; once the write is durable [`Node::written`]
//! goes on. Nothing that depends on a write is sent before it.

use std::collections::BTreeMap;

use garnetcrank_store as store;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, ConfState, Entry, EntryType, MessageType, Snapshot};
use raft::{RawNode, StateRole};
use serde::Serialize;

use crate::ids::{Index, InstanceId, Sequence, SessionId, Term, Ticket, Ticks};
use crate::membership::{self, MembershipChange, Noted, PeerProgress, Way};
use crate::pending_requests::{Answer, PendingRequests, ProposalKey};
use crate::raft_log::{self, RaftLog};
use crate::replicated_state::{Command, Member, Proposal, ReplicatedState};

pub use raft::eraftpb::Message;

/// How an instance behaves. All instances of a cluster should have the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RaftSettings {
    /// Ticks without a leader after which one stands for election; drawn between this and twice as many.
    pub election_ticks: usize,
    /// Ticks between two signs of life of a leader.
    pub heartbeat_ticks: usize,
    /// Ticks after which a proposal or a read that got no answer is handed on again.
    pub retry_ticks: u64,
    /// Proposals and reads that wait here at the most.
    pub max_pending_requests: usize,
    /// Entries applied before they are folded into a snapshot.
    pub compact_every: u64,
    /// Entries kept in memory behind a snapshot, for instances a little behind.
    pub retained_entries: u64,
    /// Bytes of entries in one message at the most (one entry goes whatever its size).
    pub max_message_bytes: u64,
    /// Bytes of entries proposed and not yet decided, at the leader, at the most.
    pub max_uncommitted_bytes: u64,
    /// Seed of the election time-outs; another at each instance.
    pub seed: u64,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            election_ticks: 10,
            heartbeat_ticks: 2,
            retry_ticks: 10,
            max_pending_requests: 4096,
            compact_every: 10_000,
            retained_entries: 1_000,
            max_message_bytes: 1024 * 1024,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            seed: 0,
        }
    }
}

/// Why an instance can't take part.
#[derive(Debug, thiserror::Error)]
pub enum RaftNodeError {
    /// What the store holds can't be what this instance wrote.
    #[error("the store's state makes no sense: {0}")]
    State(String),
    /// The library refused.
    #[error("{0}")]
    Library(#[from] raft::Error),
}

/// Whether the store has room for more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StorageHeadroom {
    /// It has.
    #[default]
    Sufficient,
    /// Only for what must be kept to stay safe: votes and terms.
    Low,
}

/// What is to be done now: write `batch` durably, send `send` at any time, then call [`Node::written`].
#[derive(Debug, Default)]
pub struct Ready {
    /// To be durable before [`Node::written`]; may be empty.
    pub batch: store::Batch,
    /// Messages that need not wait for the write.
    pub messages: Vec<Message>,
}

/// What an instance is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election would be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Figures for operators.
#[derive(Debug, Clone, Serialize)]
pub struct NodeStatus {
    /// This instance.
    pub id: InstanceId,
    /// What it is.
    #[serde(rename = "standing")]
    pub role: NodeRole,
    /// The leader, as far as it knows.
    pub leader: Option<InstanceId>,
    /// The term.
    pub term: Term,
    /// The last index known to be decided.
    pub committed: Index,
    /// The last index applied here.
    pub applied: Index,
    /// The last index held here.
    #[serde(rename = "last")]
    pub last_index: Index,
    /// Entries held in memory.
    #[serde(rename = "held")]
    pub log_entries: usize,
    /// Proposals and reads that wait here.
    #[serde(rename = "waiting")]
    pub pending_requests: usize,
    /// Whether the store has room.
    #[serde(rename = "scarce")]
    pub storage_low: bool,
}

/// Work that was given out and is not durable yet.
#[derive(Default)]
struct Outstanding {
    number: u64,
    installed: Option<Snapshot>,
    after_write: Vec<Message>,
}

struct Asked {
    ticket: Ticket,
    until: Ticks,
}

/// One instance.
pub struct RaftNode {
    raw: RawNode<RaftLog>,
    journal: RaftLog,
    state: ReplicatedState,
    conf: ConfState,
    desk: PendingRequests,
    settings: RaftSettings,
    me: InstanceId,
    run: u64,
    counter: u64,
    now: Ticks,
    room: StorageHeadroom,
    outstanding: Option<Outstanding>,
    fold: Option<store::Snapshot>,
    asked: Option<Asked>,
    /// Members that a snapshot is on its way to, and since when.
    snapshots: BTreeMap<u64, Ticks>,
    to_send: Vec<Message>,
    applied: Vec<(Index, u64)>,
}

/// The first state of a cluster that begins with these voters: every one of them starts from the same.
pub fn initial_state(members: &[Member]) -> store::Batch {
    let ids: Vec<u64> = members.iter().map(|m| m.id.0).collect();
    let conf = ConfState { voters: ids, ..ConfState::default() };
    let snapshot = store::Snapshot {
        index: 1,
        term: 1,
        members: conf.write_to_bytes().unwrap_or_default(),
        data: encode(&ReplicatedState::with_members(members.iter().cloned())),
    };
    let hard = store::HardState { term: 1, vote: 0, commit: 1 };
    store::Batch { hard: Some(hard), snapshot: Some(snapshot), ..store::Batch::default() }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Fails only for lengths that are not known beforehand, and no type of ours has one.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// The same numbers for the same input on every machine and in every run.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl RaftNode {
    /// An instance that goes on from what its store holds. `run`: how many times the store was opened, this time
    /// counted. One whose store holds nothing waits until it is made a member.
    ///
    /// # Errors
    /// What the store holds is not what an instance writes.
    pub fn start(
        settings: RaftSettings,
        me: InstanceId,
        run: u64,
        loaded: store::Loaded,
    ) -> Result<Self, RaftNodeError> {
        let state = |what: &str| RaftNodeError::State(what.to_owned());
        let covered = loaded.snapshot.as_ref().map_or(0, |s| s.index);
        let last = loaded.entries.last().map_or(covered, |e| e.index);
        if loaded.hard.commit > last {
            let commit = loaded.hard.commit;
            return Err(RaftNodeError::State(format!(
                "entries up to {commit} were decided, those up to {last} are held"
            )));
        }
        let journal = RaftLog::restore(loaded).ok_or_else(|| state("an entry of an unknown kind"))?;
        let (index, data) = journal.snapshot_data();
        let ledger = if index == 0 {
            ReplicatedState::default()
        } else {
            let mut ledger: ReplicatedState =
                postcard::from_bytes(&data).map_err(|e| RaftNodeError::State(e.to_string()))?;
            ledger.skip(Index(index));
            ledger
        };
        let config = raft::Config {
            id: me.0,
            election_tick: settings.election_ticks,
            heartbeat_tick: settings.heartbeat_ticks,
            applied: index,
            max_size_per_msg: settings.max_message_bytes,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: settings.max_uncommitted_bytes,
            max_committed_size_per_ready: 4 * settings.max_message_bytes,
            ..raft::Config::default()
        };
        let conf = journal.conf_state();
        let raw = RawNode::new(&config, journal.clone(), &slog::Logger::root(slog::Discard, slog::o!()))?;
        let desk = PendingRequests::new(settings.max_pending_requests, settings.retry_ticks);
        let mut node = Self {
            raw,
            journal,
            state: ledger,
            conf,
            desk,
            settings,
            me,
            run,
            counter: 0,
            now: Ticks(0),
            room: StorageHeadroom::Sufficient,
            outstanding: None,
            fold: None,
            asked: None,
            snapshots: BTreeMap::new(),
            to_send: Vec::new(),
            applied: Vec::new(),
        };
        node.seed_election();
        Ok(node)
    }

    /// The library draws election time-outs from the system's random numbers; runs must be the same for the same
    /// seed, so they are set from it, anew in each term.
    fn seed_election(&mut self) {
        let least = self.settings.election_ticks;
        let drawn = mix(self.settings.seed ^ mix(self.me.0) ^ mix(self.raw.raft.term)) as usize % least;
        self.raw.raft.set_randomized_election_timeout(least + drawn);
    }

    /// Ticks so far.
    pub fn now(&self) -> Ticks {
        self.now
    }

    /// One tick of this instance's time has passed.
    pub fn tick(&mut self) {
        self.now.0 += 1;
        if !self.installing() {
            self.raw.tick();
        }
        self.seed_election();
        self.hand_on();
        self.promote();
        self.watch_snapshots();
        if self.asked.as_ref().is_some_and(|asked| asked.until <= self.now)
            && let Some(asked) = self.asked.take()
        {
            self.desk.answer(asked.ticket, Answer::Indeterminate);
        }
        self.desk.expire(self.now);
    }

    /// A snapshot that takes the place of the log is being written. Till it is, the entries that were decided and
    /// not applied are gone from the log: an instance that stood for election now would look for them, and the
    /// library ends the process when they are missing. It is far behind, so nobody waits for it.
    fn installing(&self) -> bool {
        self.outstanding.as_ref().is_some_and(|outstanding| outstanding.installed.is_some())
    }

    /// A message of another member has come.
    pub fn receive(&mut self, message: Message) {
        // A store that is nearly full takes no more entries; whoever sends them takes this instance for slow.
        let grows = !message.get_entries().is_empty() || message.get_msg_type() == MessageType::MsgSnapshot;
        if self.room == StorageHeadroom::Low && grows {
            return;
        }
        if raft_local(message.get_msg_type()) || message.to != self.me.0 || self.installing() {
            return;
        }
        // A message of a member that has gone, or of an older term, is refused by the library: nothing to do here.
        drop(self.raw.step(message));
        self.seed_election();
    }

    /// A member could not be reached: it is probed before more is sent.
    pub fn unreachable(&mut self, id: InstanceId) {
        self.raw.report_unreachable(id.0);
    }

    /// A snapshot on its way to a member gets no answer if it is lost, and the library sends that member nothing else
    /// until it is told: after some elections' time it is taken for lost, and the member is probed anew.
    fn watch_snapshots(&mut self) {
        let patience = 5 * self.settings.election_ticks as u64;
        let sent: Vec<u64> = (self.raw.raft.prs().iter())
            .filter(|(_, progress)| progress.state == raft::ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        self.snapshots.retain(|id, _| sent.contains(id));
        for id in sent {
            let since = *self.snapshots.entry(id).or_insert(self.now);
            if self.now.0 >= since.0 + patience {
                self.snapshots.remove(&id);
                self.raw.report_snapshot(id, raft::SnapshotStatus::Failure);
            }
        }
    }

    /// Whether the store has room for entries.
    pub fn set_storage_headroom(&mut self, room: StorageHeadroom) {
        if room == StorageHeadroom::Low && self.room == StorageHeadroom::Sufficient && self.is_leader() {
            // A leader that can't take entries stops everyone; another may have room.
            if let Some(id) = self
                .peer_progress()
                .iter()
                .find(|s| s.is_voter && s.recently_active && s.id != self.me)
                .map(|s| s.id)
            {
                self.raw.transfer_leader(id.0);
            }
        }
        self.room = room;
    }

    /// A number that no other command of this cluster has, for [`Command::Open`].
    pub fn nonce(&mut self) -> u64 {
        self.counter += 1;
        mix(self.me.0) ^ mix(self.run << 40 | self.counter)
    }

    /// Proposes; the answer comes within `within` ticks.
    pub fn propose(&mut self, ticket: Ticket, proposal: Proposal, within: u64) {
        if self.room == StorageHeadroom::Low {
            self.desk.answer(ticket, Answer::StoreFull);
            return;
        }
        let until = Ticks(self.now.0 + within.max(1));
        self.desk.propose(ticket, proposal, self.now, until);
        self.hand_on();
    }

    /// Opens a session for a proposer.
    pub fn open_session(&mut self, ticket: Ticket, within: u64) {
        let command = Command::OpenSession { nonce: self.nonce() };
        self.propose(ticket, Proposal { session: SessionId(0), sequence: Sequence(0), command }, within);
    }

    /// Asks for a moment at which the ledger here holds everything that was decided before this call.
    pub fn read(&mut self, ticket: Ticket, within: u64) {
        self.desk.read(ticket, Ticks(self.now.0 + within.max(1)));
        self.hand_on();
    }

    /// Asks for a change of membership; only the leader does.
    pub fn change_membership(&mut self, ticket: Ticket, change: MembershipChange, within: u64) {
        if !self.is_leader() {
            self.desk.answer(ticket, Answer::NotLeader(self.leader()));
            return;
        }
        if self.asked.is_some() || self.raw.raft.has_pending_conf() {
            self.desk
                .answer(ticket, Answer::Rejected("another change is under way: one at a time".to_owned()));
            return;
        }
        let members: Vec<Member> = self.state.members().cloned().collect();
        let (kind, id) = match membership::way(&change, self.me, &members, &self.peer_progress()) {
            Way::Already => return self.desk.answer(ticket, Answer::MembershipChanged),
            Way::No(why) => return self.desk.answer(ticket, Answer::Rejected(why)),
            Way::AsLearner(member) => (ConfChangeType::AddLearnerNode, member.id),
            Way::Out(id) => (ConfChangeType::RemoveNode, id),
        };
        let noted = Noted { asked: (self.me, self.run, ticket), change };
        match self.propose_change(kind, id, Some(&noted)) {
            Ok(()) => self.asked = Some(Asked { ticket, until: Ticks(self.now.0 + within.max(1)) }),
            Err(error) => self.desk.answer(ticket, Answer::Rejected(error.to_string())),
        }
    }

    fn propose_change(
        &mut self,
        kind: ConfChangeType,
        id: InstanceId,
        noted: Option<&Noted>,
    ) -> raft::Result<()> {
        let mut change = ConfChange { node_id: id.0, ..ConfChange::default() };
        change.set_change_type(kind);
        change.context = noted.map(encode).unwrap_or_default().into();
        self.raw.propose_conf_change(Vec::new(), change)
    }

    /// Hands the lead over. The answer says that it was begun.
    pub fn transfer(&mut self, ticket: Ticket, to: InstanceId) {
        let answer = if !self.is_leader() {
            Answer::NotLeader(self.leader())
        } else if !self.conf.voters.contains(&to.0) {
            Answer::Rejected(format!("{:016x} does not vote", to.0))
        } else {
            self.raw.transfer_leader(to.0);
            Answer::MembershipChanged
        };
        self.desk.answer(ticket, answer);
    }

    /// Folds what is applied into a snapshot now.
    pub fn compact_now(&mut self) {
        let index = self.state.applied().0;
        if index > self.journal.snapshot_data().0 {
            let data = encode(&self.state);
            let fold = self.journal.fold(index, self.conf.clone(), data, self.settings.retained_entries);
            self.fold = fold.as_ref().map(raft_log::to_stored);
        }
    }

    /// A learner that has caught up votes from now on.
    fn promote(&mut self) {
        let due = self.now.0.is_multiple_of(self.settings.heartbeat_ticks as u64);
        if !due || self.conf.learners.is_empty() || !self.is_leader() || self.raw.raft.has_pending_conf() {
            return;
        }
        let slack = 16;
        if let Some(id) = membership::caught_up(&self.peer_progress(), self.journal.last(), slack) {
            // If it is not taken now it is tried again at the next heartbeat.
            drop(self.propose_change(ConfChangeType::AddNode, id, None));
        }
    }

    fn hand_on(&mut self) {
        for (ticket, proposal) in self.desk.due(self.now) {
            match self.raw.propose(Vec::new(), encode(&proposal)) {
                Ok(()) => self.desk.handed_on(ticket),
                Err(_) => self.desk.not_taken(ticket, self.now),
            }
        }
        let (me, run, counter) = (self.me.0, self.run, self.counter + 1);
        // The run is part of it: an answer to a read of an earlier run must not pass for one of this run's.
        let context = || [me, run, counter].iter().flat_map(|n| n.to_le_bytes()).collect();
        if let Some(context) = self.desk.begin_round(self.now, context) {
            self.counter += 1;
            self.raw.read_index(context);
        }
    }

    /// What is to be written and sent now, if anything. Until [`Node::written`] there is no more; messages and ticks
    /// may come in between, so a slow device does not keep a leader from giving signs of life.
    ///
    /// # Errors
    /// What was decided can't be read: this instance can't go on.
    pub fn ready(&mut self) -> Result<Option<Ready>, RaftNodeError> {
        if self.outstanding.is_some() {
            return Ok(None);
        }
        let mut work = Ready { messages: std::mem::take(&mut self.to_send), ..Ready::default() };
        if !self.raw.has_ready() {
            work.batch.snapshot = self.fold.take();
            let some = !work.batch.is_empty() || !work.messages.is_empty();
            self.outstanding = some.then(Outstanding::default);
            return Ok(some.then_some(work));
        }
        let mut ready = self.raw.ready();
        work.messages.extend(ready.take_messages());
        work.batch.snapshot = self.fold.take();
        let mut outstanding = Outstanding { number: ready.number(), ..Outstanding::default() };
        if !ready.snapshot().is_empty() {
            work.batch.snapshot = Some(raft_log::to_stored(ready.snapshot()));
            outstanding.installed = Some(ready.snapshot().clone());
            self.journal.install(ready.snapshot().clone());
        }
        work.batch.entries = ready.entries().iter().map(raft_log::to_record).collect();
        self.journal.append(ready.entries());
        work.batch.hard =
            ready.hs().map(|hs| store::HardState { term: hs.term, vote: hs.vote, commit: hs.commit });
        if let Some(hard) = ready.hs() {
            self.journal.set_hard(hard.clone());
        }
        for state in ready.take_read_states() {
            self.desk.round_known(&state.request_ctx, state.index);
        }
        // Votes, and word that entries are held: only once they are.
        outstanding.after_write = ready.take_persisted_messages();
        // These were durable here before: the library gives no others.
        let committed = ready.take_committed_entries();
        self.raw.advance_append_async(ready);
        self.apply(committed)?;
        self.outstanding = Some(outstanding);
        Ok(Some(work))
    }

    /// The last work's batch is durable.
    ///
    /// # Errors
    /// A snapshot that can't be read: this instance can't go on.
    pub fn on_persisted(&mut self) -> Result<(), RaftNodeError> {
        let Some(outstanding) = self.outstanding.take() else { return Ok(()) };
        if outstanding.number > 0 {
            self.raw.on_persist_ready(outstanding.number);
        }
        if let Some(snapshot) = outstanding.installed {
            let mut ledger: ReplicatedState =
                postcard::from_bytes(&snapshot.data).map_err(|e| RaftNodeError::State(e.to_string()))?;
            let index = snapshot.get_metadata().index;
            ledger.skip(Index(index));
            self.state = ledger;
            self.conf = snapshot.get_metadata().get_conf_state().clone();
            self.raw.advance_apply_to(index);
            self.desk.reads_up_to(index);
        }
        self.to_send.extend(outstanding.after_write);
        self.seed_election();
        if self.state.applied().0 >= self.journal.snapshot_data().0 + self.settings.compact_every {
            self.compact_now();
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), RaftNodeError> {
        for entry in entries {
            let index = Index(entry.index);
            self.applied.push((index, entry.term));
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => self.state.skip(index),
                EntryType::EntryNormal => match postcard::from_bytes::<Proposal>(&entry.data) {
                    Ok(proposal) => {
                        let reply = self.state.apply(index, &proposal);
                        self.desk.applied(ProposalKey::of(&proposal), &reply);
                    }
                    // Every instance must skip the same entries: one that can't be read here may be of a later
                    // version, and going on without it would be another history.
                    Err(error) => return Err(RaftNodeError::State(format!("entry {index}: {error}"))),
                },
                EntryType::EntryConfChange => self.apply_change(index, &entry)?,
                EntryType::EntryConfChangeV2 => {
                    return Err(RaftNodeError::State(format!(
                        "entry {index}: a change of several members at once"
                    )));
                }
            }
            self.raw.advance_apply_to(index.0);
        }
        self.desk.reads_up_to(self.state.applied().0);
        Ok(())
    }

    fn apply_change(&mut self, index: Index, entry: &Entry) -> Result<(), RaftNodeError> {
        let unread = |e: &dyn std::fmt::Display| RaftNodeError::State(format!("entry {index}: {e}"));
        let mut change = ConfChange::default();
        change.merge_from_bytes(&entry.data).map_err(|e| unread(&e))?;
        self.conf = self.raw.apply_conf_change(&change)?;
        self.state.skip(index);
        if change.context.is_empty() {
            return Ok(());
        }
        let noted: Noted = postcard::from_bytes(&change.context).map_err(|e| unread(&e))?;
        match noted.change {
            MembershipChange::Add(member) => {
                self.state.add_member(index, member);
                // The newcomer takes no snapshot that does not name it, and an older one is all there is yet.
                self.compact_now();
            }
            MembershipChange::Remove(id) => self.state.remove_member(index, id),
        }
        let (asker, run, ticket) = noted.asked;
        if (asker, run) == (self.me, self.run)
            && let Some(asked) = self.asked.take_if(|asked| asked.ticket == ticket)
        {
            self.desk.answer(asked.ticket, Answer::MembershipChanged);
        }
        Ok(())
    }

    /// Answers since the last call, one for each ticket.
    pub fn take_answers(&mut self) -> Vec<(Ticket, Answer)> {
        self.desk.take_answers()
    }

    /// Index and term of each entry applied since the last call.
    pub fn take_applied(&mut self) -> Vec<(Index, u64)> {
        std::mem::take(&mut self.applied)
    }

    /// The ledger as it stands here. Answer a read from it only at [`Answer::Readable`].
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this instance believes that it leads. For speed and for show: nothing is safe because of it.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// The leader, as far as this instance knows.
    pub fn leader(&self) -> Option<InstanceId> {
        Some(self.raw.raft.leader_id).filter(|id| *id != 0).map(InstanceId)
    }

    /// Voters and learners as the leader sees them; empty elsewhere.
    pub fn peer_progress(&self) -> Vec<PeerProgress> {
        if !self.is_leader() {
            return Vec::new();
        }
        let mut all: Vec<PeerProgress> = (self.raw.raft.prs().iter())
            .map(|(id, progress)| PeerProgress {
                id: InstanceId(*id),
                is_voter: self.conf.voters.contains(id),
                recently_active: *id == self.me.0 || progress.recent_active,
                matched: progress.matched,
            })
            .collect();
        all.sort_by_key(|seen| seen.id);
        all
    }

    /// Whether an instance votes.
    pub fn is_voter(&self, id: InstanceId) -> bool {
        self.conf.voters.contains(&id.0)
    }

    /// Figures for operators.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            id: self.me,
            role: match self.raw.raft.state {
                StateRole::Follower => NodeRole::Follower,
                StateRole::PreCandidate => NodeRole::PreCandidate,
                StateRole::Candidate => NodeRole::Candidate,
                StateRole::Leader => NodeRole::Leader,
            },
            leader: self.leader(),
            term: Term(self.raw.raft.term),
            committed: Index(self.raw.raft.raft_log.committed),
            applied: self.state.applied(),
            last_index: Index(self.journal.last()),
            log_entries: self.journal.len(),
            pending_requests: self.desk.waiting(),
            storage_low: self.room == StorageHeadroom::Low,
        }
    }
}

/// Messages that an instance sends only to itself: from outside they would make it stand for election at will.
fn raft_local(kind: MessageType) -> bool {
    use MessageType::*;
    matches!(kind, MsgHup | MsgBeat | MsgUnreachable | MsgSnapStatus | MsgCheckQuorum)
}

/// A message as bytes.
pub fn encode_message(message: &Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// The message that these bytes are.
///
/// # Errors
/// They are none.
pub fn decode_message(bytes: &[u8]) -> Result<Message, String> {
    let mut message = Message::default();
    message.merge_from_bytes(bytes).map_err(|e| e.to_string())?;
    Ok(message)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members() -> Vec<Member> {
        (1..=3)
            .map(|id| Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() })
            .collect()
    }

    fn loaded() -> store::Loaded {
        let founding = initial_state(&members());
        store::Loaded {
            hard: founding.hard.unwrap_or_default(),
            snapshot: founding.snapshot,
            entries: Vec::new(),
        }
    }

    fn node(loaded: store::Loaded) -> Result<RaftNode, RaftNodeError> {
        RaftNode::start(RaftSettings::default(), InstanceId(1), 1, loaded)
    }

    fn goes_on(node: &mut RaftNode) {
        while node.ready().expect("work").is_some() {
            node.on_persisted().expect("written");
        }
    }

    #[test]
    fn a_store_that_has_lost_decided_entries_is_refused_with_both_indices() {
        let mut lossy = loaded();
        lossy.hard.commit = 9;
        let error = node(lossy).err().expect("refused").to_string();
        assert!(error.contains("up to 9") && error.contains("up to 1"), "{error}");
    }

    #[test]
    fn no_election_begins_while_a_snapshot_is_being_installed() {
        let mut behind = node(loaded()).expect("a node");
        goes_on(&mut behind);
        // Entries up to 9 are held and decided, but the snapshot that comes takes their place before they are applied.
        let entry = |index| Entry { index, term: 1, ..Entry::default() };
        let mut append =
            Message { from: 2, to: 1, term: 1, index: 1, log_term: 1, commit: 1, ..Message::default() };
        append.set_msg_type(MessageType::MsgAppend);
        append.set_entries((2..=9).map(entry).collect::<Vec<_>>().into());
        behind.receive(append);
        goes_on(&mut behind);
        let mut message = Message { from: 2, to: 1, term: 1, ..Message::default() };
        message.set_msg_type(MessageType::MsgSnapshot);
        let mut snapshot = Snapshot {
            data: encode(&ReplicatedState::with_members(members())).into(),
            ..Snapshot::default()
        };
        snapshot.mut_metadata().index = 20;
        snapshot.mut_metadata().term = 1;
        snapshot.mut_metadata().set_conf_state(behind.conf.clone());
        message.set_snapshot(snapshot);
        behind.receive(message);
        assert!(behind.ready().expect("work").is_some_and(|work| work.batch.snapshot.is_some()));
        for _ in 0..200 {
            behind.tick();
        }
        let mut now = Message { from: 2, to: 1, term: 1, ..Message::default() };
        now.set_msg_type(MessageType::MsgTimeoutNow);
        behind.receive(now);
        assert_eq!(behind.status().role, NodeRole::Follower);
        behind.on_persisted().expect("written");
        assert_eq!(behind.state().applied(), Index(20));
        (0..200).for_each(|_| behind.tick());
        assert_ne!(behind.status().role, NodeRole::Follower, "after it, elections go on");
    }

    #[test]
    fn without_room_nothing_new_is_taken_on_and_votes_are_still_given() {
        let mut full = node(loaded()).expect("a node");
        goes_on(&mut full);
        full.set_storage_headroom(StorageHeadroom::Low);
        full.open_session(Ticket(1), 10);
        assert_eq!(full.take_answers(), [(Ticket(1), Answer::StoreFull)]);
        let mut append =
            Message { from: 2, to: 1, term: 1, index: 1, log_term: 1, commit: 1, ..Message::default() };
        append.set_msg_type(MessageType::MsgAppend);
        append.set_entries(vec![Entry { index: 2, term: 1, ..Entry::default() }].into());
        full.receive(append.clone());
        goes_on(&mut full);
        assert_eq!(full.status().last_index, Index(1));
        let mut vote = Message { from: 3, to: 1, term: 2, index: 1, log_term: 1, ..Message::default() };
        vote.set_msg_type(MessageType::MsgRequestVote);
        full.receive(vote);
        let work = full.ready().expect("work").expect("a vote to keep");
        assert_eq!(work.batch.hard.map(|hard| (hard.term, hard.vote)), Some((2, 3)));
        full.on_persisted().expect("written");
        full.set_storage_headroom(StorageHeadroom::Sufficient);
        append.term = 2;
        full.receive(append);
        goes_on(&mut full);
        assert_eq!(full.status().last_index, Index(2));
    }

    #[test]
    fn a_message_for_another_or_of_the_inner_kinds_changes_nothing() {
        let mut node = node(loaded()).expect("a node");
        goes_on(&mut node);
        for (to, kind) in
            [(1, MessageType::MsgHup), (1, MessageType::MsgCheckQuorum), (2, MessageType::MsgRequestVote)]
        {
            let mut message = Message { from: 3, to, term: 5, index: 9, log_term: 9, ..Message::default() };
            message.set_msg_type(kind);
            node.receive(message);
        }
        assert_eq!((node.status().term, node.status().role), (Term(1), NodeRole::Follower));
    }
}

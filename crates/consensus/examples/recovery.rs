//! Measures recovery time by log length, and memory use over one hour of load in virtual time.
//!
//! `cargo run --release --locked -p garnetcrank-consensus --example recovery` prints two tables.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use garnetcrank_consensus::ids::{InstanceId, Sequence, SessionId, Subject, Ticket};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::raft_node::{self, Message, RaftNode, RaftSettings};
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal, Reply};
use garnetcrank_store::{Batch, HardState, LogEntry, OwnerIdentity, PersistedState, Store};

const KIB_PER_MIB: f64 = 1024.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;
/// Entries written in one batch when a store is filled.
const ENTRIES_PER_BATCH: u64 = 5_000;
/// Ticks in an hour, at 10 ms a tick.
const TICKS_PER_HOUR: u64 = 360_000;
const TICKS_PER_MINUTE: u64 = 6_000;
const MINUTES_PER_ROW: u64 = 10;
/// Ticks for which a proposal waits for its answer.
const PROPOSAL_TICKS: u64 = 500;
/// Number of proposals after which old subjects are retired.
const RETIRE_INTERVAL: u64 = 100;
/// Number of the newest subjects that are not retired.
const SUBJECTS_RETAINED: u64 = 2_000;
const SPACE: &str = "measured";

fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / KIB_PER_MIB
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn identity() -> OwnerIdentity {
    OwnerIdentity { cluster: "measure".into(), name: "n1".into(), id: 1 }
}

fn member(id: u64) -> Member {
    Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() }
}

fn proposal(session: u64, sequence: u64, command: Command) -> Proposal {
    Proposal { session: SessionId(session), sequence: Sequence(sequence), command }
}

fn decide(number: u64) -> Command {
    Command::Decide { subject: Subject::new(SPACE, number), value: number.to_le_bytes().to_vec() }
}

/// Builds the entry at `index` of a log whose first entry opens a session and whose other entries decide one subject
/// each.
fn log_entry(index: u64) -> LogEntry {
    let proposal = match index {
        2 => proposal(0, 0, Command::OpenSession { nonce: 1 }),
        _ => proposal(2, index, decide(index)),
    };
    let data = postcard::to_stdvec(&proposal).expect("the proposal is encoded");
    LogEntry { index, term: 1, kind: 0, data, context: Vec::new() }
}

/// Creates a store whose log holds `entries` entries after the initial snapshot.
fn fill_store(path: &Path, entries: u64) {
    let mut store = Store::open(path, &identity()).expect("the store opens");
    store.commit(&raft_node::initial_state(&[member(1)])).expect("the initial state is written");
    let last = entries + 1;
    for first in (2..=last).step_by(ENTRIES_PER_BATCH as usize) {
        let last_of_batch = last.min(first + ENTRIES_PER_BATCH - 1);
        let entries = (first..=last_of_batch).map(log_entry).collect();
        store.commit(&Batch { entries, ..Batch::default() }).expect("the entries are written");
    }
    let committed = Some(HardState { term: 1, vote: 1, commit: last });
    store.commit(&Batch { hard_state: committed, ..Batch::default() }).expect("the hard state is written");
}

/// Durations of the phases of one recovery, and the index that it applied.
struct Recovery {
    open: Duration,
    read: Duration,
    apply: Duration,
    applied: u64,
}

fn recover(path: &Path) -> Recovery {
    let start = Instant::now();
    let store = Store::open(path, &identity()).expect("the store opens");
    let opened = start.elapsed();
    let persisted = store.load().expect("the store loads");
    let read = start.elapsed();
    let settings = RaftSettings { compact_every: u64::MAX / 2, ..RaftSettings::default() };
    let mut node =
        RaftNode::start(settings, InstanceId(1), store.start_count(), persisted).expect("the node starts");
    while node.ready().expect("the node prepares its output").is_some() {
        node.on_persisted().expect("the node continues after the write");
    }
    Recovery {
        open: opened,
        read: read - opened,
        apply: start.elapsed() - read,
        applied: node.state().applied().0,
    }
}

fn measure_recovery() {
    println!("| entries | file, MiB | open, ms | read, ms | apply, ms | all, ms | resident, MiB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for entries in [1_000, 100_000, 1_000_000] {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let path = folder.path().join("store");
        fill_store(&path, entries);
        let file_mib = std::fs::metadata(&path).map_or(0, |metadata| metadata.len()) as f64 / BYTES_PER_MIB;
        let Recovery { open, read, apply, applied } = recover(&path);
        assert!(applied > entries, "all {entries} entries must be applied, got index {applied}");
        println!(
            "| {entries} | {file_mib:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} |",
            milliseconds(open),
            milliseconds(read),
            milliseconds(apply),
            milliseconds(open + read + apply),
            resident_mib()
        );
    }
}

/// Three instances in virtual time whose messages are delivered at the next tick.
struct Cluster {
    nodes: BTreeMap<u64, RaftNode>,
    in_transit: Vec<Message>,
    session: Option<SessionId>,
    sequence: u64,
    decided: u64,
}

impl Cluster {
    fn new() -> Self {
        let members: Vec<Member> = (1..=3).map(member).collect();
        let settings =
            RaftSettings { compact_every: 1_000, retained_entries: 100, ..RaftSettings::default() };
        let start = |id: u64| {
            let initial = raft_node::initial_state(&members);
            let persisted = PersistedState {
                hard_state: initial.hard_state.unwrap_or_default(),
                snapshot: initial.snapshot,
                entries: Vec::new(),
            };
            RaftNode::start(settings.clone(), InstanceId(id), 1, persisted).expect("the node starts")
        };
        Self {
            nodes: (1..=3).map(|id| (id, start(id))).collect(),
            in_transit: Vec::new(),
            session: None,
            sequence: 0,
            decided: 0,
        }
    }

    fn tick(&mut self, tick: u64) {
        for message in std::mem::take(&mut self.in_transit) {
            if let Some(node) = self.nodes.get_mut(&message.to) {
                node.receive(message);
            }
        }
        self.propose(tick);
        for id in 1..=3 {
            self.advance(id);
        }
    }

    /// Submits one proposal, at each instance in turn; opens the session first.
    fn propose(&mut self, tick: u64) {
        let Some(node) = self.nodes.get_mut(&(tick % 3 + 1)) else { return };
        let Some(session) = self.session else {
            if tick % 100 == 50 {
                node.open_session(Ticket(tick), PROPOSAL_TICKS);
            }
            return;
        };
        self.sequence += 1;
        let command = if self.sequence.is_multiple_of(RETIRE_INTERVAL) {
            let below = self.sequence.saturating_sub(SUBJECTS_RETAINED);
            Command::RetireSubjects { space: SPACE.into(), below }
        } else {
            decide(self.sequence)
        };
        node.propose(Ticket(tick), proposal(session.0, self.sequence, command), PROPOSAL_TICKS);
    }

    fn advance(&mut self, id: u64) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.tick();
        while let Some(ready) = node.ready().expect("the node prepares its output") {
            self.in_transit.extend(ready.messages);
            node.on_persisted().expect("the node continues after the write");
        }
        for answered in node.take_answers() {
            match answered.answer {
                Answer::Applied(Reply::SessionOpened(opened)) if self.session.is_none() => {
                    self.session = Some(opened);
                }
                Answer::Applied(_) => self.decided += 1,
                _ => {}
            }
        }
        node.take_applied();
    }

    fn log_entries(&self) -> usize {
        self.nodes.values().map(|node| node.status().log_entries).sum()
    }
}

fn measure_memory() {
    let mut cluster = Cluster::new();
    println!("| virtual minutes | decided | entries held | resident, MiB |");
    println!("| --- | --- | --- | --- |");
    for tick in 0..TICKS_PER_HOUR {
        cluster.tick(tick);
        let ticks = tick + 1;
        if ticks.is_multiple_of(MINUTES_PER_ROW * TICKS_PER_MINUTE) {
            println!(
                "| {} | {} | {} | {:.1} |",
                ticks / TICKS_PER_MINUTE,
                cluster.decided,
                cluster.log_entries(),
                resident_mib()
            );
        }
    }
}

fn main() {
    measure_memory();
    println!();
    measure_recovery();
}

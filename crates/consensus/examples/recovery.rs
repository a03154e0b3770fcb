//! What recovery costs by the length of the log, and whether memory stays flat over an hour of virtual load.
//!
//! `cargo run --release --locked -p garnetcrank-consensus --example recovery` prints two tables.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use garnetcrank_consensus::ids::{InstanceId, Sequence, SessionId, Subject, Ticket};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::raft_node::{self, Message, RaftNode, RaftSettings};
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal, Reply};
use garnetcrank_store::{Batch, HardState, Identity, Record, Store};

fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn member(id: u64) -> Member {
    Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() }
}

fn proposal(session: u64, sequence: u64, command: Command) -> Proposal {
    Proposal { session: SessionId(session), sequence: Sequence(sequence), command }
}

fn decide(number: u64) -> Command {
    Command::Decide { subject: Subject::new("measured", number), value: number.to_le_bytes().to_vec() }
}

/// A store whose log holds so many entries behind the founding snapshot.
fn filled(path: &Path, entries: u64) {
    let identity = Identity { cluster: "measure".into(), name: "n1".into(), id: 1 };
    let mut store = Store::open(path, &identity).expect("a store");
    store.commit(&raft_node::initial_state(&[member(1)])).expect("a first state");
    let last = entries + 1;
    let record = |index: u64| {
        let proposal = match index {
            2 => proposal(0, 0, Command::OpenSession { nonce: 1 }),
            _ => proposal(2, index, decide(index)),
        };
        let data = postcard::to_stdvec(&proposal).expect("bytes");
        Record { index, term: 1, kind: 0, data, context: Vec::new() }
    };
    for first in (2..=last).step_by(5000) {
        let entries = (first..=last.min(first + 4999)).map(record).collect();
        store.commit(&Batch { entries, ..Batch::default() }).expect("entries");
    }
    let hard = Some(HardState { term: 1, vote: 1, commit: last });
    store.commit(&Batch { hard, ..Batch::default() }).expect("the hard state");
}

fn recover(path: &Path) -> (Duration, Duration, Duration, u64) {
    let identity = Identity { cluster: "measure".into(), name: "n1".into(), id: 1 };
    let begun = Instant::now();
    let store = Store::open(path, &identity).expect("a store");
    let opened = begun.elapsed();
    let loaded = store.load().expect("what is held");
    let read = begun.elapsed();
    let settings = RaftSettings { compact_every: u64::MAX / 2, ..RaftSettings::default() };
    let mut node = RaftNode::start(settings, InstanceId(1), store.starts(), loaded).expect("a node");
    while node.ready().expect("work").is_some() {
        node.on_persisted().expect("written");
    }
    (opened, read - opened, begun.elapsed() - read, node.state().applied().0)
}

fn recovery() {
    println!("| entries | file, MiB | open, ms | read, ms | apply, ms | all, ms | resident, MiB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for entries in [1_000, 100_000, 1_000_000] {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("store");
        filled(&path, entries);
        let file = std::fs::metadata(&path).map_or(0, |m| m.len()) as f64 / 1048576.0;
        let (open, read, apply, applied) = recover(&path);
        assert!(applied > entries, "all is applied");
        let ms = |span: Duration| span.as_secs_f64() * 1e3;
        println!(
            "| {entries} | {file:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} |",
            ms(open),
            ms(read),
            ms(apply),
            ms(open + read + apply),
            resident_mib()
        );
    }
}

/// Three instances in virtual time, ten milliseconds a tick, a proposal a tick; old subjects are retired.
fn an_hour() {
    let members: Vec<Member> = (1..=3).map(member).collect();
    let settings = RaftSettings { compact_every: 1_000, retained_entries: 100, ..RaftSettings::default() };
    let loaded = || {
        let founding = raft_node::initial_state(&members);
        garnetcrank_store::Loaded {
            hard: founding.hard.unwrap_or_default(),
            snapshot: founding.snapshot,
            entries: Vec::new(),
        }
    };
    let start = |id: u64| RaftNode::start(settings.clone(), InstanceId(id), 1, loaded()).expect("a node");
    let mut nodes: BTreeMap<u64, RaftNode> = (1..=3).map(|id| (id, start(id))).collect();
    let (mut mail, mut session, mut sequence, mut decided) = (Vec::<Message>::new(), 0, 0u64, 0u64);
    println!("| virtual minutes | decided | entries held | resident, MiB |");
    println!("| --- | --- | --- | --- |");
    for tick in 0..360_000u64 {
        let letters = std::mem::take(&mut mail);
        for letter in letters {
            if let Some(node) = nodes.get_mut(&letter.to) {
                node.receive(letter);
            }
        }
        if let Some(node) = nodes.get_mut(&(tick % 3 + 1)) {
            if session == 0 && tick % 100 == 50 {
                node.open_session(Ticket(tick), 500);
            } else if session > 0 {
                sequence += 1;
                let retire = Command::RetireSubjects {
                    space: "measured".into(),
                    below: sequence.saturating_sub(2_000),
                };
                let command = if sequence.is_multiple_of(100) { retire } else { decide(sequence) };
                node.propose(Ticket(tick), proposal(session, sequence, command), 500);
            }
        }
        for node in nodes.values_mut() {
            node.tick();
            while let Some(work) = node.ready().expect("work") {
                mail.extend(work.messages);
                node.on_persisted().expect("written");
            }
            for (_, answer) in node.take_answers() {
                match answer {
                    Answer::Applied(Reply::SessionOpened(opened)) if session == 0 => session = opened.0,
                    Answer::Applied(_) => decided += 1,
                    _ => {}
                }
            }
            node.take_applied();
        }
        if (tick + 1) % 60_000 == 0 {
            let held: usize = nodes.values().map(|node| node.status().log_entries).sum();
            println!("| {} | {decided} | {held} | {:.1} |", (tick + 1) / 6_000, resident_mib());
        }
    }
}

fn main() {
    an_hour();
    println!();
    recovery();
}

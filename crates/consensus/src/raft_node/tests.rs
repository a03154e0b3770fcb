use garnetcrank_store as store;
use raft::eraftpb::{Entry, MessageType, Snapshot};

use super::codec::encode;
use super::{Message, NodeRole, RaftNode, RaftNodeError, RaftSettings, StorageHeadroom, initial_state};
use crate::ids::{Index, InstanceId, Term, Ticket};
use crate::pending_requests::{Answer, TicketAnswer};
use crate::replicated_state::{Member, ReplicatedState};

fn members() -> Vec<Member> {
    (1..=3).map(|id| Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() }).collect()
}

fn loaded() -> store::Loaded {
    let initial = initial_state(&members());
    store::Loaded {
        hard_state: initial.hard_state.unwrap_or_default(),
        snapshot: initial.snapshot,
        entries: Vec::new(),
    }
}

/// Instance 1 of the three members.
fn start(loaded: store::Loaded) -> Result<RaftNode, RaftNodeError> {
    RaftNode::start(RaftSettings::default(), InstanceId(1), 1, loaded)
}

/// A fresh instance 1 that has nothing left to write.
fn started() -> RaftNode {
    let mut node = start(loaded()).expect("a node");
    persist_all(&mut node);
    node
}

fn persist_all(node: &mut RaftNode) {
    while node.ready().expect("its work").is_some() {
        node.on_persisted().expect("a write");
    }
}

fn message(kind: MessageType, from: u64, term: u64) -> Message {
    let mut message = Message { from, to: 1, term, ..Message::default() };
    message.set_msg_type(kind);
    message
}

/// Entries of term 1 behind the initial state, up to `last`.
fn append(term: u64, last: u64) -> Message {
    let entry = |index| Entry { index, term: 1, ..Entry::default() };
    let mut append = message(MessageType::MsgAppend, 2, term);
    append.index = 1;
    append.log_term = 1;
    append.commit = 1;
    append.set_entries((2..=last).map(entry).collect::<Vec<_>>().into());
    append
}

fn snapshot_message(node: &RaftNode, index: u64) -> Message {
    let data = encode(&ReplicatedState::with_members(members()));
    let mut snapshot = Snapshot { data: data.into(), ..Snapshot::default() };
    snapshot.mut_metadata().index = index;
    snapshot.mut_metadata().term = 1;
    snapshot.mut_metadata().set_conf_state(node.conf_state.clone());
    let mut message = message(MessageType::MsgSnapshot, 2, 1);
    message.set_snapshot(snapshot);
    message
}

#[test]
fn a_store_that_has_lost_committed_entries_is_rejected_with_both_indices() {
    let mut lossy = loaded();
    lossy.hard_state.commit = 9;
    let error = start(lossy).err().expect("an error").to_string();
    assert!(error.contains("up to 9") && error.contains("up to 1"), "{error}");
}

#[test]
fn no_election_begins_while_a_snapshot_is_being_installed() {
    let mut behind = started();
    // Entries up to 9 are in the log, and the snapshot that comes replaces it before they are applied.
    behind.receive(append(1, 9));
    persist_all(&mut behind);
    behind.receive(snapshot_message(&behind, 20));
    assert!(behind.ready().expect("its work").is_some_and(|ready| ready.batch.snapshot.is_some()));
    for _ in 0..200 {
        behind.tick();
    }
    behind.receive(message(MessageType::MsgTimeoutNow, 2, 1));
    assert_eq!(behind.status().role, NodeRole::Follower);
    behind.on_persisted().expect("a write");
    assert_eq!(behind.state().applied(), Index(20));
    for _ in 0..200 {
        behind.tick();
    }
    assert_ne!(behind.status().role, NodeRole::Follower, "after it, elections go on");
}

#[test]
fn with_a_store_that_is_nearly_full_nothing_new_is_accepted_and_votes_are_still_given() {
    let mut full = started();
    full.set_storage_headroom(StorageHeadroom::Low);
    full.open_session(Ticket(1), 10);
    assert_eq!(full.take_answers(), [TicketAnswer { ticket: Ticket(1), answer: Answer::StoreFull }]);
    full.receive(append(1, 2));
    persist_all(&mut full);
    assert_eq!(full.status().last_index, Index(1));
    let mut vote = message(MessageType::MsgRequestVote, 3, 2);
    vote.index = 1;
    vote.log_term = 1;
    full.receive(vote);
    let ready = full.ready().expect("its work").expect("a vote to keep");
    assert_eq!(ready.batch.hard_state.map(|hard| (hard.term, hard.vote)), Some((2, 3)));
    full.on_persisted().expect("a write");
    full.set_storage_headroom(StorageHeadroom::Sufficient);
    full.receive(append(2, 2));
    persist_all(&mut full);
    assert_eq!(full.status().last_index, Index(2));
}

#[test]
fn a_message_for_another_instance_or_of_a_local_kind_changes_nothing() {
    let mut node = started();
    for (to, kind) in
        [(1, MessageType::MsgHup), (1, MessageType::MsgCheckQuorum), (2, MessageType::MsgRequestVote)]
    {
        let mut unwanted = message(kind, 3, 5);
        unwanted.to = to;
        unwanted.index = 9;
        unwanted.log_term = 9;
        node.receive(unwanted);
    }
    assert_eq!((node.status().term, node.status().role), (Term(1), NodeRole::Follower));
}

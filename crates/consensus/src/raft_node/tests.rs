use garnetcrank_store as store;
use raft::eraftpb::{Entry, MessageType, Snapshot};

use super::codec::encode;
use super::{Message, NodeRole, RaftNode, RaftNodeError, RaftSettings, StorageHeadroom, initial_state};
use crate::ids::{Index, InstanceId, Term, Ticket};
use crate::pending_requests::Answer;
use crate::replicated_state::{Member, ReplicatedState};

fn members() -> Vec<Member> {
    (1..=3).map(|id| Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() }).collect()
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

fn persist_all(node: &mut RaftNode) {
    while node.ready().expect("work").is_some() {
        node.on_persisted().expect("written");
    }
}

#[test]
fn a_store_that_has_lost_committed_entries_is_rejected_with_both_indices() {
    let mut lossy = loaded();
    lossy.hard.commit = 9;
    let error = node(lossy).err().expect("refused").to_string();
    assert!(error.contains("up to 9") && error.contains("up to 1"), "{error}");
}

#[test]
fn no_election_begins_while_a_snapshot_is_being_installed() {
    let mut behind = node(loaded()).expect("a node");
    persist_all(&mut behind);
    // Entries up to 9 are held and decided, but the snapshot that comes takes their place before they are applied.
    let entry = |index| Entry { index, term: 1, ..Entry::default() };
    let mut append =
        Message { from: 2, to: 1, term: 1, index: 1, log_term: 1, commit: 1, ..Message::default() };
    append.set_msg_type(MessageType::MsgAppend);
    append.set_entries((2..=9).map(entry).collect::<Vec<_>>().into());
    behind.receive(append);
    persist_all(&mut behind);
    let mut message = Message { from: 2, to: 1, term: 1, ..Message::default() };
    message.set_msg_type(MessageType::MsgSnapshot);
    let mut snapshot =
        Snapshot { data: encode(&ReplicatedState::with_members(members())).into(), ..Snapshot::default() };
    snapshot.mut_metadata().index = 20;
    snapshot.mut_metadata().term = 1;
    snapshot.mut_metadata().set_conf_state(behind.conf_state.clone());
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
fn with_a_store_that_is_nearly_full_nothing_new_is_accepted_and_votes_are_still_given() {
    let mut full = node(loaded()).expect("a node");
    persist_all(&mut full);
    full.set_storage_headroom(StorageHeadroom::Low);
    full.open_session(Ticket(1), 10);
    assert_eq!(full.take_answers(), [(Ticket(1), Answer::StoreFull)]);
    let mut append =
        Message { from: 2, to: 1, term: 1, index: 1, log_term: 1, commit: 1, ..Message::default() };
    append.set_msg_type(MessageType::MsgAppend);
    append.set_entries(vec![Entry { index: 2, term: 1, ..Entry::default() }].into());
    full.receive(append.clone());
    persist_all(&mut full);
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
    persist_all(&mut full);
    assert_eq!(full.status().last_index, Index(2));
}

#[test]
fn a_message_for_another_instance_or_of_a_local_kind_changes_nothing() {
    let mut node = node(loaded()).expect("a node");
    persist_all(&mut node);
    for (to, kind) in
        [(1, MessageType::MsgHup), (1, MessageType::MsgCheckQuorum), (2, MessageType::MsgRequestVote)]
    {
        let mut message = Message { from: 3, to, term: 5, index: 9, log_term: 9, ..Message::default() };
        message.set_msg_type(kind);
        node.receive(message);
    }
    assert_eq!((node.status().term, node.status().role), (Term(1), NodeRole::Follower));
}

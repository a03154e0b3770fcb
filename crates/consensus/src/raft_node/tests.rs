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

fn initial_store() -> store::PersistedState {
    let initial = initial_state(&members());
    store::PersistedState {
        hard_state: initial.hard_state.unwrap_or_default(),
        snapshot: initial.snapshot,
        entries: Vec::new(),
    }
}

/// Starts instance 1 of the three members.
fn start(persisted: store::PersistedState) -> Result<RaftNode, RaftNodeError> {
    RaftNode::start(RaftSettings::default(), InstanceId(1), 1, persisted)
}

/// Starts instance 1 from its initial store and completes all of its writes.
fn start_from_initial_store() -> RaftNode {
    let mut node = start(initial_store()).expect("the node must start");
    persist_all(&mut node);
    node
}

fn persist_all(node: &mut RaftNode) {
    while node.ready().expect("ready must succeed").is_some() {
        node.on_persisted().expect("on_persisted must succeed");
    }
}

fn message(kind: MessageType, from: u64, term: u64) -> Message {
    let mut message = Message { from, to: 1, term, ..Message::default() };
    message.set_msg_type(kind);
    message
}

/// Returns an append message with the entries of term 1 that follow the initial snapshot, up to `last`.
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
fn starting_with_a_store_that_lost_committed_entries_fails_and_names_both_indexes() {
    let mut truncated = initial_store();
    truncated.hard_state.commit = 9;
    let error = start(truncated).err().expect("starting must fail").to_string();
    assert!(error.contains("up to 9") && error.contains("up to 1"), "{error}");
}

#[test]
fn no_election_starts_while_a_snapshot_is_being_installed() {
    let mut node = start_from_initial_store();
    // The log contains the entries up to 9, and the snapshot replaces it before they are applied.
    node.receive(append(1, 9));
    persist_all(&mut node);
    node.receive(snapshot_message(&node, 20));
    assert!(node.ready().expect("ready must succeed").is_some_and(|ready| ready.batch.snapshot.is_some()));
    for _ in 0..200 {
        node.tick();
    }
    node.receive(message(MessageType::MsgTimeoutNow, 2, 1));
    assert_eq!(node.status().role, NodeRole::Follower);
    node.on_persisted().expect("on_persisted must succeed");
    assert_eq!(node.state().applied(), Index(20));
    for _ in 0..200 {
        node.tick();
    }
    assert_ne!(
        node.status().role,
        NodeRole::Follower,
        "elections must be possible again once the snapshot is installed"
    );
}

#[test]
fn a_nearly_full_store_accepts_no_new_entries_but_still_persists_votes() {
    let mut node = start_from_initial_store();
    node.set_storage_headroom(StorageHeadroom::Low);
    node.open_session(Ticket(1), 10);
    assert_eq!(node.take_answers(), [TicketAnswer { ticket: Ticket(1), answer: Answer::StoreFull }]);
    node.receive(append(1, 2));
    persist_all(&mut node);
    assert_eq!(node.status().last_index, Index(1));
    let mut vote = message(MessageType::MsgRequestVote, 3, 2);
    vote.index = 1;
    vote.log_term = 1;
    node.receive(vote);
    let ready = node.ready().expect("ready must succeed").expect("a vote to persist is expected");
    assert_eq!(ready.batch.hard_state.map(|hard_state| (hard_state.term, hard_state.vote)), Some((2, 3)));
    node.on_persisted().expect("on_persisted must succeed");
    node.set_storage_headroom(StorageHeadroom::Sufficient);
    node.receive(append(2, 2));
    persist_all(&mut node);
    assert_eq!(node.status().last_index, Index(2));
}

#[test]
fn messages_for_another_instance_or_of_a_local_type_are_ignored() {
    let mut node = start_from_initial_store();
    for (to, kind) in
        [(1, MessageType::MsgHup), (1, MessageType::MsgCheckQuorum), (2, MessageType::MsgRequestVote)]
    {
        let mut ignored = message(kind, 3, 5);
        ignored.to = to;
        ignored.index = 9;
        ignored.log_term = 9;
        node.receive(ignored);
    }
    assert_eq!((node.status().term, node.status().role), (Term(1), NodeRole::Follower));
}

//! Tests that a store written by an earlier version is decoded field by field and that an instance restarts from it.
//!
//! The fixture `crates/agent/tests/fixtures/store-8a93f45/alma.redb` was written by the code of commit 8a93f45: the
//! instance `alma`, driven through the Raft node and the store as the agent drives them, with `birs` as second voter.
//! It must never be regenerated. Its snapshot holds every kind of subject and every reply that a session keeps. The
//! entries after the snapshot hold every command, a committed removal of a member and, uncommitted, the addition of a
//! member and a decision. `state.txt` in the same folder describes the contents in a vocabulary of its own, so that
//! it stays unchanged when types are renamed.

mod probe;
mod text;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use garnetcrank_consensus::build_verdicts;
use garnetcrank_consensus::ids::{InstanceId, Role};
use garnetcrank_consensus::raft_node::{Message, RaftNode, RaftSettings};
use garnetcrank_consensus::replicated_state::{ReplicatedState, Reply, SubjectState};
use garnetcrank_store::{PersistedState, Store};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, MessageType};

use probe::{last_reply, retired_below, sessions};
use text::{log_text, reply_text, state_text, subject_text};

const ALMA: InstanceId = InstanceId(0x0a11_ce00_0000_0001);
const BIRS: InstanceId = InstanceId(0x0b0b_0000_0000_0002);
const CITROM: InstanceId = InstanceId(0x0ca2_0100_0000_0003);

fn fixture(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../agent/tests/fixtures/store-8a93f45").join(file)
}

fn persisted_state() -> PersistedState {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let path = folder.path().join("alma.redb");
    std::fs::copy(fixture("alma.redb"), &path).expect("the fixture is copied");
    Store::inspect(&path).expect("the store opens").load().expect("the store loads")
}

/// Decodes the replicated state in the snapshot.
fn snapshot_state() -> ReplicatedState {
    let snapshot = persisted_state().snapshot.expect("the store holds a snapshot");
    let state: ReplicatedState =
        postcard::from_bytes(&snapshot.data).expect("the replicated state is decoded");
    assert_eq!(
        postcard::to_stdvec(&state).expect("the state is encoded"),
        snapshot.data,
        "the encoding has changed"
    );
    state
}

/// Restarts an instance from the fixture and applies all committed entries.
fn restarted() -> RaftNode {
    let mut node =
        RaftNode::start(RaftSettings::default(), ALMA, 4, persisted_state()).expect("the instance starts");
    while node.ready().expect("the node prepares its output").is_some() {
        node.on_persisted().expect("the node continues after the write");
    }
    node
}

#[test]
fn every_stored_field_is_decoded_unchanged() {
    let (persisted, node) = (persisted_state(), restarted());
    let snapshot = persisted.snapshot.as_ref().expect("the store holds a snapshot");
    let mut voters = ConfState::default();
    voters.merge_from_bytes(&snapshot.members).expect("the configuration is decoded");
    let ids = |ids: &[u64]| ids.iter().map(|id| format!("{id:016x}")).collect::<Vec<_>>().join(" ");
    let mut actual = format!(
        "snapshot index {} term {}\nvoters {}\nlearners {}\n",
        snapshot.index,
        snapshot.term,
        ids(&voters.voters),
        ids(&voters.learners)
    );
    actual.push_str(&state_text("snapshot", &snapshot_state()));
    actual.push_str(&log_text(&persisted));
    actual.push_str(&state_text("restarted", node.state()));
    let expected = std::fs::read_to_string(fixture("state.txt")).expect("state.txt is read");
    for (number, (actual, expected)) in actual.lines().zip(expected.lines()).enumerate() {
        assert_eq!(actual, expected, "state.txt, line {}", number + 1);
    }
    assert_eq!(actual.lines().count(), expected.lines().count(), "number of lines in state.txt");
}

#[test]
fn all_130_current_decisions_are_present_and_retired_ones_are_not() {
    let node = restarted();
    let decisions: Vec<(u64, Vec<u8>)> = (node.state().subjects("condemned", 0))
        .map(|(subject, state)| match state {
            SubjectState::Decided(value) => (subject.number, value.clone()),
            other => panic!("{subject}: {}", subject_text(other)),
        })
        .collect();
    // A value in the fixture: the first `number % 9` bytes of the id of the deciding instance, then `number % 251`.
    let expected: Vec<(u64, Vec<u8>)> = (1001..=1130)
        .map(|number: u64| {
            let decided_by = if number.is_multiple_of(2) { ALMA } else { BIRS };
            let mut value = decided_by.0.to_le_bytes()[..(number % 9).min(8) as usize].to_vec();
            value.push((number % 251) as u8);
            (number, value)
        })
        .collect();
    assert_eq!(decisions.len(), 130);
    assert_eq!(decisions, expected);
    assert_eq!(retired_below(node.state(), "condemned"), Some(1001));
}

#[test]
fn leases_members_and_session_replies_have_the_stored_values() {
    let node = restarted();
    let state = node.state();
    let lease = |role: &str| {
        let lease = state.lease(&Role(role.to_owned())).expect("the lease exists");
        (lease.holder, lease.epoch.0, lease.ttl)
    };
    assert_eq!(build_verdicts::vote_role(), Role("votes".to_owned()));
    assert_eq!(lease("votes"), (Some(ALMA), 2, 41));
    assert_eq!(lease("orders"), (Some(ALMA), 2, 25));
    assert_eq!(lease("later"), (Some(ALMA), 2, 19));
    assert_eq!(lease("left"), (None, 2, 33));
    assert_eq!(lease("of-citrom"), (None, 2, 17), "its holder was removed");
    let before = snapshot_state();
    let lease = before.lease(&Role("of-citrom".to_owned())).expect("the lease exists");
    assert_eq!((lease.holder, lease.epoch.0), (Some(CITROM), 1));
    let members: Vec<(InstanceId, &str, &str)> =
        state.members().map(|member| (member.id, member.name.as_str(), member.address.as_str())).collect();
    assert_eq!(members, [(ALMA, "alma", "127.0.0.1:7101"), (BIRS, "birs", "127.0.0.1:7102")]);
    assert!(node.is_voter(ALMA) && node.is_voter(BIRS) && !node.is_voter(CITROM));
    // The kinds of reply that a session can keep.
    let kinds: BTreeSet<String> = sessions(&before)
        .into_iter()
        .filter_map(|id| last_reply(&before, id))
        .map(|(_, reply)| reply_text(&reply).split([' ', ',', ':']).next().unwrap_or_default().to_owned())
        .collect();
    let expected = [
        "decided",
        "dispatched",
        "done",
        "full",
        "granted",
        "in",
        "opened",
        "ran",
        "refused",
        "retired",
        "stale",
    ];
    assert_eq!(kinds, expected.map(str::to_owned).into());
}

#[test]
fn a_restarted_instance_restores_its_term_and_vote_and_the_committed_entries() {
    let mut node = restarted();
    let status = node.status();
    assert_eq!(
        (status.term.0, status.committed.0, status.applied.0, status.last_index.0),
        (4, 329, 329, 331)
    );
    assert_eq!(node.state().member(InstanceId(0x0da1_5e00_0000_0004)), None, "the addition is not committed");
    // In term 4 the instance has voted for itself: it rejects another candidate in that term, but not in a later one.
    for (term, rejected) in [(4, true), (5, false)] {
        let mut request =
            Message { from: BIRS.0, to: ALMA.0, term, index: 331, log_term: 4, ..Message::default() };
        request.set_msg_type(MessageType::MsgRequestVote);
        node.receive(request);
        let mut responses = Vec::new();
        while let Some(ready) = node.ready().expect("the node prepares its output") {
            responses.extend(ready.messages);
            node.on_persisted().expect("the node continues after the write");
        }
        let response =
            responses.iter().find(|message| message.get_msg_type() == MessageType::MsgRequestVoteResponse);
        assert_eq!(response.map(|message| (message.term, message.reject)), Some((term, rejected)));
    }
}

#[test]
fn replies_that_no_session_keeps_have_the_expected_variant_indices() {
    let bytes = |reply: &Reply| postcard::to_stdvec(reply).expect("the reply is encoded");
    assert_eq!(bytes(&Reply::Retired { below: 3 }), [8, 3]);
    assert_eq!(bytes(&Reply::SessionExpired), [9]);
    assert_eq!(bytes(&Reply::Superseded), [10]);
    assert_eq!(bytes(&Reply::CapacityExceeded), [11]);
}

//! Decodes what an earlier version stored, down to each field, and goes on from it.
//!
//! The fixture `crates/agent/tests/fixtures/store-8a93f45/alma.redb` was written once by the code of commit 8a93f45, by
//! an instance `alma` driven through the Raft node and the store as the agent drives them, with a second voter `birs`.
//! It is never to be written anew. Its snapshot holds every kind of subject and every reply that a session keeps; the
//! entries behind it every command, with a decided removal of a member and, not decided, one more member and one more
//! decision. `state.txt` beside it names all of this in words of its own, so that renamed types don't touch it.

mod probe;
mod text;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use garnetcrank_consensus::build_verdicts;
use garnetcrank_consensus::ids::{InstanceId, Role};
use garnetcrank_consensus::raft_node::{Message, RaftNode, RaftSettings};
use garnetcrank_consensus::replicated_state::{ReplicatedState, Reply, SubjectState};
use garnetcrank_store::{Loaded, Store};
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

fn loaded() -> Loaded {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("alma.redb");
    std::fs::copy(fixture("alma.redb"), &path).expect("the fixture is copied");
    Store::inspect(&path).expect("the store opens").load().expect("it loads")
}

/// The replicated state that the snapshot holds.
fn snapshot_state() -> ReplicatedState {
    let snapshot = loaded().snapshot.expect("a snapshot");
    let state: ReplicatedState = postcard::from_bytes(&snapshot.data).expect("the replicated state");
    assert_eq!(postcard::to_stdvec(&state).expect("bytes"), snapshot.data, "it is written as it was");
    state
}

/// An instance that goes on from the fixture and has applied all that was decided.
fn restarted() -> RaftNode {
    let mut node = RaftNode::start(RaftSettings::default(), ALMA, 4, loaded()).expect("the instance starts");
    while node.ready().expect("its work").is_some() {
        node.on_persisted().expect("a write");
    }
    node
}

#[test]
fn every_field_is_decoded_as_it_was_stored() {
    let (loaded, node) = (loaded(), restarted());
    let snapshot = loaded.snapshot.as_ref().expect("a snapshot");
    let mut voters = ConfState::default();
    voters.merge_from_bytes(&snapshot.members).expect("a configuration");
    let ids = |ids: &[u64]| ids.iter().map(|id| format!("{id:016x}")).collect::<Vec<_>>().join(" ");
    let mut found = format!(
        "snapshot index {} term {}\nvoters {}\nlearners {}\n",
        snapshot.index,
        snapshot.term,
        ids(&voters.voters),
        ids(&voters.learners)
    );
    found.push_str(&state_text("snapshot", &snapshot_state()));
    found.push_str(&log_text(&loaded));
    found.push_str(&state_text("restarted", node.state()));
    let expected = std::fs::read_to_string(fixture("state.txt")).expect("the expected text");
    for (number, (found, expected)) in found.lines().zip(expected.lines()).enumerate() {
        assert_eq!(found, expected, "state.txt, line {}", number + 1);
    }
    assert_eq!(found.lines().count(), expected.lines().count(), "lines of state.txt");
}

#[test]
fn all_130_decisions_are_kept_and_the_retired_ones_are_not() {
    let node = restarted();
    let held: Vec<(u64, Vec<u8>)> = (node.state().subjects("condemned", 0))
        .map(|(subject, state)| match state {
            SubjectState::Decided(value) => (subject.number, value.clone()),
            other => panic!("{subject}: {}", subject_text(other)),
        })
        .collect();
    // As they were written: some bytes of the number of who decided, then the decision's own number.
    let expected: Vec<(u64, Vec<u8>)> = (1001..=1130)
        .map(|number: u64| {
            let by = if number.is_multiple_of(2) { ALMA } else { BIRS };
            let mut value = by.0.to_le_bytes()[..(number % 9).min(8) as usize].to_vec();
            value.push((number % 251) as u8);
            (number, value)
        })
        .collect();
    assert_eq!(held.len(), 130);
    assert_eq!(held, expected);
    assert_eq!(retired_below(node.state(), "condemned"), Some(1001));
}

#[test]
fn leases_members_and_sessions_have_these_values() {
    let node = restarted();
    let state = node.state();
    let lease = |role: &str| {
        let lease = state.lease(&Role(role.to_owned())).expect("a lease");
        (lease.holder, lease.epoch.0, lease.ttl)
    };
    assert_eq!(build_verdicts::vote_role(), Role("votes".to_owned()));
    assert_eq!(lease("votes"), (Some(ALMA), 2, 41));
    assert_eq!(lease("orders"), (Some(ALMA), 2, 25));
    assert_eq!(lease("later"), (Some(ALMA), 2, 19));
    assert_eq!(lease("left"), (None, 2, 33));
    assert_eq!(lease("of-citrom"), (None, 2, 17), "its holder was removed");
    let before = snapshot_state();
    let lease = before.lease(&Role("of-citrom".to_owned())).expect("a lease");
    assert_eq!((lease.holder, lease.epoch.0), (Some(CITROM), 1));
    let members: Vec<(InstanceId, &str, &str)> =
        state.members().map(|m| (m.id, m.name.as_str(), m.address.as_str())).collect();
    assert_eq!(members, [(ALMA, "alma", "127.0.0.1:7101"), (BIRS, "birs", "127.0.0.1:7102")]);
    assert!(node.is_voter(ALMA) && node.is_voter(BIRS) && !node.is_voter(CITROM));
    // Every kind of reply that a session can keep.
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
fn a_restarted_instance_has_its_term_and_vote_and_goes_on_from_what_was_decided() {
    let mut node = restarted();
    let status = node.status();
    assert_eq!(
        (status.term.0, status.committed.0, status.applied.0, status.last_index.0),
        (4, 329, 329, 331)
    );
    assert_eq!(node.state().member(InstanceId(0x0da1_5e00_0000_0004)), None, "not decided");
    // In term 4 it has voted for itself: whoever else asks in that term gets no vote, in a later one it does.
    for (term, refused) in [(4, true), (5, false)] {
        let mut ask =
            Message { from: BIRS.0, to: ALMA.0, term, index: 331, log_term: 4, ..Message::default() };
        ask.set_msg_type(MessageType::MsgRequestVote);
        node.receive(ask);
        let mut answers = Vec::new();
        while let Some(work) = node.ready().expect("its work") {
            answers.extend(work.messages);
            node.on_persisted().expect("a write");
        }
        let answer = answers.iter().find(|m| m.get_msg_type() == MessageType::MsgRequestVoteResponse);
        assert_eq!(answer.map(|m| (m.term, m.reject)), Some((term, refused)));
    }
}

#[test]
fn replies_that_no_session_keeps_have_their_places_among_the_others() {
    let bytes = |reply: &Reply| postcard::to_stdvec(reply).expect("bytes");
    assert_eq!(bytes(&Reply::Retired { below: 3 }), [8, 3]);
    assert_eq!(bytes(&Reply::SessionExpired), [9]);
    assert_eq!(bytes(&Reply::Superseded), [10]);
    assert_eq!(bytes(&Reply::CapacityExceeded), [11]);
}

//! Decodes what an earlier version stored, down to each field, and goes on from it.
//!
//! The fixture `crates/agent/tests/fixtures/store-8a93f45/alma.redb` was written once by the code of commit 8a93f45,
//! by an instance `alma` driven through `Node` and `Store` as the agent drives them, with a second voter `birs`. It is
//! never to be written anew. Its snapshot holds every kind of standing and every reply that a session keeps; the
//! entries behind it every command, with a decided removal of a member and, not decided, one more member and one
//! more decision. `state.txt` beside it names all of this in words of its own, so that renamed types don't touch it.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use garnetcrank_consensus::build_verdicts::{self, BuildVerdict, VerdictKind};
use garnetcrank_consensus::ids::{Index, InstanceId, Role, Sequence, SessionId, Subject};
use garnetcrank_consensus::membership::MembershipChange;
use garnetcrank_consensus::raft_node::{Message, RaftNode, RaftSettings};
use garnetcrank_consensus::replicated_state::{
    Command, MAX_SESSIONS, Proposal, ReplicatedState, Reply, SubjectState,
};
use garnetcrank_store::{Loaded, Store};
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, ConfState, MessageType};

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

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::from("x"), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn holder_text(holder: Option<InstanceId>) -> String {
    holder.map_or("nobody".to_owned(), |id| format!("{:016x}", id.0))
}

fn value_text(value: Option<&[u8]>) -> String {
    value.map_or("nothing".to_owned(), hex)
}

fn command_text(command: &Command) -> String {
    match command {
        Command::OpenSession { nonce } => format!("open a session: nonce {nonce:016x}"),
        Command::Decide { subject, value } => format!("decide {subject}: {}", hex(value)),
        Command::AcquireLease { role, holder, expected_epoch: expect, ttl: life } => {
            format!("acquire the lease {role}: for {:016x}, after epoch {expect}, life {life}", holder.0)
        }
        Command::RenewLease { role, epoch } => format!("renew the lease {role}: epoch {epoch}"),
        Command::ReleaseLease { role, epoch, successor: to } => {
            format!("release the lease {role}: epoch {epoch}, to {}", holder_text(*to))
        }
        Command::DispatchOrder { role, epoch, order } => {
            format!("dispatch {order}: by {role}, epoch {epoch}")
        }
        Command::ResolveOrder { role, epoch, order, executed: ran } => {
            format!("resolve {order}: by {role}, epoch {epoch}, ran {ran}")
        }
        Command::PublishNotice { from, topic: board, value } => {
            format!("notice on {board}: from {:016x}, {}", from.0, value_text(value.as_deref()))
        }
        Command::RetireSubjects { space, below } => format!("retire {space}: below {below}"),
    }
}

fn reply_text(reply: &Reply) -> String {
    match reply {
        Reply::SessionOpened(session) => format!("opened {session}"),
        Reply::Decided { value, first } => format!("decided {} first {first}", hex(value)),
        Reply::LeaseAcquired(epoch) => format!("granted epoch {epoch}"),
        Reply::Done => "done".to_owned(),
        Reply::Dispatched(epoch) => format!("dispatched in epoch {epoch}"),
        Reply::InDoubt(epoch) => format!("in doubt since epoch {epoch}"),
        Reply::Executed(epoch) => format!("ran in epoch {epoch}"),
        Reply::StaleEpoch { current } => format!("stale, the epoch is {current}"),
        Reply::Retired { below } => format!("retired below {below}"),
        Reply::SessionExpired => "session lost".to_owned(),
        Reply::Superseded => "overtaken".to_owned(),
        Reply::CapacityExceeded => "full".to_owned(),
        Reply::Rejected(why) => format!("refused: {why}"),
    }
}

fn standing_text(standing: &SubjectState) -> String {
    match standing {
        SubjectState::Decided(value) => format!("decided {}", hex(value)),
        SubjectState::Dispatched(epoch) => format!("dispatched in epoch {epoch}"),
        SubjectState::Executed(epoch) => format!("ran in epoch {epoch}"),
    }
}

fn opinion_text(bytes: &[u8]) -> String {
    let Ok(BuildVerdict { build, stage, kind: word }) = postcard::from_bytes::<BuildVerdict>(bytes) else {
        return "no opinion".to_owned();
    };
    let word = match word {
        VerdictKind::Abstain => "none",
        VerdictKind::Advance => "on",
        VerdictKind::Hold => "hold",
        VerdictKind::RollBack => "back",
    };
    format!("build {build} stage {stage} {word}")
}

fn change_text(change: &MembershipChange) -> String {
    match change {
        MembershipChange::Add(member) => {
            format!("add {:016x} {} at {}", member.id.0, member.name, member.address)
        }
        MembershipChange::Remove(id) => format!("remove {:016x}", id.0),
    }
}

/// A command that a session that has it already does not run: only its place counts.
fn probe(session: SessionId, sequence: u64) -> Proposal {
    let command = Command::RetireSubjects { space: "probe".to_owned(), below: 0 };
    Proposal { session, sequence: Sequence(sequence), command }
}

/// The place that a session has reached and its last reply, as a proposal that is sent again is answered.
fn last_reply(state: &ReplicatedState, session: SessionId) -> Option<(u64, Reply)> {
    (0..1000).find_map(|sequence| {
        let reply = state.clone().apply(Index(state.applied().0 + 1), &probe(session, sequence));
        match reply {
            Reply::SessionExpired | Reply::Superseded => None,
            reply => Some((sequence, reply)),
        }
    })
}

/// The sessions held.
fn sessions(state: &ReplicatedState) -> Vec<SessionId> {
    let lost = |id: u64| {
        let reply = state.clone().apply(Index(1000), &probe(SessionId(id), 0));
        reply == Reply::SessionExpired
    };
    (0..=state.applied().0).filter(|id| !lost(*id)).map(SessionId).collect()
}

/// The sessions in the order in which they make room for others: the one used longest ago first.
fn sessions_by_use(state: &ReplicatedState) -> Vec<u64> {
    let (mut state, mut left) = (state.clone(), sessions(state));
    let mut index = 1000;
    let mut open = |state: &mut ReplicatedState| {
        index += 1;
        let command = Command::OpenSession { nonce: index };
        state.apply(Index(index), &Proposal { session: SessionId(0), sequence: Sequence(0), command });
    };
    while state.session_count() < MAX_SESSIONS {
        open(&mut state);
    }
    let mut order = Vec::new();
    while !left.is_empty() {
        open(&mut state);
        let gone =
            |id: &SessionId| state.clone().apply(Index(u64::MAX), &probe(*id, 0)) == Reply::SessionExpired;
        let at = left.iter().position(gone).expect("one session makes room");
        order.push(left.remove(at).0);
    }
    order
}

/// The lowest number of a space that is not retired.
fn retired_below(state: &ReplicatedState, space: &str) -> Option<u64> {
    let mut state = state.clone();
    let open =
        Proposal { session: SessionId(0), sequence: Sequence(0), command: Command::OpenSession { nonce: 0 } };
    state.apply(Index(2000), &open);
    let command = Command::Decide { subject: Subject::new(space, 0), value: Vec::new() };
    let decide = Proposal { session: SessionId(2000), sequence: Sequence(1), command };
    match state.apply(Index(2001), &decide) {
        Reply::Retired { below } => Some(below),
        _ => None,
    }
}

/// Everything that a replicated state holds, in words.
fn state_text(name: &str, state: &ReplicatedState) -> String {
    let mut text = format!("{name} applied {}\n", state.applied());
    for member in state.members() {
        let _ = writeln!(text, "{name} member {:016x} {} at {}", member.id.0, member.name, member.address);
    }
    for (subject, standing) in state.subjects_after(None) {
        let _ = writeln!(text, "{name} subject {subject}: {}", standing_text(standing));
    }
    for space in ["condemned", "held", "order", "other"] {
        let _ = writeln!(text, "{name} space {space}: retired below {:?}", retired_below(state, space));
    }
    for (role, grant) in state.leases() {
        let _ = writeln!(
            text,
            "{name} lease {role}: holder {}, epoch {}, life {}, renewed at {}",
            holder_text(grant.holder),
            grant.epoch,
            grant.ttl,
            grant.renewed
        );
    }
    let boards = (1..=64)
        .map(|n| format!("b{n}"))
        .chain(["one-more".to_owned(), build_verdicts::VERDICT_TOPIC.to_owned()]);
    for board in boards {
        for (from, notice) in state.notices(&board) {
            let (value, opinion) = (hex(&notice.value), opinion_text(&notice.value));
            let _ = writeln!(
                text,
                "{name} notice on {board} from {:016x} at {}: {value} ({opinion})",
                from.0, notice.published_at
            );
        }
    }
    let held = sessions(state);
    assert_eq!(held.len(), state.session_count());
    for id in held {
        let (sequence, reply) = last_reply(state, id).expect("a last reply");
        let _ = writeln!(text, "{name} session {id}: sequence {sequence}, {}", reply_text(&reply));
    }
    let _ = writeln!(text, "{name} sessions by last use: {:?}", sessions_by_use(state));
    text
}

/// The instance, run and ticket that asked for a change, and the change, as the log holds them.
type NotedChange = ((u64, u64, u64), MembershipChange);

/// Every entry behind the snapshot, in words.
fn log_text(loaded: &Loaded) -> String {
    let mut text = String::new();
    for entry in &loaded.entries {
        let what = match entry.kind {
            0 if entry.data.is_empty() => "empty".to_owned(),
            0 => {
                let proposal: Proposal = postcard::from_bytes(&entry.data).expect("a proposal");
                assert_eq!(postcard::to_stdvec(&proposal).expect("bytes"), entry.data, "{}", entry.index);
                let Proposal { session, sequence, command } = proposal;
                format!("session {session} sequence {sequence}: {}", command_text(&command))
            }
            1 => {
                let mut change = ConfChange::default();
                change.merge_from_bytes(&entry.data).expect("a configuration change");
                let kind = match change.get_change_type() {
                    ConfChangeType::AddNode => "voter",
                    ConfChangeType::RemoveNode => "out",
                    ConfChangeType::AddLearnerNode => "learner",
                };
                let ((id, run, ticket), noted): NotedChange =
                    postcard::from_bytes(&change.context).expect("what was asked for");
                format!(
                    "membership: {:016x} {kind}; asked by {id:016x} run {run} ticket {ticket}: {}",
                    change.node_id,
                    change_text(&noted)
                )
            }
            kind => format!("unknown kind {kind}"),
        };
        let _ = writeln!(text, "log {} term {} {what}", entry.index, entry.term);
    }
    text
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
fn all_130_decisions_stand_and_the_retired_ones_do_not() {
    let node = restarted();
    let held: Vec<(u64, Vec<u8>)> = (node.state().subjects("condemned", 0))
        .map(|(subject, standing)| match standing {
            SubjectState::Decided(value) => (subject.number, value.clone()),
            other => panic!("{subject}: {}", standing_text(other)),
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
        let grant = state.lease(&Role(role.to_owned())).expect("a lease");
        (grant.holder, grant.epoch.0, grant.ttl)
    };
    assert_eq!(build_verdicts::vote_role(), Role("votes".to_owned()));
    assert_eq!(lease("votes"), (Some(ALMA), 2, 41));
    assert_eq!(lease("orders"), (Some(ALMA), 2, 25));
    assert_eq!(lease("later"), (Some(ALMA), 2, 19));
    assert_eq!(lease("left"), (None, 2, 33));
    assert_eq!(lease("of-citrom"), (None, 2, 17), "its holder was removed");
    let before = snapshot_state();
    let grant = before.lease(&Role("of-citrom".to_owned())).expect("a lease");
    assert_eq!((grant.holder, grant.epoch.0), (Some(CITROM), 1));
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

//! Golden tests of the exact bytes of everything that instances send to one another or store in a snapshot.
//!
//! The encoding depends on the order of fields and variants but not on their names: these tests pass after a rename and
//! fail after a reordering. Instances of two versions run side by side during an upgrade, so lines of
//! `golden/values.txt`, `messages.txt` and `founding.txt` may be added but never changed. `transcript.txt` holds all
//! messages of one run; it also depends on which messages are sent and when, and changes only with an intended change
//! of behaviour.

use std::collections::BTreeMap;
use std::path::Path;

use garnetcrank_consensus::build_verdicts::{BuildVerdict, VerdictKind};
use garnetcrank_consensus::chunking::{self, Chunk};
use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Role, Sequence, SessionId, Subject, Ticket};
use garnetcrank_consensus::membership::MembershipChange;
use garnetcrank_consensus::raft_node::{self, Message, RaftNode, RaftSettings};
use garnetcrank_consensus::replicated_state::{
    Command, Lease, Member, Notice, Proposal, ReplicatedState, Reply, SubjectState,
};
use garnetcrank_store as store;
use raft::eraftpb::{Entry, EntryType, MessageType, Snapshot};
use serde::{Deserialize, Serialize};

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("a hex digit");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// Compares lines of the form `name hex` with the committed ones. The actual lines are also written to the target
/// folder for inspection.
fn assert_golden(file: &str, golden: &str, actual: &[(String, Vec<u8>)]) {
    let actual: Vec<String> =
        actual.iter().map(|(name, bytes)| format!("{name} {}", to_hex(bytes))).collect();
    let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&actual_path, actual.join("\n") + "\n").expect("the actual lines are written");
    let golden: Vec<&str> = golden.lines().collect();
    for (golden, actual) in golden.iter().zip(&actual) {
        assert_eq!(golden, actual, "{file}: the actual lines are in {}", actual_path.display());
    }
    assert_eq!(golden.len(), actual.len(), "{file}: the actual lines are in {}", actual_path.display());
}

/// Returns the bytes on the line `name` of a golden file.
fn golden_bytes(golden: &str, name: &str) -> Vec<u8> {
    let line = golden.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    from_hex(line.unwrap_or_else(|| panic!("no line for {name} in the golden file")))
}

/// Checker of encoded values; each is also decoded from its golden bytes.
struct Values {
    golden: &'static str,
    actual: Vec<(String, Vec<u8>)>,
}

impl Values {
    fn add<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + for<'a> Deserialize<'a> + PartialEq + std::fmt::Debug,
    {
        self.actual.push((name.to_owned(), postcard::to_stdvec(value).expect("the value is encoded")));
        if self.golden.is_empty() {
            return;
        }
        let bytes = golden_bytes(self.golden, name);
        let decoded: T = postcard::from_bytes(&bytes).expect("golden bytes are decoded");
        assert_eq!(&decoded, value, "{name}: the value decoded from the golden bytes differs");
        assert_eq!(
            postcard::to_stdvec(&decoded).expect("the value is encoded"),
            bytes,
            "{name}: the re-encoded bytes differ"
        );
    }
}

fn role() -> Role {
    Role("votes".into())
}

fn member(id: u64) -> Member {
    Member { id: InstanceId(id), name: format!("n{id}"), address: format!("10.0.0.{id}:7001") }
}

fn order() -> Subject {
    Subject::new("orders", 9)
}

/// Returns commands of every variant. Fields of the same type differ in value, so that swapped fields are detected.
fn commands() -> Vec<(&'static str, Command)> {
    let (from, to) = (InstanceId(11), InstanceId(300));
    let (low, high) = (Epoch(4), Epoch(200));
    vec![
        ("open", Command::OpenSession { nonce: 0x1122_3344_5566 }),
        ("decide", Command::Decide { subject: Subject::new("condemned", 42), value: vec![1, 2, 0xff] }),
        ("take", Command::AcquireLease { role: role(), holder: to, expected_epoch: low, ttl: 150 }),
        ("renew", Command::RenewLease { role: role(), epoch: high }),
        ("leave-to-nobody", Command::ReleaseLease { role: role(), epoch: low, successor: None }),
        ("leave-to-one", Command::ReleaseLease { role: role(), epoch: low, successor: Some(to) }),
        ("hand", Command::DispatchOrder { role: role(), epoch: high, order: order() }),
        ("settle-ran", Command::ResolveOrder { role: role(), epoch: low, order: order(), executed: true }),
        (
            "settle-not-run",
            Command::ResolveOrder { role: role(), epoch: low, order: order(), executed: false },
        ),
        ("post", Command::PublishNotice { from, topic: "trust".into(), value: Some(vec![7, 8]) }),
        ("post-off", Command::PublishNotice { from, topic: "trust".into(), value: None }),
        ("retire", Command::RetireSubjects { space: "condemned".into(), below: 1000 }),
    ]
}

fn proposal(command: Command) -> Proposal {
    Proposal { session: SessionId(5), sequence: Sequence(600), command }
}

fn replies() -> Vec<(&'static str, Reply)> {
    vec![
        ("opened", Reply::SessionOpened(SessionId(7))),
        ("decided-first", Reply::Decided { value: vec![1, 2], first: true }),
        ("decided-before", Reply::Decided { value: vec![], first: false }),
        ("granted", Reply::LeaseAcquired(Epoch(3))),
        ("done", Reply::Done),
        ("handed", Reply::Dispatched(Epoch(4))),
        ("in-doubt", Reply::InDoubt(Epoch(5))),
        ("ran", Reply::Executed(Epoch(6))),
        ("stale", Reply::StaleEpoch { current: Epoch(700) }),
        ("retired", Reply::Retired { below: 800 }),
        ("session-lost", Reply::SessionExpired),
        ("overtaken", Reply::Superseded),
        ("full", Reply::CapacityExceeded),
        ("refused", Reply::Rejected("why".into())),
    ]
}

/// Builds a replicated state with an entry in each of its collections, by commands and membership changes alone.
fn populated_state() -> ReplicatedState {
    let mut state = ReplicatedState::with_members([member(1), member(2)]);
    state.add_member(Index(2), member(3));
    let mut index = 2;
    let mut apply = |session: u64, sequence: u64, command: Command| {
        index += 1;
        let proposal = Proposal { session: SessionId(session), sequence: Sequence(sequence), command };
        state.apply(Index(index), &proposal)
    };
    let decide =
        |number, value: &[u8]| Command::Decide { subject: Subject::new("s", number), value: value.to_vec() };
    assert_eq!(apply(0, 0, Command::OpenSession { nonce: 1 }), Reply::SessionOpened(SessionId(3)));
    assert_eq!(apply(0, 0, Command::OpenSession { nonce: 2 }), Reply::SessionOpened(SessionId(4)));
    assert_eq!(apply(0, 0, Command::OpenSession { nonce: 3 }), Reply::SessionOpened(SessionId(5)));
    let acquire =
        Command::AcquireLease { role: role(), holder: InstanceId(2), expected_epoch: Epoch(0), ttl: 150 };
    assert_eq!(apply(3, 1, acquire), Reply::LeaseAcquired(Epoch(1)));
    assert_eq!(apply(3, 2, Command::RenewLease { role: role(), epoch: Epoch(1) }), Reply::Done);
    let dispatch = |number| Command::DispatchOrder {
        role: role(),
        epoch: Epoch(1),
        order: Subject::new("orders", number),
    };
    assert_eq!(apply(3, 3, dispatch(8)), Reply::Dispatched(Epoch(1)));
    assert_eq!(apply(3, 4, dispatch(9)), Reply::Dispatched(Epoch(1)));
    let resolve = Command::ResolveOrder { role: role(), epoch: Epoch(1), order: order(), executed: true };
    assert_eq!(apply(3, 5, resolve), Reply::Done);
    let publish =
        Command::PublishNotice { from: InstanceId(1), topic: "trust".into(), value: Some(vec![42, 1, 2]) };
    assert_eq!(apply(4, 1, publish), Reply::Done);
    assert_eq!(apply(4, 2, Command::RetireSubjects { space: "s".into(), below: 20 }), Reply::Done);
    assert_eq!(apply(4, 3, decide(30, b"yes")), Reply::Decided { value: b"yes".to_vec(), first: true });
    assert_eq!(apply(5, 9, decide(10, b"no")), Reply::Retired { below: 20 });
    state
}

#[test]
fn values_encode_to_and_decode_from_the_golden_bytes() {
    let golden = include_str!("golden/values.txt");
    let mut values = Values { golden, actual: Vec::new() };
    for (name, command) in commands() {
        values.add(&format!("proposal-{name}"), &proposal(command));
    }
    for (name, reply) in replies() {
        values.add(&format!("reply-{name}"), &reply);
    }
    values.add("standing-decided", &SubjectState::Decided(vec![9, 8]));
    values.add("standing-handed", &SubjectState::Dispatched(Epoch(300)));
    values.add("standing-ran", &SubjectState::Executed(Epoch(301)));
    let lease = |holder| Lease { holder, epoch: Epoch(5), ttl: 150, renewed: Index(777) };
    values.add("grant-held", &lease(Some(InstanceId(11))));
    values.add("grant-left", &lease(None));
    values.add("notice", &Notice { value: vec![1, 2, 3], published_at: Index(99) });
    values.add("member", &member(11));
    values.add("change-add", &MembershipChange::Add(member(11)));
    values.add("change-remove", &MembershipChange::Remove(InstanceId(0xdead_beef_0bad_f00d)));
    for (name, verdict_kind) in [
        ("none", VerdictKind::Abstain),
        ("on", VerdictKind::Advance),
        ("hold", VerdictKind::Hold),
        ("back", VerdictKind::RollBack),
    ] {
        values.add(&format!("opinion-{name}"), &BuildVerdict { build: 42, stage: 3, kind: verdict_kind });
    }
    values.add("piece", &Chunk { transfer: 1, offset: 200, total_len: 3000, bytes: vec![4, 5] });
    values.add("ledger-empty", &ReplicatedState::default());
    values.add("ledger", &populated_state());
    assert_golden("values.txt", golden, &values.actual);
}

const MESSAGE_TYPES: [(&str, MessageType); 19] = [
    ("hup", MessageType::MsgHup),
    ("beat", MessageType::MsgBeat),
    ("propose", MessageType::MsgPropose),
    ("append", MessageType::MsgAppend),
    ("append-response", MessageType::MsgAppendResponse),
    ("request-vote", MessageType::MsgRequestVote),
    ("request-vote-response", MessageType::MsgRequestVoteResponse),
    ("snapshot", MessageType::MsgSnapshot),
    ("heartbeat", MessageType::MsgHeartbeat),
    ("heartbeat-response", MessageType::MsgHeartbeatResponse),
    ("unreachable", MessageType::MsgUnreachable),
    ("snap-status", MessageType::MsgSnapStatus),
    ("check-quorum", MessageType::MsgCheckQuorum),
    ("transfer-leader", MessageType::MsgTransferLeader),
    ("timeout-now", MessageType::MsgTimeoutNow),
    ("read-index", MessageType::MsgReadIndex),
    ("read-index-resp", MessageType::MsgReadIndexResp),
    ("request-pre-vote", MessageType::MsgRequestPreVote),
    ("request-pre-vote-response", MessageType::MsgRequestPreVoteResponse),
];

fn message(kind: MessageType) -> Message {
    let mut message = Message { to: 2, from: 3, term: 4, log_term: 5, index: 6, ..Message::default() };
    message.set_msg_type(kind);
    message.commit = 7;
    message.commit_term = 8;
    message.request_snapshot = 9;
    message.reject = true;
    message.reject_hint = 10;
    message.context = vec![0xc0, 0xde].into();
    message.priority = 11;
    message
}

fn entry(kind: EntryType, data: Vec<u8>, context: Vec<u8>) -> Entry {
    let mut entry = Entry { term: 4, index: 12, ..Entry::default() };
    entry.set_entry_type(kind);
    entry.data = data.into();
    entry.context = context.into();
    entry
}

#[test]
fn messages_encode_to_and_decode_from_the_golden_bytes() {
    let golden = include_str!("golden/messages.txt");
    let mut messages: Vec<(String, Message)> =
        MESSAGE_TYPES.iter().map(|(name, kind)| ((*name).to_owned(), message(*kind))).collect();
    for (name, command) in commands() {
        let mut append = message(MessageType::MsgAppend);
        let data = postcard::to_stdvec(&proposal(command)).expect("the value is encoded");
        append.mut_entries().push(entry(EntryType::EntryNormal, data, Vec::new()));
        messages.push((format!("append-{name}"), append));
    }
    for (name, kind) in
        [("append-change", EntryType::EntryConfChange), ("append-change-2", EntryType::EntryConfChangeV2)]
    {
        let mut append = message(MessageType::MsgAppend);
        append.mut_entries().push(entry(kind, vec![1, 2], vec![3, 4]));
        messages.push((name.to_owned(), append));
    }
    let mut snapshot = Snapshot { data: vec![0xaa, 0xbb].into(), ..Snapshot::default() };
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (20, 21);
    metadata.mut_conf_state().set_voters(vec![1, 2]);
    metadata.mut_conf_state().set_learners(vec![3]);
    let mut with_snapshot = message(MessageType::MsgSnapshot);
    with_snapshot.set_snapshot(snapshot);
    messages.push(("snapshot-whole".to_owned(), with_snapshot));

    let actual: Vec<(String, Vec<u8>)> =
        messages.iter().map(|(name, message)| (name.clone(), raft_node::encode_message(message))).collect();
    assert_golden("messages.txt", golden, &actual);
    for (name, message) in messages {
        let bytes = golden_bytes(golden, &name);
        let decoded = raft_node::decode_message(&bytes).expect("golden bytes are decoded");
        assert_eq!(decoded, message, "{name}: the value decoded from the golden bytes differs");
        assert_eq!(raft_node::encode_message(&decoded), bytes, "{name}: the re-encoded bytes differ");
    }
}

#[test]
fn the_initial_state_has_the_golden_snapshot() {
    let batch = raft_node::initial_state(&[member(1), member(2)]);
    let hard_state = batch.hard_state.expect("the initial state has a hard state");
    assert_eq!((hard_state.term, hard_state.vote, hard_state.commit), (1, 0, 1));
    let snapshot = batch.snapshot.expect("the initial state has a snapshot");
    assert_eq!((snapshot.index, snapshot.term), (1, 1));
    let actual = [("members".to_owned(), snapshot.members), ("data".to_owned(), snapshot.data)];
    assert_golden("founding.txt", include_str!("golden/founding.txt"), &actual);
}

/// A cluster whose messages are delivered in the order in which they were sent, without loss.
struct Cluster {
    nodes: BTreeMap<u64, RaftNode>,
    sent: Vec<(String, Vec<u8>)>,
}

impl Cluster {
    /// Starts instances 1 to 3 as the initial members, and instance 4 empty, to be added later.
    fn new() -> Self {
        let initial_state = raft_node::initial_state(&[member(1), member(2), member(3)]);
        let initial_persisted_state = || store::PersistedState {
            hard_state: initial_state.hard_state.unwrap_or_default(),
            snapshot: initial_state.snapshot.clone(),
            ..store::PersistedState::default()
        };
        let start = |id: u64| {
            // All have the same seed and different election time-outs, so that instance 1 starts the first election.
            let settings = RaftSettings {
                election_ticks: 10 * id as usize,
                retained_entries: 0,
                seed: 7,
                ..RaftSettings::default()
            };
            let persisted =
                if id == 4 { store::PersistedState::default() } else { initial_persisted_state() };
            (id, RaftNode::start(settings, InstanceId(id), 20 + id, persisted).expect("the instance starts"))
        };
        Self { nodes: (1..=4).map(start).collect(), sent: Vec::new() }
    }

    /// Delivers messages until none is in transit.
    fn deliver_all(&mut self) {
        loop {
            let mut messages = Vec::new();
            for node in self.nodes.values_mut() {
                while let Some(ready) = node.ready().expect("the node prepares its output") {
                    messages.extend(ready.messages);
                    node.on_persisted().expect("the node continues after the write");
                }
            }
            if messages.is_empty() {
                return;
            }
            for message in messages {
                let bytes = raft_node::encode_message(&message);
                self.sent.push((format!("{}-to-{}", message.from, message.to), bytes.clone()));
                let message = raft_node::decode_message(&bytes).expect("the message is decoded");
                if let Some(node) = self.nodes.get_mut(&message.to) {
                    node.receive(message);
                }
            }
        }
    }

    fn tick_all(&mut self, count: u32) {
        for _ in 0..count {
            self.nodes.values_mut().for_each(RaftNode::tick);
            self.deliver_all();
        }
    }

    fn node(&mut self, id: u64) -> &mut RaftNode {
        self.nodes.get_mut(&id).expect("the node exists")
    }
}

#[test]
fn a_run_from_election_to_leadership_transfer_sends_the_golden_bytes() {
    let mut cluster = Cluster::new();
    while !cluster.node(1).is_leader() {
        cluster.tick_all(1);
    }
    cluster.node(2).open_session(Ticket(1), 100);
    cluster.deliver_all();
    cluster.node(2).read(Ticket(2), 100);
    cluster.deliver_all();
    cluster.node(1).compact_now();
    cluster.deliver_all();
    cluster.node(1).change_membership(Ticket(3), MembershipChange::Add(member(4)), 100);
    cluster.tick_all(5);
    assert!(cluster.node(1).is_voter(InstanceId(4)), "the added instance is a voter");
    cluster.node(1).change_membership(Ticket(4), MembershipChange::Remove(InstanceId(3)), 100);
    cluster.tick_all(1);
    cluster.node(1).transfer_leadership(Ticket(5), InstanceId(2));
    cluster.deliver_all();
    assert!(cluster.node(2).is_leader(), "leadership has been transferred");
    assert_golden("transcript.txt", include_str!("golden/transcript.txt"), &cluster.sent);
}

#[test]
fn a_long_message_is_split_into_the_same_chunks() {
    let message: Vec<u8> = (0..150_000u32).map(|n| n as u8).collect();
    let chunks: Vec<(u64, u64, u64, usize)> = chunking::split(7, &message)
        .map(|chunk| (chunk.transfer, chunk.offset, chunk.total_len, chunk.bytes.len()))
        .collect();
    assert_eq!(
        chunks,
        [(7, 0, 150_000, 65_536), (7, 65_536, 150_000, 65_536), (7, 131_072, 150_000, 18_928)]
    );
}

//! Describes stored data in the fixed vocabulary of `state.txt`, which does not depend on the names of types.

use std::fmt::Write as _;

use garnetcrank_consensus::build_verdicts::{self, BuildVerdict, VerdictKind};
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::membership::MembershipChange;
use garnetcrank_consensus::replicated_state::{Command, Proposal, ReplicatedState, Reply, SubjectState};
use garnetcrank_store::PersistedState;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType};

use crate::probe::{last_reply, retired_below, sessions, sessions_by_use};

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
        Command::AcquireLease { role, holder, expected_epoch, ttl } => {
            format!(
                "acquire the lease {role}: for {:016x}, after epoch {expected_epoch}, life {ttl}",
                holder.0
            )
        }
        Command::RenewLease { role, epoch } => format!("renew the lease {role}: epoch {epoch}"),
        Command::ReleaseLease { role, epoch, successor } => {
            format!("release the lease {role}: epoch {epoch}, to {}", holder_text(*successor))
        }
        Command::DispatchOrder { role, epoch, order } => {
            format!("dispatch {order}: by {role}, epoch {epoch}")
        }
        Command::ResolveOrder { role, epoch, order, executed } => {
            format!("resolve {order}: by {role}, epoch {epoch}, ran {executed}")
        }
        Command::PublishNotice { from, topic, value } => {
            format!("notice on {topic}: from {:016x}, {}", from.0, value_text(value.as_deref()))
        }
        Command::RetireSubjects { space, below } => format!("retire {space}: below {below}"),
    }
}

pub(crate) fn reply_text(reply: &Reply) -> String {
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
        Reply::Rejected(reason) => format!("refused: {reason}"),
    }
}

pub(crate) fn subject_text(state: &SubjectState) -> String {
    match state {
        SubjectState::Decided(value) => format!("decided {}", hex(value)),
        SubjectState::Dispatched(epoch) => format!("dispatched in epoch {epoch}"),
        SubjectState::Executed(epoch) => format!("ran in epoch {epoch}"),
    }
}

fn verdict_text(bytes: &[u8]) -> String {
    let Ok(BuildVerdict { build, stage, kind }) = postcard::from_bytes::<BuildVerdict>(bytes) else {
        return "no opinion".to_owned();
    };
    let kind = match kind {
        VerdictKind::Abstain => "none",
        VerdictKind::Advance => "on",
        VerdictKind::Hold => "hold",
        VerdictKind::RollBack => "back",
    };
    format!("build {build} stage {stage} {kind}")
}

fn change_text(change: &MembershipChange) -> String {
    match change {
        MembershipChange::Add(member) => {
            format!("add {:016x} {} at {}", member.id.0, member.name, member.address)
        }
        MembershipChange::Remove(id) => format!("remove {:016x}", id.0),
    }
}

/// Describes everything that a replicated state holds, one item a line.
pub(crate) fn state_text(name: &str, state: &ReplicatedState) -> String {
    let mut text = format!("{name} applied {}\n", state.applied());
    for member in state.members() {
        let _ = writeln!(text, "{name} member {:016x} {} at {}", member.id.0, member.name, member.address);
    }
    for (subject, subject_state) in state.subjects_after(None) {
        let _ = writeln!(text, "{name} subject {subject}: {}", subject_text(subject_state));
    }
    for space in ["condemned", "held", "order", "other"] {
        let _ = writeln!(text, "{name} space {space}: retired below {:?}", retired_below(state, space));
    }
    for (role, lease) in state.leases() {
        let _ = writeln!(
            text,
            "{name} lease {role}: holder {}, epoch {}, life {}, renewed at {}",
            holder_text(lease.holder),
            lease.epoch,
            lease.ttl,
            lease.renewed
        );
    }
    let topics = (1..=64)
        .map(|n| format!("b{n}"))
        .chain(["one-more".to_owned(), build_verdicts::VERDICT_TOPIC.to_owned()]);
    for topic in topics {
        for (from, notice) in state.notices(&topic) {
            let (value, verdict) = (hex(&notice.value), verdict_text(&notice.value));
            let _ = writeln!(
                text,
                "{name} notice on {topic} from {:016x} at {}: {value} ({verdict})",
                from.0, notice.published_at
            );
        }
    }
    let open_sessions = sessions(state);
    assert_eq!(open_sessions.len(), state.session_count());
    for id in open_sessions {
        let (sequence, reply) = last_reply(state, id).expect("an open session has a last reply");
        let _ = writeln!(text, "{name} session {id}: sequence {sequence}, {}", reply_text(&reply));
    }
    let _ = writeln!(text, "{name} sessions by last use: {:?}", sessions_by_use(state));
    text
}

/// Context of a membership change in the log: the instance, its incarnation and the ticket of the request, and the
/// change.
type ChangeContext = ((u64, u64, u64), MembershipChange);

/// Describes every entry after the snapshot, one a line.
pub(crate) fn log_text(persisted: &PersistedState) -> String {
    let mut text = String::new();
    for entry in &persisted.entries {
        let description = match entry.kind {
            0 if entry.data.is_empty() => "empty".to_owned(),
            0 => {
                let proposal: Proposal = postcard::from_bytes(&entry.data).expect("the proposal is decoded");
                assert_eq!(
                    postcard::to_stdvec(&proposal).expect("the proposal is encoded"),
                    entry.data,
                    "entry {}",
                    entry.index
                );
                let Proposal { session, sequence, command } = proposal;
                format!("session {session} sequence {sequence}: {}", command_text(&command))
            }
            1 => {
                let mut change = ConfChange::default();
                change.merge_from_bytes(&entry.data).expect("the configuration change is decoded");
                let kind = match change.get_change_type() {
                    ConfChangeType::AddNode => "voter",
                    ConfChangeType::RemoveNode => "out",
                    ConfChangeType::AddLearnerNode => "learner",
                };
                let ((id, incarnation, ticket), requested): ChangeContext =
                    postcard::from_bytes(&change.context).expect("the context of the change is decoded");
                format!(
                    "membership: {:016x} {kind}; asked by {id:016x} run {incarnation} ticket {ticket}: {}",
                    change.node_id,
                    change_text(&requested)
                )
            }
            kind => format!("unknown kind {kind}"),
        };
        let _ = writeln!(text, "log {} term {} {description}", entry.index, entry.term);
    }
    text
}

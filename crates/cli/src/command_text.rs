//! One-line descriptions of replies and of the commands in log entries.
//!
//! Commands, replies and fields have the same names as in the JSON of the agent's HTTP port, so that
//! operators find the same names in both.

use garnetcrank_consensus::replicated_state::{Command, Reply};

/// Describes a command with all its fields.
pub fn command_text(command: &Command) -> String {
    match command {
        Command::OpenSession { nonce } => format!("Open {{ nonce: {nonce} }}"),
        Command::Decide { subject, value } => {
            format!("Decide {{ subject: {subject:?}, value: {value:?} }}")
        }
        Command::AcquireLease { role, holder, expected_epoch, ttl } => {
            format!("Take {{ role: {role:?}, holder: {holder:?}, expect: {expected_epoch:?}, life: {ttl} }}")
        }
        Command::RenewLease { role, epoch } => format!("Renew {{ role: {role:?}, epoch: {epoch:?} }}"),
        Command::ReleaseLease { role, epoch, successor } => {
            format!("Leave {{ role: {role:?}, epoch: {epoch:?}, to: {successor:?} }}")
        }
        Command::DispatchOrder { role, epoch, order } => {
            format!("Hand {{ role: {role:?}, epoch: {epoch:?}, order: {order:?} }}")
        }
        Command::ResolveOrder { role, epoch, order, executed } => {
            format!("Settle {{ role: {role:?}, epoch: {epoch:?}, order: {order:?}, ran: {executed} }}")
        }
        Command::PublishNotice { from, topic, value } => {
            format!("Post {{ from: {from:?}, board: {topic:?}, value: {value:?} }}")
        }
        Command::RetireSubjects { space, below } => {
            format!("Retire {{ space: {space:?}, below: {below} }}")
        }
    }
}

/// Describes a reply with all its fields.
pub fn reply_text(reply: &Reply) -> String {
    match reply {
        Reply::SessionOpened(session) => format!("Opened({session:?})"),
        Reply::LeaseAcquired(epoch) => format!("Granted({epoch:?})"),
        Reply::Dispatched(epoch) => format!("Handed({epoch:?})"),
        Reply::Executed(epoch) => format!("Ran({epoch:?})"),
        Reply::StaleEpoch { current } => format!("Stale {{ current: {current:?} }}"),
        Reply::SessionExpired => "SessionLost".to_owned(),
        Reply::Superseded => "Overtaken".to_owned(),
        Reply::CapacityExceeded => "Full".to_owned(),
        Reply::Rejected(reason) => format!("Refused({reason:?})"),
        Reply::Decided { .. } | Reply::Done | Reply::InDoubt(_) | Reply::Retired { .. } => {
            format!("{reply:?}")
        }
    }
}

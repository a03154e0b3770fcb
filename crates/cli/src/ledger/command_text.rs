//! One-line texts of log entries' commands, as `garnetcrank ledger inspect` prints them. Commands and fields are named
//! as in the JSON of the agent's HTTP port, so that operators find the same names in both.

use garnetcrank_consensus::replicated_state::Command;

/// The text of a command with all its fields.
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

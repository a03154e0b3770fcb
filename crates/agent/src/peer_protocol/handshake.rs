//! Which hellos an agent accepts.

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;

use super::{Hello, MAGIC, VERSION};

/// In [`Hello::to`]: the caller takes whichever instance answers.
const ANY_INSTANCE: InstanceId = InstanceId(0);

/// Why a hello is rejected. The caller gets the text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HelloRejection {
    /// The caller is no agent.
    #[error("no peer")]
    NotAPeer,
    /// The caller speaks another protocol version.
    #[error("version {VERSION} is required, got version {version}")]
    Version {
        /// The caller's version.
        version: u32,
    },
    /// The caller belongs to another cluster.
    #[error("this is cluster {own}, not {other}")]
    Cluster {
        /// This instance's cluster.
        own: String,
        /// The caller's cluster.
        other: String,
    },
    /// The caller wants to reach another instance.
    #[error("this is {} ({:016x}), not {:016x}", own.name, own.id.0, wanted.0)]
    WrongInstance {
        /// This instance.
        own: Member,
        /// The instance that the caller wants to reach.
        wanted: InstanceId,
    },
    /// The caller has this instance's name or id.
    #[error("{} ({:016x}) is this instance's own name or id", .0.name, .0.id.0)]
    OwnIdentity(Member),
    /// The caller has the name of a member with another id.
    #[error(
        "{} is a member as {:016x}, not as {:016x}: if its store is lost, remove that member first",
        member.name, member.id.0, caller.0
    )]
    NameTaken {
        /// The member.
        member: Member,
        /// The caller's id.
        caller: InstanceId,
    },
}

/// Checks a hello: the cluster and the version must be this instance's, the call must be meant for this instance,
/// and the caller's name must not belong to another instance.
///
/// # Errors
/// The reason to reject the hello.
pub fn check_hello(
    hello: &Hello,
    cluster: &str,
    own: &Member,
    members: &[Member],
) -> Result<(), HelloRejection> {
    if hello.magic != MAGIC {
        return Err(HelloRejection::NotAPeer);
    }
    if hello.version != VERSION {
        return Err(HelloRejection::Version { version: hello.version });
    }
    if hello.cluster != cluster {
        return Err(HelloRejection::Cluster { own: cluster.to_owned(), other: hello.cluster.clone() });
    }
    // The instance at this address now is not the one that the caller knew: its store is another.
    if hello.to != ANY_INSTANCE && hello.to != own.id {
        return Err(HelloRejection::WrongInstance { own: own.clone(), wanted: hello.to });
    }
    if hello.from.id == own.id || hello.from.name == own.name {
        return Err(HelloRejection::OwnIdentity(own.clone()));
    }
    let taken = members.iter().find(|member| member.name == hello.from.name && member.id != hello.from.id);
    if let Some(member) = taken {
        return Err(HelloRejection::NameTaken { member: member.clone(), caller: hello.from.id });
    }
    Ok(())
}

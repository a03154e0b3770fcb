//! Validation of hellos.

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;

use super::{Hello, MAGIC, VERSION};

/// The value of [`Hello::to`] that accepts any instance.
const ANY_INSTANCE: InstanceId = InstanceId(0);

/// The reason for which a hello is rejected. Its text is sent to the connecting peer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HelloRejection {
    /// A caller that is not an agent.
    #[error("no peer")]
    NotAPeer,
    /// A caller with another protocol version.
    #[error("version {VERSION} is required, got version {version}")]
    Version {
        /// The caller's version.
        version: u32,
    },
    /// A caller of another cluster.
    #[error("this is cluster {own}, not {other}")]
    Cluster {
        /// This instance's cluster.
        own: String,
        /// The caller's cluster.
        other: String,
    },
    /// A caller that expects another instance at this address.
    #[error("this is {} ({:016x}), not {:016x}", own.name, own.id.0, wanted.0)]
    WrongInstance {
        /// This instance.
        own: Member,
        /// The instance that the caller expects.
        wanted: InstanceId,
    },
    /// A caller with this instance's own name or id.
    #[error("{} ({:016x}) is this instance's own name or id", .0.name, .0.id.0)]
    OwnIdentity(Member),
    /// A caller with the name of a member that has another id.
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

/// Checks a hello. The cluster and the version must be this instance's own, the caller must expect this
/// instance or any, and the caller's name must not belong to another instance.
///
/// # Errors
/// The hello is rejected for the returned reason.
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
    // The caller knows an instance with another id at this address, for example one whose store was replaced.
    if hello.to != ANY_INSTANCE && hello.to != own.id {
        return Err(HelloRejection::WrongInstance { own: own.clone(), wanted: hello.to });
    }
    if hello.from.id == own.id || hello.from.name == own.name {
        return Err(HelloRejection::OwnIdentity(own.clone()));
    }
    let conflicting =
        members.iter().find(|member| member.name == hello.from.name && member.id != hello.from.id);
    if let Some(member) = conflicting {
        return Err(HelloRejection::NameTaken { member: member.clone(), caller: hello.from.id });
    }
    Ok(())
}

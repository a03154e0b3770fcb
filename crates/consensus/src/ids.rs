//! Distinct types for ids, counters and names, so that they can't be confused with one another.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

ids! {
    /// Id of an instance, assigned when its store is created. An instance with a new store is a different
    /// instance.
    InstanceId;
    /// Position of an entry in the log, starting at 1; 0 is the position before the first entry.
    Index;
    /// Raft term. Each term has at most one leader.
    Term;
    /// Number of times that a role's lease has changed hands. A higher epoch invalidates all lower ones for
    /// good.
    Epoch;
    /// Id of a proposer's session: the index of the entry that opened it.
    SessionId;
    /// Position of a proposal in its session, starting at 1.
    Sequence;
    /// Number of a request at one instance, assigned by the caller.
    Ticket;
    /// Ticks of one instance's own time. They affect only how soon something happens; safety does not depend
    /// on them.
    Ticks;
}

/// The name of a task that one instance at a time performs, namely the holder of the role's lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Role(pub String);

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Maximum length of the name of a space in a parsed subject, in bytes.
const MAX_SPACE_BYTES: usize = 64;

/// The subject of a decision: a number in a space, such as a build in the space of condemned builds.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The space.
    pub space: String,
    /// The number within the space.
    pub number: u64,
}

impl Subject {
    /// Creates the subject with this number in this space.
    pub fn new(space: &str, number: u64) -> Self {
        Self { space: space.to_owned(), number }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.space, self.number)
    }
}

/// The error for a text that is not a valid subject.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" is no subject: SPACE/NUMBER is wanted, such as condemned/42")]
pub struct ParseSubjectError(String);

impl std::str::FromStr for Subject {
    type Err = ParseSubjectError;

    fn from_str(text: &str) -> Result<Self, ParseSubjectError> {
        let invalid = || ParseSubjectError(text.to_owned());
        let (space, number) = text.rsplit_once('/').ok_or_else(invalid)?;
        let number = number.parse().map_err(|_| invalid())?;
        if !is_valid_space(space) {
            return Err(invalid());
        }
        Ok(Subject { space: space.to_owned(), number })
    }
}

/// Returns whether a name is valid for a space: 1 to [`MAX_SPACE_BYTES`] ASCII letters, digits, `-`, `_` and
/// `.`.
fn is_valid_space(space: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !space.is_empty() && space.len() <= MAX_SPACE_BYTES && space.chars().all(is_valid_char)
}

//! Numbers and names that must not be confused with one another.

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
    /// An instance, by the id that its store was created with. A store created anew is another instance.
    InstanceId;
    /// An entry's place in the log, from 1; 0 is before the first entry.
    Index;
    /// A term: at most one leader in each.
    Term;
    /// How many times a role's lease has changed hands. A higher one deposes all lower ones for good.
    Epoch;
    /// A proposer's session, by the index of the entry that opened it.
    SessionId;
    /// A proposal's place in its session, from 1.
    Sequence;
    /// A request of a caller at one instance; the caller numbers them.
    Ticket;
    /// Ticks of one instance's own time. They decide only how soon something happens: nothing is safe because of them.
    Ticks;
}

/// A task that one instance at a time does, by name. Its lease says which instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Role(pub String);

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Longest name of a space that a caller may give, in bytes.
const MAX_SPACE_BYTES: usize = 64;

/// What is decided: a number in a space, such as a build among the condemned ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The space.
    pub space: String,
    /// The number in it.
    pub number: u64,
}

impl Subject {
    /// The subject with this number in this space.
    pub fn new(space: &str, number: u64) -> Self {
        Self { space: space.to_owned(), number }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.space, self.number)
    }
}

/// A text that is no subject.
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

/// Whether a caller may name a space so: ASCII letters, digits, `-`, `_` and `.`.
fn is_valid_space(space: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !space.is_empty() && space.len() <= MAX_SPACE_BYTES && space.chars().all(is_valid_char)
}

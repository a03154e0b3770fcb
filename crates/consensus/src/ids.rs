//! Numbers and names that must not be taken for one another.

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
    /// An instance, by the number that its store was made with. A store made anew is another instance.
    InstanceId;
    /// A place in the log, from 1.
    Index;
    /// A term: at most one leader in each.
    Term;
    /// How many times a role has changed hands. A higher one deposes all lower ones for good.
    Epoch;
    /// A proposer's session, by the index at which it was opened.
    SessionId;
    /// A proposal's place in its session, from 1.
    Sequence;
    /// What a caller of one instance waits for; the caller numbers them.
    Ticket;
    /// Ticks of one instance's own time. They are for speed only: nothing is safe because of them.
    Ticks;
}

/// A task that one instance at a time does, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Role(pub String);

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What is decided: a number in a space, such as a build among condemned ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The space.
    pub space: String,
    /// The number in it.
    pub number: u64,
}

impl Subject {
    /// A subject.
    pub fn new(space: &str, number: u64) -> Self {
        Self { space: space.to_owned(), number }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.space, self.number)
    }
}

/// A subject that can't be read, with what was given.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" is no subject: SPACE/NUMBER is wanted, such as condemned/42")]
pub struct ParseSubjectError(String);

impl std::str::FromStr for Subject {
    type Err = ParseSubjectError;

    fn from_str(text: &str) -> Result<Self, ParseSubjectError> {
        let bad = || ParseSubjectError(text.to_owned());
        let (space, number) = text.rsplit_once('/').ok_or_else(bad)?;
        let usable = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if space.is_empty() || space.len() > 64 || !space.chars().all(usable) {
            return Err(bad());
        }
        Ok(Subject { space: space.to_owned(), number: number.parse().map_err(|_| bad())? })
    }
}

//! State of the input of a connection.

use std::io::ErrorKind;

/// Whether more input can arrive on a connection and, if not, how the input ended. Only an orderly close shows that
/// nothing is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputState {
    /// More input can arrive.
    Open,
    /// The peer has closed its sending direction, and all that it sent has been read.
    Closed,
    /// The connection was lost by an error of this kind, such as a reset. The peer may have sent more than was read.
    Lost(ErrorKind),
}

impl InputState {
    /// Returns whether no more input can arrive.
    pub fn has_ended(self) -> bool {
        self != InputState::Open
    }
}

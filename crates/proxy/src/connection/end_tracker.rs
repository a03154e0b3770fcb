//! How the input of a socket ends, as learnt from the results of all system calls on it.
//!
//! The system reports an error of a socket once, to whichever call comes first, and afterwards a read returns 0 bytes as
//! after an orderly close. So the errors of all calls are recorded, and not only those of reads.

use std::cell::OnceCell;
use std::io;

use garnetcrank_http::InputState;

/// State of the input of a socket, and the first error of the socket.
#[derive(Debug)]
pub(super) struct EndTracker {
    input: InputState,
    first_error: OnceCell<io::ErrorKind>,
}

impl EndTracker {
    /// Creates the tracker of a socket whose input is open.
    pub(super) fn new() -> Self {
        EndTracker { input: InputState::Open, first_error: OnceCell::new() }
    }

    /// Returns the state of the input after the bytes that have been read.
    pub(super) fn input(&self) -> InputState {
        self.input
    }

    /// Records a read of 0 bytes: an orderly close, unless the system has reported an error before.
    pub(super) fn on_end_of_input(&mut self) {
        self.input = self.first_error.get().map_or(InputState::Closed, |kind| InputState::Lost(*kind));
    }

    /// Records an error of a read other than that nothing can be read now.
    pub(super) fn on_read_error(&mut self, error: &io::Error) {
        self.on_error(error);
        self.on_end_of_input();
    }

    /// Records an error of a write other than that nothing can be written now. A broken pipe tells nothing new: the peer
    /// closed its sending direction before it reset the connection, so that its input is complete, or the error of the
    /// socket has been reported before.
    pub(super) fn on_write_error(&self, error: &io::Error) {
        if error.kind() != io::ErrorKind::BrokenPipe {
            self.on_error(error);
        }
    }

    /// Records an error of the socket that another call has returned. Bytes that arrived before it can still be read.
    pub(super) fn on_error(&self, error: &io::Error) {
        self.first_error.get_or_init(|| error.kind());
    }
}

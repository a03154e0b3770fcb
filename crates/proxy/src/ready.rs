//! What the event loop's callbacks leave behind: which connection is ready for what. The turn then reads
//! them in its own order, news of fleet and stage first.

use calloop::{LoopHandle, Readiness};

/// Number of a connection, never given twice in the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

impl ConnId {
    /// The thread that has the connection stands above this bit.
    pub const CORE_SHIFT: u32 = 56;
}

/// Whose connection it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Who {
    /// The listening socket.
    Listener,
    /// A client's connection.
    Client(ConnId),
    /// A connection to a machine.
    Machine(ConnId),
    /// A connection to discovery.
    Discovery(ConnId),
    /// A connection to the platform.
    Platform(ConnId),
    /// A connection to the agent on this machine.
    Agent(ConnId),
}

/// A process signal that the front answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// Finish what is held and exit.
    Stop,
    /// Read the configuration again.
    Reload,
    /// Print the counters.
    Counters,
}

/// The event loop's data: filled by callbacks, emptied by the turn.
#[derive(Debug, Default)]
pub struct Ready {
    /// Ready connections, in the order told.
    pub conns: Vec<(Who, Readiness)>,
    /// Signals.
    pub asked: Vec<Asked>,
}

/// The loop as connections are registered with it.
pub type Handle = LoopHandle<'static, Ready>;

/// Gives out connection numbers.
#[derive(Debug, Default)]
pub struct ConnIds(u64);

impl ConnIds {
    /// Numbers of one thread's connections.
    pub fn of(core: usize) -> Self {
        ConnIds((core as u64) << ConnId::CORE_SHIFT)
    }

    /// The next one.
    pub fn next(&mut self) -> ConnId {
        self.0 += 1;
        ConnId(self.0)
    }
}

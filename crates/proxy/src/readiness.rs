//! What the event loop's callbacks leave behind: which connection is ready for what. The turn then reads
//! them in its own order, news of fleet and stage first.

use calloop::{LoopHandle, Readiness};

/// Number of a connection, never given twice in the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

impl ConnId {
    /// The thread that has the connection stands above this bit.
    pub const WORKER_SHIFT: u32 = 56;
}

/// Whose connection it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The listening socket.
    Listener,
    /// A client's connection.
    Downstream(ConnId),
    /// A connection to a machine.
    Upstream(ConnId),
    /// A connection to discovery.
    Discovery(ConnId),
    /// A connection to the platform.
    ReleaseController(ConnId),
    /// A connection to the agent on this machine.
    Agent(ConnId),
}

/// A process signal that the front answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingWork {
    /// Finish what is held and exit.
    Stop,
    /// Read the configuration again.
    Reload,
    /// Print the counters.
    PrintCounters,
}

/// The event loop's data: filled by callbacks, emptied by the turn.
#[derive(Debug, Default)]
pub struct TurnInputs {
    /// Ready connections, in the order told.
    pub connections: Vec<(Source, Readiness)>,
    /// Signals.
    pub pending_work: Vec<PendingWork>,
}

/// The loop as connections are registered with it.
pub type Handle = LoopHandle<'static, TurnInputs>;

/// Gives out connection numbers.
#[derive(Debug, Default)]
pub struct ConnIds(u64);

impl ConnIds {
    /// Numbers of one thread's connections.
    pub fn of(core: usize) -> Self {
        ConnIds((core as u64) << ConnId::WORKER_SHIFT)
    }

    /// The next one.
    pub fn next(&mut self) -> ConnId {
        self.0 += 1;
        ConnId(self.0)
    }
}

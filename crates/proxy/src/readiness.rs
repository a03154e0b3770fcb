//! What the event loop's callbacks leave for the turn: which connection is ready for what, and which process
//! signals came. The turn reads them in its own order, the control plane first.

use calloop::{LoopHandle, Readiness};

use crate::worker_id::WorkerId;

/// Number of a connection, never given twice in the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnId(pub(crate) u64);

impl ConnId {
    /// The bits from this one on hold the number of the worker that owns the connection.
    const WORKER_SHIFT: u32 = 56;

    /// The worker that owns the connection.
    pub(crate) fn worker(self) -> WorkerId {
        WorkerId((self.0 >> Self::WORKER_SHIFT) as usize)
    }
}

/// What a ready connection belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The listening socket.
    Listener,
    /// A client's connection.
    Downstream(ConnId),
    /// A connection to an endpoint.
    Upstream(ConnId),
    /// A connection to discovery.
    Discovery(ConnId),
    /// A connection to the release controller.
    ReleaseController(ConnId),
    /// A connection to the agent on this host.
    Agent(ConnId),
}

/// Work that a process signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PendingWork {
    /// Finish the requests in flight and exit.
    Stop,
    /// Read the configuration again.
    Reload,
    /// Print the counters.
    PrintCounters,
}

/// The event loop's data: filled by its callbacks, emptied by the turn that follows.
#[derive(Debug, Default)]
pub(crate) struct TurnInputs {
    /// Ready connections, in the order reported.
    pub(crate) connections: Vec<(Source, Readiness)>,
    /// Work asked for by signals, in the order received.
    pub(crate) pending_work: Vec<PendingWork>,
}

/// The event loop, as connections are registered with it.
pub(crate) type Handle = LoopHandle<'static, TurnInputs>;

/// Allocates connection numbers.
#[derive(Debug, Default)]
pub(crate) struct ConnIds(u64);

impl ConnIds {
    /// The numbers of one worker's connections.
    pub(crate) fn for_worker(worker: WorkerId) -> Self {
        ConnIds((worker.0 as u64) << ConnId::WORKER_SHIFT)
    }

    /// The next unused number.
    pub(crate) fn next(&mut self) -> ConnId {
        self.0 += 1;
        ConnId(self.0)
    }
}

//! What the decision module is told and what it asks for: types only, in the project's own terms.
//! Times and spans are whole microseconds of the caller's clock; nothing here decides anything.

/// A point on the caller's clock, or a span of it, in microseconds.
pub type Micros = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client's request, as the front numbers it.
    RequestId(u32);
    /// A machine, numbered by this instance's own caller.
    EndpointId(u32);
    /// The subject of a request; requests on one subject belong together.
    KeyId(u32);
    /// A build of the servers' software; later builds have higher numbers.
    Build(u32);
    /// Position in [`Config::classes`].
    ClassId(usize);
    /// Position in [`Config::tenants`].
    TenantId(usize);
    /// Position in the caller's list of zones.
    ZoneId(usize);
    /// Position in the caller's list of machine kinds.
    KindId(usize);
    /// A small set of machines that share what they know of keys.
    CellId(u32);
    /// Another instance of the same tier.
    PeerId(u32);
}

/// Which machines discard the repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every machine.
    All,
    /// The machines of one zone.
    Zone,
    /// The machines of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be repeated and refused freely.
    Idempotent,
    /// Nothing within `window` of the first send, at machines of the same `scope`.
    Keyed {
        /// Who discards the repeat.
        scope: KeyScope,
        /// For how long.
        window: Micros,
    },
    /// Harm: it must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// For log lines only.
    pub name: String,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// An answer inside this time earns full worth.
    pub latency_objective: Micros,
    /// How long a client waits across all its tries.
    pub deadline: Micros,
    /// Worth of one request (or of one unit of work).
    pub priority_weight: f64,
    /// Share of the worth that a late answer earns.
    pub late_priority_weight: f64,
    /// Answers are streamed.
    pub streamed: bool,
}

/// A tenant and its share of the service.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Its portion of the service, 0 to 1.
    pub share: f64,
    /// Requests a second across all fronts that count as its own.
    pub quota_per_s: f64,
}

/// How votes move a build.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VoteMode {
    /// One vote on is enough.
    #[default]
    Any,
    /// A number of instances must stand for it.
    Share,
    /// The stage moves on by itself; votes can hold the clock.
    Timer,
}

/// Whether earlier machines remain while their successors are on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReplacementMode {
    /// They stay until the release.
    #[default]
    SideBySide,
    /// Each is drained once its successor runs.
    InPlace,
}

/// How the platform brings builds in, and what the votes do.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// How votes move a build.
    pub mode: VoteMode,
    /// How machines are replaced.
    pub replacement: ReplacementMode,
    /// Share of the fleet at each stage.
    pub stages: Vec<f64>,
    /// Exposure cap at each stage.
    pub exposure_caps: Vec<f64>,
    /// Exposure window.
    pub exposure_window: Micros,
    /// Attempts free of the cap in each window.
    pub exposure_allowance: f64,
    /// Exposure counts for each class by itself.
    pub exposure_by_class: bool,
    /// Stages in which only safe classes may go to the trial build.
    pub guarded_stages: usize,
    /// A key answered by the trial build goes to no earlier one.
    pub forward_only_keys: bool,
    /// How long a vote stands.
    pub vote_ttl: Micros,
    /// Longest wait for a vote's answer.
    pub vote_timeout: Micros,
    /// Instances whose votes must stand together to send a build back.
    pub rollback_quorum: u32,
    /// Votes a second that the platform takes from all instances.
    pub votes_per_s: f64,
    /// How long a stage lasts under [`VoteMode::Timer`].
    pub stage_duration: Micros,
    /// Price of serving everything by an old build.
    pub delay_price: f64,
    /// Price of wrong answers and failed effects.
    pub harm_price: f64,
}

/// What is known at the start of an instance.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Instances in this tier.
    pub instance_count: u32,
    /// This instance's number among them, from 0.
    pub instance_index: u32,
    /// This instance's own zone.
    pub zone: ZoneId,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Worth goes by work, not by request.
    pub priority_by_work: bool,
    /// Worth of traffic past a tenant's share.
    pub over_quota_weight: f64,
    /// The fleet list must be asked for.
    pub poll_endpoints: bool,
    /// Without asking for this long, the instance counts as told.
    pub poll_timeout: Micros,
    /// Machines may be probed.
    pub health_checks: bool,
    /// Attempts may be withdrawn.
    pub cancellation: bool,
    /// Two attempts of a request may be out together.
    pub hedging: bool,
    /// Messages to peers are allowed.
    pub gossip: bool,
    /// Advice when to come back reaches clients, up to this span.
    pub retry_after: Option<Micros>,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Gap between two rounds of events at the least.
    pub resolution: Micros,
    /// Grace after the news of a drain or a lower cap.
    pub drain_grace: Micros,
    /// Share of its capacity that a started machine has at the least.
    pub slow_start_initial: f64,
    /// Time within which it is warm.
    pub slow_start_duration: Micros,
    /// Multiple of its present capacity that pushes a cold machine over.
    pub overload_multiple: f64,
    /// Window of that multiple.
    pub overload_window: Micros,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Ratings of machines compare sizes.
    pub rated: bool,
    /// How releases come.
    pub rollout: Rollout,
}

/// What the fleet list says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointStatus {
    /// It runs.
    #[default]
    Active,
    /// It completes its work and takes nothing new.
    Draining,
    /// It has gone.
    Removed,
}

/// One line of the fleet list.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointRecord {
    /// The machine.
    pub endpoint: EndpointId,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// The build it runs.
    pub build: Build,
    /// Whether it runs.
    pub status: EndpointStatus,
    /// Its latest start, if not long past.
    pub started: Option<Micros>,
    /// A figure to compare with other machines'.
    pub rating: f64,
}

/// News of the fleet list.
#[derive(Debug, Clone)]
pub enum EndpointUpdate {
    /// The whole list; `saved` when it is what an earlier run last held.
    Snapshot {
        /// Every machine.
        endpoints: Vec<EndpointRecord>,
        /// Possibly outdated.
        cached: bool,
    },
    /// Changed entries only.
    Delta(Vec<EndpointRecord>),
    /// A call for the list failed, or a subscription broke.
    Unavailable,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Success,
    /// The machine answered with an error; it may have run.
    Error,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Withdrawn by us; it may have run.
    Cancelled,
    /// Turned away unseen: never ran.
    Overloaded,
    /// No connection: never ran.
    ConnectFailed,
    /// Not sent at all: never ran.
    NotSent,
}

impl Outcome {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Where a build stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutPhase {
    /// On trial.
    OnTrial,
    /// Going back.
    RollingBack,
    /// Released.
    Released,
    /// Taken off.
    Withdrawn,
}

impl RolloutPhase {
    /// Whether the build serves or may come to: neither going back nor taken off.
    pub fn is_active(self) -> bool {
        matches!(self, RolloutPhase::OnTrial | RolloutPhase::Released)
    }
}

/// What the platform says of the newest build.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: Build,
    /// Its stage, from 0.
    pub stage: usize,
    /// Where it stands.
    pub phase: RolloutPhase,
    /// Cap on exposure, 0 to 1.
    pub exposure_cap: f64,
    /// Time since this state began.
    pub age: Micros,
}

/// The platform's answer to a vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteResult {
    /// It counts.
    Counted,
    /// Not the present build or stage, or no such verdict here.
    Obsolete,
    /// The platform takes no more votes just now.
    RateLimited,
    /// An error: it does not count.
    Failed,
    /// No answer: it may count.
    Unknown,
}

/// What a vote says of a build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Go on.
    Advance,
    /// Hold the clock.
    Hold,
    /// Send it back.
    RollBack,
    /// Take this instance's vote away.
    Abstain,
}

/// A client's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where known.
    pub tenant: Option<TenantId>,
    /// Its subject.
    pub key: Option<KeyId>,
    /// When this try is given up.
    pub deadline: Micros,
    /// Expected work, where hinted.
    pub work_hint: Option<Micros>,
    /// A client's repeat, where clients say so.
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// The request is over.
    pub request_finished: bool,
    /// The machine's load report, in the order of the settings.
    pub load_report: Vec<f64>,
}

/// One thing that happened to this instance.
#[derive(Debug, Clone)]
pub enum Event {
    /// News of the fleet.
    EndpointsUpdated(EndpointUpdate),
    /// A request arrived.
    Request(Request),
    /// The answer to an attempt has begun; it is the client's now.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptCompleted(AttemptResult),
    /// The client has left; nothing is owed any more.
    ClientDisconnected(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A probe ended.
    HealthCheckCompleted {
        /// The machine.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// The machine's load report.
        load_report: Vec<f64>,
    },
    /// A message from a peer.
    GossipReceived {
        /// Who sent it.
        from: PeerId,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// The platform's news of the newest build.
    RolloutUpdated(RolloutStatus),
    /// The platform's answer to our vote; the state too where it is known.
    VoteCompleted(VoteResult, Option<RolloutStatus>),
    /// The platform's count of one build and class over a past period.
    Tally {
        /// The build.
        build: Build,
        /// The class.
        class: ClassId,
        /// Attempts counted.
        count: u32,
        /// Those that were not served.
        errors: u32,
        /// Mean time of the rest.
        mean: Micros,
        /// Time since the period ended.
        age: Micros,
    },
    /// A client found an answer wrong.
    AnswerFlagged {
        /// Who answered.
        endpoint: EndpointId,
        /// The class.
        class: ClassId,
        /// Time since that attempt was sent.
        age: Micros,
    },
}

/// One thing that this instance asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// Where.
        endpoint: EndpointId,
        /// Its time-out; none: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: rejected, safe to send again.
    Reject {
        /// The request.
        id: RequestId,
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Wake this instance.
    SetTimer {
        /// Span from now.
        after: Micros,
        /// Returned with the timer.
        token: u64,
    },
    /// Probe a machine.
    HealthCheck(EndpointId),
    /// Close idle connections to a machine.
    CloseIdle(EndpointId),
    /// Send a message to one peer, or to all.
    SendGossip {
        /// One peer; none: all.
        to: Option<PeerId>,
        /// What to say.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the fleet list.
    WatchEndpoints(bool),
    /// Ask for the whole list once.
    PollEndpoints,
    /// Cast this instance's vote.
    Vote {
        /// The build.
        build: Build,
        /// The stage meant.
        stage: usize,
        /// What it says.
        verdict: Verdict,
    },
    /// A line for the people on call.
    Log(String),
}

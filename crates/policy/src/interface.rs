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
    MachineId(u32);
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
pub enum Scope {
    /// Every machine.
    All,
    /// The machines of one zone.
    Zone,
    /// The machines of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated and refused freely.
    Safe,
    /// Nothing within `window` of the first send, at machines of the same `scope`.
    Keyed {
        /// Who discards the repeat.
        scope: Scope,
        /// For how long.
        window: Micros,
    },
    /// Harm: it must never run twice.
    Once,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// For log lines only.
    pub name: String,
    /// What a repeat would do.
    pub effect: Effect,
    /// An answer inside this time earns full worth.
    pub aim: Micros,
    /// How long a client waits across all its tries.
    pub deadline: Micros,
    /// Worth of one request (or of one unit of work).
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
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
pub enum Replace {
    /// They stay until the release.
    #[default]
    Beside,
    /// Each is drained once its successor runs.
    InPlace,
}

/// How the platform brings builds in, and what the votes do.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// How votes move a build.
    pub mode: VoteMode,
    /// How machines are replaced.
    pub replace: Replace,
    /// Share of the fleet at each stage.
    pub stages: Vec<f64>,
    /// Exposure cap at each stage.
    pub caps: Vec<f64>,
    /// Exposure window.
    pub window: Micros,
    /// Attempts free of the cap in each window.
    pub free: f64,
    /// Exposure counts for each class by itself.
    pub by_class: bool,
    /// Stages in which only safe classes may go to the trial build.
    pub guarded_stages: usize,
    /// A key answered by the trial build goes to no earlier one.
    pub one_way: bool,
    /// How long a vote stands.
    pub vote_life: Micros,
    /// Longest wait for a vote's answer.
    pub vote_wait: Micros,
    /// Instances whose votes must stand together to send a build back.
    pub back_votes: u32,
    /// Votes a second that the platform takes from all instances.
    pub votes_per_s: f64,
    /// How long a stage lasts under [`VoteMode::Timer`].
    pub step: Micros,
    /// Price of serving everything by an old build.
    pub delay_price: f64,
    /// Price of wrong answers and failed effects.
    pub harm_price: f64,
}

/// What is known at the start of an instance.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Instances in this tier.
    pub fronts: u32,
    /// This instance's number among them, from 0.
    pub index: u32,
    /// This instance's own zone.
    pub zone: ZoneId,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Worth goes by work, not by request.
    pub worth_by_work: bool,
    /// Worth of traffic past a tenant's share.
    pub over_share_worth: f64,
    /// The fleet list must be asked for.
    pub ask_for_fleet: bool,
    /// Without asking for this long, the instance counts as told.
    pub ask_within: Micros,
    /// Machines may be probed.
    pub probes: bool,
    /// Attempts may be withdrawn.
    pub withdrawals: bool,
    /// Two attempts of a request may be out together.
    pub second_copies: bool,
    /// Messages to peers are allowed.
    pub peer_messages: bool,
    /// Advice when to come back reaches clients, up to this span.
    pub retry_advice: Option<Micros>,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Gap between two rounds of events at the least.
    pub resolution: Micros,
    /// Grace after the news of a drain or a lower cap.
    pub drain_grace: Micros,
    /// Share of its capacity that a started machine has at the least.
    pub cold_from: f64,
    /// Time within which it is warm.
    pub warm_after: Micros,
    /// Multiple of its present capacity that pushes a cold machine over.
    pub fall_multiple: f64,
    /// Window of that multiple.
    pub fall_window: Micros,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Ratings of machines compare sizes.
    pub rated: bool,
    /// How releases come.
    pub rollout: Rollout,
}

/// What the fleet list says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Presence {
    /// It runs.
    #[default]
    On,
    /// It completes its work and takes nothing new.
    Draining,
    /// It has gone.
    Gone,
}

/// One line of the fleet list.
#[derive(Debug, Clone, Copy, Default)]
pub struct Entry {
    /// The machine.
    pub machine: MachineId,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// The build it runs.
    pub build: Build,
    /// Whether it runs.
    pub presence: Presence,
    /// Its latest start, if not long past.
    pub started: Option<Micros>,
    /// A figure to compare with other machines'.
    pub rating: f64,
}

/// News of the fleet list.
#[derive(Debug, Clone)]
pub enum Fleet {
    /// The whole list; `saved` when it is what an earlier run last held.
    Whole {
        /// Every machine.
        entries: Vec<Entry>,
        /// Possibly outdated.
        saved: bool,
    },
    /// Changed entries only.
    Changes(Vec<Entry>),
    /// A call for the list failed, or a subscription broke.
    Unreachable,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The machine answered with an error; it may have run.
    Error,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// The connection broke; it may have run.
    Broken,
    /// Withdrawn by us; it may have run.
    Withdrawn,
    /// Turned away unseen: never ran.
    Full,
    /// No connection: never ran.
    Unreached,
    /// Not sent at all: never ran.
    Unsent,
}

impl Outcome {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Unreached | Outcome::Unsent)
    }
}

/// Where a build stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// On trial.
    Trial,
    /// Going back.
    GoingBack,
    /// Released.
    Released,
    /// Taken off.
    Withdrawn,
}

impl Phase {
    /// Whether the build serves or may come to: neither going back nor taken off.
    pub fn stands(self) -> bool {
        matches!(self, Phase::Trial | Phase::Released)
    }
}

/// What the platform says of the newest build.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stage {
    /// The newest build.
    pub build: Build,
    /// Its stage, from 0.
    pub stage: usize,
    /// Where it stands.
    pub phase: Phase,
    /// Cap on exposure, 0 to 1.
    pub cap: f64,
    /// Time since this state began.
    pub age: Micros,
}

/// The platform's answer to a vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ballot {
    /// It counts.
    Counted,
    /// Not the present build or stage, or no such verdict here.
    Moot,
    /// The platform takes no more votes just now.
    NoRoom,
    /// An error: it does not count.
    Failed,
    /// No answer: it may count.
    Doubtful,
}

/// What a vote says of a build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Go on.
    On,
    /// Hold the clock.
    Hold,
    /// Send it back.
    Back,
    /// Take this instance's vote away.
    None,
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
    pub hint: Option<Micros>,
    /// A client's repeat, where clients say so.
    pub repeat: bool,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct Done {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub lag: Micros,
    /// The request is over.
    pub over: bool,
    /// The machine's load report, in the order of the settings.
    pub load: Vec<f64>,
}

/// One thing that happened to this instance.
#[derive(Debug, Clone)]
pub enum Event {
    /// News of the fleet.
    Fleet(Fleet),
    /// A request arrived.
    Request(Request),
    /// The answer to an attempt has begun; it is the client's now.
    Begun {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// An attempt ended.
    Done(Done),
    /// The client has left; nothing is owed any more.
    Gone(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// The machine.
        machine: MachineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        lag: Micros,
        /// The machine's load report.
        load: Vec<f64>,
    },
    /// A message from a peer.
    Peer {
        /// Who sent it.
        from: PeerId,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// The platform's news of the newest build.
    Stage(Stage),
    /// The platform's answer to our vote; the state too where it is known.
    Voted(Ballot, Option<Stage>),
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
    Flagged {
        /// Who answered.
        machine: MachineId,
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
    Place {
        /// The request.
        id: RequestId,
        /// Where.
        machine: MachineId,
        /// Its time-out; none: until the client gives up.
        time_out: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Withdraw {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: rejected, safe to send again.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back.
        come_back: Option<Micros>,
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
    Probe(MachineId),
    /// Close idle connections to a machine.
    CloseIdle(MachineId),
    /// Send a message to one peer, or to all.
    Tell {
        /// One peer; none: all.
        to: Option<PeerId>,
        /// What to say.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the fleet list.
    Subscribe(bool),
    /// Ask for the whole list once.
    AskFleet,
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

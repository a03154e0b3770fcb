//! Lines of the simulator's protocol: their keys and shapes, before any meaning.
//!
//! Commands and keys are named by the protocol; where the Rust name differs, `rename` gives the protocol's. Times are
//! milliseconds. `front` is the number of the instance that a line belongs to. Unknown keys are ignored.

use garnetcrank_settings::Settings;
use serde::{Deserialize, Serialize};

/// Rating of an endpoint that states none.
const DEFAULT_RATING: f64 = 1.0;

/// The recipient of a message to every instance.
pub const ALL_PEERS: &str = "all";
/// Bit of [`Input::Request::flags`]: the work hint counts.
pub const FLAG_HINTED: u32 = 1;
/// Bit of [`Input::Request::flags`]: the client sends the request again.
pub const FLAG_RETRY: u32 = 2;
/// Value of [`Input::RolloutStatus::how`]: the answer to a vote of this instance.
pub const VOTE_ANSWER: u8 = 1;

fn default_rating() -> f64 {
    DEFAULT_RATING
}

/// One line of a batch, as the simulator writes it.
#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all = "camelCase")]
pub enum Input {
    /// A batch begins at this time.
    #[serde(rename = "mark")]
    BatchBegin {
        #[serde(rename = "wall")]
        now: f64,
        serial: u64,
    },
    /// The batch is complete: its reply is due.
    #[serde(rename = "yourTurn")]
    BatchEnd {},
    /// An endpoint list, which later lines of the batch refer to by its number.
    #[serde(rename = "directory")]
    EndpointList {
        #[serde(rename = "rosterId")]
        list_id: u32,
        #[serde(rename = "membersList")]
        members: Vec<EndpointRow>,
    },
    /// An instance starts.
    #[serde(rename = "newInstance")]
    StartInstance {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "initSeed")]
        seed: u64,
        config: Box<Settings>,
    },
    /// An instance stops; nothing of it is kept.
    #[serde(rename = "retire")]
    StopInstance {
        #[serde(rename = "front")]
        instance: u32,
    },
    /// An endpoint update for one instance.
    #[serde(rename = "fleet")]
    EndpointUpdate {
        #[serde(rename = "front")]
        instance: u32,
        how: ListUpdateKind,
        #[serde(rename = "rosterId", default)]
        list_id: u32,
    },
    /// A request arrived.
    #[serde(rename = "ingress")]
    Request {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        class: String,
        #[serde(rename = "party", default)]
        tenant: Option<TenantRef>,
        #[serde(default)]
        key: Option<String>,
        #[serde(rename = "clientDeadline")]
        deadline: f64,
        #[serde(rename = "cost", default)]
        work_hint: Option<f64>,
        #[serde(rename = "bits", default)]
        flags: u32,
    },
    /// The response to an attempt has started.
    #[serde(rename = "underWay")]
    ResponseStarted {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        #[serde(rename = "roundNo", default)]
        attempt: usize,
    },
    /// An attempt ended.
    #[serde(rename = "done")]
    AttemptCompleted {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        #[serde(rename = "roundNo", default)]
        attempt: usize,
        outcome: OutcomeCode,
        #[serde(rename = "lag", default)]
        latency: f64,
        #[serde(rename = "ended", default)]
        request_finished: bool,
        #[serde(rename = "usage", default)]
        load_report: Option<Vec<f64>>,
    },
    /// The client has disconnected.
    #[serde(rename = "aborted")]
    ClientDisconnected {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
    },
    /// A timer is due.
    #[serde(rename = "ring")]
    Timer {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "cookie", default)]
        token: u64,
    },
    /// A health check ended.
    #[serde(rename = "healthResult")]
    HealthCheckCompleted {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "machine")]
        endpoint: String,
        #[serde(rename = "lag", default)]
        latency: f64,
        outcome: OutcomeCode,
        #[serde(rename = "usage", default)]
        load_report: Option<Vec<f64>>,
    },
    /// A message of another instance.
    #[serde(rename = "whisper")]
    Gossip {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "sender", default)]
        from: u32,
        #[serde(rename = "octets", default)]
        bytes_hex: String,
    },
    /// The state of the newest build, or the answer to a vote.
    #[serde(rename = "stepNews")]
    RolloutStatus {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "release", default)]
        build: u32,
        #[serde(rename = "wave", default)]
        stage: usize,
        #[serde(rename = "course", default)]
        phase: u8,
        #[serde(default)]
        how: u8,
        outcome: OutcomeCode,
        #[serde(rename = "limitShare", default)]
        exposure_cap: f64,
        #[serde(rename = "behind", default)]
        age: f64,
    },
    /// The counts of one build and class over a past period.
    #[serde(rename = "scorecard")]
    BuildTally {
        #[serde(rename = "front")]
        instance: u32,
        class: String,
        #[serde(rename = "release")]
        build: u32,
        #[serde(rename = "lag", default)]
        latency: f64,
        #[serde(default)]
        errors: u32,
        #[serde(rename = "behind", default)]
        age: f64,
        #[serde(default)]
        count: u32,
    },
    /// A client found an answer wrong.
    #[serde(rename = "reportedWrong")]
    AnswerFlagged {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "machine")]
        endpoint: String,
        #[serde(rename = "behind", default)]
        age: f64,
        class: String,
    },
}

/// A tenant's name; sites without tenants may send a number.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum TenantRef {
    Name(String),
    Number(#[allow(dead_code)] f64),
}

/// What an update of the endpoint list holds.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListUpdateKind {
    Incremental,
    Full,
    Saved,
    Failed,
}

/// How an attempt, a health check or a vote ended.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeCode {
    Pass,
    Fault,
    NoRoom,
    TooSlow,
    NoRoute,
    Cut,
    Undone,
    StaleSend,
}

/// One line of an endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointRow {
    #[serde(rename = "flavor", default)]
    pub kind: String,
    #[serde(rename = "unitGroup", default)]
    pub cell: u32,
    #[serde(rename = "dc", default)]
    pub zone: String,
    #[serde(rename = "lastStart", default)]
    pub started: Option<f64>,
    #[serde(rename = "availability")]
    pub status: EndpointAvailability,
    #[serde(rename = "machine")]
    pub endpoint: String,
    #[serde(default)]
    pub build: f64,
    #[serde(default = "default_rating")]
    pub rating: f64,
}

/// Whether an endpoint runs, drains or is gone.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum EndpointAvailability {
    On,
    Fading,
    Off,
}

/// One line of a reply.
#[derive(Serialize)]
#[serde(tag = "cmd", rename_all = "camelCase")]
pub enum Output<'a> {
    /// Start an attempt.
    #[serde(rename = "place")]
    Forward {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        #[serde(rename = "machine")]
        endpoint: &'a str,
        #[serde(rename = "tryFor", skip_serializing_if = "Option::is_none")]
        timeout: Option<f64>,
    },
    /// Stop waiting for an attempt.
    #[serde(rename = "retract")]
    Cancel {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        #[serde(rename = "roundNo")]
        attempt: usize,
    },
    /// Final answer: rejected; safe to send again.
    #[serde(rename = "turnAway")]
    Reject {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        #[serde(rename = "notBeforeFor", skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
    },
    /// Set a timer.
    #[serde(rename = "after")]
    SetTimer {
        #[serde(rename = "front")]
        instance: u32,
        delay: f64,
        #[serde(rename = "cookie")]
        token: u64,
    },
    /// Check the health of an endpoint.
    #[serde(rename = "test")]
    HealthCheck {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "machine")]
        endpoint: &'a str,
    },
    /// Close idle connections to an endpoint.
    #[serde(rename = "release")]
    CloseIdle {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "machine")]
        endpoint: &'a str,
    },
    /// Send a message to other instances.
    #[serde(rename = "notify")]
    SendGossip {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "dest")]
        to: Recipient,
        #[serde(rename = "octets")]
        bytes_hex: String,
    },
    /// Watch changes of the endpoint list, or no longer.
    #[serde(rename = "streamChanges")]
    WatchEndpoints {
        #[serde(rename = "front")]
        instance: u32,
        want: bool,
    },
    /// Ask for the whole endpoint list once.
    #[serde(rename = "queryAll")]
    PollEndpoints {
        #[serde(rename = "front")]
        instance: u32,
    },
    /// Cast a vote.
    Vote {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "release")]
        build: u32,
        #[serde(rename = "wave")]
        stage: usize,
        how: u8,
    },
    /// A log line.
    #[serde(rename = "journalLine")]
    Log {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "words")]
        text: &'a str,
    },
    /// The decisions panicked.
    #[serde(rename = "broken")]
    Panicked {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "words")]
        text: &'a str,
    },
    /// The reply to a batch is complete.
    #[serde(rename = "finished")]
    BatchDone { serial: u64 },
}

/// Who gets a message.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Recipient {
    /// One instance, by its number.
    Peer(u32),
    /// Every instance; always [`ALL_PEERS`].
    All(&'static str),
}

//! Lines of the simulator's protocol: JSON objects with a command (`cmd`) and its keys.
//!
//! Where a Rust name differs from the protocol's, `rename` gives the protocol's. Times are in milliseconds. `instance`
//! (`front` in the protocol) is the number of the instance that a line belongs to. Unknown keys are ignored.

use garnetcrank_settings::Settings;
use serde::{Deserialize, Serialize};

/// Rating of an endpoint without an explicit rating.
const DEFAULT_RATING: f64 = 1.0;

/// Recipient of a gossip message to every instance.
pub const ALL_PEERS: &str = "all";
/// Bit of [`Input::Request::flags`] for a request whose work hint is valid.
pub const FLAG_WORK_HINT: u32 = 1;
/// Bit of [`Input::Request::flags`] for a retry by the client.
pub const FLAG_RETRY: u32 = 2;
/// Value of [`Input::RolloutStatus::kind`] for the result of this instance's vote.
pub const VOTE_RESULT: u8 = 1;

fn default_rating() -> f64 {
    DEFAULT_RATING
}

/// One input line.
#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all = "camelCase")]
pub enum Input {
    /// Start of a batch, with the current time.
    #[serde(rename = "mark")]
    BatchBegin {
        #[serde(rename = "wall")]
        now: f64,
        serial: u64,
    },
    /// End of the batch; the simulator waits for the reply.
    #[serde(rename = "yourTurn")]
    BatchEnd {},
    /// Endpoint list that later lines refer to by `list_id`, in later batches as well. It replaces an earlier one
    /// of that number.
    #[serde(rename = "directory")]
    EndpointList {
        #[serde(rename = "rosterId")]
        list_id: u32,
        #[serde(rename = "membersList")]
        members: Vec<EndpointRow>,
    },
    /// Start of an instance.
    #[serde(rename = "newInstance")]
    StartInstance {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "initSeed")]
        seed: u64,
        config: Box<Settings>,
    },
    /// End of an instance, which discards its state.
    #[serde(rename = "retire")]
    StopInstance {
        #[serde(rename = "front")]
        instance: u32,
    },
    /// Endpoint update for one instance.
    #[serde(rename = "fleet")]
    EndpointUpdate {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "how")]
        kind: ListUpdateKind,
        #[serde(rename = "rosterId", default)]
        list_id: u32,
    },
    /// Arrival of a client's request.
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
    /// Start of the response to an attempt.
    #[serde(rename = "underWay")]
    ResponseStarted {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        #[serde(rename = "roundNo", default)]
        attempt: usize,
    },
    /// End of an attempt.
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
    /// Disconnect of the client that sent the request.
    #[serde(rename = "aborted")]
    ClientDisconnected {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
    },
    /// Expiry of a timer.
    #[serde(rename = "ring")]
    Timer {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "cookie", default)]
        token: u64,
    },
    /// End of a health check.
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
    /// Gossip message from another instance.
    #[serde(rename = "whisper")]
    Gossip {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "sender", default)]
        from: u32,
        #[serde(rename = "octets", default)]
        bytes_hex: String,
    },
    /// Rollout status of the newest build, or the result of a vote.
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
        #[serde(rename = "how", default)]
        kind: u8,
        outcome: OutcomeCode,
        #[serde(rename = "limitShare", default)]
        exposure_cap: f64,
        #[serde(rename = "behind", default)]
        age: f64,
    },
    /// Outcome counts of one build and class over a past period.
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
    /// Report of a client that a response was wrong.
    #[serde(rename = "reportedWrong")]
    ResponseFlagged {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "machine")]
        endpoint: String,
        #[serde(rename = "behind", default)]
        age: f64,
        class: String,
    },
}

/// Tenant of a request: a name, or a number from a deployment without tenants.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum TenantRef {
    Name(String),
    Number(#[allow(dead_code)] f64),
}

/// Kind of an endpoint update.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListUpdateKind {
    /// Changed endpoints only.
    Incremental,
    /// Complete endpoint list.
    Full,
    /// Complete endpoint list from an earlier run, which may be outdated.
    #[serde(rename = "SAVED")]
    Cached,
    /// Failed poll or broken watch stream.
    Failed,
}

/// Outcome of an attempt, a health check or a vote.
#[derive(Deserialize, Clone, Copy, PartialEq)]
pub enum OutcomeCode {
    #[serde(rename = "pass")]
    Success,
    #[serde(rename = "fault")]
    Error,
    #[serde(rename = "no_room")]
    Overloaded,
    #[serde(rename = "too_slow")]
    TimedOut,
    #[serde(rename = "no_route")]
    ConnectFailed,
    #[serde(rename = "cut")]
    ConnectionLost,
    #[serde(rename = "undone")]
    Cancelled,
    #[serde(rename = "stale_send")]
    NotSent,
}

/// Entry of an endpoint list.
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

/// Status of an endpoint in an endpoint list.
#[derive(Deserialize, Clone, Copy)]
pub enum EndpointAvailability {
    #[serde(rename = "on")]
    Active,
    #[serde(rename = "fading")]
    Draining,
    #[serde(rename = "off")]
    Removed,
}

/// One line of a reply: a command to the simulator, or a report.
#[derive(Serialize)]
#[serde(tag = "cmd", rename_all = "camelCase")]
pub enum Output<'a> {
    /// Command to start an attempt.
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
    /// Command to cancel an attempt.
    #[serde(rename = "retract")]
    Cancel {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        #[serde(rename = "roundNo")]
        attempt: usize,
    },
    /// Final answer that rejects a request, which is safe to send again.
    #[serde(rename = "turnAway")]
    Reject {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
        #[serde(rename = "notBeforeFor", skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    /// Final answer to a failed request, which may have run.
    Fail {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "opId")]
        request: u32,
    },
    /// Command to set a timer.
    #[serde(rename = "after")]
    SetTimer {
        #[serde(rename = "front")]
        instance: u32,
        delay: f64,
        #[serde(rename = "cookie")]
        token: u64,
    },
    /// Command to check the health of an endpoint.
    #[serde(rename = "test")]
    HealthCheck {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "machine")]
        endpoint: &'a str,
    },
    /// Command to close the idle connections to an endpoint.
    #[serde(rename = "release")]
    CloseIdle {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "machine")]
        endpoint: &'a str,
    },
    /// Gossip message to other instances.
    #[serde(rename = "notify")]
    SendGossip {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "dest")]
        to: Recipient,
        #[serde(rename = "octets")]
        bytes_hex: String,
    },
    /// Command to start or stop watching the endpoint list.
    #[serde(rename = "streamChanges")]
    WatchEndpoints {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "want")]
        enabled: bool,
    },
    /// Command to poll the endpoint list once.
    #[serde(rename = "queryAll")]
    PollEndpoints {
        #[serde(rename = "front")]
        instance: u32,
    },
    /// Vote on a build.
    Vote {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "release")]
        build: u32,
        #[serde(rename = "wave")]
        stage: usize,
        #[serde(rename = "how")]
        verdict: u8,
    },
    /// Log line of the policy.
    #[serde(rename = "journalLine")]
    Log {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "words")]
        text: &'a str,
    },
    /// Panic of the policy.
    #[serde(rename = "broken")]
    Panicked {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "words")]
        text: &'a str,
    },
    /// End of the reply to a batch.
    #[serde(rename = "finished")]
    BatchDone { serial: u64 },
}

/// Recipient of a gossip message.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Recipient {
    /// Number of one instance.
    Peer(u32),
    /// Every instance; always [`ALL_PEERS`].
    All(&'static str),
}

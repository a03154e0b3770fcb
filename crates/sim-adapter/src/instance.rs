//! One instance: translation of the simulator's lines to policy events, and of policy actions to lines.

use std::collections::HashMap;

use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{
    Action, AttemptResult, Build, CellId, ClassId, EndpointId, EndpointRecord, EndpointStatus,
    EndpointUpdate, Event, KeyId, KindId, Micros, Outcome, PeerId, Request, RequestId, RolloutPhase,
    RolloutStatus, TenantId, Verdict, VoteResult, ZoneId,
};
use garnetcrank_settings::{Settings, micros_from_ms};

use crate::error::ProtocolError;
use crate::name_table::NameTable;
use crate::protocol::{
    ALL_PEERS, EndpointAvailability, EndpointRow, FLAG_RETRY, FLAG_WORK_HINT, Input, ListUpdateKind,
    OutcomeCode, Output, Recipient, TenantRef, VOTE_RESULT,
};

/// Microseconds per millisecond.
const MICROS_PER_MS: f64 = 1000.0;

fn ms_from_micros(duration: Micros) -> f64 {
    duration as f64 / MICROS_PER_MS
}

/// An instance of the policy, and the tables that map the protocol's names to the policy's ids.
pub struct Instance {
    /// Policy that decides for this instance.
    pub policy: Policy,
    endpoints: NameTable,
    zones: NameTable,
    kinds: NameTable,
    keys: NameTable,
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl Instance {
    /// Creates an instance. `seed` seeds the policy's random numbers.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Instance {
            policy: Policy::new(seed, settings.config),
            endpoints: NameTable::default(),
            zones: NameTable::with_names(&settings.zones),
            kinds: NameTable::with_names(&settings.kinds),
            keys: NameTable::default(),
            classes: settings.classes,
            tenants: settings.tenants,
        }
    }

    /// Translates a line to a policy event; `None` if the line carries none.
    ///
    /// # Errors
    /// The line names an unknown class, endpoint list or phase, or holds a gossip message that is not hex-encoded.
    pub fn translate_event(
        &mut self,
        input: Input,
        endpoint_lists: &HashMap<u32, Vec<EndpointRow>>,
    ) -> Result<Option<Event>, ProtocolError> {
        Ok(Some(match input {
            Input::BatchBegin { .. }
            | Input::BatchEnd {}
            | Input::EndpointList { .. }
            | Input::StartInstance { .. }
            | Input::StopInstance { .. } => return Ok(None),
            Input::EndpointUpdate { kind, list_id, .. } => {
                Event::EndpointsUpdated(self.endpoint_update(kind, list_id, endpoint_lists)?)
            }
            Input::RolloutStatus { build, stage, phase, kind, outcome, exposure_cap, age, .. } => {
                let status = RolloutStatus {
                    build: Build(build),
                    stage,
                    phase: rollout_phase(phase)?,
                    exposure_cap,
                    age: micros_from_ms(age),
                };
                return Ok(rollout_event(kind, outcome, status));
            }
            Input::Timer { token, .. } => Event::Timer(token),
            Input::Gossip { from, bytes_hex, .. } => {
                let bytes = decode_hex(&bytes_hex)?;
                Event::GossipReceived { from: PeerId(from), bytes }
            }
            Input::Request { request, class, tenant, key, deadline, work_hint, flags, .. } => {
                let has_work_hint = flags & FLAG_WORK_HINT != 0;
                Event::Request(Request {
                    id: RequestId(request),
                    class: self.class(&class)?,
                    tenant: self.tenant(tenant),
                    key: key.map(|name| KeyId(self.keys.number_of(&name))),
                    deadline: micros_from_ms(deadline),
                    work_hint: work_hint.filter(|work| has_work_hint && *work > 0.0).map(micros_from_ms),
                    is_retry: flags & FLAG_RETRY != 0,
                })
            }
            Input::ResponseStarted { request, attempt, .. } => {
                Event::ResponseStarted { id: RequestId(request), attempt }
            }
            Input::AttemptCompleted {
                request,
                attempt,
                outcome,
                latency,
                request_finished,
                load_report,
                ..
            } => Event::AttemptCompleted(AttemptResult {
                id: RequestId(request),
                attempt,
                outcome: outcome.to_outcome(),
                latency: micros_from_ms(latency),
                request_finished,
                load_report: load_report.unwrap_or_default(),
            }),
            Input::ClientDisconnected { request, .. } => Event::ClientDisconnected(RequestId(request)),
            Input::HealthCheckCompleted { endpoint, latency, outcome, load_report, .. } => {
                Event::HealthCheckCompleted {
                    endpoint: self.endpoint(&endpoint),
                    outcome: outcome.to_outcome(),
                    latency: micros_from_ms(latency),
                    load_report: load_report.unwrap_or_default(),
                }
            }
            Input::BuildTally { class, build, latency, errors, age, count, .. } => Event::BuildTally {
                build: Build(build),
                class: self.class(&class)?,
                count,
                errors,
                mean: micros_from_ms(latency),
                age: micros_from_ms(age),
            },
            Input::ResponseFlagged { endpoint, age, class, .. } => Event::ResponseFlagged {
                endpoint: self.endpoint(&endpoint),
                class: self.class(&class)?,
                age: micros_from_ms(age),
            },
        }))
    }

    /// Translates an action of instance number `instance` to an output line.
    pub fn to_output<'a>(&'a self, instance: u32, action: &'a Action) -> Output<'a> {
        let name_of = |endpoint: &EndpointId| self.endpoints.name_of(endpoint.0);
        match action {
            Action::Forward { id, endpoint, timeout } => Output::Forward {
                instance,
                request: id.0,
                endpoint: name_of(endpoint),
                timeout: timeout.map(ms_from_micros),
            },
            Action::Cancel { id, attempt } => Output::Cancel { instance, request: id.0, attempt: *attempt },
            Action::Reject { id, retry_after } => {
                Output::Reject { instance, request: id.0, retry_after: retry_after.map(ms_from_micros) }
            }
            Action::Fail(id) => Output::Fail { instance, request: id.0 },
            Action::SetTimer { after, token } => {
                Output::SetTimer { instance, delay: ms_from_micros(*after), token: *token }
            }
            Action::HealthCheck(endpoint) => Output::HealthCheck { instance, endpoint: name_of(endpoint) },
            Action::CloseIdle(endpoint) => Output::CloseIdle { instance, endpoint: name_of(endpoint) },
            Action::SendGossip { to, bytes } => {
                Output::SendGossip { instance, to: recipient(*to), bytes_hex: encode_hex(bytes) }
            }
            Action::WatchEndpoints(enabled) => Output::WatchEndpoints { instance, enabled: *enabled },
            Action::PollEndpoints => Output::PollEndpoints { instance },
            Action::Vote { build, stage, verdict } => {
                Output::Vote { instance, build: build.0, stage: *stage, verdict: verdict_code(*verdict) }
            }
            Action::Log(text) => Output::Log { instance, text },
        }
    }

    fn class(&self, name: &str) -> Result<ClassId, ProtocolError> {
        match self.classes.iter().position(|class| class == name) {
            Some(position) => Ok(ClassId(position)),
            None => Err(ProtocolError::UnknownClass { name: name.to_owned() }),
        }
    }

    /// Returns the id of a tenant; `None` if the settings do not name it.
    fn tenant(&self, tenant: Option<TenantRef>) -> Option<TenantId> {
        let Some(TenantRef::Name(name)) = tenant else { return None };
        self.tenants.iter().position(|known_name| *known_name == name).map(TenantId)
    }

    fn endpoint(&mut self, name: &str) -> EndpointId {
        EndpointId(self.endpoints.number_of(name))
    }

    fn endpoint_update(
        &mut self,
        kind: ListUpdateKind,
        list_id: u32,
        endpoint_lists: &HashMap<u32, Vec<EndpointRow>>,
    ) -> Result<EndpointUpdate, ProtocolError> {
        if kind == ListUpdateKind::Failed {
            return Ok(EndpointUpdate::Unavailable);
        }
        let rows = endpoint_lists.get(&list_id).ok_or(ProtocolError::UnknownList { list_id })?;
        let endpoints = rows.iter().map(|row| self.endpoint_record(row)).collect();
        Ok(match kind {
            ListUpdateKind::Incremental => EndpointUpdate::Delta(endpoints),
            _ => EndpointUpdate::Snapshot { endpoints, cached: kind == ListUpdateKind::Cached },
        })
    }

    fn endpoint_record(&mut self, row: &EndpointRow) -> EndpointRecord {
        EndpointRecord {
            endpoint: self.endpoint(&row.endpoint),
            kind: KindId(self.kinds.number_of(&row.kind) as usize),
            zone: ZoneId(self.zones.number_of(&row.zone) as usize),
            cell: CellId(row.cell),
            build: Build(row.build as u32),
            status: match row.status {
                EndpointAvailability::Active => EndpointStatus::Active,
                EndpointAvailability::Draining => EndpointStatus::Draining,
                EndpointAvailability::Removed => EndpointStatus::Removed,
            },
            started: row.started.filter(|started| *started > 0.0).map(micros_from_ms),
            rating: row.rating,
        }
    }
}

impl Input {
    /// Returns the number of the instance that a line belongs to; 0 for lines of the batch itself.
    pub fn instance(&self) -> u32 {
        match *self {
            Input::BatchBegin { .. } | Input::BatchEnd {} | Input::EndpointList { .. } => 0,
            Input::StartInstance { instance, .. }
            | Input::StopInstance { instance }
            | Input::EndpointUpdate { instance, .. }
            | Input::Request { instance, .. }
            | Input::ResponseStarted { instance, .. }
            | Input::AttemptCompleted { instance, .. }
            | Input::ClientDisconnected { instance, .. }
            | Input::Timer { instance, .. }
            | Input::HealthCheckCompleted { instance, .. }
            | Input::Gossip { instance, .. }
            | Input::RolloutStatus { instance, .. }
            | Input::BuildTally { instance, .. }
            | Input::ResponseFlagged { instance, .. } => instance,
        }
    }
}

impl OutcomeCode {
    fn to_outcome(self) -> Outcome {
        match self {
            OutcomeCode::Success => Outcome::Success,
            OutcomeCode::Error => Outcome::Error,
            OutcomeCode::Overloaded => Outcome::Overloaded,
            OutcomeCode::TimedOut => Outcome::TimedOut,
            OutcomeCode::ConnectFailed => Outcome::ConnectFailed,
            OutcomeCode::ConnectionLost => Outcome::ConnectionLost,
            OutcomeCode::Cancelled => Outcome::Cancelled,
            OutcomeCode::NotSent => Outcome::NotSent,
        }
    }

    fn to_vote_result(self) -> VoteResult {
        match self {
            OutcomeCode::Success => VoteResult::Counted,
            OutcomeCode::NotSent => VoteResult::Obsolete,
            OutcomeCode::Overloaded => VoteResult::RateLimited,
            OutcomeCode::TimedOut => VoteResult::Unknown,
            _ => VoteResult::Failed,
        }
    }
}

/// Returns the event of a rollout line: the result of a vote, or a changed status of the newest build.
///
/// The status is known only if `outcome` is a success; an update without one is no event.
fn rollout_event(kind: u8, outcome: OutcomeCode, status: RolloutStatus) -> Option<Event> {
    let known_status = (outcome == OutcomeCode::Success).then_some(status);
    if kind == VOTE_RESULT {
        return Some(Event::VoteCompleted(outcome.to_vote_result(), known_status));
    }
    known_status.map(Event::RolloutUpdated)
}

fn rollout_phase(phase: u8) -> Result<RolloutPhase, ProtocolError> {
    match phase {
        0 => Ok(RolloutPhase::OnTrial),
        1 => Ok(RolloutPhase::RollingBack),
        2 => Ok(RolloutPhase::Released),
        3 => Ok(RolloutPhase::Withdrawn),
        _ => Err(ProtocolError::UnknownPhase { phase }),
    }
}

fn verdict_code(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Abstain => 0,
        Verdict::Advance => 1,
        Verdict::Hold => 2,
        Verdict::RollBack => 3,
    }
}

fn recipient(to: Option<PeerId>) -> Recipient {
    match to {
        Some(peer) => Recipient::Peer(peer.0),
        None => Recipient::All(ALL_PEERS),
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Result<Vec<u8>, ProtocolError> {
    let not_hex = || ProtocolError::NotHex { text: text.to_owned() };
    let mut bytes = Vec::with_capacity(text.len() / 2);
    for pair in text.as_bytes().chunks(2) {
        let digits = std::str::from_utf8(pair).ok().filter(|digits| digits.len() == 2);
        let digits = digits.ok_or_else(not_hex)?;
        bytes.push(u8::from_str_radix(digits, 16).map_err(|_| not_hex())?);
    }
    Ok(bytes)
}

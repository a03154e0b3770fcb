//! From the wire to the interface and back: one instance of the decisions, and the process that holds many.

use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use garnetcrank_policy::Policy;
use garnetcrank_policy::api::*;
use garnetcrank_settings::{Settings, micros};

use crate::wire::*;

/// Names met by one instance, numbered in the order in which it met them.
#[derive(Default)]
struct Names {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    fn of(names: &[String]) -> Self {
        let mut all = Names::default();
        for name in names {
            all.number(name);
        }
        all
    }

    fn number(&mut self, name: &str) -> u32 {
        if let Some(&known) = self.numbers.get(name) {
            return known;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

struct Instance {
    brain: Policy,
    machines: Names,
    zones: Names,
    kinds: Names,
    keys: Names,
    classes: Vec<String>,
    tenants: Vec<String>,
}

/// All that one process holds.
#[derive(Default)]
pub struct Link {
    instances: HashMap<u32, Instance>,
    lists: HashMap<u32, Vec<Row>>,
    now: Micros,
    serial: Option<u64>,
    actions: Vec<Action>,
    reply: String,
}

/// What a line asks of the caller.
pub enum Next {
    /// Read on.
    More,
    /// Write this and flush.
    Reply(String),
}

fn ms(span: Micros) -> f64 {
    span as f64 / 1000.0
}

impl Link {
    /// Takes one line of a batch. An error is a plain message on what is wrong with the line.
    pub fn line(&mut self, text: &str) -> Result<Next, String> {
        let line: Line = serde_json::from_str(text).map_err(|e| e.to_string())?;
        match line {
            Line::Mark { wall, serial } => {
                if let Some(open) = self.serial {
                    return Err(format!("mark {serial} came before yourTurn of batch {open}"));
                }
                self.now = micros(wall);
                self.serial = Some(serial);
                return Ok(Next::More);
            }
            _ if self.serial.is_none() => return Err("a line outside a batch: no mark came before it".into()),
            Line::YourTurn {} => {
                let serial = self.serial.take().ok_or("yourTurn without mark")?;
                write(&mut self.reply, &Answer::Finished { serial })?;
                return Ok(Next::Reply(std::mem::take(&mut self.reply)));
            }
            Line::Directory { roster_id, members_list } => {
                self.lists.insert(roster_id, members_list);
            }
            Line::NewInstance { front, init_seed, config } => {
                let instance = Instance::new(init_seed, *config);
                self.instances.insert(front, instance);
            }
            Line::Retire { front } => {
                self.instances.remove(&front);
            }
            other => self.event(other)?,
        }
        Ok(Next::More)
    }

    fn event(&mut self, line: Line) -> Result<(), String> {
        let front = line.front();
        let Some(instance) = self.instances.get_mut(&front) else {
            return Err(format!("an event for front {front}, which has not started"));
        };
        let Some(event) = instance.event(line, &self.lists)? else { return Ok(()) };
        self.actions.clear();
        let now = self.now;
        let (brain, actions) = (&mut instance.brain, &mut self.actions);
        let ran = catch_unwind(AssertUnwindSafe(|| brain.handle(now, event, actions)));
        match ran {
            Ok(()) => {
                for action in &self.actions {
                    instance.answer(front, action, &mut self.reply)?;
                }
                Ok(())
            }
            Err(panic) => {
                let words = panic
                    .downcast_ref::<String>()
                    .map(String::as_str)
                    .or_else(|| panic.downcast_ref::<&str>().copied())
                    .unwrap_or("panic without words");
                write(&mut self.reply, &Answer::Broken { front, words })
            }
        }
    }
}

impl Line {
    fn front(&self) -> u32 {
        match *self {
            Line::Mark { .. } | Line::YourTurn {} | Line::Directory { .. } => 0,
            Line::NewInstance { front, .. }
            | Line::Retire { front }
            | Line::Fleet { front, .. }
            | Line::Ingress { front, .. }
            | Line::UnderWay { front, .. }
            | Line::Done { front, .. }
            | Line::Aborted { front, .. }
            | Line::Ring { front, .. }
            | Line::HealthResult { front, .. }
            | Line::Whisper { front, .. }
            | Line::StepNews { front, .. }
            | Line::Scorecard { front, .. }
            | Line::ReportedWrong { front, .. } => front,
        }
    }
}

impl Instance {
    fn new(seed: u64, settings: Settings) -> Self {
        let Settings { config, classes, tenants, zones, kinds, .. } = settings;
        Instance {
            brain: Policy::new(seed, config),
            machines: Names::default(),
            zones: Names::of(&zones),
            kinds: Names::of(&kinds),
            keys: Names::default(),
            classes,
            tenants,
        }
    }

    fn class(&self, name: &str) -> Result<ClassId, String> {
        let found = self.classes.iter().position(|c| c == name);
        found.map(ClassId).ok_or_else(|| format!("class {name:?} is not among the grades of the settings"))
    }

    fn event(&mut self, line: Line, lists: &HashMap<u32, Vec<Row>>) -> Result<Option<Event>, String> {
        Ok(Some(match line {
            Line::Mark { .. }
            | Line::YourTurn {}
            | Line::Directory { .. }
            | Line::NewInstance { .. }
            | Line::Retire { .. } => return Ok(None),
            Line::Fleet { how: ListKind::Failed, .. } => Event::EndpointsUpdated(EndpointUpdate::Unavailable),
            Line::Fleet { how, roster_id, .. } => {
                let Some(rows) = lists.get(&roster_id) else {
                    return Err(format!("fleet: directory {roster_id} was never sent"));
                };
                let entries = rows.iter().map(|row| self.entry(row)).collect();
                Event::EndpointsUpdated(match how {
                    ListKind::Incremental => EndpointUpdate::Delta(entries),
                    _ => EndpointUpdate::Snapshot { endpoints: entries, cached: how == ListKind::Saved },
                })
            }
            Line::Ingress { op_id, class, party, key, client_deadline, cost, bits, .. } => {
                let tenant = match party {
                    Some(Party::Name(name)) => self.tenants.iter().position(|t| *t == name).map(TenantId),
                    _ => None,
                };
                Event::Request(Request {
                    id: RequestId(op_id),
                    class: self.class(&class)?,
                    tenant,
                    key: key.map(|k| KeyId(self.keys.number(&k))),
                    deadline: micros(client_deadline),
                    work_hint: cost.filter(|c| bits & 1 != 0 && *c > 0.0).map(micros),
                    is_retry: bits & 2 != 0,
                })
            }
            Line::UnderWay { op_id, round_no, .. } => {
                Event::ResponseStarted { id: RequestId(op_id), attempt: round_no }
            }
            Line::Done { op_id, round_no, outcome, lag, ended, usage, .. } => {
                Event::AttemptCompleted(AttemptResult {
                    id: RequestId(op_id),
                    attempt: round_no,
                    outcome: outcome.outcome(),
                    latency: micros(lag),
                    request_finished: ended,
                    load_report: usage.unwrap_or_default(),
                })
            }
            Line::Aborted { op_id, .. } => Event::ClientDisconnected(RequestId(op_id)),
            Line::Ring { cookie, .. } => Event::Timer(cookie),
            Line::HealthResult { machine, lag, outcome, usage, .. } => Event::HealthCheckCompleted {
                endpoint: EndpointId(self.machines.number(&machine)),
                outcome: outcome.outcome(),
                latency: micros(lag),
                load_report: usage.unwrap_or_default(),
            },
            Line::Whisper { sender, octets, .. } => {
                Event::GossipReceived { from: PeerId(sender), bytes: unhex(&octets)? }
            }
            Line::StepNews { release, wave, course, how, outcome, limit_share, behind, .. } => {
                let phase = match course {
                    0 => RolloutPhase::OnTrial,
                    1 => RolloutPhase::RollingBack,
                    2 => RolloutPhase::Released,
                    3 => RolloutPhase::Withdrawn,
                    other => return Err(format!("stepNews: course {other} is none of 0 to 3")),
                };
                let stage = RolloutStatus {
                    build: Build(release),
                    stage: wave,
                    phase,
                    exposure_cap: limit_share,
                    age: micros(behind),
                };
                let known = (outcome == Status::Pass).then_some(stage);
                match (how, known) {
                    (1, known) => Event::VoteCompleted(outcome.ballot(), known),
                    (_, Some(stage)) => Event::RolloutUpdated(stage),
                    (_, None) => return Ok(None),
                }
            }
            Line::Scorecard { class, release, lag, errors, behind, count, .. } => Event::Tally {
                build: Build(release),
                class: self.class(&class)?,
                count,
                errors,
                mean: micros(lag),
                age: micros(behind),
            },
            Line::ReportedWrong { machine, behind, class, .. } => Event::AnswerFlagged {
                endpoint: EndpointId(self.machines.number(&machine)),
                class: self.class(&class)?,
                age: micros(behind),
            },
        }))
    }

    fn entry(&mut self, row: &Row) -> EndpointRecord {
        EndpointRecord {
            endpoint: EndpointId(self.machines.number(&row.machine)),
            kind: KindId(self.kinds.number(&row.flavor) as usize),
            zone: ZoneId(self.zones.number(&row.dc) as usize),
            cell: CellId(row.unit_group),
            build: Build(row.build as u32),
            status: match row.availability {
                Availability::On => EndpointStatus::Active,
                Availability::Fading => EndpointStatus::Draining,
                Availability::Off => EndpointStatus::Removed,
            },
            started: row.last_start.filter(|t| *t > 0.0).map(micros),
            rating: row.rating,
        }
    }

    fn answer(&self, front: u32, action: &Action, reply: &mut String) -> Result<(), String> {
        let name = |m: &EndpointId| self.machines.names[m.0 as usize].as_str();
        let answer = match action {
            Action::Forward { id, endpoint: machine, timeout: time_out } => {
                Answer::Place { front, op_id: id.0, machine: name(machine), try_for: time_out.map(ms) }
            }
            Action::Cancel { id, attempt } => Answer::Retract { front, op_id: id.0, round_no: *attempt },
            Action::Reject { id, retry_after: come_back } => {
                Answer::TurnAway { front, op_id: id.0, not_before_for: come_back.map(ms) }
            }
            Action::Fail(id) => Answer::Fail { front, op_id: id.0 },
            Action::SetTimer { after, token } => Answer::After { front, delay: ms(*after), cookie: *token },
            Action::HealthCheck(machine) => Answer::Test { front, machine: name(machine) },
            Action::CloseIdle(machine) => Answer::Release { front, machine: name(machine) },
            Action::SendGossip { to, bytes } => Answer::Notify {
                front,
                dest: to.map_or(Dest::All("all"), |p| Dest::Peer(p.0)),
                octets: bytes.iter().map(|b| format!("{b:02x}")).collect(),
            },
            Action::WatchEndpoints(want) => Answer::StreamChanges { front, want: *want },
            Action::PollEndpoints => Answer::QueryAll { front },
            Action::Vote { build, stage, verdict } => Answer::Vote {
                front,
                release: build.0,
                wave: *stage,
                how: match verdict {
                    Verdict::Abstain => 0,
                    Verdict::Advance => 1,
                    Verdict::Hold => 2,
                    Verdict::RollBack => 3,
                },
            },
            Action::Log(words) => Answer::JournalLine { front, words },
        };
        write(reply, &answer)
    }
}

impl Status {
    fn outcome(self) -> Outcome {
        match self {
            Status::Pass => Outcome::Success,
            Status::Fault => Outcome::Error,
            Status::NoRoom => Outcome::Overloaded,
            Status::TooSlow => Outcome::TimedOut,
            Status::NoRoute => Outcome::ConnectFailed,
            Status::Cut => Outcome::ConnectionLost,
            Status::Undone => Outcome::Cancelled,
            Status::StaleSend => Outcome::NotSent,
        }
    }

    fn ballot(self) -> VoteResult {
        match self {
            Status::Pass => VoteResult::Counted,
            Status::StaleSend => VoteResult::Obsolete,
            Status::NoRoom => VoteResult::RateLimited,
            Status::TooSlow => VoteResult::Unknown,
            _ => VoteResult::Failed,
        }
    }
}

fn write(reply: &mut String, answer: &Answer) -> Result<(), String> {
    reply.push_str(&serde_json::to_string(answer).map_err(|e| e.to_string())?);
    reply.push('\n');
    Ok(())
}

fn unhex(text: &str) -> Result<Vec<u8>, String> {
    let bytes = text.as_bytes().chunks(2).map(|pair| {
        let pair = std::str::from_utf8(pair).ok().filter(|p| p.len() == 2)?;
        u8::from_str_radix(pair, 16).ok()
    });
    bytes.collect::<Option<_>>().ok_or_else(|| format!("whisper: octets {text:?} are not hex digits"))
}

//! The link to the agent on this machine: what it tells, and the verdicts that go to it. Where a verdict goes is
//! decided in `garnetcrank-vote-router`.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_policy::api::*;
use garnetcrank_vote_router::{AgentUpdate, RouterAction, Vote, VoteRouter};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use crate::feature_settings::ConsensusSettings;
use crate::readiness::{ConnId, ConnIds, Handle, Source};
use crate::unary_call::{CallOutcome, CallRequest, UnaryCall};
use crate::watch_stream::{self, ReconnectBackoff, WatchStream};

/// Longest answer to a verdict; it is a line.
const ANSWER_MOST: usize = 4 * 1024;
/// Verdicts under way at once.
const CALLS_MOST: usize = 4;
/// Descriptors that the link takes at the most.
pub const DESCRIPTORS: usize = CALLS_MOST + 1;

#[derive(Serialize, Deserialize)]
struct Opinion {
    build: u32,
    stage: usize,
    word: Word,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Word {
    None,
    On,
    Hold,
    Back,
}

impl Opinion {
    fn of((build, stage, verdict): Vote) -> Self {
        let word = match verdict {
            Verdict::Abstain => Word::None,
            Verdict::Advance => Word::On,
            Verdict::Hold => Word::Hold,
            Verdict::RollBack => Word::Back,
        };
        Opinion { build: build.0, stage, word }
    }

    fn vote(&self) -> Vote {
        let verdict = match self.word {
            Word::None => Verdict::Abstain,
            Word::On => Verdict::Advance,
            Word::Hold => Verdict::Hold,
            Word::Back => Verdict::RollBack,
        };
        (Build(self.build), self.stage, verdict)
    }
}

#[derive(Serialize)]
struct Said<'a> {
    front: &'a str,
    opinion: Opinion,
}

#[derive(Deserialize)]
struct Heard {
    heard: bool,
}

#[derive(Deserialize)]
struct Told {
    condemned: Vec<u32>,
    cast: Option<Cast>,
    together: bool,
}

#[derive(Deserialize)]
struct Cast {
    opinion: Option<Opinion>,
}

impl From<Told> for AgentUpdate {
    fn from(told: Told) -> AgentUpdate {
        AgentUpdate {
            condemned: told.condemned.into_iter().map(Build).collect::<BTreeSet<_>>(),
            cast: told
                .cast
                .map(|cast| cast.opinion.map(|o| o.vote()).filter(|vote| vote.2 != Verdict::Abstain)),
            has_quorum: told.together,
        }
    }
}

/// The link.
pub struct AgentClient {
    name: String,
    agent: SocketAddr,
    wait: Micros,
    watch: WatchStream,
    calls: Vec<(UnaryCall, Vote)>,
    ballots: VoteRouter,
    /// Connections made anew.
    pub reconnects: u64,
    /// Verdicts that the agent has passed on.
    pub passed_on: u64,
}

impl AgentClient {
    /// A link of the front of this name. Its votes stand at the platform for `vote_life`.
    pub fn new(agreement: &ConsensusSettings, name: &str, vote_life: Micros, seed: u64) -> Self {
        AgentClient {
            name: name.to_owned(),
            agent: agreement.agent,
            wait: agreement.call_timeout(),
            watch: WatchStream::new(
                "agent",
                agreement.agent,
                (agreement.silence_timeout(), agreement.silence_timeout()),
                ReconnectBackoff::REMOTE,
                seed,
            ),
            calls: Vec::new(),
            ballots: VoteRouter::new(vote_life),
            reconnects: 0,
            passed_on: 0,
        }
    }

    /// Whether nothing is to be done but to listen.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.watch.is_connected()
    }

    /// News of the newest build, as the decisions are told it.
    pub fn on_rollout_status(&mut self, now: Micros, stage: RolloutStatus) -> RolloutStatus {
        self.ballots.on_rollout_update(now, stage)
    }

    /// The decisions vote; what remains to be done.
    pub fn on_vote(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        vote: Vote,
    ) -> Vec<RouterAction> {
        let step = self.ballots.on_vote(vote);
        self.tell(handle, ids, now, vec![step])
    }

    /// Sends what goes to the agent; what remains goes elsewhere.
    fn tell(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        steps: Vec<RouterAction>,
    ) -> Vec<RouterAction> {
        let mut rest = Vec::new();
        for step in steps {
            let RouterAction::SendToAgent(vote) = step else {
                rest.push(step);
                continue;
            };
            let said = Said { front: &self.name, opinion: Opinion::of(vote) };
            let body = serde_json::to_vec(&said).unwrap_or_default();
            let (id, until) = (ids.next(), now + self.wait);
            let ask = CallRequest {
                to: self.agent,
                method: "POST",
                target: "/v1/verdicts",
                body: &body,
                max_response_bytes: ANSWER_MOST,
                deadline: until,
            };
            let started = match self.calls.len() {
                CALLS_MOST.. => Err(std::io::Error::other("too many under way")),
                _ => UnaryCall::start(handle, id, Source::Agent(id), ask),
            };
            match started {
                Ok(call) => self.calls.push((call, vote)),
                Err(e) => {
                    warn!("agent: a verdict could not be sent: {e}");
                    rest.extend(self.ballots.on_agent_reply(vote, false));
                }
            }
        }
        rest
    }

    fn ended(&mut self, end: CallOutcome, vote: Vote) -> Option<RouterAction> {
        let passed_on = match end {
            CallOutcome::Response(response) if response.status == 200 => {
                serde_json::from_slice::<Heard>(&response.body).is_ok_and(|answer| answer.heard)
            }
            CallOutcome::Response(_) | CallOutcome::NeverSent | CallOutcome::Unknown => false,
        };
        self.passed_on += u64::from(passed_on);
        self.ballots.on_agent_reply(vote, passed_on)
    }

    fn log_change(&self, before: bool) {
        match (before, self.ballots.uses_agent()) {
            (false, true) => info!("agent: verdicts go to the others from here on"),
            (true, false) => warn!("agent: away or without the others; this front votes alone"),
            _ => {}
        }
    }

    /// Connects where that is due and gives up what is late; what remains to be done.
    pub fn on_tick(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> Vec<RouterAction> {
        let before = self.ballots.uses_agent();
        let mut steps = Vec::new();
        let name = &self.name;
        let heard = self.watch.on_tick(handle, ids, Source::Agent, now, || format!("/v1/watch?front={name}"));
        self.heard(heard, now, &mut steps);
        let late: Vec<(CallOutcome, Vote)> =
            self.calls.iter().filter_map(|(call, vote)| Some((call.check_timeout(now)?, *vote))).collect();
        if !late.is_empty() {
            self.calls.retain(|(call, _)| call.check_timeout(now).is_none());
            // One that does not answer in time is as good as frozen: nothing waits for it twice.
            steps.extend(self.ballots.on_agent_lost(now));
            self.watch.disconnect(now, "a verdict got no answer");
            steps.extend(late.into_iter().filter_map(|(end, vote)| self.ended(end, vote)));
        }
        steps.extend(self.ballots.on_tick(now));
        self.log_change(before);
        self.tell(handle, ids, now, steps)
    }

    /// Takes what has come on one of its connections; what remains to be done.
    pub fn on_ready(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        id: ConnId,
        readiness: Readiness,
        now: Micros,
    ) -> Vec<RouterAction> {
        let before = self.ballots.uses_agent();
        let mut steps = Vec::new();
        if let Some(at) = self.calls.iter().position(|(call, _)| call.id == id) {
            if let Some(end) = self.calls[at].0.on_ready(readiness) {
                let (_, vote) = self.calls.remove(at);
                steps.extend(self.ended(end, vote));
            }
        } else {
            let heard = self.watch.on_ready(id, readiness, now);
            self.heard(heard, now, &mut steps);
        }
        self.log_change(before);
        self.tell(handle, ids, now, steps)
    }

    fn heard(&mut self, heard: watch_stream::WatchEvents, now: Micros, steps: &mut Vec<RouterAction>) {
        let mut lost = heard.lost;
        for line in heard.non_empty_lines() {
            match serde_json::from_slice::<Told>(line) {
                Ok(told) => steps.extend(self.ballots.on_agent_update(now, told.into())),
                Err(e) => {
                    self.watch.disconnect(now, &format!("a line that can't be read: {e}"));
                    lost = true;
                    break;
                }
            }
        }
        if lost {
            self.reconnects += 1;
            steps.extend(self.ballots.on_agent_lost(now));
        }
    }
}

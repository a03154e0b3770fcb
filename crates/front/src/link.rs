//! The link to the agent on this machine: what it tells, and the verdicts that go to it. Where a verdict goes is
//! decided in `garnetcrank-ballots`.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank::interface::*;
use garnetcrank_ballots::{Ballots, Line, Step, Vote};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use crate::call::{Ask, Call, CallEnd};
use crate::extras::Agreement;
use crate::ready::{ConnId, ConnIds, Handle, Who};
use crate::watch::{self, Again, Watch};

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
            Verdict::None => Word::None,
            Verdict::On => Word::On,
            Verdict::Hold => Word::Hold,
            Verdict::Back => Word::Back,
        };
        Opinion { build: build.0, stage, word }
    }

    fn vote(&self) -> Vote {
        let verdict = match self.word {
            Word::None => Verdict::None,
            Word::On => Verdict::On,
            Word::Hold => Verdict::Hold,
            Word::Back => Verdict::Back,
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

impl From<Told> for Line {
    fn from(told: Told) -> Line {
        Line {
            condemned: told.condemned.into_iter().map(Build).collect::<BTreeSet<_>>(),
            cast: told.cast.map(|cast| cast.opinion.map(|o| o.vote()).filter(|vote| vote.2 != Verdict::None)),
            together: told.together,
        }
    }
}

/// The link.
pub struct Link {
    name: String,
    agent: SocketAddr,
    wait: Micros,
    watch: Watch,
    calls: Vec<(Call, Vote)>,
    ballots: Ballots,
    /// Connections made anew.
    pub reconnects: u64,
    /// Verdicts that the agent has passed on.
    pub passed_on: u64,
}

impl Link {
    /// A link of the front of this name. Its votes stand at the platform for `vote_life`.
    pub fn new(agreement: &Agreement, name: &str, vote_life: Micros, seed: u64) -> Self {
        Link {
            name: name.to_owned(),
            agent: agreement.agent,
            wait: agreement.wait(),
            watch: Watch::new(
                "agent",
                agreement.agent,
                (agreement.silence(), agreement.silence()),
                Again::FAR,
                seed,
            ),
            calls: Vec::new(),
            ballots: Ballots::new(vote_life),
            reconnects: 0,
            passed_on: 0,
        }
    }

    /// Whether nothing is to be done but to listen.
    pub fn at_rest(&self) -> bool {
        self.calls.is_empty() && self.watch.stands()
    }

    /// News of the newest build, as the decisions are told it.
    pub fn news(&mut self, now: Micros, stage: Stage) -> Stage {
        self.ballots.news(now, stage)
    }

    /// The decisions vote; what remains to be done.
    pub fn votes(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros, vote: Vote) -> Vec<Step> {
        let step = self.ballots.votes(vote);
        self.tell(handle, ids, now, vec![step])
    }

    /// Sends what goes to the agent; what remains goes elsewhere.
    fn tell(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros, steps: Vec<Step>) -> Vec<Step> {
        let mut rest = Vec::new();
        for step in steps {
            let Step::Tell(vote) = step else {
                rest.push(step);
                continue;
            };
            let said = Said { front: &self.name, opinion: Opinion::of(vote) };
            let body = serde_json::to_vec(&said).unwrap_or_default();
            let (id, until) = (ids.next(), now + self.wait);
            let ask = Ask {
                to: self.agent,
                method: "POST",
                target: "/v1/verdicts",
                body: &body,
                most: ANSWER_MOST,
                until,
            };
            let started = match self.calls.len() {
                CALLS_MOST.. => Err(std::io::Error::other("too many under way")),
                _ => Call::start(handle, id, Who::Agent(id), ask),
            };
            match started {
                Ok(call) => self.calls.push((call, vote)),
                Err(e) => {
                    warn!("agent: a verdict could not be sent: {e}");
                    rest.extend(self.ballots.told(vote, false));
                }
            }
        }
        rest
    }

    fn ended(&mut self, end: CallEnd, vote: Vote) -> Option<Step> {
        let passed_on = match end {
            CallEnd::Answer(response) if response.status == 200 => {
                serde_json::from_slice::<Heard>(&response.body).is_ok_and(|answer| answer.heard)
            }
            CallEnd::Answer(_) | CallEnd::NeverSent | CallEnd::Doubtful => false,
        };
        self.passed_on += u64::from(passed_on);
        self.ballots.told(vote, passed_on)
    }

    fn log_change(&self, before: bool) {
        match (before, self.ballots.joined()) {
            (false, true) => info!("agent: verdicts go to the others from here on"),
            (true, false) => warn!("agent: away or without the others; this front votes alone"),
            _ => {}
        }
    }

    /// Connects where that is due and gives up what is late; what remains to be done.
    pub fn tend(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> Vec<Step> {
        let before = self.ballots.joined();
        let mut steps = Vec::new();
        let name = &self.name;
        let heard = self.watch.tend(handle, ids, Who::Agent, now, || format!("/v1/watch?front={name}"));
        self.heard(heard, now, &mut steps);
        let late: Vec<(CallEnd, Vote)> =
            self.calls.iter().filter_map(|(call, vote)| Some((call.late(now)?, *vote))).collect();
        if !late.is_empty() {
            self.calls.retain(|(call, _)| call.late(now).is_none());
            // One that does not answer in time is as good as frozen: nothing waits for it twice.
            steps.extend(self.ballots.silent(now));
            self.watch.lose(now, "a verdict got no answer");
            steps.extend(late.into_iter().filter_map(|(end, vote)| self.ended(end, vote)));
        }
        steps.extend(self.ballots.tend(now));
        self.log_change(before);
        self.tell(handle, ids, now, steps)
    }

    /// Takes what has come on one of its connections; what remains to be done.
    pub fn ready(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        id: ConnId,
        readiness: Readiness,
        now: Micros,
    ) -> Vec<Step> {
        let before = self.ballots.joined();
        let mut steps = Vec::new();
        if let Some(at) = self.calls.iter().position(|(call, _)| call.id == id) {
            if let Some(end) = self.calls[at].0.ready(readiness) {
                let (_, vote) = self.calls.remove(at);
                steps.extend(self.ended(end, vote));
            }
        } else {
            let heard = self.watch.ready(id, readiness, now);
            self.heard(heard, now, &mut steps);
        }
        self.log_change(before);
        self.tell(handle, ids, now, steps)
    }

    fn heard(&mut self, heard: watch::Heard, now: Micros, steps: &mut Vec<Step>) {
        let mut lost = heard.lost;
        for line in heard.told() {
            match serde_json::from_slice::<Told>(line) {
                Ok(told) => steps.extend(self.ballots.heard(now, told.into())),
                Err(e) => {
                    self.watch.lose(now, &format!("a line that can't be read: {e}"));
                    lost = true;
                    break;
                }
            }
        }
        if lost {
            self.reconnects += 1;
            steps.extend(self.ballots.silent(now));
        }
    }
}

#[cfg(test)]
mod tests;

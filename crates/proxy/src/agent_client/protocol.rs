//! JSON messages between a proxy and its agent. Agents of other versions use the same format, so its keys and values
//! must not change.

use garnetcrank_policy::api::{Build, Verdict};
use garnetcrank_vote_router::{AgentUpdate, CastAssignment, Vote};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/verdicts`.
#[derive(Serialize)]
pub(super) struct VoteRequest<'a> {
    #[serde(rename = "front")]
    pub(super) proxy_name: &'a str,
    #[serde(rename = "opinion")]
    pub(super) verdict: BuildVerdict,
}

/// Body of the response to `POST /v1/verdicts`.
#[derive(Deserialize)]
pub(super) struct VoteResponse {
    /// Whether the agent forwards the vote to the cluster.
    #[serde(rename = "heard")]
    pub(super) forwarded: bool,
}

/// Line of the response to `GET /v1/watch`.
#[derive(Deserialize)]
pub(super) struct UpdateLine {
    condemned: Vec<u32>,
    cast: Option<ClusterVote>,
    #[serde(rename = "together")]
    has_quorum: bool,
}

/// Vote that this proxy must keep cast on behalf of the cluster.
#[derive(Deserialize)]
struct ClusterVote {
    #[serde(rename = "opinion")]
    verdict: Option<BuildVerdict>,
}

/// Verdict on a build at a stage.
#[derive(Serialize, Deserialize)]
pub(super) struct BuildVerdict {
    build: u32,
    stage: usize,
    #[serde(rename = "word")]
    kind: VerdictKind,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
enum VerdictKind {
    #[serde(rename = "none")]
    Abstain,
    #[serde(rename = "on")]
    Advance,
    #[serde(rename = "hold")]
    Hold,
    #[serde(rename = "back")]
    RollBack,
}

impl From<Vote> for BuildVerdict {
    fn from(vote: Vote) -> Self {
        let kind = match vote.verdict {
            Verdict::Abstain => VerdictKind::Abstain,
            Verdict::Advance => VerdictKind::Advance,
            Verdict::Hold => VerdictKind::Hold,
            Verdict::RollBack => VerdictKind::RollBack,
        };
        BuildVerdict { build: vote.build.0, stage: vote.stage, kind }
    }
}

impl From<BuildVerdict> for Vote {
    fn from(verdict: BuildVerdict) -> Self {
        Vote {
            build: Build(verdict.build),
            stage: verdict.stage,
            verdict: match verdict.kind {
                VerdictKind::Abstain => Verdict::Abstain,
                VerdictKind::Advance => Verdict::Advance,
                VerdictKind::Hold => Verdict::Hold,
                VerdictKind::RollBack => Verdict::RollBack,
            },
        }
    }
}

impl From<UpdateLine> for AgentUpdate {
    fn from(line: UpdateLine) -> AgentUpdate {
        let cast = match line.cast {
            None => CastAssignment::OtherProxy,
            Some(cast) => CastAssignment::ThisProxy(cast.verdict.map(Vote::from).filter(Vote::is_cast)),
        };
        AgentUpdate {
            condemned: line.condemned.into_iter().map(Build).collect(),
            cast,
            has_quorum: line.has_quorum,
        }
    }
}

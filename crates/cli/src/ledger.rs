//! `garnetcrank ledger`: what the instances have decided, and who they are.

use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;
use garnetcrank_agent::api::{
    LeaseView, MembershipRequest, ProposeRequest, ProposeResponse, SubjectPage, SubjectView,
};
use garnetcrank_consensus::ids::Subject;
use garnetcrank_consensus::replicated_state::{Command, Reply, SubjectState};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::agents::Agents;
use crate::{Trouble, inspect, show};

/// Arguments of all commands of the ledger.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Local ports of agents, the first that answers is asked; for what only the leader does, each in turn.
    #[arg(
        long = "agent",
        env = "GARNETCRANK_AGENT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7101"
    )]
    #[arg(global = true)]
    agents: Vec<String>,
    /// Longest wait for an answer, in seconds.
    #[arg(long, default_value_t = 5.0, global = true)]
    within: f64,
    #[command(subcommand)]
    job: Job,
}

#[derive(Debug, Subcommand)]
enum Job {
    /// An instance, its members and its store.
    Status,
    /// What is decided.
    List {
        /// One space only.
        #[arg(long)]
        space: Option<String>,
        /// What the agent holds, without asking the others: may be old, works without a quorum.
        #[arg(long)]
        stale: bool,
    },
    /// One subject.
    Show {
        /// SPACE/NUMBER, such as condemned/42.
        subject: Subject,
        /// As in `list`.
        #[arg(long)]
        stale: bool,
    },
    /// Decide a subject, unless it is decided. Safe to say again: the first decision stands.
    Propose {
        /// SPACE/NUMBER, such as condemned/42.
        subject: Subject,
        /// How it is decided.
        value: String,
    },
    /// Forget the subjects of a space below a number; they can't be decided any more.
    Retire {
        /// The space.
        space: String,
        /// The lowest number that stays.
        below: u64,
    },
    /// Who holds which role, under which epoch.
    Grants {
        /// As in `list`.
        #[arg(long)]
        stale: bool,
    },
    /// Who takes part.
    Members {
        #[command(subcommand)]
        job: Members,
    },
    /// Hand the lead over.
    Transfer {
        /// A voter's name.
        to: String,
    },
    /// Fold the log into a snapshot now, at the first agent that answers.
    Snapshot,
    /// Look at a store that no agent has open.
    Inspect {
        /// The file.
        store: PathBuf,
        /// Print the log's entries as well.
        #[arg(long)]
        entries: bool,
        /// Read every value and name what is corrupt.
        #[arg(long)]
        scrub: bool,
    },
}

#[derive(Debug, Subcommand)]
enum Members {
    /// The members as the first agent that answers knows them.
    List,
    /// An instance joins: it catches up as a learner and votes from then on.
    Add {
        /// The local port of its agent, which runs with an empty store.
        joining: String,
    },
    /// An instance leaves for good.
    Remove {
        /// Its name, or its number in hex.
        who: String,
    },
}

#[derive(Debug, Deserialize)]
struct Status {
    me: Member,
    cluster: String,
    version: String,
    starts: u64,
    up_ms: u64,
    leader: Option<String>,
    node: Node,
    members: Vec<Member>,
    subjects: usize,
    sessions: usize,
    store_bytes: u64,
}

#[derive(Debug, Deserialize)]
struct Node {
    standing: String,
    term: u64,
    committed: u64,
    applied: u64,
    last: u64,
    waiting: usize,
    scarce: bool,
}

type Member = garnetcrank_agent::api::MemberView;

/// Runs a command.
pub fn run(args: Args, json: bool) -> Result<(), Trouble> {
    if !(0.0..=60.0).contains(&args.within) {
        return Err(Trouble::Usage("--within takes 0 to 60 seconds".to_owned()));
    }
    let within = Duration::from_secs_f64(args.within);
    let agents = Agents::new(args.agents, within);
    let query = |stale: bool| if stale { "stale=1" } else { "stale=0" };
    match args.job {
        Job::Status => status(&agents, json),
        Job::List { space, stale } => {
            let pages = list(&agents, space.as_deref(), query(stale))?;
            show::print(json, &pages, || subjects(&pages))
        }
        Job::Show { subject, stale } => {
            let page: SubjectPage = agents.get(&format!("/v1/ledger/{subject}?{}", query(stale)))?;
            let Some(view) = page.subjects.first() else {
                return Err(Trouble::Refused(format!("{subject} is not decided")));
            };
            show::print(json, view, || subjects(&page.subjects))
        }
        Job::Propose { subject, value } => propose(&agents, json, subject, value),
        Job::Retire { space, below } => {
            let reply = applied(&agents, Command::RetireSubjects { space: space.clone(), below }, within)?;
            match reply {
                Reply::Done => {
                    show::print(json, &json!({"retired": {"space": space, "below": below}}), || {
                        format!("subjects of {space} below {below} are retired")
                    })
                }
                other => Err(refused(&other)),
            }
        }
        Job::Grants { stale } => {
            let grants: Vec<LeaseView> = agents.get(&format!("/v1/grants?{}", query(stale)))?;
            show::print(json, &grants, || {
                let row = |grant: &LeaseView| {
                    let holder = grant.holder.clone().unwrap_or_else(|| "-".to_owned());
                    [grant.role.clone(), holder, grant.epoch.to_string(), grant.renewed_at.to_string()]
                };
                show::table(["ROLE", "HOLDER", "EPOCH", "RENEWED AT"], grants.iter().map(row))
            })
        }
        Job::Members { job: Members::List } => {
            let status: Status = agents.get("/v1/status")?;
            show::print(json, &status.members, || members(&status.members, status.leader.as_deref()))
        }
        Job::Members { job: Members::Add { joining } } => add(&agents, json, &joining, within),
        Job::Members { job: Members::Remove { who } } => {
            agents.lead("/v1/members", &MembershipRequest::Remove(who.clone()))?;
            show::print(json, &json!({"removed": who}), || format!("{who} is no member any more"))
        }
        Job::Transfer { to } => {
            agents.lead("/v1/transfer", &json!({"to": to}))?;
            show::print(json, &json!({"transfer": to}), || format!("the lead goes to {to}; see members list"))
        }
        Job::Snapshot => {
            let _: Value = agents.post("/v1/snapshot", &json!({}))?;
            show::print(json, &json!({"snapshot": "folded"}), || "folded".to_owned())
        }
        Job::Inspect { store, entries, scrub } => inspect::run(&store, entries, scrub, json),
    }
}

fn status(agents: &Agents, json: bool) -> Result<(), Trouble> {
    let value: Value = agents.get("/v1/status")?;
    let status: Status = serde_json::from_value(value.clone())
        .map_err(|e| Trouble::Unreached(format!("an agent's status: {e}")))?;
    show::print(json, &value, || {
        let Status { me, node, .. } = &status;
        let full = if node.scarce { ", NEARLY FULL: takes no new entries" } else { "" };
        let leader = status.leader.as_deref();
        [
            format!("{} ({}) of cluster {}, {}", me.name, me.id, status.cluster, me.role),
            format!("  {} in term {}, leader: {}", node.standing, node.term, leader.unwrap_or("nobody")),
            format!(
                "  decided {}, applied {}, held {}, waiting {}",
                node.committed, node.applied, node.last, node.waiting
            ),
            format!(
                "  {} subjects, {} sessions, store {} KB{full}",
                status.subjects,
                status.sessions,
                status.store_bytes / 1024
            ),
            format!("  version {}, start {}, up {} s", status.version, status.starts, status.up_ms / 1000),
            members(&status.members, leader),
        ]
        .join("\n")
    })
}

fn members(all: &[Member], leader: Option<&str>) -> String {
    let row = |member: &Member| {
        let part =
            if leader == Some(member.name.as_str()) { "leader".to_owned() } else { member.role.clone() };
        let living = member.recently_active.map_or("?", |living| if living { "yes" } else { "NO" });
        let holds = member.matched_index.map_or("?".to_owned(), |matched| matched.to_string());
        [member.name.clone(), member.id.clone(), member.address.clone(), part, living.to_owned(), holds]
    };
    show::table(["NAME", "NUMBER", "ADDRESS", "PART", "HEARD FROM", "HOLDS"], all.iter().map(row))
}

fn list(agents: &Agents, space: Option<&str>, query: &str) -> Result<Vec<SubjectView>, Trouble> {
    let mut all = Vec::new();
    let mut after: Option<Subject> = None;
    loop {
        let mut path = format!("/v1/ledger?{query}");
        if let Some(space) = space {
            path.push_str(&format!("&space={space}"));
        }
        if let Some(after) = &after {
            path.push_str(&format!("&after={after}"));
        }
        let page: SubjectPage = agents.get(&path)?;
        all.extend(page.subjects);
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok(all),
        }
    }
}

fn subjects(all: &[SubjectView]) -> String {
    let row = |view: &SubjectView| {
        let (standing, value) = match &view.state {
            SubjectState::Decided(value) => ("decided", show::bytes(value)),
            SubjectState::Dispatched(epoch) => ("handed out", format!("epoch {epoch}")),
            SubjectState::Executed(epoch) => ("ran", format!("epoch {epoch}")),
        };
        [view.subject.to_string(), standing.to_owned(), value]
    };
    show::table(["SUBJECT", "STANDING", "VALUE"], all.iter().map(row))
}

fn refused(reply: &Reply) -> Trouble {
    Trouble::Refused(match reply {
        Reply::Retired { below } => format!("retired: only numbers from {below} on can be decided"),
        Reply::CapacityExceeded => "the ledger is full: retire old subjects".to_owned(),
        Reply::Rejected(why) => why.clone(),
        other => format!("{other:?}"),
    })
}

fn applied(agents: &Agents, command: Command, within: Duration) -> Result<Reply, Trouble> {
    let timeout_ms = Some(within.as_millis() as u64);
    let body = ProposeRequest { command: Some(command), proposal: None, timeout_ms };
    match agents.post("/v1/propose", &body)? {
        ProposeResponse::Applied { reply } => Ok(reply),
        ProposeResponse::NotProposed => Err(Trouble::Unreached(
            "no leader in time: nothing was proposed; is a quorum running?".to_owned(),
        )),
        ProposeResponse::Indeterminate => {
            Err(Trouble::MayYet("no answer in time: it may yet be decided; say it again".to_owned()))
        }
        ProposeResponse::Busy => {
            Err(Trouble::Unreached("too much waits at this agent: nothing was proposed".to_owned()))
        }
        ProposeResponse::StoreFull => {
            Err(Trouble::Unreached("the agent's store is nearly full: make room".to_owned()))
        }
        ProposeResponse::Rejected { reason: why } => Err(Trouble::Refused(why)),
    }
}

fn propose(agents: &Agents, json: bool, subject: Subject, value: String) -> Result<(), Trouble> {
    let within = Duration::from_secs(5);
    let command = Command::Decide { subject: subject.clone(), value: value.clone().into_bytes() };
    match applied(agents, command, within)? {
        Reply::Decided { value: held, first } => {
            let text = show::bytes(&held);
            let shown = json!({"subject": subject.to_string(), "value": text, "first": first});
            show::print(json, &shown, || match first {
                true => format!("{subject} is decided: {text}"),
                false => format!("{subject} was decided before: {text}"),
            })?;
            if held == value.into_bytes() {
                return Ok(());
            }
            Err(Trouble::Refused(format!("{subject} was decided otherwise before")))
        }
        other => Err(refused(&other)),
    }
}

fn add(agents: &Agents, json: bool, joining: &str, within: Duration) -> Result<(), Trouble> {
    let newcomer: Status = Agents::new(vec![joining.to_owned()], within).get("/v1/status")?;
    let Member { id, name, address, role: part, .. } = newcomer.me;
    if part != "none" {
        return Err(Trouble::Refused(format!(
            "{name} is a member of cluster {} already ({part})",
            newcomer.cluster
        )));
    }
    let change = MembershipRequest::Add { id: id.clone(), name: name.clone(), address: address.clone() };
    agents.lead("/v1/members", &change)?;
    show::print(json, &json!({"added": name, "id": id, "address": address}), || {
        format!("{name} ({id}) at {address} catches up and votes from then on; see members list")
    })
}

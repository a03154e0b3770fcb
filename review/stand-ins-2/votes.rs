//! Cases of the vote that one front casts for all: a bad build is offered, and the control service must get a vote to hold
//! it or to roll it back.

use std::time::{Duration, Instant};

use crate::deployment::{Cluster, Discovery, Front, Machine, Platform, Relay, Traffic};
use crate::harness::{NOT_RUN, finish, judge, note, sleep_ms, trouble, wait_for};

const GOOD_BUILD: u32 = 4;
const BAD_BUILD: u32 = 5;
/// Time within which the vote to roll back must reach the control service. The README has it after a failure of 3 s, a lease
/// passes on after 3 s, and a stage lasts 2.5 s: twice their sum.
const PATIENCE: Duration = Duration::from_secs(17);

/// What happens before the build is offered.
#[derive(Clone, Copy, PartialEq)]
pub enum Disruption {
    /// The lease holder's host is worked on: the leadership is transferred, then its front ends by SIGTERM.
    WorkOnHost,
    /// The front on the lease holder's host is killed and does not return.
    KillVotingFront,
    /// The same front is stopped and not continued.
    StopVotingFront,
    /// The same front's way to the control service is cut: its connections there stay open and silent.
    CutFromPlatform,
    /// What the agent beside the one busy front sends to the leader is lost; all else between the agents arrives.
    CutOneDirection,
}

/// The deployment of these cases.
struct Scene {
    discovery: Discovery,
    platform: Platform,
    cluster: Cluster,
    fronts: Vec<Front>,
    /// The fronts' ways to the control service.
    ways: Vec<Relay>,
}

impl Scene {
    fn start(relayed: bool) -> Scene {
        let machines: Vec<Machine> =
            (0..4).map(|number| Machine::start(&format!("s-{number}"), GOOD_BUILD, false)).collect();
        let discovery = Discovery::start(machines.iter().map(Machine::line).collect());
        let platform = Platform::start(GOOD_BUILD);
        let cluster = Cluster::start(relayed);
        let mut fronts = Vec::new();
        let mut ways = Vec::new();
        for index in 0..3 {
            let name = format!("front-n{}", index + 1);
            let way = Relay::start(platform.address);
            let platform = platform.reached_at(way.address);
            fronts.push(Front::start(&name, &discovery, &platform, Some(&cluster.extras(index))));
            ways.push(way);
        }
        for front in &fronts {
            wait_for(&format!("{} uses its agent", front.process.name), 20, || {
                front.process.text().contains("votes go to the agent")
            });
        }
        Scene { discovery, platform, cluster, fronts, ways }
    }

    /// The lease holder, once there is one.
    fn holder(&self) -> usize {
        let mut holder = None;
        wait_for("an agent holds the lease on the vote", 20, || {
            holder = self.cluster.holder();
            holder.is_some()
        });
        note(&format!("n{} holds the lease on the vote", holder.unwrap_or(0) + 1));
        holder.unwrap_or(0)
    }
}

impl Scene {
    fn rollback_arrived(&self) -> bool {
        self.platform.votes_against(BAD_BUILD).iter().any(|(_, text)| text.contains("ROLLBACK"))
    }

    /// Ends the traffic, and notes what clients, machines and operators see.
    fn note_end(&self, traffic: &[Traffic], bad: &[Machine]) {
        traffic.iter().for_each(Traffic::stop);
        for machine in bad {
            note(&format!(
                "machine {}: {} requests, {} failed",
                machine.id,
                machine.requests(),
                machine.failed()
            ));
        }
        for one in traffic {
            note(&format!(
                "clients of a front: {} answers, {} without an answer",
                one.answered.load(std::sync::atomic::Ordering::SeqCst),
                one.unanswered.load(std::sync::atomic::Ordering::SeqCst)
            ));
        }
        let (_, grants) = self.cluster.operator(&["grants"]);
        let (_, ledger) = self.cluster.operator(&["list"]);
        for line in grants.lines().chain(ledger.lines()) {
            note(&format!("operators see: {line}"));
        }
        for front in &self.fronts {
            for line in
                front.process.text().lines().filter(|line| line.contains("vot") || line.contains("agent"))
            {
                note(&format!("{}: {}", front.process.name, line.trim()));
            }
        }
    }
}

pub fn run(disruption: Disruption) -> ! {
    let scene = Scene::start(disruption == Disruption::CutOneDirection);
    let holder = scene.holder();
    let leader = scene.cluster.leader();
    // In the case of the cut the busy front is neither beside the leader nor beside the lease holder. In the others all
    // fronts are busy.
    let far = (0..3).find(|index| *index != holder && Some(*index) != leader).unwrap_or(2);
    let busy: Vec<usize> = match disruption {
        Disruption::CutOneDirection => vec![far],
        _ => (0..3).collect(),
    };
    let mut traffic = Vec::new();
    for index in &busy {
        let front = &scene.fronts[*index];
        traffic.push(Traffic::start(&front.process.name, front.address, 10, 80));
    }
    sleep_ms(4_000);
    if trouble() {
        match disruption {
            Disruption::WorkOnHost => {
                let successor = format!("n{}", (holder + 1) % 3 + 1);
                let (code, text) = scene.cluster.operator(&["transfer", &successor]);
                note(&format!("operator: transfer {successor}: exit code {code}, {}", text.trim()));
                let front = &scene.fronts[holder].process;
                front.signal("TERM");
                wait_for("its front has ended", 15, || !front.is_running());
            }
            Disruption::KillVotingFront => scene.fronts[holder].process.signal("KILL"),
            Disruption::StopVotingFront => scene.fronts[holder].process.signal("STOP"),
            Disruption::CutFromPlatform => {
                note(&format!("front-n{} is cut off from the control service from now on", holder + 1));
                scene.ways[holder].silence();
            }
            Disruption::CutOneDirection => {
                let leader = leader.unwrap_or(holder);
                note(&format!("what n{} sends to n{} is lost from now on", far + 1, leader + 1));
                if let Some(relay) = &scene.cluster.relays[far][leader] {
                    relay.cut();
                }
            }
        }
    }
    sleep_ms(3_000);
    let bad = [Machine::start("s-8", BAD_BUILD, true), Machine::start("s-9", BAD_BUILD, true)];
    scene.platform.offer(BAD_BUILD);
    sleep_ms(200);
    scene.discovery.add(bad.iter().map(Machine::line).collect());
    let failing_for = || bad.iter().filter_map(Machine::failing_for).max();
    wait_for("the bad build fails requests", 10, || failing_for().is_some());
    let started = Instant::now();
    while started.elapsed() < PATIENCE && !scene.rollback_arrived() {
        sleep_ms(50);
    }
    let waited = started.elapsed().as_secs_f64();
    scene.note_end(&traffic, &bad);
    let failed: u64 = bad.iter().map(Machine::failed).sum();
    if failed < 20 {
        note("the bad build failed too few requests to be judged");
        finish(NOT_RUN);
    }
    let votes = scene.platform.votes_against(BAD_BUILD);
    let mode = scene.platform.mode();
    if scene.rollback_arrived() {
        judge(
            false,
            &format!(
                "a vote to roll back arrived {waited:.1} s after the first failure; the build is {mode}"
            ),
        );
    }
    judge(
        true,
        &format!(
            "{failed} requests failed at the bad build, and in {waited:.1} s no vote to roll it back reached the control \
             service ({} votes to hold); the build is {mode}",
            votes.len()
        ),
    )
}

/// The control service stands still while the build is condemned, and the front that found the build out is restarted. When
/// the control service goes on, the condemned build must not pass its stages without a vote.
pub fn run_condemned() -> ! {
    let mut scene = Scene::start(false);
    let holder = scene.holder();
    let busy = (holder + 1) % 3;
    let traffic = [Traffic::start(&scene.fronts[busy].process.name, scene.fronts[busy].address, 10, 80)];
    sleep_ms(4_000);
    let bad = [Machine::start("s-8", BAD_BUILD, true), Machine::start("s-9", BAD_BUILD, true)];
    scene.platform.offer(BAD_BUILD);
    scene.discovery.add(bad.iter().map(Machine::line).collect());
    if trouble() {
        scene.platform.stand_still(true);
    }
    let condemned =
        |scene: &Scene| scene.cluster.operator(&["show", &format!("condemned/{BAD_BUILD}")]).0 == 0;
    wait_for("the build is condemned", 10, || condemned(&scene));
    let condemned_at = Instant::now();
    if trouble() {
        sleep_ms(500);
        scene.fronts[busy].process.signal("KILL");
        sleep_ms(1_000);
        scene.fronts[busy].start_again();
        // The control service stands still for 10 s in all.
        sleep_ms(5_500u64.saturating_sub(condemned_at.elapsed().as_millis() as u64));
        scene.platform.stand_still(false);
    }
    let went_on = Instant::now();
    // Three stages of 2.5 s each, and half a second.
    while went_on.elapsed() < Duration::from_secs(8) && scene.platform.mode() == "IN_PROGRESS" {
        sleep_ms(10);
    }
    let mode = scene.platform.mode();
    let arrived = scene.rollback_arrived();
    let waited = went_on.elapsed().as_secs_f64();
    scene.note_end(&traffic, &bad);
    if !condemned(&scene) {
        note("the build is no longer condemned");
        finish(NOT_RUN);
    }
    if arrived {
        judge(false, &format!("the condemned build got a vote to roll back and is {mode}"));
    }
    judge(
        mode == "COMPLETE",
        &format!(
            "the build was condemned, and {waited:.1} s after the control service went on it is {mode}; no vote arrived"
        ),
    )
}

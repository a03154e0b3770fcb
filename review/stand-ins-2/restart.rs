//! An agent is restarted while operators propose through it. What the command line says of each proposal must be true.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::deployment::{AGENT, Cluster, OPERATOR};
use crate::harness::{Process, folder, judge, lock, note, run_command, sleep_ms, trouble, wait_for};

const OPERATORS: usize = 12;
const RESTARTS: usize = 8;
/// Exit code of the command line: no agent could carry out the command.
const NOT_CARRIED_OUT: i32 = 3;

struct Proposal {
    number: usize,
    code: i32,
    text: String,
}

pub fn run() -> ! {
    let mut cluster = Cluster::start(false);
    let mut leader = None;
    wait_for("the agents have a leader", 20, || {
        leader = cluster.leader();
        leader.is_some()
    });
    let asked = leader.unwrap_or(0);
    let address = cluster.local[asked].to_string();
    note(&format!("operators propose at n{}", asked + 1));
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicUsize::new(0));
    let proposals = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for _ in 0..OPERATORS {
        let (stop, next, proposals, address) =
            (stop.clone(), next.clone(), proposals.clone(), address.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let number = next.fetch_add(1, Ordering::SeqCst);
                let subject = format!("work/{number}");
                let (code, text) =
                    run_command(OPERATOR, &["ledger", "--agent", &address, "propose", &subject, "yes"]);
                note(&format!("operator: proposed {subject}: exit code {code}"));
                lock(&proposals).push(Proposal { number, code, text });
                if code != 0 {
                    sleep_ms(100);
                }
            }
        }));
    }
    for _ in 0..RESTARTS {
        sleep_ms(1_500);
        if !trouble() {
            continue;
        }
        let agent = cluster.agents[asked].clone();
        agent.signal("TERM");
        wait_for("the agent has ended", 10, || !agent.is_running());
        let command = format!("exec {AGENT} run --config {}/agent-n{}.json", folder().display(), asked + 1);
        cluster.agents[asked] = Process::start(&agent.name, &command, &[]);
        wait_for("the agent votes again", 20, || {
            run_command(OPERATOR, &["ledger", "--agent", &address, "list", "--space", "none"]).0 == 0
        });
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let proposals = std::mem::take(&mut *lock(&proposals));
    let mut wrong = 0;
    let mut by_code = std::collections::BTreeMap::new();
    for proposal in &proposals {
        *by_code.entry(proposal.code).or_insert(0usize) += 1;
        if proposal.code == 0 {
            continue;
        }
        let (_, shown) = cluster.operator(&["show", &format!("work/{}", proposal.number)]);
        let decided = shown.contains("decided") && !shown.contains("not decided");
        let first_line = proposal.text.lines().next().unwrap_or_default();
        note(&format!(
            "work/{}: exit code {}, {first_line:?}; {}",
            proposal.number,
            proposal.code,
            if decided { "DECIDED" } else { "not decided" }
        ));
        wrong += usize::from(proposal.code == NOT_CARRIED_OUT && decided);
    }
    note(&format!("{} proposals, by exit code: {by_code:?}", proposals.len()));
    if wrong > 0 {
        judge(true, &format!("{wrong} proposals ended with exit code 3 and were decided"));
    }
    judge(false, "no proposal that ended with exit code 3 was decided")
}

//! What a request costs: at full load by clients and endpoints, at a steady rate, and at rest.
//!
//! `cargo bench --locked -p garnetcrank-proxy --bench cores -- [--seconds S] [--load-only 1] [--cores 1,2,4]` prints
//! tables.

use std::time::Duration;

use garnetcrank_test_support::load_generator::{self, LoadReport, processor_time, run_clients};
use garnetcrank_test_support::scripted_servers::RunningProxy;

fn value(name: &str, default: f64) -> f64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next().map_or(default, |text| text.parse().unwrap_or_else(|e| panic!("{name}: {e}")))
}

/// The clients' view, and the proxy's processor time in seconds.
fn run(cores: u64, endpoints: usize, count: usize, gap: Option<Duration>, seconds: f64) -> (LoadReport, f64) {
    let endpoints: Vec<_> = (0..endpoints).map(|_| load_generator::start_endpoint()).collect();
    let (_discovery, _controller, mut setup) = load_generator::proxy_setup(&endpoints);
    setup.features = Some(format!(r#"{{"cores":{cores}}}"#));
    let proxy = RunningProxy::start(&setup);
    // Connections are made and buffers grown before anything counts.
    run_clients(proxy.address, count, gap, Duration::from_secs_f64(seconds / 4.0));
    let before = processor_time(proxy.process());
    let report = run_clients(proxy.address, count, gap, Duration::from_secs_f64(seconds));
    (report, processor_time(proxy.process()) - before)
}

fn main() {
    let seconds = value("--seconds", 4.0);
    println!(
        "| threads | machines | clients | requests a second | p50, ms | p99, ms | p99.9, ms | processor, us a request | not 200 |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let row = |cores: u64, endpoints: usize, count: usize, gap: Option<Duration>| {
        let (report, used) = run(cores, endpoints, count, gap, seconds);
        let answered = report.times.len();
        let at = |quantile| report.times.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "| {cores} | {endpoints} | {count} | {:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {} |",
            answered as f64 / report.seconds,
            at(0.5),
            at(0.99),
            at(0.999),
            used * 1e6 / answered as f64,
            report.others + report.unanswered
        );
    };
    let cores = std::env::args().skip_while(|arg| arg != "--cores").nth(1).unwrap_or("1".to_owned());
    for cores in cores.split(',').map(|c| c.parse().unwrap_or_else(|e| panic!("--cores: {e}"))) {
        for count in [8, 32, 128] {
            row(cores, 8, count, None);
        }
    }
    if value("--load-only", 0.0) > 0.0 {
        return;
    }
    row(1, 400, 128, None);
    // 140 requests a second in all.
    row(1, 8, 14, Some(Duration::from_millis(100)));
    let endpoints: Vec<_> = (0..8).map(|_| load_generator::start_endpoint()).collect();
    let (_discovery, _controller, setup) = load_generator::proxy_setup(&endpoints);
    let proxy = RunningProxy::start(&setup);
    std::thread::sleep(Duration::from_secs(1));
    let before = processor_time(proxy.process());
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let used = processor_time(proxy.process()) - before;
    println!("\nat rest: {:.3} s of processor time a minute", used * 60.0 / seconds);
}

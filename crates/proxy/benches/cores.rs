//! Latency and processor time of requests: at full load by clients and endpoints, at a steady rate, and at
//! rest.
//!
//! `cargo bench --locked -p garnetcrank-proxy --bench cores -- [--seconds S] [--load-only 1] [--cores 1,2,4]`
//! prints tables.

use std::time::Duration;

use garnetcrank_test_support::load_generator::{
    self, ClientLoad, LoadReport, USUAL_TIMEOUT, cpu_time_seconds, run_clients,
};
use garnetcrank_test_support::scripted_servers::RunningProxy;

fn numeric_option(name: &str, default: f64) -> f64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next().map_or(default, |text| text.parse().unwrap_or_else(|error| panic!("{name}: {error}")))
}

/// Measures a proxy under load. Returns the clients' report and the proxy's processor time in seconds.
fn measure(
    cores: u64,
    endpoints: usize,
    clients: usize,
    request_interval: Option<Duration>,
    seconds: f64,
) -> (LoadReport, f64) {
    let endpoints: Vec<_> = (0..endpoints).map(|_| load_generator::start_endpoint()).collect();
    let (_discovery, _controller, mut setup) = load_generator::proxy_setup(&endpoints);
    setup.features = Some(format!(r#"{{"cores":{cores}}}"#));
    let proxy = RunningProxy::start(&setup);
    // This unmeasured run makes connections and grows buffers.
    let load = ClientLoad { count: clients, interval: request_interval, timeout: USUAL_TIMEOUT };
    run_clients(proxy.address, load, Duration::from_secs_f64(seconds / 4.0));
    let cpu_seconds_before = cpu_time_seconds(proxy.process_id());
    let report = run_clients(proxy.address, load, Duration::from_secs_f64(seconds));
    (report, cpu_time_seconds(proxy.process_id()) - cpu_seconds_before)
}

fn main() {
    let seconds = numeric_option("--seconds", 4.0);
    println!(
        "| threads | endpoints | clients | requests/s | p50, ms | p99, ms | p99.9, ms | CPU, us per request | not 200 |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let row = |cores: u64, endpoints: usize, clients: usize, request_interval: Option<Duration>| {
        let (report, cpu_seconds) = measure(cores, endpoints, clients, request_interval, seconds);
        let answered = report.latencies.len();
        let quantile_ms = |quantile| report.latencies.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "| {cores} | {endpoints} | {clients} | {:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {} |",
            answered as f64 / report.duration_seconds,
            quantile_ms(0.5),
            quantile_ms(0.99),
            quantile_ms(0.999),
            cpu_seconds * 1e6 / answered as f64,
            report.other_statuses + report.unanswered
        );
    };
    let cores = std::env::args().skip_while(|arg| arg != "--cores").nth(1).unwrap_or("1".to_owned());
    for cores in
        cores.split(',').map(|count| count.parse().unwrap_or_else(|error| panic!("--cores: {error}")))
    {
        for clients in [8, 32, 128] {
            row(cores, 8, clients, None);
        }
    }
    if numeric_option("--load-only", 0.0) > 0.0 {
        return;
    }
    row(1, 400, 128, None);
    // 140 requests per second in total.
    row(1, 8, 14, Some(Duration::from_millis(100)));
    let endpoints: Vec<_> = (0..8).map(|_| load_generator::start_endpoint()).collect();
    let (_discovery, _controller, setup) = load_generator::proxy_setup(&endpoints);
    let proxy = RunningProxy::start(&setup);
    std::thread::sleep(Duration::from_secs(1));
    let cpu_seconds_before = cpu_time_seconds(proxy.process_id());
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let cpu_seconds = cpu_time_seconds(proxy.process_id()) - cpu_seconds_before;
    println!("\nat rest: {:.3} s of processor time a minute", cpu_seconds * 60.0 / seconds);
}

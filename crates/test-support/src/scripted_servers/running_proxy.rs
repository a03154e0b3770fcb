//! A running process of the proxy.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::client::TestClient;
use super::setup::{ProxySetup, write_config_file};
use super::{lock, wait_until};

/// Interval between signals that are sent without a pause; short, as the last moment of an exit is to be met.
const SIGNAL_INTERVAL: Duration = Duration::from_micros(200);

/// Returns the path of the proxy's executable, in the parent of the folder of the running test, bench or
/// example.
///
/// # Panics
/// When the proxy has not been built.
pub fn proxy_executable() -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let folder = test.parent().and_then(Path::parent).expect("the test is two folders deep");
    let program = folder.join("garnetcrank-proxy");
    assert!(program.is_file(), "{}: build garnetcrank-proxy first", program.display());
    program
}

/// A running proxy; it is killed when dropped.
pub struct RunningProxy {
    /// Address for clients.
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    log: Arc<Mutex<String>>,
}

impl RunningProxy {
    /// Starts a proxy and waits until it serves.
    pub fn start(setup: &ProxySetup) -> RunningProxy {
        RunningProxy::start_with(setup, &[])
    }

    /// Starts a proxy with further environment variables and waits until it serves.
    pub fn start_with(setup: &ProxySetup, environment: &[(&str, &str)]) -> RunningProxy {
        loop {
            let address = setup.listen.unwrap_or_else(free_address);
            let mut running = RunningProxy::spawn(setup, environment, address);
            let mut exited = false;
            wait_until("the proxy serves or exits", || {
                exited = running.child.try_wait().expect("the child process can be polled").is_some();
                // Until it logs that it serves, another process may be answering at the address.
                exited || running.log().contains("serving") && running.is_healthy()
            });
            // Another test's proxy may have taken the free address by now. Clients would reach that proxy
            // instead.
            let address_taken = exited && setup.listen.is_none();
            if !address_taken {
                return running;
            }
            wait_until("the last log lines are read", || !running.log().is_empty());
            assert!(running.log().contains("Address already in use"), "the proxy exited: {}", running.log());
        }
    }

    fn spawn(setup: &ProxySetup, environment: &[(&str, &str)], address: SocketAddr) -> RunningProxy {
        let config = write_config_file(&setup.config(address));
        // FRONT_CORES runs all tests of the proxy with several workers.
        let cores = std::env::var("FRONT_CORES").ok().map(|cores| format!(r#"{{"cores":{cores}}}"#));
        let features_file = setup.features.as_ref().or(cores.as_ref()).map(|text| write_config_file(text));
        let mut child = Command::new(proxy_executable())
            .env_clear()
            .env("RELAY_CONFIG", &config)
            .envs(environment.iter().copied())
            .args(features_file.iter().flat_map(|path| ["--extras".into(), path.clone().into_os_string()]))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log: Arc<Mutex<String>> = Arc::default();
        let (lines, reader_log) = (child.stderr.take().expect("stderr is piped"), Arc::clone(&log));
        std::thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                lock(&reader_log).push_str(&format!("{line}\n"));
            }
        });
        RunningProxy { address, child, config, log }
    }

    fn is_healthy(&self) -> bool {
        let health_request = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let stream = TcpStream::connect(self.address).ok();
        stream
            .and_then(|stream| TestClient::new(stream).exchange(health_request))
            .is_some_and(|response| response.status() == 200)
    }

    /// Opens a client connection.
    pub fn client(&self) -> TestClient {
        TestClient::new(TcpStream::connect(self.address).expect("the proxy accepts a connection"))
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        lock(&self.log).clone()
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        let new = write_config_file(text);
        std::fs::rename(new, &self.config).expect("the file is replaced");
        self.signal("HUP");
    }

    /// Removes the configuration file and sends SIGHUP.
    pub fn remove_config(&self) {
        std::fs::remove_file(&self.config).expect("the configuration file exists");
        self.signal("HUP");
    }

    /// Returns the process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Sends SIGHUP and SIGUSR1 in turn for a while, without a pause to speak of, also after the process has exited.
    pub fn signal_without_pause(&self, duration: Duration) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("a process id");
        let until = Instant::now() + duration;
        while Instant::now() < until {
            for signal in [Signal::HUP, Signal::USR1] {
                kill_process(id, signal).expect("the process has not been waited for");
            }
            std::thread::sleep(SIGNAL_INTERVAL);
        }
    }

    /// Waits until the proxy exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the proxy exits", || {
            status = self.child.try_wait().expect("the child process can be polled");
            status.is_some()
        });
        status.expect("the proxy exits")
    }
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        if std::thread::panicking() {
            eprintln!("log of the proxy:\n{}", self.log());
        }
    }
}

/// Returns a loopback address that is free now; another process may take it at any time.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a loopback port is free")
}

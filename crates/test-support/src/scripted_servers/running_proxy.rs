//! The proxy's program, running.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

use super::client::TestClient;
use super::setup::{ProxySetup, config_file};
use super::{lock, wait_until};

/// The proxy's program: beside the folder that the running test, bench or example is in.
///
/// # Panics
/// It has not been built.
pub fn program() -> PathBuf {
    let me = std::env::current_exe().expect("this program has a path");
    let folder = me.parent().and_then(Path::parent).expect("a folder two levels up");
    let program = folder.join("garnetcrank-proxy");
    assert!(program.is_file(), "{}: build garnetcrank-proxy first", program.display());
    program
}

/// The program, running.
pub struct RunningProxy {
    /// Where clients connect.
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    log: Arc<Mutex<String>>,
}

impl RunningProxy {
    /// Starts it, and waits until it serves.
    pub fn start(setup: &ProxySetup) -> RunningProxy {
        RunningProxy::start_with(setup, &[])
    }

    /// The same, with further environment variables.
    pub fn start_with(setup: &ProxySetup, more: &[(&str, &str)]) -> RunningProxy {
        loop {
            let address = setup.listen.unwrap_or_else(free_address);
            let mut running = RunningProxy::spawn(setup, more, address);
            let mut ended = false;
            wait_until("a proxy that serves, or ends", || {
                ended = running.child.try_wait().expect("a child").is_some();
                // Only once it logs that it listens is it the process that answers there.
                ended || running.log().contains("serving") && running.is_healthy()
            });
            // The free address is another test's by now: both would talk to that one's proxy.
            let taken = ended && setup.listen.is_none();
            if !taken {
                return running;
            }
            wait_until("its last log lines", || !running.log().is_empty());
            assert!(running.log().contains("Address already in use"), "it ended: {}", running.log());
        }
    }

    fn spawn(setup: &ProxySetup, more: &[(&str, &str)], address: SocketAddr) -> RunningProxy {
        let config = config_file(&setup.config(address));
        // All tests of the proxy can be run on several workers as well.
        let cores = std::env::var("FRONT_CORES").ok().map(|cores| format!(r#"{{"cores":{cores}}}"#));
        let feature_file = setup.features.as_ref().or(cores.as_ref()).map(|text| config_file(text));
        let mut child = Command::new(program())
            .env_clear()
            .env("RELAY_CONFIG", &config)
            .envs(more.iter().copied())
            .args(feature_file.iter().flat_map(|path| ["--extras".into(), path.clone().into_os_string()]))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log: Arc<Mutex<String>> = Arc::default();
        let (lines, all) = (child.stderr.take().expect("a pipe"), Arc::clone(&log));
        std::thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                lock(&all).push_str(&format!("{line}\n"));
            }
        });
        RunningProxy { address, child, config, log }
    }

    fn is_healthy(&self) -> bool {
        let ask = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let stream = TcpStream::connect(self.address).ok();
        stream.and_then(|s| TestClient::on(s).exchange(ask)).is_some_and(|a| a.status() == 200)
    }

    /// A new connection to it.
    pub fn client(&self) -> TestClient {
        TestClient::on(TcpStream::connect(self.address).expect("a connection"))
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        lock(&self.log).clone()
    }

    /// Replaces its configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        let new = config_file(text);
        std::fs::rename(new, &self.config).expect("the file is replaced");
        self.signal("HUP");
    }

    /// Removes its configuration file and sends SIGHUP.
    pub fn forget_config(&self) {
        std::fs::remove_file(&self.config).expect("the file is there");
        self.signal("HUP");
    }

    /// Its process id.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for its exit.
    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("an exit", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("an exit")
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

/// An address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

//! A relay on loopback between two peers that can be cut: bytes in transit are lost, and new connections are
//! closed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A relay; it runs until the process ends.
#[derive(Debug, Clone)]
pub struct FaultRelay {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl FaultRelay {
    /// Starts a relay to `to`.
    ///
    /// # Errors
    /// When it can't listen on a loopback address.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay =
            Self { address: listener.local_addr()?, cut: Arc::default(), connections: Arc::default() };
        let (cut, connections) = (relay.cut.clone(), relay.connections.clone());
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let (cut, connections) = (cut.clone(), connections.clone());
                std::thread::spawn(move || drop(relay_connection(from, to, &cut, &connections)));
            }
        });
        Ok(relay)
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the relay, which closes its connections, or lets it accept new ones again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
            for stream in connections.drain(..) {
                // The connection may be closed already, so an error does not matter.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn relay_connection(
    from: TcpStream,
    to: SocketAddr,
    cut: &AtomicBool,
    connections: &Mutex<Vec<TcpStream>>,
) -> std::io::Result<()> {
    if cut.load(Ordering::SeqCst) {
        return Ok(());
    }
    let to = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    {
        let mut connections = connections.lock().unwrap_or_else(PoisonError::into_inner);
        if cut.load(Ordering::SeqCst) {
            return Ok(());
        }
        connections.retain(|stream| stream.peer_addr().is_ok());
        connections.extend([from.try_clone()?, to.try_clone()?]);
    }
    let (reverse_from, reverse_to) = (to.try_clone()?, from.try_clone()?);
    std::thread::spawn(move || copy(reverse_from, reverse_to));
    copy(from, to);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

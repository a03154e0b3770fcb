//! A relay on loopback between two peers that can be cut: what was on its way is lost, and new connections go nowhere.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The relay; it ends with the process.
#[derive(Debug, Clone)]
pub struct FaultRelay {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl FaultRelay {
    /// A relay to `to`.
    ///
    /// # Errors
    /// No address to listen on.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Self { address: listener.local_addr()?, cut: Arc::default(), open: Arc::default() };
        let (cut, open) = (relay.cut.clone(), relay.open.clone());
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let (cut, open) = (cut.clone(), open.clone());
                std::thread::spawn(move || drop(pass(from, to, &cut, &open)));
            }
        });
        Ok(relay)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
            for stream in open.drain(..) {
                // It may be closed already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn pass(
    from: TcpStream,
    to: SocketAddr,
    cut: &AtomicBool,
    open: &Mutex<Vec<TcpStream>>,
) -> std::io::Result<()> {
    if cut.load(Ordering::SeqCst) {
        return Ok(());
    }
    let to = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    {
        let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
        if cut.load(Ordering::SeqCst) {
            return Ok(());
        }
        open.retain(|stream| stream.peer_addr().is_ok());
        open.extend([from.try_clone()?, to.try_clone()?]);
    }
    let (back_from, back_to) = (to.try_clone()?, from.try_clone()?);
    std::thread::spawn(move || copy(back_from, back_to));
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

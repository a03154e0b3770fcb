//! A listener that establishes no connection before it is told to.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Number of connections that fill the backlog of a listener of length 0.
const BACKLOG_FILLERS: usize = 2;
/// Interval between looks at the connections.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A listener whose backlog is full, so that the system drops further connects and tries them again later.
pub struct FullBacklog {
    /// Address on which it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    /// Starts to listen and fills the backlog.
    ///
    /// # Panics
    /// When no loopback port is free.
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is created");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a loopback port is free");
        socket.listen(0).expect("the socket listens");
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).expect("the mode is set");
        let address = listener.local_addr().expect("the listener has an address");
        let connect = |_| {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is created");
            filler.set_nonblocking(true).expect("the mode is set");
            // The connection is under way afterwards, or waits for the backlog.
            let _ = filler.connect(&address.into());
            filler.into()
        };
        let fillers = (0..BACKLOG_FILLERS).map(connect).collect();
        FullBacklog { address, listener, fillers }
    }

    /// Accepts connections for a while and returns the bytes that arrive on them.
    ///
    /// # Panics
    /// When a connection can't be configured.
    pub fn accept_and_receive(mut self, duration: Duration) -> Vec<u8> {
        self.fillers.clear();
        let until = Instant::now() + duration;
        let (mut streams, mut received, mut buffer) = (Vec::new(), Vec::new(), [0; 4096]);
        while Instant::now() < until {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).expect("the mode is set");
                streams.push(stream);
            }
            for stream in &mut streams {
                let read = stream.read(&mut buffer).unwrap_or(0);
                received.extend_from_slice(&buffer[..read]);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        received
    }
}

//! Sending on one connection: short messages first, long messages in chunks between them, and heartbeats
//! while nothing else is to be sent.

#[cfg(test)]
mod tests;

use std::time::Duration;

use garnetcrank_consensus::chunking::{self, Chunk};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::Interval;

use super::queue::PeerQueue;
use super::{IDLE_TIMEOUT, with_timeout};
use crate::peer_protocol::{self, Frame, PeerProtocolError};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The reason for the end of a connection.
pub(super) enum ConnectionEnd {
    /// The queue's sender was dropped, so no further messages follow.
    SenderDropped,
    /// A failure of the connection.
    Failed(PeerProtocolError),
}

impl From<PeerProtocolError> for ConnectionEnd {
    fn from(error: PeerProtocolError) -> Self {
        Self::Failed(error)
    }
}

/// The next action on a connection.
enum SendAction {
    ShortMessage(Vec<u8>),
    NextChunk,
    LongMessage(Vec<u8>),
    Heartbeat,
}

/// The remaining chunks of the long message being sent.
struct ChunkedMessage {
    chunks: std::vec::IntoIter<Chunk>,
    /// Number of the last transfer. The first is random, so that chunks of an earlier connection don't match.
    transfer: u64,
}

impl ChunkedMessage {
    fn new() -> Self {
        Self { chunks: Vec::new().into_iter(), transfer: fastrand::u64(..) }
    }

    fn start(&mut self, message: &[u8]) {
        self.transfer = self.transfer.wrapping_add(1);
        let chunks: Vec<Chunk> = chunking::split(self.transfer, message).collect();
        self.chunks = chunks.into_iter();
    }

    fn is_done(&self) -> bool {
        self.chunks.len() == 0
    }

    async fn send_next(&mut self, to: &mut (impl AsyncWriteExt + Unpin)) -> Result<(), PeerProtocolError> {
        match self.chunks.next() {
            Some(chunk) => send_frame(to, &Frame::Chunk(chunk)).await,
            None => Ok(()),
        }
    }
}

/// Sends queued messages until the connection fails or the queue's sender is dropped.
pub(super) async fn send_until_closed(mut stream: TcpStream, queue: &mut PeerQueue) -> ConnectionEnd {
    let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut long_message = ChunkedMessage::new();
    let (mut reader, mut writer) = stream.split();
    loop {
        let action = match next_action(queue, &long_message, &mut heartbeats, &mut reader).await {
            Ok(action) => action,
            Err(end) => return end,
        };
        if let Err(error) = execute(action, &mut long_message, &mut writer).await {
            return ConnectionEnd::Failed(error);
        }
    }
}

/// Waits for the next action.
async fn next_action(
    queue: &mut PeerQueue,
    long_message: &ChunkedMessage,
    heartbeats: &mut Interval,
    reader: &mut ReadHalf<'_>,
) -> Result<SendAction, ConnectionEnd> {
    let mut unexpected = [0u8; 1];
    let action = tokio::select! {
        // Short messages take precedence, so that a snapshot does not delay Raft's heartbeats.
        biased;
        message = queue.short.recv() => SendAction::ShortMessage(message.ok_or(ConnectionEnd::SenderDropped)?),
        () = std::future::ready(()), if !long_message.is_done() => SendAction::NextChunk,
        message = queue.long.recv(), if long_message.is_done() => {
            SendAction::LongMessage(message.ok_or(ConnectionEnd::SenderDropped)?)
        }
        _ = heartbeats.tick() => SendAction::Heartbeat,
        read = reader.read(&mut unexpected) => return Err(ConnectionEnd::Failed(read_error(read))),
    };
    if let SendAction::ShortMessage(message) | SendAction::LongMessage(message) = &action {
        queue.on_dequeued(message);
    }
    Ok(action)
}

/// Returns the error for a finished read. Any read that finishes is an error, because the peer sends nothing
/// after its hello reply.
fn read_error(read: std::io::Result<usize>) -> PeerProtocolError {
    match read {
        Ok(0) => std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into(),
        Ok(_) => PeerProtocolError::UnexpectedBytes,
        Err(error) => error.into(),
    }
}

async fn execute(
    action: SendAction,
    long_message: &mut ChunkedMessage,
    writer: &mut (impl AsyncWriteExt + Unpin),
) -> Result<(), PeerProtocolError> {
    match action {
        SendAction::ShortMessage(message) => {
            // One chunk is sent with each short message, so that a stream of short messages can't starve a
            // long one. The order of short and long messages does not matter.
            long_message.send_next(writer).await?;
            send_frame(writer, &Frame::Message(message)).await
        }
        SendAction::NextChunk => long_message.send_next(writer).await,
        SendAction::LongMessage(message) => {
            long_message.start(&message);
            Ok(())
        }
        SendAction::Heartbeat => send_frame(writer, &Frame::Heartbeat).await,
    }
}

async fn send_frame(to: &mut (impl AsyncWriteExt + Unpin), frame: &Frame) -> Result<(), PeerProtocolError> {
    with_timeout(IDLE_TIMEOUT, peer_protocol::write(to, frame)).await
}

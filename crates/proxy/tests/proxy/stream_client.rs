//! Reading of streamed responses by a client.

use std::time::Duration;

use garnetcrank_test_support::scripted_servers::TestClient;

/// Size of the parts of a long stream, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// The last chunk of a complete response, after the line end of the head or of the chunk before.
pub const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// Reads the bytes that arrive up to the first occurrence of `text`, and possibly more.
pub fn read_until(client: &mut TestClient, text: &str) -> Vec<u8> {
    let mut received = Vec::new();
    while !received.windows(text.len()).any(|window| window == text.as_bytes()) {
        let bytes = client.read_at_most(CHUNK_BYTES);
        assert!(!bytes.is_empty(), "the stream ended before {text:?}");
        received.extend(bytes);
    }
    received
}

/// Reads a chunked response of `x`s slowly, up to its last chunk or the end of the connection. Returns the size of its
/// body, in bytes, and whether the last chunk has arrived.
pub fn read_stream_slowly(client: &mut TestClient) -> (usize, bool) {
    let (mut body_bytes, mut end) = (0, Vec::new());
    loop {
        let bytes = client.read_at_most(CHUNK_BYTES);
        body_bytes += bytes.iter().filter(|byte| **byte == b'x').count();
        end.extend_from_slice(&bytes);
        end.drain(..end.len().saturating_sub(LAST_CHUNK.len()));
        let is_complete = end == LAST_CHUNK.as_bytes();
        if is_complete || bytes.is_empty() {
            return (body_bytes, is_complete);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

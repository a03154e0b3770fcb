//! Responses to clients, complete or streamed.

use garnetcrank_http::write_response;
use garnetcrank_policy::api::Micros;

use super::{Downstream, DownstreamEvent};
use crate::readiness::ConnId;
use crate::upstream::MAX_BODY_BYTES;

/// Number of unsent bytes above which reading of the client's streamed response is paused.
const MAX_STREAM_BACKLOG_BYTES: usize = MAX_BODY_BYTES;

impl Downstream {
    /// Responds to a bad request with an error message as plain text, and closes the connection.
    pub(crate) fn send_error_response(
        &mut self,
        id: ConnId,
        status: u16,
        message: &str,
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.keep_alive = false;
        }
        let body = format!("{message}\n");
        let headers: [(&str, &[u8]); 1] = [("Content-Type", b"text/plain")];
        self.send_response(id, status, headers.into_iter(), body.as_bytes(), now, events);
    }

    /// Sends the final response to a client's request. If the client has already sent its next request, that
    /// is read in the next turn.
    pub(crate) fn send_response<'a>(
        &mut self,
        id: ConnId,
        status: u16,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
        body: &[u8],
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        let is_last = self.close_after_response || self.descriptors_scarce;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let headers = headers.chain(client.connection_header(is_last));
        let written = write_response(&mut client.connection.output, status, headers, Some(body));
        if written.is_err() {
            // The response does not fit into the output buffer, so none of it is sent and the connection is
            // closed.
            self.clients.remove(&id);
            return;
        }
        client.on_response_written(now);
        self.advance(id, now, events);
    }

    /// Writes the head of a streamed response.
    pub(crate) fn start_response<'a>(
        &mut self,
        id: ConnId,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    ) {
        let is_last = self.close_after_response || self.descriptors_scarce;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.streaming = true;
        let headers = headers.chain(client.connection_header(is_last));
        // Always fits: the output buffer is empty between responses, and the size of a head is limited.
        let _ = write_response(&mut client.connection.output, 200, headers, None);
    }

    /// Forwards a part of a streamed response as one chunk. Returns true if more than
    /// [`MAX_STREAM_BACKLOG_BYTES`] are unsent afterwards; the caller then pauses the upstream.
    pub(crate) fn send_body_part(
        &mut self,
        id: ConnId,
        bytes: &[u8],
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        if client.connection.output.push(&chunk).is_err() {
            self.disconnect(id, events);
            return false;
        }
        client.last_progress = now;
        self.advance(id, now, events);
        let client = self.clients.get(&id);
        client.is_some_and(|client| client.connection.output.len() > MAX_STREAM_BACKLOG_BYTES)
    }

    /// Writes the last chunk of a streamed response.
    pub(crate) fn finish_response(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let is_last = self.close_after_response || self.descriptors_scarce;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.keep_alive &= !is_last;
        if client.connection.output.push(b"0\r\n\r\n").is_err() {
            return self.close(id);
        }
        client.streaming = false;
        client.on_response_written(now);
        self.advance(id, now, events);
    }
}

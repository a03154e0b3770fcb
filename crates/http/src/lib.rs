//! HTTP/1.1 messages read from and written to bounded ring buffers. No sockets, no clock.

mod message;
mod ring;

pub use message::{
    Bad, Headers, Parsing, Request, RequestReader, Response, ResponseReader, StreamReader, write_request,
    write_response,
};
pub use ring::{Full, Ring};

//! HTTP/1.1 messages, read from and written to bounded ring buffers. The crate uses neither sockets nor a
//! clock.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

mod body;
mod encode;
mod error;
mod head;
mod headers;
mod input;
mod memory;
mod request;
mod response;
mod ring;
mod stream;

pub use encode::{write_request, write_response};
pub use error::MessageError;
pub use head::Parsed;
pub use headers::Headers;
pub use input::InputState;
pub use memory::{MemoryCharge, MemoryGauge};
pub use request::{Request, RequestReader};
pub use response::{Response, ResponseReader};
pub use ring::{Ring, RingFull};
pub use stream::StreamReader;

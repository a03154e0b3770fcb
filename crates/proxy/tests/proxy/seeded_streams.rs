//! Streamed responses of all framings, cut off at drawn positions by drawn ends, and judged by what their clients get.
//! `SEEDED_STREAMS_SEEDS=FIRST..LAST` runs other seeds than the usual ones.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use fastrand::Rng;
use garnetcrank_test_support::scripted_servers::{
    ConnectionEnd, ReceivedMessage, RunningProxy, read_message, request, reset_on_close,
};

use crate::common::{proxy_setup, seeds};

/// Enough that some are not ejected for the responses that they cut off.
const ENDPOINTS: usize = 30;
const CLIENTS: u64 = 4;
const STREAMS_PER_CLIENT: usize = 30;
/// Largest body, in bytes: several times what the proxy reads in a turn or holds for a client.
const MAX_BODY_BYTES: usize = 500_000;
const MAX_CHUNK_BYTES: usize = 20_000;
/// Of this number of responses, one is cut off on average, and of this number of connections, one is reset.
const CUT_OFF_EVERY: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    UntilClose,
    Length,
    Chunked,
}

/// A response and its end, drawn from a seed that the request's path names.
#[derive(Debug)]
struct StreamPlan {
    framing: Framing,
    body: Vec<u8>,
    /// The response as it would be sent without a cut.
    response: Vec<u8>,
    /// Number of bytes of the response that are sent.
    sent_bytes: usize,
    end: ConnectionEnd,
    /// Time before the end, after the last byte.
    pause: Duration,
}

impl StreamPlan {
    fn draw(seed: u64) -> StreamPlan {
        let mut rng = Rng::with_seed(seed);
        let framing = [Framing::UntilClose, Framing::Length, Framing::Chunked][rng.usize(0..3)];
        let body_bytes = [rng.usize(0..200), rng.usize(0..MAX_BODY_BYTES)][rng.usize(0..2)];
        let body: Vec<u8> = (0..body_bytes).map(|_| rng.u8(..)).collect();
        let response = encode(framing, &body, &mut rng);
        let is_cut = rng.u32(0..CUT_OFF_EVERY) == 0;
        let sent_bytes = if is_cut { rng.usize(0..response.len()) } else { response.len() };
        let is_reset = rng.u32(0..CUT_OFF_EVERY) == 0;
        let end = if is_reset { ConnectionEnd::Reset } else { ConnectionEnd::Close };
        let pause = Duration::from_millis([0, 0, 30][rng.usize(0..3)]);
        StreamPlan { framing, body, response, sent_bytes, end, pause }
    }

    fn is_sent_completely(&self) -> bool {
        self.sent_bytes == self.response.len()
    }

    /// Returns why a response that reached a client is wrong, if it is. `None` is one without its end.
    fn judge(&self, received: Option<&ReceivedMessage>) -> Result<(), &'static str> {
        let must_be_complete = self.is_sent_completely() && self.end == ConnectionEnd::Close;
        match received {
            None if must_be_complete => Err("a complete response was cut off"),
            None => Ok(()),
            // The proxy may reject a request, and endpoints are ejected.
            Some(message) if message.status() == 503 => Ok(()),
            Some(message) if message.status() != 200 => Err("the status is neither 200 nor 503"),
            Some(message) if message.body == self.body => {
                let is_delimited = self.framing != Framing::UntilClose || self.end == ConnectionEnd::Close;
                if is_delimited { Ok(()) } else { Err("a reset completed a response without a length") }
            }
            // Such a part can't be told from a complete response.
            Some(message) if self.framing == Framing::UntilClose && self.end == ConnectionEnd::Close => {
                let is_part = self.body.starts_with(&message.body);
                if is_part { Ok(()) } else { Err("bytes that are not the endpoint's") }
            }
            Some(_) => Err("a part, or bytes that are not the endpoint's, looks complete"),
        }
    }
}

fn encode(framing: Framing, body: &[u8], rng: &mut Rng) -> Vec<u8> {
    let header = match framing {
        Framing::UntilClose => "Connection: close".to_owned(),
        Framing::Length => format!("Content-Length: {}", body.len()),
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    let mut response = format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n").into_bytes();
    if framing != Framing::Chunked {
        response.extend_from_slice(body);
        return response;
    }
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rng.usize(1..=rest.len().min(MAX_CHUNK_BYTES)));
        write!(response, "{:x}\r\n", chunk.len()).expect("writes to memory");
        response.extend_from_slice(chunk);
        response.extend_from_slice(b"\r\n");
        rest = after;
    }
    response.extend_from_slice(b"0\r\n\r\n");
    response
}

/// Starts an endpoint that answers `/tail/SEED` by the plan of that seed.
fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer(stream));
        }
    });
    address
}

fn answer(mut stream: TcpStream) {
    let Some(message) = read_message(&mut BufReader::new(&stream)) else { return };
    let target = message.start_line.split(' ').nth(1).expect("a target");
    let seed = target.rsplit('/').next().and_then(|seed| seed.parse().ok()).expect("a seed");
    let plan = StreamPlan::draw(seed);
    // The proxy may have ended the connection already.
    let _ = stream.write_all(&plan.response[..plan.sent_bytes]);
    std::thread::sleep(plan.pause);
    if plan.end == ConnectionEnd::Reset {
        reset_on_close(&stream);
    }
}

/// Requests streams one after the other, each on a connection of its own. Returns the number of complete ones.
fn run_client(proxy: &RunningProxy, seed: u64) -> usize {
    let mut rng = Rng::with_seed(seed);
    let mut complete = 0;
    for _ in 0..STREAMS_PER_CLIENT {
        let stream_seed = rng.u64(..);
        let plan = StreamPlan::draw(stream_seed);
        let mut client = proxy.client();
        client.send(&request("GET", &format!("/tail/{stream_seed}"), 9000, ""));
        std::thread::sleep(Duration::from_millis([0, 0, 0, 50][rng.usize(0..4)]));
        let received = client.read();
        if let Err(reason) = plan.judge(received.as_ref()) {
            let StreamPlan { framing, sent_bytes, end, pause, .. } = &plan;
            let (body_bytes, received_bytes) = (plan.body.len(), received.map(|message| message.body.len()));
            panic!(
                "stream {stream_seed}: {reason}: {framing:?}, {body_bytes} bytes of body, {sent_bytes} of \
                 {} sent, {end:?} after {pause:?}, received {received_bytes:?}",
                plan.response.len()
            );
        }
        complete += usize::from(received.is_some_and(|message| message.status() == 200));
    }
    complete
}

/// Guards against a response that is cut off and looks complete, and against a complete one that is cut off.
#[test]
fn no_stream_looks_complete_without_its_end_and_no_complete_one_is_cut_off() {
    for seed in seeds("SEEDED_STREAMS_SEEDS", 1..4) {
        let endpoints: Vec<SocketAddr> = (0..ENDPOINTS).map(|_| start_endpoint()).collect();
        let (_discovery, _controller, setup) = proxy_setup(&endpoints);
        let proxy = RunningProxy::start(&setup);
        let complete: usize = std::thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS)
                .map(|client| {
                    scope.spawn({
                        let proxy = &proxy;
                        move || run_client(proxy, seed * CLIENTS + client)
                    })
                })
                .collect();
            clients.into_iter().map(|client| client.join().expect("the client's streams are right")).sum()
        });
        println!("seed {seed}: {complete} of {} streams complete", CLIENTS as usize * STREAMS_PER_CLIENT);
        assert!(complete > 0, "seed {seed}: no stream was complete");
    }
}

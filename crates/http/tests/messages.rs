//! Tests of reading and writing messages, with input split at each byte, all framings and arbitrary input.

use std::io::ErrorKind;

use garnetcrank_http::{
    InputState, MessageError, Parsed, Request, RequestReader, Response, ResponseReader, Ring, StreamReader,
    write_request, write_response,
};

/// Reads requests that arrive in the given pieces, through a ring of `capacity` bytes.
fn read_requests(pieces: &[&[u8]], capacity: usize) -> Result<Vec<Request>, MessageError> {
    let (mut ring, mut reader, mut all) = (Ring::new(capacity), RequestReader::new(1000), Vec::new());
    for piece in pieces {
        let mut rest = *piece;
        while !rest.is_empty() {
            let fits = rest.len().min(ring.free_bytes());
            assert!(fits > 0, "the ring is full and the reader takes nothing");
            ring.push(&rest[..fits]).expect("fits");
            rest = &rest[fits..];
            while let Parsed::Complete(request) = reader.read(&mut ring)? {
                all.push(request);
            }
        }
    }
    Ok(all)
}

fn read_response(text: &[u8], input: InputState) -> Result<Parsed<Response>, MessageError> {
    let mut ring = Ring::new(text.len().max(1));
    ring.push(text).expect("fits");
    ResponseReader::buffered(1000).read(&mut ring, input)
}

const TWO_REQUESTS: &[u8] = b"POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nX-Y: z\r\n\r\nhello\
    GET /d HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
const CHUNKED_REQUEST: &[u8] = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n\
    3;note=1\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: t\r\n\r\n";

#[test]
fn a_request_is_the_same_wherever_it_is_split() {
    for text in [TWO_REQUESTS, CHUNKED_REQUEST] {
        let expected = read_requests(&[text], 4096).expect("valid requests");
        assert_eq!(expected[0].body, b"hello");
        for at in 0..=text.len() {
            let (first, second) = text.split_at(at);
            assert_eq!(
                read_requests(&[first, second], 4096).expect("valid requests"),
                expected,
                "split at {at}"
            );
        }
        let bytes: Vec<&[u8]> = text.chunks(1).collect();
        assert_eq!(read_requests(&bytes, 4096).expect("valid requests"), expected);
        // A ring that is little larger than a head wraps around many times.
        assert_eq!(
            read_requests(&[text, text, text], 100).expect("valid requests").len(),
            expected.len() * 3
        );
    }
    let two = read_requests(&[TWO_REQUESTS], 4096).expect("valid requests");
    assert_eq!((two.len(), two[0].target.as_str(), two[0].keep_alive), (2, "/a?b=c", true));
    assert_eq!((two[1].method.as_str(), two[1].keep_alive), ("GET", false));
}

#[test]
fn contradictory_and_oversized_requests_are_rejected() {
    let head = |lines: &str| format!("POST / HTTP/1.1\r\nHost: x\r\n{lines}\r\nbody");
    for (text, status) in [
        (head("Content-Length: 4\r\nContent-Length: 4\r\n"), 400),
        (head("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"), 400),
        (head("Content-Length: +4\r\n"), 400),
        (head("Content-Length: 4, 4\r\n"), 400),
        (head("Content-Length: \r\n"), 400),
        (head("Content-Length: 1001\r\n"), 413),
        (head("Content-Length: 99999999999999999999999\r\n"), 413),
        (head("Transfer-Encoding: gzip, chunked\r\n"), 501),
        (head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), 501),
        (head("Host: y\r\n"), 400),
        ("POST / HTTP/1.1\r\n\r\n".to_owned(), 400),
        ("POST / HTTP/1.0\r\nHost: x\r\n\r\n".to_owned(), 505),
        (head(&"X: y\r\n".repeat(80)), 431),
        (head(&format!("X: {}\r\n", "y".repeat(20_000))), 431),
        (format!("{}zz\r\n", head("Transfer-Encoding: chunked\r\n").replace("body", "")), 400),
    ] {
        let error = read_requests(&[text.as_bytes()], 64 * 1024).expect_err(&text);
        assert_eq!(error.status(), status, "{error} for {text:.120}");
    }
}

#[test]
fn a_chunked_body_above_the_limit_is_rejected() {
    let text = format!(
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n{}",
        "x".repeat(1001)
    );
    assert_eq!(read_requests(&[text.as_bytes()], 64 * 1024), Err(MessageError::BodyTooLarge));
}

#[test]
fn responses_of_every_framing_are_read_completely() {
    for (text, input, keep_alive) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", InputState::Open, true),
        ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", InputState::Open, false),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            InputState::Open,
            true,
        ),
        ("HTTP/1.1 500 Oops\r\n\r\nhello", InputState::Closed, false),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            InputState::Open,
            true,
        ),
    ] {
        let Ok(Parsed::Complete(response)) = read_response(text.as_bytes(), input) else {
            panic!("{text:?}")
        };
        assert_eq!((response.body.as_slice(), response.keep_alive), (&b"hello"[..], keep_alive), "{text:?}");
        for at in 0..text.len() {
            let part = read_response(&text.as_bytes()[..at], InputState::Open);
            assert!(matches!(part, Ok(Parsed::Incomplete)), "{part:?} of {at} bytes of {text:?}");
        }
    }
    // Rejected because it would look complete if it were truncated.
    assert!(matches!(
        read_response(b"HTTP/1.1 200 OK\r\n\r\nhello", InputState::Closed),
        Err(MessageError::Malformed(_))
    ));
    let without_body = read_response(b"HTTP/1.1 204 None\r\n\r\n", InputState::Open);
    assert!(matches!(without_body, Ok(Parsed::Complete(r)) if r.body.is_empty() && r.keep_alive));
}

#[test]
fn a_truncated_response_is_rejected() {
    for text in [
        "",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    ] {
        assert_eq!(
            read_response(text.as_bytes(), InputState::Closed),
            Err(MessageError::Truncated),
            "{text:?}"
        );
    }
}

/// Guards against a lost connection that is taken for the orderly close that delimits a response.
#[test]
fn only_an_orderly_close_completes_a_response_without_length() {
    let lost = InputState::Lost(ErrorKind::ConnectionReset);
    let readers = [ResponseReader::buffered(1000), ResponseReader::streamed(1000)];
    for (mut reader, status) in readers.into_iter().zip([500, 200]) {
        let text = format!("HTTP/1.1 {status} X\r\n\r\nhello");
        let mut ring = Ring::new(1000);
        ring.push(text.as_bytes()).expect("fits");
        assert_eq!(reader.read(&mut ring, InputState::Open), Ok(Parsed::Incomplete));
        assert_eq!(reader.read(&mut ring, lost), Err(MessageError::Truncated), "{status}");
        let closed = reader.read(&mut ring, InputState::Closed);
        assert!(matches!(closed, Ok(Parsed::Complete(response)) if response.body == b"hello"), "{status}");
    }
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ] {
        let framed = read_response(text.as_bytes(), lost);
        assert!(matches!(framed, Ok(Parsed::Complete(response)) if response.body == b"hello"), "{text:?}");
    }
}

#[test]
fn a_stream_is_read_line_by_line_wherever_it_is_split() {
    let text =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\none\n\r\n2\r\ntw\r\n3\r\no\n\n\r\n";
    for at in 0..=text.len() {
        let (mut ring, mut reader, mut all) = (Ring::new(4096), StreamReader::new(10), Vec::new());
        for piece in [&text[..at], &text[at..]] {
            ring.push(piece).expect("fits");
            assert_eq!(reader.read(&mut ring, InputState::Open, &mut all), Ok(false));
        }
        assert_eq!(all, [&b"one"[..], b"two", b""], "split at {at}");
    }
}

#[test]
fn a_line_above_the_limit_is_rejected() {
    let mut ring = Ring::new(4096);
    ring.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nelevenbytes\r\n").expect("fits");
    assert_eq!(
        StreamReader::new(10).read(&mut ring, InputState::Open, &mut Vec::new()),
        Err(MessageError::BodyTooLarge)
    );
}

#[test]
fn complete_lines_before_malformed_input_are_returned() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for malformed in ["zz\r\n", "4\r\nlong", "ffffffffffffffffff\r\n"] {
        let text = format!("{head}8\r\none\ntwo\n\r\n{malformed}er than it says");
        let (mut ring, mut lines) = (Ring::new(4096), Vec::new());
        ring.push(text.as_bytes()).expect("fits");
        let read = StreamReader::new(10).read(&mut ring, InputState::Open, &mut lines);
        assert!(matches!(read, Err(MessageError::Malformed(_))), "{malformed:?}: {read:?}");
        assert_eq!(lines, [&b"one"[..], b"two"], "{malformed:?}");
    }
}

#[test]
fn written_messages_can_be_read_back() {
    let lines: [(&str, &[u8]); 2] = [("Host", b"x"), ("X-Y", b"z")];
    let mut ring = Ring::new(4096);
    write_request(&mut ring, "POST", "/a?b", lines.into_iter(), b"body").expect("fits");
    let Ok(Parsed::Complete(request)) = RequestReader::new(10).read(&mut ring) else {
        panic!("request is not read")
    };
    assert_eq!((request.target.as_str(), request.body.as_slice()), ("/a?b", &b"body"[..]));
    write_response(&mut ring, 503, std::iter::once(("Retry-After", &b"0.250"[..])), Some(b"")).expect("fits");
    let Ok(Parsed::Complete(response)) = ResponseReader::buffered(10).read(&mut ring, InputState::Open)
    else {
        panic!("response is not read")
    };
    assert_eq!((response.status, response.headers.single_value("retry-after")), (503, Ok(Some("0.250"))));
    assert!(write_response(&mut Ring::new(10), 200, std::iter::empty(), Some(b"")).is_err());
}

#[test]
fn end_to_end_headers_exclude_those_of_the_connection() {
    let text = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close, X-Own\r\nX-Own: 1\r\nX-Kept: 2\r\nTE: trailers\r\n\r\n";
    let request = read_requests(&[text], 4096).expect("valid requests").remove(0);
    let forwarded: Vec<&str> = request.headers.end_to_end().map(|(name, _)| name).collect();
    assert_eq!(forwarded, ["Host", "X-Kept"]);
}

#[test]
fn arbitrary_input_is_read_or_rejected_and_stays_within_the_rings() {
    let parts: [&[u8]; 14] = [
        b"GET / HTTP/1.1\r\n",
        b"POST /x HTTP/1.1\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"Host: x\r\n",
        b"Content-Length: 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"abc",
        b"\0\xff\x80",
        b"\n",
        b": ",
        b"ffffffffffffffff\r\n",
    ];
    // Returns a number below `limit`, from a xorshift generator with a fixed seed: each run uses the same
    // input.
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    let mut random = |limit: usize| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state % limit as u64) as usize
    };
    for _ in 0..20_000 {
        let (mut request_ring, mut requests) = (Ring::new(2048), RequestReader::new(50));
        let (mut response_ring, mut responses) = (Ring::new(2048), ResponseReader::buffered(50));
        let (mut request_ok, mut response_ok) = (true, true);
        for _ in 0..random(12) {
            let mut piece = parts[random(parts.len())].to_vec();
            if random(4) == 0 {
                let at = random(piece.len());
                piece[at] = random(256) as u8;
            }
            if request_ok && request_ring.push(&piece).is_ok() {
                request_ok = requests.read(&mut request_ring).is_ok_and(|p| match p {
                    Parsed::Complete(request) => request.body.len() <= 50,
                    Parsed::Incomplete => true,
                });
            }
            if response_ok && response_ring.push(&piece).is_ok() {
                let input = if random(20) == 0 { InputState::Closed } else { InputState::Open };
                response_ok = responses.read(&mut response_ring, input).is_ok_and(|p| match p {
                    Parsed::Complete(response) => response.body.len() <= 50,
                    Parsed::Incomplete => responses.partial_response().is_none_or(|r| r.body.len() <= 51),
                });
            }
            assert!(request_ring.len() <= 2048 && response_ring.len() <= 2048);
        }
    }
}

//! The HTTP codec rejects ambiguous messages and preserves accepted ones byte for byte.

use dotterelspan::http::{
    BodyDecoder, BodyFraming, BodyStep, HeadLimits, HttpError, LAST_CHUNK, frame_request, frame_response,
    parse_request, parse_response, write_chunk,
};
use proptest::prelude::*;

const LIMITS: HeadLimits = HeadLimits { max_bytes: 8 * 1024 };

fn parse_framing(head: &str) -> Result<BodyFraming, HttpError> {
    let (head, _) = parse_request(head.as_bytes(), LIMITS)?.expect("the head is whole");
    frame_request(&head)
}

fn request_with(lines: &str) -> String {
    format!("POST /a HTTP/1.1\r\nHost: shop.example\r\n{lines}\r\n")
}

#[test]
fn lengths_that_could_be_read_in_two_ways_are_refused() {
    let faults = [
        (
            "both kinds of length",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        ),
        ("two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n"),
        (
            "the same length twice",
            "Content-Length: 4\r\nContent-Length: 4\r\n",
        ),
        ("a list of lengths", "Content-Length: 4, 4\r\n"),
        ("a signed length", "Content-Length: +4\r\n"),
        ("a negative length", "Content-Length: -4\r\n"),
        ("a length in hexadecimal", "Content-Length: 0x4\r\n"),
        ("an empty length", "Content-Length:\r\n"),
        (
            "a length beyond 64 bits",
            "Content-Length: 99999999999999999999999\r\n",
        ),
        ("an unknown coding", "Transfer-Encoding: gzip\r\n"),
        ("two codings", "Transfer-Encoding: gzip, chunked\r\n"),
        (
            "chunked twice",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        ),
        ("chunked with a tail", "Transfer-Encoding: chunked;q=1\r\n"),
        ("identity", "Transfer-Encoding: identity\r\n"),
    ];
    for (name, lines) in faults {
        assert_eq!(
            parse_framing(&request_with(lines)),
            Err(HttpError::Framing),
            "{name}"
        );
    }
    let old = "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(
        parse_framing(old),
        Err(HttpError::Framing),
        "chunks from a 1.0 sender"
    );
}

#[test]
fn malformed_heads_are_refused() {
    let faults = [
        ("a folded line", request_with("X-A: one\r\n two\r\n")),
        ("a space before the colon", request_with("Content-Length : 4\r\n")),
        (
            "a bare line feed",
            "POST /a HTTP/1.1\nHost: shop.example\n\n".to_owned(),
        ),
        (
            "one bare line feed among good ends",
            "POST /a HTTP/1.1\r\nHost: a\nContent-Length: 4\r\n\r\n".to_owned(),
        ),
        ("two hosts", request_with("Host: other.example\r\n")),
        ("no host", "POST /a HTTP/1.1\r\n\r\n".to_owned()),
        (
            "a target without a path",
            "POST a HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(),
        ),
        ("a zero byte in a value", request_with("X-A: a\0b\r\n")),
        (
            "a later version",
            "POST /a HTTP/2.0\r\nHost: a\r\n\r\n".to_owned(),
        ),
    ];
    for (name, text) in faults {
        let parsed = parse_request(text.as_bytes(), LIMITS).map(|found| found.map(|(head, _)| head.target));
        assert_eq!(parsed, Err(HttpError::Head), "{name}");
    }
}

#[test]
fn heads_over_the_limit_are_refused_before_they_are_whole() {
    let endless = format!("POST /{} HTTP/1.1\r\n", "a".repeat(LIMITS.max_bytes));
    assert!(matches!(
        parse_request(endless.as_bytes(), LIMITS),
        Err(HttpError::HeadTooLarge)
    ));
    let many = request_with(&"X-A: b\r\n".repeat(200));
    assert!(matches!(
        parse_request(many.as_bytes(), LIMITS),
        Err(HttpError::HeadTooLarge)
    ));
}

#[test]
fn a_second_request_on_the_connection_stays_where_it_is() {
    let first = request_with("Content-Length: 4\r\n");
    let text = format!("{first}bodyGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    let (head, used) = parse_request(text.as_bytes(), LIMITS)
        .expect("a good head")
        .expect("a whole head");
    assert_eq!((head.target.as_str(), used), ("/a", first.len()));
    let mut decoder = BodyDecoder::new(frame_request(&head).expect("a length"));
    let step = decoder.step(&text.as_bytes()[used..]).expect("a body");
    assert_eq!(step, BodyStep::Data { data: 0..4, used: 4 });
    assert!(decoder.is_done());
    let (next, _) = parse_request(&text.as_bytes()[used + 4..], LIMITS)
        .expect("a good head")
        .expect("a whole head");
    assert_eq!(next.target, "/b");
}

#[test]
fn targets_and_values_are_kept_byte_for_byte() {
    let text = "GET /a%2Fb/../c?x=%20&x=1;y HTTP/1.1\r\nHost: Shop.Example:80\r\nX-A:  b  c\r\nX-A: \r\n\r\n";
    let (head, used) = parse_request(text.as_bytes(), LIMITS)
        .expect("a good head")
        .expect("a whole head");
    assert_eq!(head.target, "/a%2Fb/../c?x=%20&x=1;y");
    assert_eq!(head.host().as_deref(), Some("shop.example"));
    assert_eq!(used, text.len());
    let values: Vec<&[u8]> = head.headers.all("x-a").collect();
    assert_eq!(values, [&b"b  c"[..], &b""[..]]);
}

#[test]
fn malformed_chunks_are_refused() {
    let faults: [&[u8]; 8] = [
        b"g\r\n",
        b"-1\r\na\r\n",
        b"0x1\r\na\r\n",
        b"1\na\n",
        b"1 \r\na\r\n",
        b"\r\n",
        b"11111111111111111\r\n",
        b"1\r\nab\r\n0\r\n\r\n",
    ];
    for bytes in faults {
        assert_eq!(decode_all(bytes, bytes.len()), Err(HttpError::Chunk), "{bytes:?}");
    }
}

#[test]
fn trailers_without_an_end_are_refused_whatever_their_lines_add_up_to() {
    // The first line ends exactly at the limit on trailers, or a few bytes before or after it.
    for first in 4_080..4_110_usize {
        let mut body = b"0\r\n".to_vec();
        body.extend_from_slice(&vec![b'a'; first]);
        body.extend_from_slice(b"\r\n");
        body.extend_from_slice(&b"X-Line: a\r\n".repeat(1_000));
        assert!(decode_all(&body, 64).is_err(), "a first line of {first} bytes");
    }
}

#[test]
fn an_answer_without_a_length_ends_only_with_its_connection() {
    let (head, _) = parse_response(b"HTTP/1.1 200 OK\r\n\r\n", LIMITS)
        .expect("good")
        .expect("whole");
    assert_eq!(frame_response(&head, "GET"), Ok(BodyFraming::UntilClose));
    assert_eq!(frame_response(&head, "HEAD"), Ok(BodyFraming::Empty));
    let decoder = BodyDecoder::new(BodyFraming::UntilClose);
    assert!(decoder.ends_with_connection() && !decoder.is_done());
    let truncated = BodyDecoder::new(BodyFraming::Length(3));
    assert!(!truncated.ends_with_connection(), "a cut body is not a whole one");
}

/// Decodes a chunked body that arrives in pieces of `piece` bytes; `None` if it is incomplete.
#[test]
fn a_decoder_that_failed_takes_no_later_bytes_for_the_end_of_the_body() {
    let too_many_trailers = format!("\r\n0\r\n{}", "X-Line: a\r\n".repeat(500));
    for invalid in [too_many_trailers.as_str(), "\r\nz\r\n", "zz"] {
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        assert!(decoder.step(b"1\r\na").is_ok());
        assert!(decoder.step(invalid.as_bytes()).is_err(), "{invalid:?}");
        for later in [invalid, "\r\n", "\r\n0\r\n\r\n", ""] {
            assert!(
                decoder.step(later.as_bytes()).is_err(),
                "{invalid:?}, then {later:?}"
            );
        }
        assert!(!decoder.is_done());
    }
}

fn decode_all(bytes: &[u8], piece: usize) -> Result<Option<Vec<u8>>, HttpError> {
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let (mut buffer, mut body) = (Vec::new(), Vec::new());
    for arrived in bytes.chunks(piece.max(1)) {
        buffer.extend_from_slice(arrived);
        loop {
            let used = match decoder.step(&buffer)? {
                BodyStep::Data { data, used } => {
                    body.extend_from_slice(&buffer[data]);
                    used
                }
                BodyStep::Done { used } => {
                    buffer.drain(..used);
                    return Ok(Some(body));
                }
                BodyStep::More { used } => {
                    buffer.drain(..used);
                    break;
                }
            };
            buffer.drain(..used);
        }
    }
    Ok(None)
}

proptest! {
    #[test]
    fn chunked_bodies_come_back_whole_however_they_are_cut(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..400), 0..8),
        piece_bytes in 1_usize..64,
    ) {
        let mut bytes = Vec::new();
        for piece in &pieces {
            write_chunk(&mut bytes, piece);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        prop_assert_eq!(decode_all(&bytes, piece_bytes), Ok(Some(pieces.concat())));
        // A truncated body is not taken for a complete one.
        let shorter = &bytes[..bytes.len() - 1];
        prop_assert_eq!(decode_all(shorter, piece_bytes), Ok(None));
    }

    #[test]
    fn any_bytes_are_read_or_refused_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..600), piece_bytes in 1_usize..32) {
        let _ = parse_request(&bytes, LIMITS);
        let _ = parse_response(&bytes, LIMITS);
        let _ = decode_all(&bytes, piece_bytes);
    }

    #[test]
    fn a_head_is_the_same_however_it_arrives(value in "[ -~]{0,60}", prefix_bytes in 0_usize..80) {
        let text = request_with(&format!("X-A: {value}\r\n"));
        let prefix_bytes = prefix_bytes.min(text.len() - 1);
        prop_assert!(parse_request(&text.as_bytes()[..prefix_bytes], LIMITS).is_ok_and(|found| found.is_none()));
        let (head, used) = parse_request(text.as_bytes(), LIMITS).expect("good").expect("whole");
        prop_assert_eq!(used, text.len());
        prop_assert_eq!(head.headers.text("x-a"), Some(value.trim_matches(' ')));
    }
}

// Guards against an answer whose status is none of HTTP and that is passed on as it came.
#[test]
fn a_response_needs_a_status_of_http_that_needs_no_upgrade() {
    for status in 0..1_000_u16 {
        let text = format!("HTTP/1.1 {status:03} Status\r\n\r\n");
        let parsed = parse_response(text.as_bytes(), LIMITS);
        let status_read = parsed.map(|parsed| parsed.map(|(head, _)| (head.status, head.is_interim())));
        match status {
            100 | 102..=199 => assert_eq!(status_read, Ok(Some((status, true)))),
            200..=599 => assert_eq!(status_read, Ok(Some((status, false)))),
            _ => assert_eq!(status_read, Err(HttpError::Status), "{status}"),
        }
    }
}

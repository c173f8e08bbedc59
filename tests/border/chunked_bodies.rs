//! Decoding of chunked bodies.

use bytes::BytesMut;
use cv_http::ChunkDecoder;
use cv_http::ChunkStep;
use cv_http::HttpFault;
use proptest::prelude::*;
use rstest::rstest;

/// Decodes a body that arrives in parts; returns its bytes, and whether it has ended.
fn decode(parts: &[&[u8]]) -> Result<(Vec<u8>, bool), HttpFault> {
    let (mut decoder, mut buffer, mut body) =
        (ChunkDecoder::default(), BytesMut::new(), Vec::new());
    for part in parts {
        buffer.extend_from_slice(part);
        loop {
            match decoder.decode(&mut buffer)? {
                ChunkStep::Piece(piece) => body.extend_from_slice(&piece),
                ChunkStep::NeedsBytes => break,
                ChunkStep::End => return Ok((body, true)),
            }
        }
    }
    Ok((body, false))
}

#[rstest]
#[case::one_chunk("3\r\nabc\r\n0\r\n\r\n", "abc", true)]
#[case::two_chunks("1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", "abc", true)]
#[case::upper_case_and_leading_zeros("000A\r\n0123456789\r\n0\r\n\r\n", "0123456789", true)]
#[case::extension("1;name=value\r\na\r\n0\r\n\r\n", "a", true)]
#[case::trailers("1\r\na\r\n0\r\nx: 1\r\ny: 2\r\n\r\n", "a", true)]
#[case::empty("0\r\n\r\n", "", true)]
#[case::within_a_chunk("5\r\nabc", "abc", false)]
#[case::before_the_last_chunk("3\r\nabc\r\n", "abc", false)]
#[case::before_the_last_line("3\r\nabc\r\n0\r\n", "abc", false)]
#[case::within_a_size("3\r\nabc\r\n1", "abc", false)]
fn a_body_is_decoded(#[case] bytes: &str, #[case] body: &str, #[case] is_whole: bool) {
    let decoded = decode(&[bytes.as_bytes()]).expect("a valid body");
    assert_eq!(decoded, (body.as_bytes().to_vec(), is_whole));
}

#[rstest]
#[case::no_size("\r\nabc\r\n")]
#[case::no_digits("zz\r\n")]
#[case::signed_size("+3\r\nabc\r\n")]
#[case::space_before_size(" 3\r\nabc\r\n")]
#[case::two_sizes("3 3\r\nabc\r\n")]
#[case::overflow("10000000000000000\r\nabc\r\n")]
#[case::bare_line_feed("3\nabc\r\n")]
#[case::data_longer_than_chunk("3\r\nabcd\r\n")]
fn an_invalid_body_is_refused(#[case] bytes: &str) {
    let decoded = decode(&[bytes.as_bytes()]);
    assert!(matches!(decoded, Err(HttpFault::Malformed(_))), "{decoded:?}");
}

proptest! {
    #[test]
    fn the_boundaries_of_reads_do_not_matter(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..8),
        read_size in 1usize..20,
    ) {
        let mut bytes = Vec::new();
        for chunk in &chunks {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\nx: y\r\n\r\n");
        let parts: Vec<&[u8]> = bytes.chunks(read_size).collect();
        let decoded = decode(&parts).expect("a valid body");
        prop_assert_eq!(decoded, (chunks.concat(), true));
    }
}

//! Property tests: valid, corrupted and random streams that arrive in arbitrary parts.

use doortrack_fakes::split_at_offsets;
use doortrack_protocols::{
    Protocol, ProtocolError, Response, ResponseHead, ResponseOutcome, ResponseReader, Variable,
    write_request, write_response,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixture::*;

fn without_excess(read: ResponseOutcome) -> ResponseOutcome {
    match read {
        ResponseOutcome::Complete(response) => ResponseOutcome::Complete(Response {
            excess: false,
            ..response
        }),
        refused => refused,
    }
}

fn bytes(max_len: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..max_len)
}

/// A stream from the requesting side: valid, valid except for one byte, or random.
fn streams() -> impl Strategy<Value = (Protocol, Vec<u8>)> {
    let protocol = prop_oneof![Just(Protocol::FastCgi), Just(Protocol::Uwsgi)];
    let fields = prop::collection::vec(
        (prop::collection::vec(any::<u8>(), 0..40), any::<u8>()),
        0..6,
    );
    let body = prop::collection::vec(any::<u8>(), 0..300);
    let random_bytes = prop::collection::vec(any::<u8>(), 0..300);
    (
        protocol,
        fields,
        body,
        random_bytes,
        any::<Option<(u16, u8)>>(),
        0..4u8,
    )
        .prop_map(
            |(protocol, fields, body, random_bytes, change, stream_kind)| {
                if stream_kind == 0 {
                    return (protocol, random_bytes);
                }
                let variables: Vec<Variable> = fields
                    .iter()
                    .map(|(name, byte)| (&name[..], std::slice::from_ref(byte)))
                    .collect();
                let mut out = Vec::new();
                write_request(protocol, &mut out, 7, true, &variables, &body).unwrap();
                if let Some((offset, byte)) = change.filter(|_| stream_kind == 1) {
                    let offset = usize::from(offset) % out.len();
                    out[offset] = byte;
                }
                (protocol, out)
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d0072ac),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_stream_gives_the_same_events_in_any_parts(
        (protocol, stream) in streams(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let whole = events(protocol, &[&stream]);
        let cuts = cuts.iter().map(|offset| offset.index(stream.len() + 1)).collect();
        let parts = split_at_offsets(&stream, cuts);
        let cut = events(protocol, &parts);
        prop_assert_eq!(&cut.1, &whole.1);
        // The last event before an error may be reported or not, depending on the parts.
        let valid = whole.0.len() - usize::from(whole.1.is_some() && !whole.0.is_empty());
        prop_assert_eq!(&cut.0[..valid.min(cut.0.len())], &whole.0[..valid]);
        prop_assert!(whole.1.is_some() || cut.0 == whole.0);
    }

    #[test]
    fn a_written_request_is_read_back(
        names in prop::collection::vec(bytes(300), 0..5),
        body in bytes(3000),
    ) {
        for protocol in Protocol::ALL {
            let names = names.iter().filter(|name| *name != b"CONTENT_LENGTH");
            let variables: Vec<Variable> = names.map(|name| (&name[..], &name[..name.len() / 2])).collect();
            let mut out = Vec::new();
            write_request(protocol, &mut out, 7, true, &variables, &body).unwrap();
            let (events_read, error) = events(protocol, &[&out]);
            prop_assert_eq!(error, None);
            let contents = |stream_kind: &str| -> Vec<u8> {
                let matching = events_read.iter().filter(|(name, _)| name.starts_with(stream_kind));
                matching.flat_map(|(_, bytes)| bytes.clone()).collect()
            };
            let block = contents("params");
            let read = protocol.read_variables(&block).unwrap();
            let length = body.len().to_string();
            prop_assert_eq!(&read[..variables.len()], &variables[..]);
            prop_assert_eq!(read[variables.len()], (&b"CONTENT_LENGTH"[..], length.as_bytes()));
            prop_assert_eq!(contents("stdin"), body.clone());
            for length in 0..=block.len() {
                let leading = protocol.read_leading_variables(&block[..length]);
                prop_assert_eq!(&leading[..], &read[..leading.len()]);
                prop_assert_eq!(leading.len() == read.len(), length == block.len());
            }
        }
    }

    #[test]
    fn a_response_gives_the_same_outcome_in_any_parts(
        random_bytes in bytes(200),
        body in bytes(200),
        change in any::<Option<(u16, u8)>>(),
        offset in any::<prop::sample::Index>(),
    ) {
        for protocol in Protocol::ALL {
            let mut valid = Vec::new();
            let head = ResponseHead { status: "200 OK", headers: &[("A", "b")], extra_lines: b"" };
            write_response(protocol, &mut valid, 1, head, &body);
            if let Some((offset, byte)) = change {
                let offset = usize::from(offset) % valid.len();
                valid[offset] = byte;
            }
            for stream in [&random_bytes, &valid] {
                let whole = read_response(protocol, stream);
                let (first, second) = stream.split_at(offset.index(stream.len() + 1));
                let mut reader = ResponseReader::new(protocol, 1, 4096);
                let cut = match reader.read(&mut &first[..]) {
                    Ok(None) => reader.read(&mut &second[..]),
                    ended => ended,
                };
                // Bytes beyond the announced length are detected only if they arrive with the last part.
                let comparable = |read: Result<Option<ResponseOutcome>, ProtocolError>| {
                    read.map(|read| read.map(without_excess))
                };
                prop_assert_eq!(comparable(cut), comparable(whole));
            }
        }
    }
}

//! Benchmarks of both protocol codecs: reading a request, and writing and reading an answer.

use criterion::measurement::WallTime;
use criterion::{BenchmarkGroup, Criterion, Throughput, criterion_group, criterion_main};
use doortrack_fakes::caller::CallerRequest;
use doortrack_protocols::{
    Protocol, RequestEvent, RequestReader, ResponseHead, ResponseReader, write_response,
};

const BODY: [u8; 512] = [b'x'; 512];
/// Maximum length of an answer body, in bytes.
const MAX_BODY_BYTES: usize = 4096;
const HEADERS: [(&str, &str); 2] = [
    ("Content-Type", "application/octet-stream"),
    ("X-Load-Signal", "0.25"),
];

fn codecs(criterion: &mut Criterion) {
    for protocol in Protocol::ALL {
        let mut group = criterion.benchmark_group(protocol.name());
        group.throughput(Throughput::Elements(1));
        requests(&mut group, protocol);
        answers(&mut group, protocol);
        group.finish();
    }
}

fn requests(group: &mut BenchmarkGroup<WallTime>, protocol: Protocol) {
    let request = CallerRequest::new(1, "/svc/look", &BODY).bytes(protocol);
    group.bench_function("read a request", |bencher| {
        bencher.iter(|| {
            let mut reader = RequestReader::new(protocol);
            let (mut input, mut byte_count) = (&request[..], 0);
            while let Ok(Some(event)) = reader.next(&mut input) {
                if let RequestEvent::Params { bytes, .. } | RequestEvent::Stdin { bytes, .. } =
                    event
                {
                    byte_count += bytes.len();
                }
            }
            byte_count
        })
    });
    let variables = variable_block(protocol, &request);
    group.bench_function("find the variables", |bencher| {
        bencher.iter(|| {
            protocol
                .read_variables(&variables)
                .map(|variables| variables.len())
        })
    });
}

/// Returns the encoded variables of a request.
fn variable_block(protocol: Protocol, mut request: &[u8]) -> Vec<u8> {
    let mut reader = RequestReader::new(protocol);
    let mut block = Vec::new();
    while let Ok(Some(event)) = reader.next(&mut request) {
        if let RequestEvent::Params { bytes, .. } = event {
            block.extend(bytes);
        }
    }
    block
}

fn answers(group: &mut BenchmarkGroup<WallTime>, protocol: Protocol) {
    let head = || ResponseHead {
        status: "200 OK",
        headers: &HEADERS,
        extra_lines: b"",
    };
    let mut out = Vec::with_capacity(4096);
    group.bench_function("write an answer", |bencher| {
        bencher.iter(|| {
            out.clear();
            write_response(protocol, &mut out, 1, head(), &BODY);
            out.len()
        })
    });
    let mut answer = Vec::new();
    write_response(protocol, &mut answer, 1, head(), &BODY);
    group.bench_function("read an answer", |bencher| {
        bencher.iter(|| ResponseReader::new(protocol, 1, MAX_BODY_BYTES).read(&mut &answer[..]))
    });
}

criterion_group!(benches, codecs);
criterion_main!(benches);

//! Parsers and writers of both protocols by themselves: one request read whole, one answer written.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use doortrack_fakes::caller::Ask;
use doortrack_protocols::{
    Protocol, RequestEvent, RequestReader, ResponseHead, ResponseReader, write_response,
};

fn codecs(criterion: &mut Criterion) {
    for protocol in Protocol::ALL {
        let body = [b'x'; 512];
        let request = Ask::new(1, "/svc/look", &body).bytes(protocol);
        let mut group = criterion.benchmark_group(protocol.name());
        group.throughput(Throughput::Elements(1));
        group.bench_function("read a request", |bencher| {
            bencher.iter(|| {
                let (mut reader, mut input, mut bytes) =
                    (RequestReader::new(protocol), &request[..], 0);
                while let Ok(Some(piece)) = reader.next(&mut input) {
                    if let RequestEvent::Params { bytes: part, .. }
                    | RequestEvent::Stdin { bytes: part, .. } = piece
                    {
                        bytes += part.len();
                    }
                }
                bytes
            })
        });
        let block: Vec<u8> = {
            let (mut reader, mut input, mut block) =
                (RequestReader::new(protocol), &request[..], Vec::new());
            while let Ok(Some(piece)) = reader.next(&mut input) {
                if let RequestEvent::Params { bytes, .. } = piece {
                    block.extend(bytes);
                }
            }
            block
        };
        group.bench_function("find the variables", |bencher| {
            bencher.iter(|| protocol.read_variables(&block).map(|pairs| pairs.len()))
        });
        let mut out = Vec::with_capacity(4096);
        let headers = [
            ("Content-Type", "application/octet-stream"),
            ("X-Load-Signal", "0.25"),
        ];
        let head = || ResponseHead {
            status: "200 OK",
            headers: &headers,
            extra_lines: b"",
        };
        group.bench_function("write an answer", |bencher| {
            bencher.iter(|| {
                out.clear();
                write_response(protocol, &mut out, 1, head(), &body);
                out.len()
            })
        });
        let mut answer = Vec::new();
        write_response(protocol, &mut answer, 1, head(), &body);
        group.bench_function("read an answer", |bencher| {
            bencher.iter(|| ResponseReader::new(protocol, 1, 4096).read(&mut &answer[..]))
        });
        group.finish();
    }
}

criterion_group!(benches, codecs);
criterion_main!(benches);

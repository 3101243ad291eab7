//! Parsers and writers of both protocols: one request read, one answer written and read.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use doortrack_fakes::caller::Ask;
use doortrack_protocols::{AnswerReader, Head, Piece, Protocol, RequestReader, write_answer};

fn codecs(criterion: &mut Criterion) {
    for protocol in Protocol::ALL {
        let body = [b'x'; 512];
        let request = Ask::new(1, "/svc/look", &body).bytes(protocol);
        let mut group = criterion.benchmark_group(protocol.name());
        group.throughput(Throughput::Elements(1));
        group.bench_function("read a request", |bencher| {
            bencher.iter(|| {
                let mut reader = RequestReader::new(protocol);
                let (mut input, mut byte_count) = (&request[..], 0);
                while let Ok(Some(piece)) = reader.next(&mut input) {
                    if let Piece::Params { bytes, .. } | Piece::Stdin { bytes, .. } = piece {
                        byte_count += bytes.len();
                    }
                }
                byte_count
            })
        });
        let block: Vec<u8> = {
            let (mut reader, mut input, mut block) =
                (RequestReader::new(protocol), &request[..], Vec::new());
            while let Ok(Some(piece)) = reader.next(&mut input) {
                if let Piece::Params { bytes, .. } = piece {
                    block.extend(bytes);
                }
            }
            block
        };
        group.bench_function("find the variables", |bencher| {
            bencher.iter(|| protocol.pairs(&block).map(|pairs| pairs.len()))
        });
        let mut out = Vec::with_capacity(4096);
        let headers = [
            ("Content-Type", "application/octet-stream"),
            ("X-Load-Signal", "0.25"),
        ];
        let head = || Head {
            status: "200 OK",
            headers: &headers,
            more: b"",
        };
        group.bench_function("write an answer", |bencher| {
            bencher.iter(|| {
                out.clear();
                write_answer(protocol, &mut out, 1, head(), &body);
                out.len()
            })
        });
        let mut answer = Vec::new();
        write_answer(protocol, &mut answer, 1, head(), &body);
        group.bench_function("read an answer", |bencher| {
            bencher.iter(|| AnswerReader::new(protocol, 1, 4096).take(&mut &answer[..]))
        });
        group.finish();
    }
}

criterion_group!(benches, codecs);
criterion_main!(benches);

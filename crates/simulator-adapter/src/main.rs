//! Runs the admission controller against the simulator, with one controller per simulated node. Reads batches of
//! events from standard input, and writes one reply with actions per batch to standard output. The protocol is
//! specified in `WIRE-doortrack.md`.

mod batch;
mod codes;
mod decode;
mod encode;
mod error;
mod nodes;

use std::io::{self, Read, Write};
use std::process::ExitCode;

use batch::BatchReader;
use encode::Reply;
use error::AdapterError;
use nodes::Nodes;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("doortrack-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers every batch until the input ends.
fn serve(input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut batches = BatchReader::new(input);
    let mut nodes = Nodes::default();
    let mut reply = Reply::new();
    while let Some(batch) = batches.next_batch()? {
        nodes.receive(&batch)?;
        reply.clear();
        nodes.decide(batch.now, &mut reply);
        let offset = batch.end();
        let bytes = reply
            .finish()
            .ok_or(AdapterError::ReplyTooLong { offset })?;
        output
            .write_all(bytes)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}

//! What passes on one connection to an application server: a run is written, its answer is read.

use std::io::{ErrorKind, Read, Write};

use doortrack_protocols::{AnswerReader, Answered, Protocol};
use doortrack_time::TenthMillis;
use doortrack_upstream::{ConnId, ResponseEnd, RunId};
use polling::{Event, PollMode};

use super::{ID, Servers};

impl Servers {
    fn lost(&mut self, conn: ConnId, now: TenthMillis) {
        self.drop_sock(conn);
        self.pool.connection_lost(conn, now, &mut self.actions);
    }

    pub(super) fn send(&mut self, conn: ConnId, run: RunId, now: TenthMillis) {
        let Some(sock) = self.socks.get_mut(conn).and_then(Option::as_mut) else {
            return;
        };
        // The last look before a kept one is used: what its server closed meanwhile would take the run with
        // it.
        if !sock
            .sock
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
        {
            return self.lost(conn, now);
        }
        (sock.run, sock.written) = (Some(run), 0);
        sock.reader = AnswerReader::new(self.protocol, ID, self.most_answer);
        self.write(conn, now);
    }

    pub(super) fn write(&mut self, conn: ConnId, now: TenthMillis) {
        let Some(sock) = self.socks.get_mut(conn).and_then(Option::as_mut) else {
            return;
        };
        let request = sock
            .run
            .and_then(|run| self.requests.get(&run))
            .map_or(&[][..], Vec::as_slice);
        while sock.written < request.len() {
            match sock.sock.write(&request[sock.written..]) {
                Ok(n) if n > 0 => {
                    if sock.written == 0 {
                        self.pool.request_sent(conn);
                    }
                    sock.written += n;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // It takes no more of it; perhaps it has answered already. If not, reading tells.
                _ if sock.written > 0 => {
                    sock.written = request.len();
                    return self.read(conn, now);
                }
                _ => return self.lost(conn, now),
            }
        }
        let wants = sock.written < request.len();
        if wants != sock.watches_writes {
            let event = Event::new(self.first_key + conn, true, wants);
            if self
                .poller
                .modify_with_mode(&sock.sock, event, PollMode::Level)
                .is_ok()
            {
                sock.watches_writes = wants;
            }
        }
    }

    pub(super) fn read(&mut self, conn: ConnId, now: TenthMillis) {
        let mut scratch = std::mem::take(&mut self.scratch);
        self.read_into(conn, &mut scratch, now);
        self.scratch = scratch;
    }

    fn read_into(&mut self, conn: ConnId, scratch: &mut [u8], now: TenthMillis) {
        let Some(sock) = self.socks.get_mut(conn).and_then(Option::as_mut) else {
            return;
        };
        let n = match sock.sock.read(scratch) {
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => return,
            Err(_) => return self.lost(conn, now),
        };
        // On one that carries nothing there is nothing to be read but its end.
        if sock.run.is_none() {
            return self.lost(conn, now);
        }
        if n == 0 {
            return match sock.reader.closed() {
                Ok(answer) => self.over(conn, Answered::Whole(answer), false, now),
                Err(_) => self.lost(conn, now),
            };
        }
        let mut input = &scratch[..n];
        match sock.reader.take(&mut input) {
            Ok(Some(answered)) => self.over(conn, answered, input.is_empty(), now),
            Ok(None) => {}
            Err(_) => self.lost(conn, now),
        }
    }

    fn over(&mut self, conn: ConnId, answered: Answered, clean: bool, now: TenthMillis) {
        let Some(sock) = self.socks.get_mut(conn).and_then(Option::as_mut) else {
            return;
        };
        let Some(run) = sock.run.take() else { return };
        let whole = self
            .requests
            .get(&run)
            .is_some_and(|request| request.len() == sock.written);
        let keep = clean && whole && self.keep && self.protocol == Protocol::FastCgi;
        let over = match answered {
            Answered::Whole(answer) => {
                let keep = keep && !answer.excess;
                if (200..300).contains(&answer.status) {
                    self.results.insert(run, answer);
                    ResponseEnd::Completed { reusable: keep }
                } else {
                    ResponseEnd::Failed { reusable: keep }
                }
            }
            Answered::Refused(_) => ResponseEnd::Refused { reusable: keep },
        };
        self.pool.response_ended(conn, over, now, &mut self.actions);
        self.forget_gone();
    }
}

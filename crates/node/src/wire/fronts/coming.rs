//! How connections come and go: fronts opened and withdrawn, connections accepted, swept and closed.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};

use doortrack_protocols::{Protocol, RequestReader};
use doortrack_time::TenthMillis;
use polling::{Event, PollMode};
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

use super::{Counts, FIRST_KEY, Front, FrontEvent, Fronts, LISTEN_KEY};
use crate::wire::bounds::{self, ACCEPTS, EVICTED, FRESH, LAST_TURNS, MOST_FRONTS};
use crate::wire::conn::{Conn, Use};
use crate::wire::end::End;
use crate::wire::request::{Answer, Unreadable};

/// Whether the process (EMFILE) or the whole system (ENFILE) has no descriptor left.
fn lacks_descriptor(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE)
    )
}

impl Fronts {
    /// Opens a front. `most` bounds its connections; all fronts together keep within the node's own bound.
    pub fn listen(
        &mut self,
        at: SocketAddr,
        protocol: Protocol,
        most: Option<usize>,
    ) -> io::Result<()> {
        if self.fronts.len() >= MOST_FRONTS {
            return Err(io::Error::other(
                "too many fronts, those that are drained included",
            ));
        }
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        // A node that was killed comes back under its address at once.
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(bounds::backlog(self.room.connections))?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(socket);
        let entry = self.fronts.vacant_entry();
        let key = LISTEN_KEY + entry.key();
        // SAFETY: the listener is taken out of the poller in `shut`, or lives as long as it.
        unsafe {
            self.poller
                .add_with_mode(&listener, Event::readable(key), PollMode::Level)?
        };
        let most = most.unwrap_or(usize::MAX);
        let (listener, counts) = (Some(listener), Counts::default());
        // The first is there from the start to the end.
        let (platform, withdrawn, accepting) = (key == LISTEN_KEY, false, true);
        let front = Front {
            protocol,
            at,
            most,
            listener,
            withdrawn,
            platform,
            accepting,
            connections: 0,
            counts,
        };
        entry.insert(front);
        Ok(())
    }

    /// Changes the bound on a front's connections; those that are open stay.
    pub fn bound(&mut self, at: SocketAddr, most: Option<usize>) {
        for (_, front) in self.fronts.iter_mut().filter(|(_, front)| front.is_at(at)) {
            front.most = most.unwrap_or(usize::MAX);
        }
        self.accept_all(true);
    }

    /// Takes a front out of service: what the machine has accepted for it is still read, once more, and
    /// answered; what comes after that is refused, and it is forgotten with the last connection.
    pub fn withdraw(
        &mut self,
        at: SocketAddr,
        now: TenthMillis,
        front_events: &mut Vec<FrontEvent>,
    ) {
        let slots = self.fronts.iter().filter(|(_, front)| front.is_at(at));
        let slots: Vec<usize> = slots.map(|(front, _)| front).collect();
        slots
            .into_iter()
            .for_each(|front| self.shut(front, End::Withdrawn, now, front_events));
    }

    /// Takes in what the machine has accepted on any front, and nothing after it.
    pub fn last_reading(&mut self, now: TenthMillis, front_events: &mut Vec<FrontEvent>) {
        let slots: Vec<usize> = self.fronts.iter().map(|(front, _)| front).collect();
        slots
            .into_iter()
            .for_each(|front| self.shut(front, End::Left, now, front_events));
    }

    /// Takes in the backlog of a front, reads each of its connections once more, and ends those with nothing
    /// open from then on.
    fn shut(
        &mut self,
        front: usize,
        end: End,
        now: TenthMillis,
        front_events: &mut Vec<FrontEvent>,
    ) {
        // One that was withdrawn before takes in nobody. It may go with its last connection meanwhile.
        if self
            .fronts
            .get(front)
            .is_some_and(|front| front.listener.is_some())
        {
            // There is no later turn for what waits in the backlog, so nobody is spared for being fresh.
            while self.accept_sparing(0, front, now, front_events) {}
        }
        let Some(shut) = self.fronts.get_mut(front) else {
            return;
        };
        if let Some(listener) = shut.listener.take() {
            _ = self.poller.delete(&listener);
        }
        shut.withdrawn |= end == End::Withdrawn;
        let slots = self.conns.iter().filter(|(_, conn)| conn.front == front);
        let slots: Vec<usize> = slots.map(|(slot, _)| slot).collect();
        for slot in slots {
            for _ in 0..LAST_TURNS {
                if self.conns.get(slot).is_some_and(|conn| conn.reading) {
                    self.read(slot, now, front_events);
                }
            }
            if self.conns.contains(slot) {
                self.answer_half_read(slot, Answer::NoRoom);
                self.end_once_answered(slot, end);
            }
        }
        self.forget_if_over(front);
    }

    /// A front that was withdrawn goes with its last connection; what it counted stays in the whole.
    fn forget_if_over(&mut self, front: usize) {
        if self
            .fronts
            .get(front)
            .is_some_and(|front| front.withdrawn && front.connections == 0)
        {
            let front = self.fronts.remove(front);
            self.gone.add(&front.counts);
        }
    }

    /// Takes what the machine accepted; whether more may be waiting.
    pub fn accept(
        &mut self,
        front: usize,
        now: TenthMillis,
        front_events: &mut Vec<FrontEvent>,
    ) -> bool {
        self.accept_sparing(FRESH, front, now, front_events)
    }

    /// The same; where room has to be made, those are spared on which something moved so lately.
    fn accept_sparing(
        &mut self,
        fresh: TenthMillis,
        front: usize,
        now: TenthMillis,
        front_events: &mut Vec<FrontEvent>,
    ) -> bool {
        let quiet_since = now.saturating_sub(fresh);
        if !self.fronts.contains(front) {
            return false;
        }
        for nth in 0..ACCEPTS {
            // Only the first is known to be waiting, so room is made for no more than one.
            let bounded = self.bounded(front);
            if self.is_full(front)
                && !(nth == 0 && self.make_room(bounded, quiet_since, front_events))
            {
                // A full table is no reason to fall over: the rest waits in the backlog for a close.
                self.accept_again(front, nth > 0);
                return nth > 0;
            }
            let Some(listener) = &self.fronts[front].listener else {
                return false;
            };
            match listener.accept() {
                // One that is gone again before it was taken in has brought nothing.
                Ok((sock, peer)) => {
                    _ = self.take_in(sock, peer.ip(), front, now);
                    self.make_room_ahead(front, quiet_since, now, front_events);
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                // The system takes a descriptor before it looks for a connection, so after the first one
                // this says nothing of whether more are waiting.
                Err(e) if lacks_descriptor(&e) => {
                    if nth > 0 || !self.make_room(None, quiet_since, front_events) {
                        self.accept_again(front, nth > 0);
                        return nth > 0;
                    }
                }
                Err(e) => {
                    // The listener may stay ready; it is asked again at a sweep.
                    if e.kind() != ErrorKind::WouldBlock {
                        self.accept_again(front, false);
                    }
                    return false;
                }
            }
        }
        true
    }

    fn is_full(&self, front: usize) -> bool {
        let front = &self.fronts[front];
        self.conns.len() >= self.room.connections || front.connections >= front.most
    }

    fn take_in(
        &mut self,
        sock: TcpStream,
        peer: IpAddr,
        front: usize,
        now: TenthMillis,
    ) -> io::Result<()> {
        sock.set_nonblocking(true)?;
        sock.set_nodelay(true)?;
        let entry = self.conns.vacant_entry();
        let interest = Event::readable(FIRST_KEY + entry.key());
        // SAFETY: the socket is taken out of the poller in `close`, before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&sock, interest, PollMode::Level)?
        };
        let of = &mut self.fronts[front];
        (of.counts.accepted, of.connections) = (of.counts.accepted + 1, of.connections + 1);
        entry.insert(Conn::new(
            sock,
            peer,
            front,
            RequestReader::new(of.protocol),
            now,
        ));
        Ok(())
    }

    /// Makes sure that a place is there, where `make_room_ahead` could not: closes some that were told the
    /// end or never asked for anything, those first that came first; where there are none, the one that lay
    /// idle longest, or the part of a request that stands still longest. Many that come only to sit there so
    /// cost those that ask little. `among` is the front whose own bound is met; none where the table is full,
    /// or the process has no descriptor left.
    fn make_room(
        &mut self,
        among: Option<usize>,
        quiet_since: TenthMillis,
        front_events: &mut Vec<FrontEvent>,
    ) -> bool {
        let useless = self.least_missed(among, quiet_since);
        let silent = useless
            .partition_point(|(good_for, ..)| *good_for == Use::None)
            .min(EVICTED);
        let before = self.conns.len();
        for (good_for, _, slot) in useless {
            if before - self.conns.len() >= if good_for == Use::None { silent } else { 1 } {
                break;
            }
            if self.conns[slot].lingers || self.conns[slot].nothing_came() {
                self.close(slot, End::Evicted, front_events);
            }
        }
        self.conns.len() < before
    }

    /// Tells some the end while there are places left, so that what crosses it meets no reset. Only a burst
    /// of callers faster than their peers close, and a table with no place to spare, come to `make_room`.
    fn make_room_ahead(
        &mut self,
        front: usize,
        quiet_since: TenthMillis,
        now: TenthMillis,
        front_events: &mut Vec<FrontEvent>,
    ) {
        let among = self.bounded(front);
        let (_, places, free) = self.tighter_bound(front);
        let spare = bounds::spare(places);
        if free >= spare {
            return;
        }
        let going = |conn: &Conn| conn.lingers && among.is_none_or(|front| conn.front == front);
        let going = self.conns.iter().filter(|(_, conn)| going(conn)).count();
        let wanted = spare.saturating_sub(free + going);
        // Half of them at once, as each look goes over all connections.
        if 2 * wanted <= spare {
            return;
        }
        let stays = |conn: &Conn| !conn.lingers && conn.open.is_empty() && conn.nothing_came();
        let useless = self
            .least_missed(among, quiet_since)
            .into_iter()
            .map(|(.., slot)| slot);
        let useless: Vec<usize> = useless
            .filter(|slot| stays(&self.conns[*slot]))
            .take(wanted)
            .collect();
        useless
            .into_iter()
            .for_each(|slot| self.hang_up(slot, End::Evicted, now, front_events));
    }

    /// Whether a front's own bound is met before that of the table, how many places that is, and how many of
    /// them are free.
    fn tighter_bound(&self, front: usize) -> (bool, usize, usize) {
        let of = &self.fronts[front];
        let own = (true, of.most, of.most.saturating_sub(of.connections));
        let all = (
            false,
            self.room.connections,
            self.room.connections.saturating_sub(self.conns.len()),
        );
        if own.2 < all.2 { own } else { all }
    }

    /// The front among whose connections room is made for one more on `front`: itself, if it is at its own
    /// bound; none where that of the table is met first.
    fn bounded(&self, front: usize) -> Option<usize> {
        let (own, ..) = self.tighter_bound(front);
        own.then_some(front)
    }

    /// Connections that could be let go of, those first that are missed least: what they are good for, when
    /// something last moved on them, and where they are.
    fn least_missed(
        &self,
        among: Option<usize>,
        quiet_since: TenthMillis,
    ) -> Vec<(Use, TenthMillis, usize)> {
        let useless =
            |conn: &Conn| conn.lingers || (conn.moved <= quiet_since && conn.asks_nothing());
        let concerned = |conn: &Conn| among.is_none_or(|front| conn.front == front);
        let useless = self
            .conns
            .iter()
            .filter(|(_, conn)| useless(conn) && concerned(conn));
        let rank = |(slot, conn): (usize, &Conn)| (conn.use_of(), conn.moved, slot);
        let mut useless: Vec<_> = useless.map(rank).collect();
        useless.sort_unstable();
        useless
    }

    fn accept_again(&mut self, front: usize, accepting: bool) {
        let Some(of) = self.fronts.get_mut(front) else {
            return;
        };
        if accepting != of.accepting
            && let Some(listener) = &of.listener
        {
            let interest = Event::new(LISTEN_KEY + front, accepting, false);
            if self
                .poller
                .modify_with_mode(listener, interest, PollMode::Level)
                .is_ok()
            {
                of.accepting = accepting;
            }
        }
    }

    fn accept_all(&mut self, accepting: bool) {
        (0..self.fronts.capacity().min(MOST_FRONTS))
            .for_each(|front| self.accept_again(front, accepting));
    }

    /// The one way in which this node ends a connection that nothing is owed on: it says so, passes over what
    /// still comes, and closes once the peer has ended too. A request that crosses this is never run, and
    /// its caller sees an orderly end and may send it again.
    pub(super) fn hang_up(
        &mut self,
        slot: usize,
        end: End,
        now: TenthMillis,
        front_events: &mut Vec<FrontEvent>,
    ) {
        let conn = &mut self.conns[slot];
        (conn.reading, conn.last) = (false, Some(end));
        if conn.linger(now) {
            self.watch(slot)
        } else {
            self.close(slot, end, front_events)
        }
    }

    pub(super) fn close(&mut self, slot: usize, end: End, front_events: &mut Vec<FrontEvent>) {
        let conn = self.conns.remove(slot);
        _ = self.poller.delete(&conn.sock);
        self.open -= conn.open.len();
        self.unread -= conn.unread();
        front_events.extend(
            conn.open
                .iter()
                .filter_map(|open| open.ex)
                .map(|ex| FrontEvent::Ended { ex, end }),
        );
        let front = &mut self.fronts[conn.front];
        front.connections -= 1;
        *front.counts.ends.entry(end.name()).or_default() += 1;
        self.forget_if_over(conn.front);
        self.accept_all(true);
    }

    /// Closes what lay idle for long enough, and what nobody can be waiting for any more.
    pub fn sweep(&mut self, now: TenthMillis, front_events: &mut Vec<FrontEvent>) {
        let mut over = Vec::new();
        let within = bounds::whole_within(self.longest_deadline);
        for (slot, conn) in &mut self.conns {
            if std::mem::take(&mut conn.rests) && !conn.dirty {
                conn.dirty = true;
                self.dirty.push(slot);
            }
            let quiet = now.saturating_sub(conn.moved);
            let slow = conn.is_slow(now, within);
            if conn.lingers {
                over.extend(conn.last.filter(|_| slow).map(|end| (slot, end)));
            } else if conn.idle() && quiet >= self.idle_limit && conn.nothing_came() {
                over.push((slot, End::Idle));
            } else if conn.unread() > 0 && quiet > self.longest_deadline {
                over.push((slot, End::Unread));
            } else if slow {
                over.push((slot, End::Slow));
            }
        }
        for (slot, end) in over {
            match end {
                _ if self.conns[slot].lingers => self.close(slot, end, front_events),
                End::Idle => self.hang_up(slot, end, now, front_events),
                // A dispatcher that passes on what a slow client sends may have others open on it.
                End::Slow => {
                    self.answer_half_read(slot, Answer::Unreadable(Unreadable::Field("record")));
                    self.end_once_answered(slot, end);
                }
                _ => self.close(slot, end, front_events),
            }
        }
        let makes_room = self
            .conns
            .iter()
            .any(|(_, conn)| conn.lingers || conn.asks_nothing());
        for front in 0..self.fronts.capacity().min(MOST_FRONTS) {
            if self.fronts.contains(front) {
                self.accept_again(front, makes_room || !self.is_full(front));
            }
        }
    }

    /// Whether there is anything that a sweep could do.
    pub fn to_sweep(&self) -> bool {
        !self.conns.is_empty() || self.fronts.iter().any(|(_, front)| !front.accepting)
    }
}

//! How connections come and go: fronts opened and withdrawn, connections accepted, swept and closed.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};

use doortrack_protocols::{Protocol, RequestReader};
use doortrack_time::TenthMillis;
use polling::{Event, PollMode};
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

use super::{Counts, FIRST_KEY, LISTEN_KEY, Listener, ListenerEvent, Listeners};
use crate::network::bounds::{self, ACCEPTS, EVICTED, FRESH, LAST_TURNS, MOST_FRONTS};
use crate::network::connection::{Connection, Use};
use crate::network::request::{Answer, Unreadable};
use crate::network::termination::Termination;

/// Whether the process (EMFILE) or the whole system (ENFILE) has no descriptor left.
fn lacks_descriptor(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE)
    )
}

impl Listeners {
    /// Opens a front. `most` bounds its connections; all fronts together keep within the node's own bound.
    pub fn listen(
        &mut self,
        at: SocketAddr,
        protocol: Protocol,
        most: Option<usize>,
    ) -> io::Result<()> {
        if self.listeners.len() >= MOST_FRONTS {
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
        let entry = self.listeners.vacant_entry();
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
        let front = Listener {
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
        for (_, front) in self
            .listeners
            .iter_mut()
            .filter(|(_, front)| front.is_at(at))
        {
            front.most = most.unwrap_or(usize::MAX);
        }
        self.accept_all(true);
    }

    /// Takes a front out of service: what the machine has accepted for it is still read, once more, and
    /// answered; what comes after that is refused, and it is forgotten with the last connection.
    pub fn drain_listener(
        &mut self,
        at: SocketAddr,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let slots = self.listeners.iter().filter(|(_, front)| front.is_at(at));
        let slots: Vec<usize> = slots.map(|(front, _)| front).collect();
        slots
            .into_iter()
            .for_each(|front| self.shut(front, Termination::Withdrawn, now, listener_events));
    }

    /// Takes in what the machine has accepted on any front, and nothing after it.
    pub fn last_reading(&mut self, now: TenthMillis, listener_events: &mut Vec<ListenerEvent>) {
        let slots: Vec<usize> = self.listeners.iter().map(|(front, _)| front).collect();
        slots
            .into_iter()
            .for_each(|front| self.shut(front, Termination::Left, now, listener_events));
    }

    /// Takes in the backlog of a front, reads each of its connections once more, and ends those with nothing
    /// open from then on.
    fn shut(
        &mut self,
        front: usize,
        end: Termination,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        // One that was withdrawn before takes in nobody. It may go with its last connection meanwhile.
        if self
            .listeners
            .get(front)
            .is_some_and(|front| front.listener.is_some())
        {
            // There is no later turn for what waits in the backlog, so nobody is spared for being fresh.
            while self.accept_sparing(0, front, now, listener_events) {}
        }
        let Some(shut) = self.listeners.get_mut(front) else {
            return;
        };
        if let Some(listener) = shut.listener.take() {
            _ = self.poller.delete(&listener);
        }
        shut.withdrawn |= end == Termination::Withdrawn;
        let slots = self.conns.iter().filter(|(_, conn)| conn.front == front);
        let slots: Vec<usize> = slots.map(|(slot, _)| slot).collect();
        for slot in slots {
            for _ in 0..LAST_TURNS {
                if self.conns.get(slot).is_some_and(|conn| conn.reading) {
                    self.read(slot, now, listener_events);
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
            .listeners
            .get(front)
            .is_some_and(|front| front.withdrawn && front.connections == 0)
        {
            let front = self.listeners.remove(front);
            self.gone.add(&front.counts);
        }
    }

    /// Takes what the machine accepted; whether more may be waiting.
    pub fn accept(
        &mut self,
        front: usize,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) -> bool {
        self.accept_sparing(FRESH, front, now, listener_events)
    }

    /// The same; where room has to be made, those are spared on which something moved so lately.
    fn accept_sparing(
        &mut self,
        fresh: TenthMillis,
        front: usize,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) -> bool {
        let quiet_since = now.saturating_sub(fresh);
        if !self.listeners.contains(front) {
            return false;
        }
        for nth in 0..ACCEPTS {
            // Only the first is known to be waiting, so room is made for no more than one.
            let bounded = self.bounded(front);
            if self.is_full(front)
                && !(nth == 0 && self.make_room(bounded, quiet_since, listener_events))
            {
                // A full table is no reason to fall over: the rest waits in the backlog for a close.
                self.accept_again(front, nth > 0);
                return nth > 0;
            }
            let Some(listener) = &self.listeners[front].listener else {
                return false;
            };
            match listener.accept() {
                // One that is gone again before it was taken in has brought nothing.
                Ok((sock, peer)) => {
                    _ = self.take_in(sock, peer.ip(), front, now);
                    self.make_room_ahead(front, quiet_since, now, listener_events);
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                // The system takes a descriptor before it looks for a connection, so after the first one
                // this says nothing of whether more are waiting.
                Err(e) if lacks_descriptor(&e) => {
                    if nth > 0 || !self.make_room(None, quiet_since, listener_events) {
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
        let front = &self.listeners[front];
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
        let of = &mut self.listeners[front];
        (of.counts.accepted, of.connections) = (of.counts.accepted + 1, of.connections + 1);
        entry.insert(Connection::new(
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
        listener_events: &mut Vec<ListenerEvent>,
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
                self.close(slot, Termination::Evicted, listener_events);
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
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let among = self.bounded(front);
        let (_, places, free) = self.tighter_bound(front);
        let spare = bounds::spare(places);
        if free >= spare {
            return;
        }
        let going =
            |conn: &Connection| conn.lingers && among.is_none_or(|front| conn.front == front);
        let going = self.conns.iter().filter(|(_, conn)| going(conn)).count();
        let wanted = spare.saturating_sub(free + going);
        // Half of them at once, as each look goes over all connections.
        if 2 * wanted <= spare {
            return;
        }
        let stays =
            |conn: &Connection| !conn.lingers && conn.open.is_empty() && conn.nothing_came();
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
            .for_each(|slot| self.linger(slot, Termination::Evicted, now, listener_events));
    }

    /// Whether a front's own bound is met before that of the table, how many places that is, and how many of
    /// them are free.
    fn tighter_bound(&self, front: usize) -> (bool, usize, usize) {
        let of = &self.listeners[front];
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
            |conn: &Connection| conn.lingers || (conn.moved <= quiet_since && conn.asks_nothing());
        let concerned = |conn: &Connection| among.is_none_or(|front| conn.front == front);
        let useless = self
            .conns
            .iter()
            .filter(|(_, conn)| useless(conn) && concerned(conn));
        let rank = |(slot, conn): (usize, &Connection)| (conn.use_of(), conn.moved, slot);
        let mut useless: Vec<_> = useless.map(rank).collect();
        useless.sort_unstable();
        useless
    }

    fn accept_again(&mut self, front: usize, accepting: bool) {
        let Some(of) = self.listeners.get_mut(front) else {
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
        (0..self.listeners.capacity().min(MOST_FRONTS))
            .for_each(|front| self.accept_again(front, accepting));
    }

    /// The one way in which this node ends a connection that nothing is owed on: it says so, passes over what
    /// still comes, and closes once the peer has ended too. A request that crosses this is never run, and
    /// its caller sees an orderly end and may send it again.
    pub(super) fn linger(
        &mut self,
        slot: usize,
        end: Termination,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let conn = &mut self.conns[slot];
        (conn.reading, conn.last) = (false, Some(end));
        if conn.linger(now) {
            self.watch(slot)
        } else {
            self.close(slot, end, listener_events)
        }
    }

    pub(super) fn close(
        &mut self,
        slot: usize,
        end: Termination,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let conn = self.conns.remove(slot);
        _ = self.poller.delete(&conn.sock);
        self.open -= conn.open.len();
        self.unread -= conn.unread();
        listener_events.extend(
            conn.open
                .iter()
                .filter_map(|open| open.ex)
                .map(|ex| ListenerEvent::Ended { ex, end }),
        );
        let front = &mut self.listeners[conn.front];
        front.connections -= 1;
        *front.counts.ends.entry(end.name()).or_default() += 1;
        self.forget_if_over(conn.front);
        self.accept_all(true);
    }

    /// Closes what lay idle for long enough, and what nobody can be waiting for any more.
    pub fn sweep(&mut self, now: TenthMillis, listener_events: &mut Vec<ListenerEvent>) {
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
                over.push((slot, Termination::Idle));
            } else if conn.unread() > 0 && quiet > self.longest_deadline {
                over.push((slot, Termination::Unread));
            } else if slow {
                over.push((slot, Termination::Slow));
            }
        }
        for (slot, end) in over {
            match end {
                _ if self.conns[slot].lingers => self.close(slot, end, listener_events),
                Termination::Idle => self.linger(slot, end, now, listener_events),
                // A dispatcher that passes on what a slow client sends may have others open on it.
                Termination::Slow => {
                    self.answer_half_read(slot, Answer::Unreadable(Unreadable::Field("record")));
                    self.end_once_answered(slot, end);
                }
                _ => self.close(slot, end, listener_events),
            }
        }
        let makes_room = self
            .conns
            .iter()
            .any(|(_, conn)| conn.lingers || conn.asks_nothing());
        for front in 0..self.listeners.capacity().min(MOST_FRONTS) {
            if self.listeners.contains(front) {
                self.accept_again(front, makes_room || !self.is_full(front));
            }
        }
    }

    /// Whether there is anything that a sweep could do.
    pub fn has_idle(&self) -> bool {
        !self.conns.is_empty() || self.listeners.iter().any(|(_, front)| !front.accepting)
    }
}

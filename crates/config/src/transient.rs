//! Errors of system calls that may succeed when they are repeated.

use std::io::{self, ErrorKind};

use rustix::io::Errno;

/// Returns true if the operating system was short of memory or buffers.
pub fn is_short_of_memory(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::NOMEM | Errno::NOBUFS)
    )
}

/// Returns true if a nonblocking read or write did nothing, and can be repeated when the socket is next reported ready.
pub fn is_without_effect(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
        || is_short_of_memory(error)
}

/// Returns true if the process has as many file descriptors as it may have. Closing one makes room, unlike where the
/// whole system is short of them (`ENFILE`), which other processes may cause and end.
pub fn is_at_descriptor_limit(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// Returns true if a file or a socket may be opened at a later attempt.
pub fn may_open_later(error: &io::Error) -> bool {
    let is_unavailable = matches!(
        Errno::from_io_error(error),
        Some(
            Errno::ADDRINUSE
                | Errno::ADDRNOTAVAIL
                | Errno::HOSTUNREACH
                | Errno::IO
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::NFILE
        )
    );
    is_unavailable || is_without_effect(error) || is_at_descriptor_limit(error)
}

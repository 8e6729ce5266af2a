//! Makes system calls of a program under test fail: a library that is preloaded into the program, and the control file
//! with which a test sets how often each kind of call fails.
//!
//! Only failures that Linux documents are injected. `shim/faults.c` lists them by call.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Path of the library to preload.
const LIBRARY: &str = env!("FAULTS_LIBRARY");
/// Size of a control file; `shim/faults.c` maps the same size.
const CONTROL_BYTES: usize = 64;
/// Position of the wall clock's offset in the control file: an `i64` in microseconds.
const WALL_OFFSET_POSITION: u64 = 0;
/// Position of the rates in the control file: one `u32` for each [`FaultKind`].
const RATES_POSITION: u64 = 8;
const RATE_BYTES: u64 = 4;

/// A kind of failure. The value is the position of its rate in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// `accept4` fails temporarily.
    Accept = 0,
    /// `socket` fails temporarily.
    Socket = 1,
    /// `connect` fails.
    Connect = 2,
    /// `epoll_wait` and `poll` are interrupted.
    InterruptPoll = 3,
    /// A TCP read or write transfers a single byte.
    ShortTransfer = 4,
    /// A read or write on a connection that the program has opened fails, and the connection ends for both sides.
    BreakConnection = 5,
    /// `pthread_create` fails temporarily.
    CreateThread = 6,
    /// A TCP read or write is interrupted.
    InterruptTcp = 7,
    /// A peek (`recv` with `MSG_PEEK`) on an accepted connection fails; the connection stays open.
    AcceptedPeek = 8,
    /// A read on an accepted connection fails; the connection stays open.
    AcceptedRead = 9,
    /// A write on an accepted connection fails; the connection stays open.
    AcceptedWrite = 10,
    /// A read or write on anything but a TCP connection is interrupted, such as a Unix socket or an event
    /// descriptor.
    InterruptNonTcp = 11,
    /// A read on a connection that the program has opened returns its data late, by [`READ_DELAY`].
    DelayRead = 12,
}

/// The delay of reads under [`FaultKind::DelayRead`]; the same as in `shim/faults.c`.
pub const READ_DELAY: Duration = Duration::from_millis(20);

/// The control file of one process. Rates and offset can be changed while the process runs.
pub struct FaultControl {
    path: PathBuf,
    file: File,
}

impl FaultControl {
    /// Opens the file, or creates one without faults.
    ///
    /// # Errors
    /// If the file can't be opened or resized.
    pub fn open(path: &Path) -> io::Result<FaultControl> {
        let file = File::options().create(true).truncate(false).write(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(FaultControl { path: path.to_path_buf(), file })
    }

    /// Environment variables that make a process load the library. `seed` determines which calls fail.
    pub fn environment(&self, seed: u64) -> [(&'static str, String); 3] {
        [
            ("LD_PRELOAD", LIBRARY.to_string()),
            ("FAULTS_CONTROL", self.path.display().to_string()),
            ("FAULTS_SEED", seed.to_string()),
        ]
    }

    /// Sets the share of calls that fail in this way, from 0 (none) to 1 (all).
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_rate(&self, kind: FaultKind, share: f64) -> io::Result<()> {
        let rate = (share * f64::from(u32::MAX)) as u32;
        self.file.write_all_at(&rate.to_ne_bytes(), RATES_POSITION + RATE_BYTES * kind as u64)
    }

    /// Sets the offset that is added to the wall clock of the process.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_wall_offset_us(&self, offset_us: i64) -> io::Result<()> {
        self.file.write_all_at(&offset_us.to_ne_bytes(), WALL_OFFSET_POSITION)
    }
}

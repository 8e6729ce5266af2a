//! System calls that fail, for tests: a library that is preloaded into a program, and the control file by which a test
//! sets how often each kind of call fails there.
//!
//! Only failures that Linux documents are injected. `shim/faults.c` lists them call by call.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The preloaded library.
const LIBRARY: &str = env!("FAULTS_LIBRARY");
/// Size of a control file, as `shim/faults.c` maps it.
const CONTROL_BYTES: usize = 64;
/// Where the control file holds the offset of the wall clock, in microseconds.
const WALL_OFFSET_POSITION: u64 = 0;
/// Where it holds the rates, one `u32` for each [`FaultKind`].
const RATES_POSITION: u64 = 8;
const RATE_BYTES: u64 = 4;

/// A kind of failure, in the order in which the control file holds the rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// `accept4` fails temporarily.
    Accept = 0,
    /// `socket` fails temporarily.
    Socket = 1,
    /// `connect` fails.
    Connect = 2,
    /// `epoll_wait` and `poll` are interrupted.
    Wait = 3,
    /// A TCP read or write transfers one byte.
    Short = 4,
    /// A connection that the program has made breaks.
    Break = 5,
    /// No thread can be created.
    Thread = 6,
    /// A TCP read or write is interrupted.
    InterruptTcp = 7,
    /// A read-ahead (`MSG_PEEK`) on an accepted connection fails; the connection stays open.
    AcceptedPeek = 8,
    /// A read on an accepted connection fails; the connection stays open.
    AcceptedRead = 9,
    /// A write on an accepted connection fails; the connection stays open.
    AcceptedWrite = 10,
    /// A read or write on anything but a TCP connection is interrupted: Unix sockets, event descriptors.
    InterruptNonTcp = 11,
    /// A TCP read of the program's own connections returns its data late, by [`READ_DELAY`].
    DelayRead = 12,
}

/// How late a read returns under [`FaultKind::DelayRead`].
pub const READ_DELAY: Duration = Duration::from_millis(20);

/// The control file of one process.
pub struct FaultControl {
    path: PathBuf,
    file: File,
}

impl FaultControl {
    /// Creates the file, with no faults, or opens the one that exists.
    ///
    /// # Errors
    /// The system's error.
    pub fn open(path: &Path) -> io::Result<FaultControl> {
        let file = File::options().create(true).truncate(false).write(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(FaultControl { path: path.to_path_buf(), file })
    }

    /// The variables of the environment with which a process loads the library. `seed` determines which calls fail.
    pub fn environment(&self, seed: u64) -> [(&'static str, String); 3] {
        [
            ("LD_PRELOAD", LIBRARY.to_string()),
            ("FAULTS_CONTROL", self.path.display().to_string()),
            ("FAULTS_SEED", seed.to_string()),
        ]
    }

    /// Sets which share of the calls fails in this way, from 0 (none) to 1 (all).
    ///
    /// # Errors
    /// The system's error.
    pub fn set_rate(&self, kind: FaultKind, share: f64) -> io::Result<()> {
        let rate = (share * f64::from(u32::MAX)) as u32;
        self.file.write_all_at(&rate.to_ne_bytes(), RATES_POSITION + RATE_BYTES * kind as u64)
    }

    /// Sets how far the wall clock of the process is ahead, in microseconds.
    ///
    /// # Errors
    /// The system's error.
    pub fn set_wall_offset_us(&self, offset_us: i64) -> io::Result<()> {
        self.file.write_all_at(&offset_us.to_ne_bytes(), WALL_OFFSET_POSITION)
    }
}

//! Starts, observes and controls the program under test.

use super::RECEIVE_TIMEOUT;
use super::client::Client;
use super::config::ProgramConfig;
use super::engines::EngineStandIns;
use super::event_bus::EventBusStandIn;
use pebblevane_syscall_faults::FaultControl;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// The maximum time until the started program listens for clients.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum wait for the program's exit; longer than a graceful shutdown may take.
const EXIT_TIMEOUT: Duration = Duration::from_secs(45);
/// The pause between two checks whether the program has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The system's limit of file descriptors for the program, unless a test sets another.
const DESCRIPTOR_LIMIT: u32 = 1024;

/// The seed that determines which calls fail if a fault has a rate between 0 and 1.
const FAULTS_SEED: u64 = 1;

/// The number in the name of the next file that this test process writes.
static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A child process that is killed when the test ends, however it ends.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The options with which the program is started, besides its configuration.
#[derive(Clone, Copy)]
struct StartOptions<'a> {
    descriptor_limit: u32,
    /// The system calls that are made to fail, if any.
    faults: Option<&'a FaultControl>,
    log_level: &'static str,
}

impl Default for StartOptions<'_> {
    fn default() -> Self {
        StartOptions { descriptor_limit: DESCRIPTOR_LIMIT, faults: None, log_level: "info" }
    }
}

/// A command that starts the program, and its configuration file.
pub struct PreparedCommand {
    pub command: Command,
    pub config_file: String,
}

/// A running program, and the control of faults in its system calls.
pub struct FaultyProgram {
    pub program: Program,
    pub faults: FaultControl,
}

/// A running program.
pub struct Program {
    process: KillOnDrop,
    pub config_file: String,
    pub address: String,
    log: Mutex<Receiver<String>>,
}

impl Program {
    /// Writes the configuration to a new file, and returns a command that starts the program with it.
    pub fn command(config: &ProgramConfig) -> PreparedCommand {
        let number = NEXT_FILE_NUMBER.fetch_add(1, SeqCst);
        let config_file =
            format!("{}/config-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::write(&config_file, config.text()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pebblevane"));
        set_environment(&mut command, &config_file);
        PreparedCommand { command, config_file }
    }
    /// Starts the program and waits until it is healthy.
    pub fn start(engines: &EngineStandIns, bus: &EventBusStandIn) -> Program {
        Program::start_with(ProgramConfig::new(engines, &bus.address))
    }
    /// Starts the program with this configuration and waits until it is healthy.
    pub fn start_with(config: ProgramConfig) -> Program {
        Program::start_with_descriptor_limit(config, DESCRIPTOR_LIMIT)
    }
    /// As [`Program::start_with`], with this limit of file descriptors, which the system enforces.
    pub fn start_with_descriptor_limit(config: ProgramConfig, descriptor_limit: u32) -> Program {
        Program::start_in_shell(config, StartOptions { descriptor_limit, ..StartOptions::default() })
    }
    /// As [`Program::start_with_debug_log`], with faults in system calls that a test can enable. None is enabled at the
    /// start.
    pub fn start_with_faults(config: ProgramConfig) -> FaultyProgram {
        let number = NEXT_FILE_NUMBER.fetch_add(1, SeqCst);
        let file = format!("faults-{}-{number}", std::process::id());
        let faults = FaultControl::open(&PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file)).unwrap();
        let options = StartOptions { faults: Some(&faults), log_level: "debug", ..StartOptions::default() };
        let program = Program::start_in_shell(config, options);
        FaultyProgram { program, faults }
    }
    /// As [`Program::start_with`], with the log level that shows the events of each job and connection.
    pub fn start_with_debug_log(config: ProgramConfig) -> Program {
        Program::start_in_shell(config, StartOptions { log_level: "debug", ..StartOptions::default() })
    }
    fn start_in_shell(config: ProgramConfig, options: StartOptions) -> Program {
        let StartOptions { descriptor_limit, faults, log_level } = options;
        let prepared = Program::command(&config.listen("127.0.0.1:0"));
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {descriptor_limit} && exec \"$0\"")]);
        command.arg(prepared.command.get_program());
        set_environment(&mut command, &prepared.config_file);
        command.env("PEBBLEVANE_LOG", log_level);
        if let Some(faults) = faults {
            command.envs(faults.environment(FAULTS_SEED));
        }
        let mut process = KillOnDrop(command.stdout(Stdio::piped()).spawn().unwrap());
        let log = read_log(&mut process.0);
        let address = wait_for_address(&log);
        let program = Program { process, config_file: prepared.config_file, address, log: Mutex::new(log) };
        let mut client = program.connect();
        client.request_health(1);
        assert_eq!(client.next_answer(), "1: well true");
        program
    }
    pub fn connect(&self) -> Client {
        Client::new(TcpStream::connect(&self.address).unwrap())
    }
    /// Connects a client with small socket buffers on both sides, so that the system buffers few answers that it has
    /// not read.
    pub fn connect_with_small_buffers(&self) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        // The system derives the size of the program's send buffer from the segment size.
        socket.set_tcp_mss(536).unwrap();
        socket.connect(&self.address.parse::<SocketAddr>().unwrap().into()).unwrap();
        Client::new(socket.into())
    }
    /// Waits for a log line that contains this text. Earlier lines are dropped.
    pub fn wait_for_log(&self, text: &str) -> String {
        let log = self.log.lock().unwrap();
        let deadline = Instant::now() + RECEIVE_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = log.recv_timeout(left).unwrap_or_else(|_| panic!("no log line with {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }
    /// Suspends the program during the action, so that it then finds all effects of the action at once.
    pub fn while_suspended<T>(&self, action: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        let result = action();
        self.signal("CONT");
        result
    }
    /// Sends a signal, whose name is given without `SIG`.
    pub fn signal(&self, name: &str) {
        send_signal(self.pid(), name);
    }
    pub fn is_running(&mut self) -> bool {
        self.process.0.try_wait().unwrap().is_none()
    }
    /// Waits until the program exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.process.0.try_wait().unwrap() {
                return status;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        panic!("the program has not exited within {EXIT_TIMEOUT:?}");
    }
    pub fn pid(&self) -> u32 {
        self.process.0.id()
    }
    pub fn thread_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.pid())).unwrap().count()
    }
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap().count()
    }
    /// The program's resident memory, in KiB.
    pub fn resident_kb(&self) -> usize {
        self.memory_kb("VmRSS:")
    }
    /// The greatest resident memory that the program has had, in KiB.
    pub fn peak_resident_kb(&self) -> usize {
        self.memory_kb("VmHWM:")
    }
    fn memory_kb(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find(|line| line.starts_with(field)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// Sends a signal, whose name is given without `SIG`.
pub fn send_signal(pid: u32, name: &str) {
    let kill = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
    assert!(kill.unwrap().success());
}

fn set_environment(command: &mut Command, config_file: &str) {
    command.env("NODE_CONFIG", config_file).env_remove("NODE_NAME").env_remove("NODE_LISTEN");
}

/// Reads the log in a thread, so that the program never blocks on writing it.
fn read_log(process: &mut Child) -> Receiver<String> {
    let stdout = BufReader::new(process.stdout.take().unwrap());
    let (sender, log) = channel();
    std::thread::spawn(move || {
        for line in stdout.lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    log
}

/// Waits for the log line with the address at which the program listens.
fn wait_for_address(log: &Receiver<String>) -> String {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let line =
            log.recv_timeout(left).unwrap_or_else(|error| panic!("the program does not listen: {error}"));
        if let Some((_, fields)) = line.split_once("listening for clients ") {
            return fields.split_once("address=").expect("the line has an address").1.to_string();
        }
    }
}

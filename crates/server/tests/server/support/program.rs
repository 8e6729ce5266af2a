//! The program under test.

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

/// A start that has not come to listening by then has failed.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than a graceful shutdown may take.
const EXIT_TIMEOUT: Duration = Duration::from_secs(45);
/// Pause between two looks whether the program has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Descriptors that the system gives the program unless a test says otherwise.
const DESCRIPTOR_LIMIT: u32 = 1024;

/// Determines which calls fail where only a share of them does.
const FAULTS_SEED: u64 = 1;

/// Numbers the configuration files of this test process.
static STARTS: AtomicU32 = AtomicU32::new(0);

/// A child process that is killed when the test ends, however it ends.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// How the system treats the program, and what it logs.
#[derive(Clone, Copy)]
struct StartOptions<'a> {
    descriptors: u32,
    faults: Option<&'a FaultControl>,
    log_level: &'static str,
}

impl Default for StartOptions<'_> {
    fn default() -> Self {
        StartOptions { descriptors: DESCRIPTOR_LIMIT, faults: None, log_level: "info" }
    }
}

/// A command that starts the program, and its configuration file.
pub struct PreparedCommand {
    pub command: Command,
    pub config_file: String,
}

/// A running program whose system calls a test can let fail.
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
    /// Writes the configuration to a file of its own.
    pub fn command(config: &ProgramConfig) -> PreparedCommand {
        let number = STARTS.fetch_add(1, SeqCst);
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
    pub fn start_with(config: ProgramConfig) -> Program {
        Program::start_with_descriptor_limit(config, DESCRIPTOR_LIMIT)
    }
    /// Starts it where the system gives so many descriptors.
    pub fn start_with_descriptor_limit(config: ProgramConfig, descriptors: u32) -> Program {
        Program::start_in_shell(config, StartOptions { descriptors, ..StartOptions::default() })
    }
    /// Starts it so that its system calls can be made to fail. None fails yet. Its log is that of
    /// [`Program::start_with_debug_log`].
    pub fn start_with_faults(config: ProgramConfig) -> FaultyProgram {
        let number = STARTS.fetch_add(1, SeqCst);
        let file = format!("faults-{}-{number}", std::process::id());
        let faults = FaultControl::open(&PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file)).unwrap();
        let options = StartOptions { faults: Some(&faults), log_level: "debug", ..StartOptions::default() };
        let program = Program::start_in_shell(config, options);
        FaultyProgram { program, faults }
    }
    /// Starts it with all log lines that trace a job or a connection.
    pub fn start_with_debug_log(config: ProgramConfig) -> Program {
        Program::start_in_shell(config, StartOptions { log_level: "debug", ..StartOptions::default() })
    }
    fn start_in_shell(config: ProgramConfig, options: StartOptions) -> Program {
        let StartOptions { descriptors, faults, log_level } = options;
        let prepared = Program::command(&config.listen("127.0.0.1:0"));
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\"")]);
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
        Client::over(TcpStream::connect(&self.address).unwrap())
    }
    /// A client of which the system takes little that it has not read.
    pub fn connect_with_small_buffers(&self) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        // The system sizes the other side's buffer by this.
        socket.set_tcp_mss(536).unwrap();
        socket.connect(&self.address.parse::<SocketAddr>().unwrap().into()).unwrap();
        Client::over(socket.into())
    }
    /// Waits for a line of the log that holds this.
    pub fn wait_for_log(&self, text: &str) -> String {
        let log = self.log.lock().unwrap();
        loop {
            let line =
                log.recv_timeout(RECEIVE_TIMEOUT).unwrap_or_else(|_| panic!("no log line with {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }
    /// Suspends the program while something is done, so that it then finds all of it at once.
    pub fn while_suspended<T>(&self, action: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        let result = action();
        self.signal("CONT");
        result
    }
    /// Sends a signal by its name without SIG.
    pub fn signal(&self, name: &str) {
        send_signal(self.pid(), name);
    }
    pub fn is_running(&mut self) -> bool {
        self.process.0.try_wait().unwrap().is_none()
    }
    /// Waits for the program's end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.process.0.try_wait().unwrap() {
                return status;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        panic!("the program has not ended within {EXIT_TIMEOUT:?}");
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
    /// Memory that the program holds in RAM.
    pub fn resident_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// Sends a signal by its name without SIG.
pub fn send_signal(pid: u32, name: &str) {
    let kill = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
    assert!(kill.unwrap().success());
}

fn set_environment(command: &mut Command, config_file: &str) {
    command.env("NODE_CONFIG", config_file).env_remove("NODE_NAME").env_remove("NODE_LISTEN");
}

/// Reads the whole log in a thread, so that the program never waits for a reader.
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

/// Waits for the line that says where the program listens.
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

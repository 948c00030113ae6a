//! A router in service, started as the deploy file says.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicI32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: usize) -> usize;
    fn _exit(status: i32) -> !;
}

static PROCESSES: [AtomicI32; 8] = [const { AtomicI32::new(0) }; 8];

/// Kills every router that this process has started and not seen end.
pub fn kill_all() {
    for process in &PROCESSES {
        let id = process.swap(0, Ordering::SeqCst);
        if id > 0 {
            unsafe { kill(id, SIGKILL) };
        }
    }
}

extern "C" fn end(_: i32) {
    kill_all();
    unsafe { _exit(2) }
}

/// If this process is told to end, the routers end with it.
pub fn end_with_signal() {
    for number in [2, SIGTERM] {
        unsafe { signal(number, end as extern "C" fn(i32) as usize) };
    }
}

pub fn send_signal(process: u32, number: i32) {
    unsafe { kill(process as i32, number) };
}

pub struct Router {
    pub listen: SocketAddr,
    pub folder: PathBuf,
    child: Child,
    slot: usize,
}

/// What a router's configuration states besides its addresses.
pub struct Configuration {
    pub settings: String,
    pub known: String,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Configuration {
    /// The limits of a small deployment.
    pub fn new(settings: String, known: String) -> Configuration {
        Configuration { settings, known, memory_mb: 128, sockets: 512 }
    }
}

impl Configuration {
    fn text(&self, listen: SocketAddr, discovery: SocketAddr) -> String {
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.memory_mb, self.sockets, self.known, self.settings
        )
    }

    /// Replaces the file of a router's configuration.
    pub fn write(&self, folder: &Path, listen: SocketAddr, discovery: SocketAddr) {
        let new = folder.join("config.json.new");
        std::fs::write(&new, self.text(listen, discovery)).expect("written");
        std::fs::rename(&new, folder.join("config.json")).expect("replaced");
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The `run` command of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file, from the root");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run");
    line.split('"').nth(1).expect("a command").to_owned()
}

impl Router {
    /// Starts a router and waits until it is ready.
    pub fn start(configuration: &Configuration, discovery: SocketAddr) -> Router {
        Router::start_at(free_address(), configuration, discovery)
    }

    /// Starts a router at this address, where an earlier one may have been, and waits until it is ready.
    pub fn start_at(listen: SocketAddr, configuration: &Configuration, discovery: SocketAddr) -> Router {
        static NEXT: AtomicI32 = AtomicI32::new(0);
        let slot = NEXT.fetch_add(1, Ordering::SeqCst) as usize;
        let folder = std::env::temp_dir().join(format!("gaparch-review-2-{}-{slot}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        configuration.write(&folder, listen, discovery);
        let log = File::create(folder.join("log.txt")).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the router starts");
        PROCESSES[slot].store(child.id() as i32, Ordering::SeqCst);
        let _ = std::fs::write(std::env::temp_dir().join(format!("router-{slot}.pid")), child.id().to_string());
        let router = Router { listen, folder, child, slot };
        let until = Instant::now() + Duration::from_secs(15);
        while router.health() != 200 {
            assert!(Instant::now() < until, "the router is not ready within 15 s");
            thread::sleep(Duration::from_millis(50));
        }
        router
    }

    pub fn health(&self) -> u16 {
        let Ok(mut socket) = TcpStream::connect_timeout(&self.listen, Duration::from_secs(1)) else { return 0 };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        if socket.write_all(request).is_err() || socket.read_to_string(&mut answer).is_err() {
            return 0;
        }
        answer.split_whitespace().nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn signal(&self, number: i32) {
        send_signal(self.child.id(), number);
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            self.forget();
        }
        ended
    }

    /// The process has ended: its id may be another's from now on.
    fn forget(&self) {
        PROCESSES[self.slot].store(0, Ordering::SeqCst);
        let _ = std::fs::remove_file(std::env::temp_dir().join(format!("router-{}.pid", self.slot)));
    }

    /// Kills the process, and copies the lines of its log into the record.
    pub fn end(mut self, record: &crate::site::Record) {
        if !self.has_ended() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
            self.forget();
        }
        for line in std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default().lines() {
            // Thousands of new workers make thousands of these.
            if !line.contains("slow start") {
                record.line(&format!("log of the router: {line}"));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

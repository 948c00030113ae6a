//! A router in service as a process of its own, and what it takes of the machine.

use super::super::{settings, target};
use super::wire::Connection;
use crate::fleet::process::Process;
use serde_json::json;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// An open answer takes two, and a router's part of the peak is some 540 open answers.
const SOCKETS: usize = 4_096;
/// Between two questions whether it is ready.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Clock ticks of the kernel's accounting in a second.
const TICKS_PER_S: f64 = 100.0;

/// A router in service. Dropped, it is killed; it ends with this process also where that is killed.
#[derive(Debug)]
pub struct NodeProcess {
    pub listen: SocketAddr,
    process: Process,
    started: Instant,
}

/// What a process has taken so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeUsage {
    pub cpu_s: f64,
    pub resident_mb: f64,
    pub descriptors: usize,
}

impl NodeProcess {
    /// Starts `program lab node` with a configuration in `folder`.
    ///
    /// # Errors
    /// When the file can't be written or the program can't be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        number: usize,
        discovery: SocketAddr,
        zones: usize,
    ) -> io::Result<NodeProcess> {
        let listen = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let config = json!({"name": format!("n{number}"), "listen": listen.to_string(), "seed": format!("{:016x}", number + 1),
            "discovery": discovery.to_string(),
            "limits": {"cores": 1.0, "memory_mb": target::ROUTER_MEMORY_MB, "sockets": SOCKETS},
            "settings": settings::of_router(number, target::ROUTERS, zones)});
        let file = |kind: &str| folder.join(format!("node-{number}.{kind}"));
        let mut process = Process::node(program, file("json"), &config.to_string(), file("log"))?;
        process.start()?;
        Ok(NodeProcess { listen, process, started: Instant::now() })
    }

    /// Waits until it says that it is ready; how long that took from its start.
    ///
    /// # Errors
    /// When it has ended, or is not ready in time.
    pub async fn ready(&mut self, within: Duration) -> io::Result<Duration> {
        while self.started.elapsed() < within {
            if self.process.has_ended() {
                return Err(io::Error::other(format!("the router has ended: {}", self.process.last_lines())));
            }
            if is_ready(self.listen).await {
                return Ok(self.started.elapsed());
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, "the router is not ready in time"))
    }

    /// # Errors
    /// When the system does not tell.
    pub fn usage(&self) -> io::Result<NodeUsage> {
        let id = self.process.id().ok_or_else(|| io::Error::other("the router is not started"))?;
        let process = PathBuf::from(format!("/proc/{id}"));
        let stat = fs::read_to_string(process.join("stat"))?;
        // Behind the name, which may hold anything: user and system time are the 12th and 13th field.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let status = fs::read_to_string(process.join("status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|r| r.split_whitespace().next()?.parse::<f64>().ok());
        Ok(NodeUsage {
            cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_S,
            resident_mb: kilobytes.unwrap_or(0.0) / 1024.0,
            descriptors: fs::read_dir(process.join("fd"))?.count(),
        })
    }
}

async fn is_ready(listen: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(listen).await else { return false };
    let mut connection = Connection::new(stream);
    let call = b"GET /_health HTTP/1.1\r\nHost: r\r\n\r\n";
    if connection.write(call).await.is_none() {
        return false;
    }
    connection.head().await.is_some_and(|head| head.first_line.contains(" 200 "))
}

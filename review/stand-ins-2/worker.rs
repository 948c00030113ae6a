//! A sound worker of the platform: a reader or a writer.

use crate::http::{is_closed, read_request, respond, Request};
use crate::site::{Arrival, Site};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Reader,
    Writer,
}

/// How a worker behaves at present.
pub struct Behaviour {
    pub is_draining: AtomicBool,
    /// A worker that hangs accepts connections and requests, and does nothing.
    pub hangs: AtomicBool,
    /// How long a reader reads.
    pub read_ms: AtomicU64,
    /// Events of an answer, and the time between two of them.
    pub events: AtomicU64,
    pub event_ms: AtomicU64,
}

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub role: Role,
    pub address: SocketAddr,
    pub behaviour: Arc<Behaviour>,
}

impl Worker {
    pub fn start(site: &Site, name: &str, role: Role) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Worker {
            name: name.to_owned(),
            role,
            address: listener.local_addr().expect("its address"),
            behaviour: Arc::new(Behaviour {
                is_draining: AtomicBool::new(false),
                hangs: AtomicBool::new(false),
                read_ms: AtomicU64::new(40),
                events: AtomicU64::new(6),
                event_ms: AtomicU64::new(40),
            }),
        };
        let (this, site) = (worker.clone(), site.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (this, site) = (this.clone(), site.clone());
                thread::spawn(move || this.serve(socket, &site));
            }
        });
        worker
    }

    /// The entry in discovery's list.
    pub fn entry(&self, lifecycle: &str) -> String {
        let kind = if self.role == Role::Reader { "prefill" } else { "decode" };
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"{kind}\",\"cell\":1,\
             \"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.name, self.address
        )
    }

    fn serve(&self, mut socket: TcpStream, site: &Site) {
        let _ = socket.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut socket, &mut buffer) {
            while self.behaviour.hangs.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            if !self.answer(&mut socket, &request, site) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, socket: &mut TcpStream, request: &Request, site: &Site) -> bool {
        let name = &self.name;
        if let Some(id) = request.target.strip_prefix("/internal/reservations/") {
            if request.method == "DELETE" {
                site.held.lock().unwrap().remove(id);
                site.record.line(&format!("{name} releases {id}"));
                return respond(socket, "204 No Content", "", "");
            }
            return respond(socket, "404 Not Found", "", "");
        }
        if request.method == "GET" {
            return respond(socket, "200 OK", "", "");
        }
        let Some(id) = request.header("x-txn").map(str::to_owned) else {
            return respond(socket, "404 Not Found", "", "");
        };
        site.record.line_at(request.first_byte, &format!("{name} gets {id}: its first byte"));
        site.record.line_at(request.last_byte, &format!("{name} gets {id}: its last byte"));
        let arrival = Arrival { worker: name.clone(), id: id.clone(), first_byte: request.first_byte };
        site.arrivals.lock().unwrap().push(arrival);
        if self.behaviour.is_draining.load(Ordering::SeqCst) {
            site.record.line(&format!("{name} turns {id} away: it drains"));
            return respond(socket, "503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
        }
        match self.role {
            Role::Reader => self.read(socket, &id, site),
            Role::Writer => self.write(socket, &id, site),
        }
    }

    fn read(&self, socket: &mut TcpStream, id: &str, site: &Site) -> bool {
        thread::sleep(Duration::from_millis(self.behaviour.read_ms.load(Ordering::SeqCst)));
        if is_closed(socket) {
            site.record.line(&format!("{} has read {id}, whose connection is closed", self.name));
            return false;
        }
        site.held.lock().unwrap().insert(id.to_owned(), self.name.clone());
        site.record.line(&format!("{} has read {id}", self.name));
        respond(socket, "202 Accepted", "", "{\"cached_tokens\":0}")
    }

    fn write(&self, socket: &mut TcpStream, id: &str, site: &Site) -> bool {
        if site.held.lock().unwrap().remove(id).is_none() {
            site.record.line(&format!("{} turns {id} away: no state", self.name));
            return respond(socket, "410 Gone", "X-Turned-Away: 1\r\n", "");
        }
        let events = self.behaviour.events.load(Ordering::SeqCst);
        let event_ms = self.behaviour.event_ms.load(Ordering::SeqCst);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut out = head.to_owned();
        for number in 0..events {
            thread::sleep(Duration::from_millis(event_ms));
            out.push_str(&chunk(&format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"word{number}\"}},\"finish_reason\":null}}]}}\n\n"
            )));
            if socket.write_all(out.as_bytes()).is_err() || is_closed(socket) {
                site.record.line(&format!("{} writes {id}: its connection is closed after event {number}", self.name));
                return false;
            }
            out.clear();
        }
        out.push_str(&chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\".\"},\"finish_reason\":\"stop\"}]}\n\n"));
        out.push_str(&chunk(&format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":100,\"completion_tokens\":{events},\
             \"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n"
        )));
        out.push_str(&chunk("data: [DONE]\n\n"));
        out.push_str("0\r\n\r\n");
        let is_written = socket.write_all(out.as_bytes()).is_ok();
        site.record.line(&format!("{} has written {id} to its end", self.name));
        is_written
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

//! The files of a new router.

use gaparch_config::{Config, Problem};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Read,
    Write,
    Both,
}

impl Role {
    fn kind(self) -> &'static str {
        match self {
            Role::Read => "reader",
            Role::Write => "writer",
            Role::Both => "both",
        }
    }
}

/// An engine, as `NAME=ROLE@ADDRESS` or `NAME=ROLE@ADDRESS/RACK`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    pub name: String,
    pub role: Role,
    pub address: SocketAddr,
    pub rack: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{text}' is no engine: {why}; one looks like write-1=write@127.0.0.1:7201/rack-a")]
pub struct EngineError {
    text: String,
    why: &'static str,
}

impl FromStr for Engine {
    type Err = EngineError;

    fn from_str(text: &str) -> Result<Engine, EngineError> {
        let wrong = |why| EngineError { text: text.to_owned(), why };
        let (name, rest) = text.split_once('=').ok_or(wrong("'=' is missing"))?;
        let (role, place) = rest.split_once('@').ok_or(wrong("'@' is missing"))?;
        let (address, rack) = place.split_once('/').unwrap_or((place, "rack-1"));
        let role = match role {
            "read" => Role::Read,
            "write" => Role::Write,
            "both" => Role::Both,
            _ => return Err(wrong("its role is none of read, write, both")),
        };
        let address = address.parse().map_err(|_| wrong("its address is none"))?;
        Ok(Engine { name: name.to_owned(), role, address, rack: rack.to_owned() })
    }
}

/// What is known of the new router.
#[derive(Clone, Debug, PartialEq)]
pub struct Answers {
    pub name: String,
    pub listen: SocketAddr,
    pub engines: Vec<Engine>,
    pub list: Option<SocketAddr>,
    /// Tokens of memory of a reader and of a writer.
    pub memory: (u32, u32),
    /// How soon a first token is wanted, and when a client gives up, in milliseconds.
    pub aim_ms: u32,
    pub deadline_ms: u32,
    /// An address of loopback for operators, besides the local socket.
    pub operations: Option<SocketAddr>,
}

/// Fresh secrets, from the system's source of randomness.
#[derive(Clone)]
pub struct Secrets {
    /// Of the first tenant, and of the operators who may change and look.
    pub tenant: String,
    pub office: String,
    pub wall: String,
}

/// A file to be written.
#[derive(Clone, PartialEq, Eq)]
pub struct File {
    pub name: &'static str,
    pub content: String,
    /// Nobody else may read it.
    pub secret: bool,
}

impl std::fmt::Debug for File {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({} bytes)", self.name, self.content.len())
    }
}

/// A folder and a program, as the service unit names them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub program: String,
    pub folder: String,
    pub user: String,
}

/// The files: settings, keys, and the text of a service unit.
///
/// # Errors
/// What the settings' own check says of these answers.
pub fn files(answers: &Answers, secrets: &Secrets, place: &Place) -> Result<Vec<File>, Vec<Problem>> {
    let settings = settings(answers, secrets);
    Config::parse(&settings)?;
    let file = |name, content: String, secret| File { name, content, secret };
    Ok(vec![
        // It holds the tenant's key.
        file("gaparch.xml", settings, true),
        file("office.key", secrets.office.clone() + "\n", true),
        file("wall.key", secrets.wall.clone() + "\n", true),
        file("gaparch.service", unit(place), false),
    ])
}

/// What may stand in an attribute; what may not becomes a reference.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('"', "&quot;")
}

fn settings(a: &Answers, secrets: &Secrets) -> String {
    let mut xml = String::new();
    let has = |role: Role| a.engines.iter().any(|e| e.role == role) || a.engines.is_empty();
    // Writing to a String can't fail.
    let _ = write!(
        xml,
        r#"<?xml version="1.0" encoding="UTF-8"?>
<!-- Written by `gaparch init`. `gaparch check` judges it, `gaparch doctor` looks at what is around it. -->
<gaparch version="1">
  <router name="{}" number="0" routers="1">
    <listen address="{}" dialect="messages"/>
  </router>
  <kinds>
"#,
        escaped(&a.name),
        a.listen
    );
    for role in [Role::Read, Role::Write, Role::Both] {
        if has(role) {
            let memory = if role == Role::Read { a.memory.0 } else { a.memory.1 };
            let word = match role {
                Role::Read => "read",
                Role::Write => "write",
                Role::Both => "both",
            };
            let _ =
                writeln!(xml, r#"    <kind id="{}" role="{word}" memory-tokens="{memory}"/>"#, role.kind());
        }
    }
    let _ = write!(
        xml,
        r#"  </kinds>
  <!-- First token wanted within `aim`; without one by `deadline` the client is answered for. -->
  <classes>
    <class id="message" default="true" effect="safe" aim="{}ms" aim-per-1000-tokens="60ms" deadline="{}ms"
           token-aim="50ms"/>
  </classes>
  <tenants>
    <tenant id="first" share="1"><key value="{}"/></tenant>
  </tenants>
"#,
        a.aim_ms, a.deadline_ms, secrets.tenant
    );
    if !a.engines.is_empty() {
        xml.push_str("  <engines>\n");
        for e in &a.engines {
            let (name, kind, rack) = (escaped(&e.name), e.role.kind(), escaped(&e.rack));
            let _ = writeln!(
                xml,
                r#"    <engine id="{name}" address="{}" kind="{kind}" rack="{rack}"/>"#,
                e.address
            );
        }
        xml.push_str("  </engines>\n");
    }
    if let Some(list) = a.list {
        let _ = writeln!(xml, r#"  <list address="{list}"/>"#);
    }
    let address = a.operations.map(|address| format!(r#" address="{address}""#)).unwrap_or_default();
    let _ = write!(
        xml,
        r#"  <rules release-within="500ms" drain-grace="500ms" cold-from="0.28" cold="14s" fall-multiple="2.5" fall="2s"/>
  <operations state="state" socket="gaparch.sock"{address}>
    <operator name="office" role="change" key-file="office.key"/>
    <operator name="wall" role="watch" key-file="wall.key"/>
  </operations>
</gaparch>
"#
    );
    xml
}

fn unit(place: &Place) -> String {
    format!(
        "[Unit]\nDescription=gaparch, a router for language-model requests\nAfter=network.target\n\n\
         [Service]\nUser={}\nWorkingDirectory={}\nExecStart={} serve gaparch.xml\n\
         # It ends in good order within its settings' shutdown time.\nTimeoutStopSec=30\nRestart=always\nRestartSec=1\n\
         LimitNOFILE=65536\n\n[Install]\nWantedBy=multi-user.target\n",
        place.user, place.folder, place.program
    )
}

//! Short words for orders, sites and endings.
#![allow(dead_code)]

use gaparch_ops::book::{Book, Denied, EngineStanding, Standing};
use gaparch_ops::SECOND;
use gaparch_protocol::ops::ending::{
    Cause, EndKind, Ending, Evidence, RequestName, Step, StepEnd, WaitedFor,
};
use gaparch_protocol::ops::intent::{Change, Hold, LimitView};
use gaparch_protocol::ops::view::EngineRole;
use gaparch_protocol::ops::Order;

pub fn order(change: Change) -> Order {
    Order { change, why: "a test".to_owned(), force: false, revision: None }
}

pub fn drain(engine: &str) -> Order {
    order(Change::Hold { engine: engine.to_owned(), hold: Hold::Drain })
}

pub fn free(engine: &str) -> Order {
    order(Change::Free { engine: engine.to_owned() })
}

/// So many readers `r0`... and writers `w0`..., all in use.
pub fn site(readers: usize, writers: usize) -> Standing {
    let engine =
        |role, name: String| EngineStanding { name, role, takes_new: true, waiting: 2, streaming: 3 };
    let readers = (0..readers).map(|n| engine(EngineRole::Read, format!("r{n}")));
    let writers = (0..writers).map(|n| engine(EngineRole::Write, format!("w{n}")));
    let limit = |name: &str, value| LimitView {
        name: name.to_owned(),
        value,
        by_settings: value,
        least: 1.0,
        most: 1000.0,
        unit: "requests".to_owned(),
    };
    let limits = vec![limit("open-requests", 100.0), limit("tenant.app.requests-per-second", 20.0)];
    Standing { engines: readers.chain(writers).collect(), held: 12, reading: 3, self_prefill: false, limits }
}

/// The site with what the book holds taken out.
pub fn held(mut site: Standing, book: &Book) -> Standing {
    for engine in &mut site.engines {
        engine.takes_new = book.hold(&engine.name).is_none();
    }
    site
}

/// Orders one after the other, each at a site as the earlier ones left it.
pub fn carry_out(book: &mut Book, site: &Standing, orders: &[Order]) -> Vec<Result<String, Denied>> {
    let mut results = Vec::new();
    for (n, order) in orders.iter().enumerate() {
        let now = held(site.clone(), book);
        let result = book.propose(order, "someone", n as u64 * SECOND, &now);
        results.push(result.map(|(taken, effect)| {
            book.apply(taken);
            effect
        }));
    }
    results
}

pub fn evidence(engines: usize, avoided: &str) -> Vec<Evidence> {
    let one = |n| Evidence {
        engine: format!("w{n}"),
        avoided: avoided.to_owned(),
        memory: 0.9,
        unread: 0.0,
        pace: 1.0,
    };
    (0..engines).map(one).collect()
}

/// A refusal at so many seconds, of a client known by the fingerprint.
pub fn refusal(number: u64, second: u64, fingerprint: u64) -> Ending {
    let request = RequestName { run: 7, number };
    let (asked, ended) = (second * SECOND, (second + 1) * SECOND);
    Ending {
        class: "question".to_owned(),
        tenant: "app".to_owned(),
        waited_for: Some(WaitedFor::WritersFull),
        retry_after_ms: Some(1000),
        steps: vec![Step {
            engine: "r0".to_owned(),
            stage: gaparch_protocol::ops::ending::Stage::Read,
            from_us: 10,
            took_us: 20,
            end: StepEnd::Error,
        }],
        evidence: evidence(4, "full"),
        fingerprint,
        ..Ending::bare(request, asked, ended, EndKind::Refused, Cause::AimLost)
    }
}

pub fn served(number: u64, second: u64, fingerprint: u64) -> Ending {
    Ending {
        kind: EndKind::Served,
        cause: Cause::Answered,
        waited_for: None,
        tokens: 20,
        evidence: Vec::new(),
        ..refusal(number, second, fingerprint)
    }
}

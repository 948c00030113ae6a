//! The requests of a hollow fleet: shared beginnings whose popularity falls with their rank, conversations of some
//! turns, and answers of the target's length.

use super::super::target;
use gaparch_scheduler::api::{AffinityKey, ClassId, Nanos, Request, RequestId, TenantId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Shared beginnings for each worker.
const BEGINNINGS: usize = 20;
/// Tokens of a prompt: its shared beginning, and the rest.
const BEGINNING_TOKENS: f64 = 2_000.0;
const REST_TOKENS: f64 = 2_000.0;
/// How long a client waits for the first token.
const PATIENCE: Nanos = 5_000_000_000;

/// Draws requests one after the other.
pub(super) struct Traffic {
    random: ChaCha8Rng,
    beginnings: f64,
    per_s: f64,
    routers: usize,
    next: u64,
}

/// A request, the router that it comes to, and what it will take.
pub(super) struct Asked {
    pub router: usize,
    pub request: Request,
    pub answer: f64,
}

impl Traffic {
    pub fn new(seed: u64, routers: usize, workers: usize, per_s: f64) -> Traffic {
        let beginnings = (workers * BEGINNINGS) as f64;
        Traffic { random: ChaCha8Rng::seed_from_u64(seed), beginnings, per_s, routers, next: 0 }
    }

    fn draw(&mut self) -> f64 {
        self.random.random::<f64>()
    }

    /// Until the next request.
    pub fn gap(&mut self) -> Nanos {
        (-self.draw().max(1e-12).ln() / self.per_s * 1e9) as Nanos
    }

    pub fn ask(&mut self, now: Nanos) -> Asked {
        self.next += 1;
        let router = self.random.random_range(0..self.routers);
        let rank = (self.draw() * self.beginnings.ln()).exp() as u64;
        let answer = target::answer_tokens() * (0.5 + self.draw());
        let rest = REST_TOKENS * (0.5 + self.draw());
        let tenant = self.random.random_range(0..target::TENANTS);
        let request = Request {
            id: RequestId(self.next),
            class: ClassId(0),
            tenant: Some(TenantId(tenant)),
            session: Some(AffinityKey(self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
            prefix: Some(AffinityKey(rank.wrapping_mul(0x1234_5677_1234_5677))),
            prompt_tokens: BEGINNING_TOKENS + rest,
            prefix_tokens: BEGINNING_TOKENS,
            max_output_tokens: answer * 2.0,
            expected_duration: None,
            deadline_at: now + PATIENCE,
            client_retry: false,
            client_reconnect: false,
        };
        Asked { router, request, answer }
    }
}

//! The fleet that is designed for, and how a smaller one of the same shape looks.

use rustix::system::sysinfo;

/// Routers of the fleet that is designed for.
pub const ROUTERS: usize = 1_300;
/// Its workers.
pub const WORKERS: usize = 10_000;
pub const ZONES: usize = 15;
pub const TENANTS: usize = 210;
/// Requests and tokens a second at the peak, all routers together.
pub const REQUESTS_PER_S: f64 = 57_000.0;
pub const TOKENS_PER_S: f64 = 21e6;
/// Of the workers, those that read prompts.
pub const READERS_SHARE: f64 = 0.33;
/// Changes of the list a day.
pub const CHANGES_PER_DAY: f64 = 24_000.0;
/// For a change to be in force everywhere.
pub const IN_FORCE_WITHIN_S: f64 = 10.0;
/// Of a core, for control, at one router.
pub const ROUTER_CORE_SHARE: f64 = 0.035;
pub const ROUTER_MEMORY_MB: f64 = 64.0;
pub const ROUTER_BYTES_PER_S: f64 = 2_048.0;
/// For 95 in 100.
pub const FIRST_TOKEN_S: f64 = 1.6;
pub const TOKEN_GAP_MS: f64 = 33.0;

/// A router's part of the peak.
pub fn requests_per_router() -> f64 {
    REQUESTS_PER_S / ROUTERS as f64
}

/// Tokens of an answer, on average.
pub fn answer_tokens() -> f64 {
    TOKENS_PER_S / REQUESTS_PER_S
}

/// Routers of a fleet of so many workers on the line from a small one to the target.
pub fn routers_for(workers: usize) -> usize {
    (workers * ROUTERS).div_ceil(WORKERS).max(1)
}

/// What a run may take: half of this machine's memory.
pub fn memory_bound() -> u64 {
    let info = sysinfo();
    info.totalram as u64 * u64::from(info.mem_unit) / 2
}

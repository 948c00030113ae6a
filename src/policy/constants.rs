//! The constants of the decision modules, with the reasons for their values.

use crate::api::{Nanos, TimerToken};
use crate::state::{EjectionBounds, LatencyComparison, LearningGains, NeighborhoodLimits, RateReduction};

/// Nanoseconds in a millisecond.
const MILLISECOND: Nanos = 1_000_000;

/// Timer of the periodic tick.
pub const TICK_TIMER: TimerToken = TimerToken(0);
/// Timer after which the endpoint list is watched again if an update failed.
pub const ENDPOINT_POLL_TIMER: TimerToken = TimerToken(1);

/// Interval between checks of deadlines, queued requests and overdue attempts.
pub const TICK_INTERVAL: Nanos = 10 * MILLISECOND;
/// An unanswered request is given up this many check intervals before its deadline, so that the answer
/// still reaches its client.
pub const GIVE_UP_MARGIN_CHECKS: f64 = 2.5;
/// What counts as recent: a server gets no new requests for this long after it was saturated, and needs
/// no load probe for this long after a response. Also the shortest ejection.
pub const RECENT_WINDOW: Nanos = 1000 * MILLISECOND;

/// Fraction of the KV release time within which the decode attempt has to be sent; otherwise the
/// request is given up.
pub const PLACEMENT_FRACTION: f64 = 0.7;
/// Fraction of the KV release time after which the server of an unanswered decode attempt is probed.
pub const PROBE_FRACTION: f64 = 0.3;
/// Fraction of the KV release time after which another decode worker is tried, if the server has not
/// answered the probe.
pub const RETRY_FRACTION: f64 = 0.6;
/// Fraction of the KV release time after which the KV cache is released while its decode attempt is
/// still unanswered.
pub const RELEASE_FRACTION: f64 = 0.9;
/// Time in which an attempt reaches a running server, and in which the server answers a probe.
pub const DELIVERY_TIME: Nanos = 50 * MILLISECOND;

/// KV cache utilization from which a decode worker counts as saturated. It is below 1 because the KV
/// caches of answers in progress grow.
pub const SATURATION_UTILIZATION: f64 = 0.92;
/// How much the KV cache utilization of a nearby decode worker may exceed that of the least loaded one.
pub const NEAR_DECODE_TOLERANCE: f64 = 0.25;
/// Addition to that tolerance for each second by which decoding starts later across cells, as it does
/// over slow links.
pub const SLOW_LINK_TOLERANCE: f64 = 0.5;
/// Lower bound of a server's relative speed, so that its relative load stays finite.
pub const MIN_RELATIVE_SPEED: f64 = 0.02;
/// Lower bound of the speed factor of a server that is warming up.
pub const MIN_SLOW_START_SPEED: f64 = 0.1;

/// Upper bound of a prefill worker's affinity as a multiple of an even share, however many decode
/// workers its cell has.
pub const MAX_AFFINITY: f64 = 1.6;
/// Lower bound of a prefill worker's affinity, so that weights stay finite.
pub const MIN_AFFINITY: f64 = 1e-3;
/// Lower bound of a cell's share of prefill weight, as a divisor.
pub const MIN_CELL_SHARE: f64 = 1e-9;
/// Number of prefill workers over which a shared prefix is spread for each 1/n of all requests that have
/// this prefix, with n prefill workers.
pub const WORKERS_PER_PREFIX_SHARE: f64 = 3.0;
/// Window over which requests are counted for prefix popularity and request intervals.
pub const POPULARITY_SPAN: Nanos = 60_000 * MILLISECOND;

/// Fixed cost of a prefill in tokens, for its scheduling steps and the transfer of its result.
pub const PREFILL_BASE_TOKENS: f64 = 400.0;
/// Prompt length that is assumed if a request states none.
pub const DEFAULT_PROMPT_TOKENS: f64 = 500.0;
/// Weight of a new sample in running means: about the last ten samples count.
pub const MEAN_GAIN: f64 = 0.1;
/// Learning rates of the prefill cost model. A slower sample changes the unloaded pace only a little,
/// as it may have queued.
pub const PREFILL_GAINS: LearningGains = LearningGains { mean: MEAN_GAIN, slower_unloaded: 0.02 };
/// A prefill is overdue if it exceeds the mean by this many deviations.
pub const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Fraction of the latency objective from which the queueing time of a prefill worker makes it count
/// as saturated. Further requests wait in the router's queue.
pub const PREFILL_WAIT_FRACTION: f64 = 0.25;
/// Fraction of the latency objective above which the latency of a prefill counts as a missed objective, a
/// sign of more requests than all routers can serve.
pub const PREFILL_MISSED_FRACTION: f64 = 1.0;
/// How prefills are throttled after a missed objective: to a fraction of the recent rate, at most once a
/// second.
pub const PREFILL_REDUCTION: RateReduction =
    RateReduction { factor: 0.8, measured_over: RATE_SPAN, interval: RECENT_WINDOW };
/// Relative growth of the prefill rate per second.
pub const PREFILL_RATE_GROWTH: f64 = 0.2;

/// Maximum age of load reports. It is long because each of many routers seldom hears from a server.
pub const LOAD_MAX_AGE: Nanos = 3000 * MILLISECOND;
/// Lag of load reports, by which this router's share of a reported load is told from that of others.
pub const REPORT_LAG: Nanos = 500 * MILLISECOND;
/// Budget points that each request earns for probes, and again for gossip: the fraction of the value
/// of all requests that each of the two may cost.
pub const LOAD_INFO_POINTS_PER_REQUEST: f64 = 0.015;
/// Maximum points in each of these budgets.
pub const MAX_LOAD_INFO_POINTS: f64 = LOAD_INFO_POINTS_PER_REQUEST * 100.0;
/// Minimum interval between gossip messages of some 50 bytes each. It is longer if the budget does not
/// cover their cost.
pub const GOSSIP_INTERVAL: Nanos = 300 * MILLISECOND;
/// Message size, in bytes, to which the gossip cost in the settings refers.
pub const GOSSIP_COST_BYTES: f64 = 256.0;

/// How long a prefill waits for the answers to load probes.
pub const PROBE_WAIT: Nanos = 30 * MILLISECOND;
/// Number of decode workers in the prefill worker's cell that are probed during a prefill.
pub const PROBED_DECODE_WORKERS: usize = 2;
/// A decode worker whose probe takes this long has a queue and counts as saturated.
pub const SLOW_PROBE_LATENCY: Nanos = 120 * MILLISECOND;
/// Maximum load probes per second if there are many servers: about 2 KB per second including all
/// overhead.
pub const LOAD_PROBES_PER_SECOND: f64 = 16.0;
/// Interval between probes of an unreachable server.
pub const HEALTH_CHECK_INTERVAL: Nanos = 400 * MILLISECOND;

/// Length of a first ejection, as a multiple of the mean interval at which this router sends to the
/// server.
pub const EJECTION_SEND_INTERVALS: f64 = 1.0;
/// Maximum length of an ejection.
pub const MAX_EJECTION: Nanos = 16_000 * MILLISECOND;
/// Ratio of a server's latency to the median of its peers from which its speed counts as divided by
/// that ratio.
pub const SLOW_LATENCY_RATIO: f64 = 2.0;
/// Latency ratio from which a server is an outlier and gets one request at a time.
pub const OUTLIER_LATENCY_RATIO: f64 = 3.0;
/// How server latencies are compared. A server is compared from its third sample on.
pub const LATENCY_COMPARISON: LatencyComparison =
    LatencyComparison { gain: 0.25, needed_samples: 3, sweep_above: FULL_SCAN_SERVER_LIMIT };

/// Time without a first token after which a decode attempt counts as queued, and its worker as
/// saturated.
pub const DECODE_SATURATED_AFTER: Nanos = 400 * MILLISECOND;
/// Time without a first token after which a decode attempt is cancelled if another worker has capacity.
pub const DECODE_OVERDUE_AFTER: Nanos = 900 * MILLISECOND;
/// Initial cancellation budget.
pub const INITIAL_CANCELLATIONS: f64 = 1.0;
/// Cancellations that each sent attempt adds to the budget. More would make congestion worse.
pub const CANCELLATIONS_PER_ATTEMPT: f64 = 0.2;
/// Maximum cancellation budget.
pub const MAX_CANCELLATIONS: f64 = 1.0 + CANCELLATIONS_PER_ATTEMPT * 10.0;
/// Minimum timeout of an attempt that can't be cancelled.
pub const MIN_SEND_TIMEOUT: Nanos = 1500 * MILLISECOND;
/// Attempts that a request needs from the start: a prefill and a decode attempt.
pub const ATTEMPTS_FROM_START: u32 = 2;
/// Attempts that a request needs once it has a KV cache.
pub const ATTEMPTS_FROM_KV_CACHE: u32 = 1;

/// Window over which send rates are measured, for slow start and for the prefill throttle.
pub const RATE_SPAN: Nanos = 5000 * MILLISECOND;
/// Mean requests per overload window that all routers together may send to a server that is warming up
/// even if its peers get none.
pub const SLOW_START_FLOOR: f64 = 0.5;
/// Fraction of a slow-start budget that is used while warm servers are saturated. The sum over all routers is
/// then what the settings allow on average, and chance comes on top.
pub const SATURATED_BUDGET_FRACTION: f64 = 0.8;
/// Lower bound of the overload window.
pub const MIN_OVERLOAD_WINDOW: Nanos = 100 * MILLISECOND;

/// A tenant may send this multiple of its even share of the quota through one router, as its requests
/// are distributed unevenly over the routers.
pub const QUOTA_TOLERANCE: f64 = 1.5;
/// Burst size of a quota, in seconds of its rate; one more request is allowed on top.
pub const QUOTA_BURST_SECONDS: f64 = 2.0;

/// Number of servers up to which a request chooses among all servers, and a tick visits all of them.
pub const FULL_SCAN_SERVER_LIMIT: usize = 256;
/// Size of the neighbourhood that a request chooses from if there are more servers than that.
pub const NEIGHBORHOOD: NeighborhoodLimits =
    NeighborhoodLimits { target_servers: 64, max_servers: 256, points_per_cell: 16, edge_weight: 1e-3 };
/// Queued requests that are checked on each event if each has its own neighbourhood.
pub const ADMISSION_CHECKS_PER_EVENT: usize = 8;

/// Bounds of the ejection of a server to which this router sends every `send_interval` nanoseconds on
/// average.
pub fn ejection_bounds(send_interval: f64) -> EjectionBounds {
    let shortest = (EJECTION_SEND_INTERVALS * send_interval) as Nanos;
    EjectionBounds { shortest: shortest.clamp(RECENT_WINDOW, MAX_EJECTION), longest: MAX_EJECTION }
}

//! Every value that the decisions go by, with its reason.

use crate::api::{Nanos, TimerToken};
use crate::state::{EjectionBounds, LatencyComparison, LearningGains, NeighborhoodLimits, RateReduction};

/// Nanoseconds in a millisecond.
const MILLISECOND: Nanos = 1_000_000;

/// The timer of the tick.
pub const TICK_TIMER: TimerToken = TimerToken(0);
/// The timer after which the endpoint list is asked for again.
pub const ENDPOINT_POLL_TIMER: TimerToken = TimerToken(1);

/// The time between two checks of deadlines, queued requests and overdue attempts.
pub const TICK_INTERVAL: Nanos = 10 * MILLISECOND;
/// An unanswered request ends so many checks before its client leaves, so that the answer still
/// reaches it.
pub const GIVE_UP_MARGIN_CHECKS: f64 = 2.5;
/// What counts as recent: a server that was saturated is left alone for so long, and one heard from
/// needs no probe.
pub const RECENT: Nanos = 1000 * MILLISECOND;

/// The share of the KV release time by which a KV cache has to be sent for, or its request is given
/// up.
pub const PLACEMENT_FRACTION: f64 = 0.7;
/// The share of the KV release time after which the server of an unanswered decode attempt is probed.
pub const PROBE_FRACTION: f64 = 0.3;
/// The share of it after which another decode worker is tried, if that server does not answer the
/// probe.
pub const RETRY_FRACTION: f64 = 0.6;
/// The share of it after which the KV cache is released beside its unanswered decode attempt.
pub const RELEASE_FRACTION: f64 = 0.9;
/// The time in which an attempt reaches a running server, and in which that answers a probe.
pub const DELIVERY_TIME: Nanos = 50 * MILLISECOND;

/// The KV cache utilization from which a decode worker counts as saturated: answers in progress grow.
pub const SATURATION_UTILIZATION: f64 = 0.92;
/// How much higher the KV cache utilization of a near decode worker may be than that of the least
/// loaded one.
pub const NEAR_DECODE_TOLERANCE: f64 = 0.25;
/// What is added to that for each second that decoding begins later across cells, as it does over
/// slow links.
pub const SLOW_LINK_TOLERANCE: f64 = 0.5;
/// The least relative speed that a server counts with, so that its load stays finite.
pub const MIN_RELATIVE_SPEED: f64 = 0.02;
/// The least share of a warm server's speed that one that is warming up counts with.
pub const MIN_SLOW_START_SPEED: f64 = 0.1;

/// The most affinity that a prefill worker attracts, as a multiple of an even share, whatever
/// decode workers its cell has.
pub const MAX_AFFINITY: f64 = 1.6;
/// The least affinity that a prefill worker attracts, so that weights stay finite.
pub const MIN_AFFINITY: f64 = 1e-3;
/// The least share of a cell's weight that is divided by.
pub const MIN_CELL_SHARE: f64 = 1e-9;
/// Prefill workers that a shared prefix is spread over, for each even worker's share of all
/// requests that it makes up.
pub const WORKERS_PER_PREFIX_SHARE: f64 = 3.0;
/// The span over which requests are counted for that.
pub const POPULARITY_SPAN: Nanos = 60_000 * MILLISECOND;

/// Tokens that a prefill costs whatever its length, for its steps and the hand-over.
pub const PREFILL_BASE_TOKENS: f64 = 400.0;
/// The prompt length that is assumed where a request has none.
pub const DEFAULT_PROMPT_TOKENS: f64 = 500.0;
/// The weight of a new sample in running means, so that about the last ten count.
pub const MEAN_GAIN: f64 = 0.1;
/// How the prefill cost model learns: a slower sample moves the unloaded pace by little, as it may
/// have queued.
pub const PREFILL_GAINS: LearningGains = LearningGains { mean: MEAN_GAIN, slower_unloaded: 0.02 };
/// A prefill is overdue when it is slower than the mean by so many deviations.
pub const OVERDUE_DEVIATIONS: f64 = 4.0;
/// The share of the latency objective from which a wait makes a prefill worker count as saturated;
/// further requests wait in the router's queue.
pub const PREFILL_WAIT_FRACTION: f64 = 0.25;
/// The share of the latency objective from which a prefill is lost, a sign of more requests than
/// all routers can serve.
pub const PREFILL_LOST_FRACTION: f64 = 1.0;
/// How prefills are throttled after a lost one: to a share of those recently sent, at most once a
/// second.
pub const PREFILL_REDUCTION: RateReduction =
    RateReduction { factor: 0.8, measured_over: RATE_SPAN, interval: RECENT };
/// The share by which the prefill rate grows in a second.
pub const PREFILL_RATE_GROWTH: f64 = 0.2;

/// The age from which load reports count no longer: many routers hear seldom from each server.
pub const LOAD_MAX_AGE: Nanos = 3000 * MILLISECOND;
/// The lag of load reports, with which own work is told from that of other routers.
pub const REPORT_LAG: Nanos = 500 * MILLISECOND;
/// The points that each request earns for probes, and for gossip: the share of all service that
/// each of them may cost.
pub const INFORMATION_POINTS: f64 = 0.015;
/// The most points that are saved up.
pub const MAX_INFORMATION_POINTS: f64 = INFORMATION_POINTS * 100.0;
/// The least time between two gossip messages, of some 50 bytes each; more where they have to be
/// earned.
pub const GOSSIP_INTERVAL: Nanos = 300 * MILLISECOND;
/// The size of a gossip message for which its cost is set, in bytes.
pub const GOSSIP_COST_BYTES: f64 = 256.0;

/// How long a prefill waits for the answers of load probes.
pub const PROBE_WAIT: Nanos = 30 * MILLISECOND;
/// The number of decode workers of the prefill worker's cell that are probed during a prefill.
pub const PROBED_DECODE_WORKERS: usize = 2;
/// A decode worker whose probe takes longer has a queue, and counts as saturated.
pub const SLOW_PROBE_LATENCY: Nanos = 120 * MILLISECOND;
/// The most load probes a second where there are many servers: some 2 KB with all that belongs to
/// them.
pub const LOAD_PROBES_PER_SECOND: f64 = 16.0;
/// The time between two probes of a server that could not be reached.
pub const HEALTH_CHECK_INTERVAL: Nanos = 400 * MILLISECOND;

/// A server that fails is ejected until this router would send to it so often again.
pub const EJECTION_VISITS: f64 = 1.0;
/// The longest ejection.
pub const MAX_EJECTION: Nanos = 16_000 * MILLISECOND;
/// The latency ratio to the median of its peers from which a server counts as so much smaller.
pub const SLOW_LATENCY_RATIO: f64 = 2.0;
/// The latency ratio from which a server is an outlier, and gets one request at a time.
pub const OUTLIER_LATENCY_RATIO: f64 = 3.0;
/// How the latencies of servers are compared: a server's own counts from its third sample on.
pub const LATENCY_COMPARISON: LatencyComparison =
    LatencyComparison { gain: 0.25, needed_samples: 3, sweep_above: SERVERS_PER_STEP };

/// A decode attempt without a first token for so long is queued: its worker counts as saturated.
pub const DECODE_STALL: Nanos = 400 * MILLISECOND;
/// A decode attempt without a first token for so long is cancelled if another worker has capacity.
pub const DECODE_PATIENCE: Nanos = 900 * MILLISECOND;
/// The cancellations that are allowed at the start.
pub const INITIAL_CANCELLATIONS: f64 = 1.0;
/// The cancellations that each attempt sent allows: in a jam more would add to it.
pub const CANCELLATIONS_PER_ATTEMPT: f64 = 0.2;
/// The most cancellations that are saved up.
pub const MAX_CANCELLATIONS: f64 = 1.0 + CANCELLATIONS_PER_ATTEMPT * 10.0;
/// The least timeout of a send where attempts can't be cancelled.
pub const MIN_SEND_TIMEOUT: Nanos = 1500 * MILLISECOND;
/// The attempts that an answer takes from the start: a prefill and a decode attempt.
pub const ATTEMPTS_FROM_START: u32 = 2;
/// The attempts that an answer takes once there is a KV cache.
pub const ATTEMPTS_FROM_KV_CACHE: u32 = 1;

/// The span over which rates of sends are measured, for slow start and for the throttle.
pub const RATE_SPAN: Nanos = 5000 * MILLISECOND;
/// Mean requests that a server that is warming up gets in an overload window when its peers get
/// nothing.
pub const SLOW_START_FLOOR: f64 = 0.5;
/// The shortest overload window that is divided by, in seconds.
pub const MIN_OVERLOAD_WINDOW_SECONDS: f64 = 0.1;

/// How many times its even part a tenant may send through this router: routers see uneven parts of
/// its requests.
pub const QUOTA_TOLERANCE: f64 = 1.5;
/// Seconds of its quota that a tenant may send at once, and one request besides.
pub const QUOTA_BURST_SECONDS: f64 = 2.0;

/// The number of servers up to which a request chooses among all, and a tick goes through all.
pub const SERVERS_PER_STEP: usize = 256;
/// Among which servers a request chooses where there are more.
pub const NEIGHBORHOOD: NeighborhoodLimits =
    NeighborhoodLimits { target_servers: 64, max_servers: 256, points_per_cell: 16, edge_weight: 1e-3 };
/// Queued requests that are checked for each event, where each has servers of its own.
pub const ADMISSION_CHECKS_PER_EVENT: usize = 8;

/// The bounds of an ejection whose server this router would send to again after `revisit`, in
/// nanoseconds.
pub fn ejection_bounds(revisit: f64) -> EjectionBounds {
    let shortest = (EJECTION_VISITS * revisit) as Nanos;
    EjectionBounds { shortest: shortest.clamp(RECENT, MAX_EJECTION), longest: MAX_EJECTION }
}

//! The state that the policy reads and updates: tables of servers and requests, statistics, budgets. It makes
//! no decisions itself.

mod adaptive_throttle;
mod admission_queue;
mod attempt;
mod budget;
mod decode_delay;
mod fleet_summary;
mod gossip_message;
mod hash_ring;
mod in_flight_request;
mod latency_comparison;
mod peer_load;
mod per_role;
mod prefill_cost;
mod prefix_popularity;
mod request_table;
mod selection;
mod server;
mod server_table;
mod statistics;
mod token_bucket;
mod traffic_statistics;
mod units;
mod warm_servers;

pub use adaptive_throttle::{AdaptiveThrottle, RateReduction};
pub use admission_queue::{AdmissionQueue, QueueGroup, QueuePosition, QueuedRequest, ResourceRequirements};
pub use attempt::{Attempt, AttemptProgress, MayHaveRun, Stage};
pub use budget::Budget;
pub use decode_delay::DecodeStartDelays;
pub use fleet_summary::{FleetSummary, MeanAccumulator};
pub use gossip_message::{decode_gossip, encode_gossip};
pub use hash_ring::{
    DistanceWeights, HashRing, Neighborhood, NeighborhoodLimits, RingPosition, ServerIndices,
};
pub use in_flight_request::{session_key, InFlightRequest, KvCacheLocation, PrefillAffinity, RequestFacts};
pub use latency_comparison::LatencyComparison;
pub use peer_load::PeerLoad;
pub use per_role::{PerRole, ROLES};
pub use prefill_cost::{LearningGains, PrefillCostModel};
pub use prefix_popularity::{PrefixPopularity, RecentRequests};
pub use request_table::RequestTable;
pub use selection::{least_by, least_with_tie_breaker, next_power_of_four, sample_by_rank};
pub use server::{
    EjectionBounds, Ejections, LatencyRecord, Listing, ListingState, Liveness, LocalLoad, Reachability,
    ReportedLoad, Server, SlowStartRecord, TrafficClassKey,
};
pub use server_table::ServerTable;
pub use statistics::{average, lower_median, mean_of_means, DecayingSum, LaggedValue, RunningMean};
pub use token_bucket::TokenBucket;
pub use traffic_statistics::TrafficStatistics;
pub use units::{seconds, NANOS_PER_SECOND};
pub use warm_servers::{warm_servers_by_kind, WarmServers};

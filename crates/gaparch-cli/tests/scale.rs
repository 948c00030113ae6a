//! A platform router process with ten thousand simulated workers.

use gaparch_testbed::scale::raise_descriptors;
use gaparch_testbed::scale::real::{
    load, AnswerPace, HollowWorkers, ListedWorker, NodeProcess, ScaleCatalogue,
};
use gaparch_testbed::scale::router::address_block;
use std::path::Path;
use std::time::Duration;

const WORKERS: usize = 10_000;
const ZONES: usize = 15;
const LONG: Duration = Duration::from_secs(30);
/// Requests per second, and duration of the load in each phase.
const REQUESTS_PER_S: f64 = 44.0;
const PHASE: Duration = Duration::from_secs(1);

/// Sets the lifecycle of all workers in a zone and waits until every router has received it.
async fn set_lifecycle(
    catalogue: &ScaleCatalogue,
    workers: &HollowWorkers,
    zone: &str,
    lifecycle: &'static str,
) {
    let in_zone = workers.listed.iter().filter(|worker| worker.zone == zone);
    let ids: Vec<String> = in_zone.map(|worker| worker.id.clone()).collect();
    assert!(ids.len() > 600, "{zone} has {} workers", ids.len());
    let generation = catalogue.set(&ids, lifecycle);
    assert!(
        catalogue.known_by(generation, 1, LONG).await.is_some(),
        "routers receive {lifecycle} for {zone}"
    );
}

/// Sends a phase of load, checks that all of it is served, and returns the number of requests sent to a zone.
async fn requests_to_zone(router: &NodeProcess, workers: &HollowWorkers, zone: &str, salt: u64) -> u64 {
    let in_zone = |worker: &ListedWorker| worker.zone == zone;
    let before = workers.asked_of(in_zone);
    let report = load(router.listen, REQUESTS_PER_S, PHASE, salt).await;
    assert!(report.asked > 30);
    assert_eq!(report.served, report.asked);
    workers.asked_of(in_zone) - before
}

#[test]
fn a_router_with_ten_thousand_workers_serves_all_requests_while_zones_are_drained_or_lost() {
    raise_descriptors(WORKERS).expect("the descriptor limit is raised");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let folder = std::env::temp_dir().join(format!("gaparch-scale-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("directory created");
        let pace = AnswerPace { events: 4, gap: Duration::from_millis(2) };
        let workers = HollowWorkers::start(WORKERS, ZONES, address_block(), pace).await.expect("addresses");
        let catalogue = ScaleCatalogue::start(workers.listed.clone()).await.expect("an address");
        let program = Path::new(env!("CARGO_BIN_EXE_gaparch"));
        let mut router =
            NodeProcess::start(program, &folder, 0, catalogue.address, ZONES).expect("the router starts");
        router.ready(LONG).await.expect("the router is ready");

        assert!(requests_to_zone(&router, &workers, "z3", 1_000).await > 0, "all zones get requests");
        set_lifecycle(&catalogue, &workers, "z3", "draining").await;
        assert_eq!(
            requests_to_zone(&router, &workers, "z3", 2_000).await,
            0,
            "a drained zone gets no requests"
        );
        set_lifecycle(&catalogue, &workers, "z5", "gone").await;
        assert_eq!(requests_to_zone(&router, &workers, "z5", 3_000).await, 0, "a lost zone gets no requests");
        set_lifecycle(&catalogue, &workers, "z5", "ready").await;
        assert!(
            requests_to_zone(&router, &workers, "z5", 4_000).await > 0,
            "a zone that has returned gets requests again"
        );
        let usage = router.usage().expect("the router runs");
        assert!(usage.resident_mb < 64.0, "{usage:?}");
        let _ = std::fs::remove_dir_all(&folder);
    });
}

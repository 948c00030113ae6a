//! Real routers before ten thousand hollow workers.

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
/// Requests a second and their number in each phase.
const PER_S: f64 = 44.0;
const SPAN: Duration = Duration::from_secs(1);

/// Sets a zone's lifecycle, and waits until every router knows it.
async fn tell(catalogue: &ScaleCatalogue, workers: &HollowWorkers, zone: &str, lifecycle: &'static str) {
    let of_zone = workers.listed.iter().filter(|worker| worker.zone == zone);
    let ids: Vec<String> = of_zone.map(|worker| worker.id.clone()).collect();
    assert!(ids.len() > 600, "a zone of {}", ids.len());
    let generation = catalogue.set(&ids, lifecycle);
    assert!(catalogue.known_by(generation, 1, LONG).await.is_some(), "{zone} {lifecycle} is told");
}

/// All that is asked is served; what of it went to a zone.
async fn served(router: &NodeProcess, workers: &HollowWorkers, zone: &str, salt: u64) -> u64 {
    let in_zone = |worker: &ListedWorker| worker.zone == zone;
    let before = workers.asked_of(in_zone);
    let loaded = load(router.listen, PER_S, SPAN, salt).await;
    assert!(loaded.asked > 30);
    assert_eq!(loaded.served, loaded.asked);
    workers.asked_of(in_zone) - before
}

#[test]
fn a_router_serves_before_ten_thousand_workers_as_a_zone_drains_and_another_is_lost() {
    raise_descriptors(WORKERS).expect("the system allows it");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let folder = std::env::temp_dir().join(format!("gaparch-scale-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("made");
        let pace = AnswerPace { events: 4, gap: Duration::from_millis(2) };
        let workers = HollowWorkers::start(WORKERS, ZONES, address_block(), pace).await.expect("addresses");
        let catalogue = ScaleCatalogue::start(workers.listed.clone()).await.expect("an address");
        let program = Path::new(env!("CARGO_BIN_EXE_gaparch"));
        let mut router =
            NodeProcess::start(program, &folder, 0, catalogue.address, ZONES).expect("it starts");
        router.ready(LONG).await.expect("it is ready on a whole list");

        assert!(served(&router, &workers, "z3", 1_000).await > 0, "all zones serve");
        tell(&catalogue, &workers, "z3", "draining").await;
        assert_eq!(served(&router, &workers, "z3", 2_000).await, 0, "nothing new goes to a drained zone");
        tell(&catalogue, &workers, "z5", "gone").await;
        assert_eq!(served(&router, &workers, "z5", 3_000).await, 0, "nothing new goes to a lost zone");
        tell(&catalogue, &workers, "z5", "ready").await;
        assert!(served(&router, &workers, "z5", 4_000).await > 0, "a zone that is back serves again");
        let usage = router.usage().expect("it runs");
        assert!(usage.resident_mb < 64.0, "{usage:?}");
        let _ = std::fs::remove_dir_all(&folder);
    });
}

//! Measures the membership core in virtual time, beside plain SWIM:
//! `cargo run --release -p gaparch-testbed --example membership -- 3 9 40 300`; `refined` among them leaves plain SWIM out.

use gaparch_membership::MembershipEvent;
use gaparch_testbed::fleet::world::{name, Link, Terms, World, SECOND};
use std::time::Instant;

/// Seconds until each living member knew of each dead one, sorted; those that never did are left out, and counted.
fn detection(world: &World, dead: &[usize], since: u64, living: usize) -> (Vec<f64>, usize) {
    let names: Vec<String> = dead.iter().map(|n| name(*n)).collect();
    let of_dead = |t: &&gaparch_testbed::fleet::world::Told| {
        t.at >= since && matches!(&t.what, MembershipEvent::Died { name, .. } if names.contains(name))
    };
    let mut took: Vec<f64> = world.told.iter().filter(of_dead).map(|t| (t.at - since) as f64 / 1e9).collect();
    took.sort_by(f64::total_cmp);
    let missing = (living * dead.len()).saturating_sub(took.len());
    (took, missing)
}

fn at(sorted: &[f64], share: f64) -> f64 {
    sorted.get(((sorted.len() as f64 - 1.0) * share).max(0.0) as usize).copied().unwrap_or(f64::NAN)
}

fn main() {
    println!(
        "{:>7} {:>8} {:>8} {:>7} {:>7} {:>7} {:>12} {:>9} {:>9} {:>10}",
        "members",
        "",
        "median s",
        "99 %",
        "worst",
        "unknown",
        "false deaths",
        "msg/s",
        "bytes/s",
        "us/message"
    );
    let only_refined = std::env::args().any(|word| word == "refined");
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    for members in if sizes.is_empty() { vec![3, 9, 40, 300] } else { sizes } {
        for refined in [true, false].into_iter().filter(|refined| *refined || !only_refined) {
            let began = Instant::now();
            let mut world = World::new(members, Terms { refined, ..Terms::of(members) });
            world.run_for(20 * SECOND);
            // A tenth at once, in calm.
            let dead: Vec<usize> = (2..2 + (members / 10).max(1)).collect();
            let since = world.now;
            dead.iter().for_each(|node| world.kill(*node));
            world.run_for(20 * SECOND);
            let (took, missing) = detection(&world, &dead, since, members - dead.len());
            // Then three in ten messages are lost for a minute, while one pair can't talk.
            world.link = Link { loss: 0.3, ..Link::default() };
            world.cut_both(&[0], &[members - 1]);
            let since = world.now;
            let counters = |w: &World| w.view(0).expect("it runs").counters;
            let before = counters(&world);
            world.run_for(60 * SECOND);
            let after = counters(&world);
            let messages: u64 = world.living().iter().map(|n| world.sent(*n)).sum();
            println!(
                "{members:>7} {:>8} {:>8.2} {:>7.2} {:>7.2} {missing:>7} {:>12} {:>9.1} {:>9.0} {:>10.1}",
                if refined { "refined" } else { "plain" },
                at(&took, 0.5),
                at(&took, 0.99),
                at(&took, 1.0),
                world.false_deaths(since),
                (after.sent - before.sent) as f64 / 60.0,
                (after.sent_bytes - before.sent_bytes) as f64 / 60.0,
                began.elapsed().as_secs_f64() * 1e6 / messages as f64
            );
        }
    }
}

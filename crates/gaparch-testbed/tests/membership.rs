//! The membership core in virtual time: kills, pauses, lost messages, one-sided cuts, splits, faulty disks.

use gaparch_membership::{Connectivity, MembershipEvent};
use gaparch_protocol::fleet::MemberState::{Alive, Dead, Left, Suspect};
use gaparch_testbed::fleet::world::{name, Link, Terms, World, MS, SECOND};

/// A fleet that has found itself.
fn whole(members: usize, terms: Terms) -> World {
    let mut world = World::new(members, terms);
    let took = world.run_until(30 * SECOND, World::is_whole);
    assert!(took.is_some_and(|t| t < 5 * SECOND), "not whole after {took:?}");
    world.run_for(5 * SECOND);
    world
}

fn seeds() -> impl Iterator<Item = u64> {
    1..=5
}

#[test]
fn fleets_of_one_two_and_a_hundred_find_themselves_and_stand_with_a_majority() {
    for members in [1, 2, 9, 100] {
        let mut world = whole(members, Terms::of(members));
        world.run_for(10 * SECOND);
        for node in 0..members {
            let view = world.view(node).expect("it runs");
            assert!(view.has_quorum, "{members}: {view:?}");
            assert_eq!((view.divisor, view.counted), (members as u32, members as u32));
        }
    }
}

#[test]
fn killed_ones_are_known_to_all_living_in_time() {
    for (killed, seed) in [1, 3, 3].into_iter().zip(seeds()) {
        let mut world = whole(9, Terms { seed, ..Terms::of(9) });
        let dead: Vec<usize> = (2..2 + killed).collect();
        dead.iter().for_each(|node| world.kill(*node));
        let living = world.living();
        let took = world.run_until(20 * SECOND, |w| w.all_think(&dead, Dead, &living));
        assert!(took.is_some_and(|t| t < 5 * SECOND), "{killed} killed: {took:?}");
        assert_eq!(world.false_deaths(0), 0);
    }
}

#[test]
fn a_stopped_one_accuses_nobody_when_it_wakes_and_is_back_with_all() {
    for (stopped_ms, seed) in [500, 2_000, 10_000, 60_000].into_iter().zip(seeds()) {
        let mut world = whole(9, Terms { seed, ..Terms::of(9) });
        let four = [1, 3, 4, 8];
        four.iter().for_each(|node| world.stop(*node));
        let before = world.now;
        world.run_for(stopped_ms * MS);
        let deaths = world.count(before, |h| matches!(h, MembershipEvent::Died { .. }));
        assert!((stopped_ms > 500) == (deaths > 0), "{stopped_ms} ms: {deaths} deaths told");
        let woke = world.now;
        four.iter().for_each(|node| world.go_on(*node));
        let took = world.run_until(20 * SECOND, World::is_whole);
        assert!(took.is_some_and(|t| t <= 2 * SECOND), "{stopped_ms} ms: whole after {took:?}");
        world.run_for(5 * SECOND);
        let accused = world.told.iter().filter(|t| t.at >= woke && four.contains(&t.node));
        let own = |t: &&gaparch_testbed::fleet::world::Told| matches!(&t.what, MembershipEvent::Suspected { by, .. } | MembershipEvent::Died { by, .. } if *by == name(t.node));
        assert_eq!(accused.filter(own).count(), 0, "{stopped_ms} ms");
        assert!(world.is_whole());
    }
}

/// Answers that take longer than a period are answers all the same: who waits for one in its period waits for long.
#[test]
fn one_that_wakes_on_slow_links_becomes_sure_again() {
    for (delay, seed) in [(400, 1), (600, 2), (900, 3), (1_500, 4)] {
        let mut world = whole(9, Terms { seed, ..Terms::of(9) });
        world.link = Link { delay: delay * MS, ..Link::default() };
        world.run_for(5 * SECOND);
        world.stop(0);
        world.run_for(5 * SECOND);
        world.go_on(0);
        world.run_for(4 * SECOND + 2 * delay * MS);
        assert!(!world.view(0).expect("it runs").is_recovering, "links of {delay} ms");
    }
}

#[test]
fn lost_doubled_late_and_overtaking_messages_kill_nobody() {
    for (loss, jitter, seed) in
        [(0.1, 0, 1), (0.3, 0, 2), (0.3, 50 * MS, 3), (0.1, 1_000 * MS, 4), (0.0, 1_000 * MS, 5)]
    {
        let mut world = whole(9, Terms { seed, ..Terms::of(9) });
        world.link = Link { loss, duplicates: 0.1, jitter, ..Link::default() };
        let from = world.now;
        world.run_for(300 * SECOND);
        assert_eq!(world.false_deaths(from), 0, "loss {loss}, up to {} ms late", jitter / MS);
        world.link = Link::default();
        let took = world.run_until(20 * SECOND, World::is_whole);
        assert!(took.is_some_and(|t| t < 5 * SECOND), "{took:?}");
    }
}

#[test]
fn half_of_all_messages_lost_is_survived() {
    let mut world = whole(9, Terms::of(9));
    world.link = Link { loss: 0.5, ..Link::default() };
    let from = world.now;
    world.run_for(300 * SECOND);
    assert!(world.false_deaths(from) <= 3, "{}", world.false_deaths(from));
    world.link = Link::default();
    assert!(world.run_until(5 * SECOND, World::is_whole).is_some());
}

#[test]
fn a_pair_that_cannot_talk_is_told_as_such_and_does_not_flap() {
    for both in [false, true] {
        let mut world = whole(9, Terms::of(9));
        let from = world.now;
        world.cut(&[2], &[5]);
        if both {
            world.cut(&[5], &[2]);
        }
        world.run_for(60 * SECOND);
        assert_eq!(world.count(from, |h| matches!(h, MembershipEvent::Died { .. })), 0);
        assert!(world.is_whole());
        let edge = |from: usize, to: usize| (name(from), name(to));
        let mut wanted = vec![edge(2, 5)];
        if both {
            wanted.push(edge(5, 2));
        }
        for node in 0..9 {
            let view = world.view(node).expect("it runs");
            let mut edges: Vec<_> = view.failed_links.into_iter().map(|e| (e.from, e.to)).collect();
            edges.sort();
            assert_eq!(edges, wanted, "at {node}");
        }
        let changes = world.count(from, |h| {
            matches!(h, MembershipEvent::LinkFailed { .. } | MembershipEvent::LinkRecovered { .. })
        });
        assert_eq!(changes, 9 * wanted.len(), "each told once by each");
        let from = world.now;
        world.heal();
        world.run_for(10 * SECOND);
        assert!((0..9).all(|n| world.view(n).is_some_and(|v| v.failed_links.is_empty())));
        assert_eq!(
            world.count(from, |h| matches!(h, MembershipEvent::LinkRecovered { .. })),
            9 * wanted.len()
        );
    }
}

/// A round of probes, fifteen pings in vain and the way to all: with processors to spare it takes no longer.
#[test]
fn a_link_that_is_cut_one_way_is_told_by_all_in_time() {
    for seed in 1..=20 {
        let mut world = whole(7, Terms { seed, ..Terms::of(7) });
        world.cut(&[2], &[5]);
        let told = |w: &World, node| {
            let view = w.view(node).expect("it runs");
            view.failed_links.len() == 1
                && view.failed_links[0].from == name(2)
                && view.failed_links[0].to == name(5)
        };
        let took = world.run_until(20 * SECOND, |w| (0..7).all(|node| told(w, node)));
        assert!(took.is_some_and(|t| t < 8 * SECOND), "seed {seed}: {took:?}");
    }
}

#[test]
fn a_deaf_and_a_mute_one_are_told_apart() {
    let others: Vec<usize> = (0..9).filter(|n| *n != 4).collect();
    // Deaf: it hears nobody, and accuses nobody; the others hear it, and that it hears nobody.
    let mut world = whole(9, Terms::of(9));
    let from = world.now;
    world.cut(&others, &[4]);
    world.run_for(30 * SECOND);
    assert_eq!(world.count(from, |h| matches!(h, MembershipEvent::Died { .. })), 0);
    assert!(world.all_think(&[4], Alive, &others));
    let deaf = world.view(4).expect("it runs");
    assert_eq!((deaf.connectivity, deaf.has_quorum), (Connectivity::Isolated, false));
    let seen = |world: &World| {
        let view = world.view(0).expect("it runs");
        view.members.iter().find(|m| m.info.name == name(4)).is_some_and(|m| m.is_isolated)
    };
    assert!(seen(&world));
    world.heal();
    assert!(world.run_until(5 * SECOND, |w| w.is_whole() && !seen(w)).is_some());
    // Mute: nobody hears it, so it is dead to them, once; it hears that, and knows why.
    let mut world = whole(9, Terms::of(9));
    let from = world.now;
    world.cut(&[4], &others);
    world.run_for(60 * SECOND);
    assert!(world.all_think(&[4], Dead, &others));
    assert_eq!(world.count(from, |h| matches!(h, MembershipEvent::Died { .. })), 8);
    let mute = world.view(4).expect("it runs");
    assert_eq!(mute.connectivity, Connectivity::Unanswered, "{mute:?}");
    assert!(world.all_think(&others, Alive, &[4]), "it hears them");
    world.heal();
    assert!(world.run_until(5 * SECOND, World::is_whole).is_some());
}

#[test]
fn a_zone_deaf_to_another_learns_through_the_third() {
    let mut world = whole(9, Terms::of(9));
    let from = world.now;
    world.cut(&[0, 3, 6], &[1, 4, 7]);
    world.run_for(60 * SECOND);
    assert_eq!(world.count(from, |h| matches!(h, MembershipEvent::Died { .. })), 0);
    assert!(world.is_whole());
    assert_eq!(world.view(8).expect("it runs").failed_links.len(), 9);
}

#[test]
fn split_sides_state_where_they_stand_and_heal_to_one_view() {
    let sides: [&[&[usize]]; 3] = [
        &[&[0, 1, 2, 3, 4], &[5, 6, 7, 8]],
        &[&[0, 1, 2], &[3, 4, 5], &[6, 7, 8]],
        &[&[0], &[1, 2, 3, 4, 5, 6, 7, 8]],
    ];
    for (sides, seed) in sides.into_iter().zip(seeds()) {
        for split in [SECOND, 30 * SECOND, 600 * SECOND] {
            let mut world = whole(9, Terms { seed, ..Terms::of(9) });
            for (n, one) in sides.iter().enumerate() {
                sides.iter().skip(n + 1).for_each(|other| world.cut_both(one, other));
            }
            // By no divisor is a part ever too large: what is at work adds up to 1 at most.
            for _ in 0..split / SECOND {
                world.run_for(SECOND);
                let parts: f64 =
                    (0..9).map(|n| 1.0 / f64::from(world.view(n).expect("it runs").divisor)).sum();
                assert!(parts < 2.0, "{parts} after {split}");
                if split <= 30 * SECOND {
                    assert!(parts <= 1.0 + 1e-9, "{parts} while the dead are counted on");
                }
            }
            if split > SECOND {
                for side in sides {
                    let majority = side.len() * 2 > 9;
                    for node in *side {
                        assert_eq!(
                            world.view(*node).expect("it runs").has_quorum,
                            majority,
                            "{node} of {side:?}"
                        );
                    }
                }
            }
            world.heal();
            let took = world.run_until(20 * SECOND, World::is_whole);
            assert!(took.is_some_and(|t| t < 5 * SECOND), "{sides:?} after {split}: {took:?}");
            world.run_for(5 * SECOND);
            assert!(world
                .living()
                .iter()
                .all(|n| world.view(*n).is_some_and(|v| v.has_quorum && v.divisor == 9)));
        }
    }
}

#[test]
fn restarts_under_the_same_name_leave_no_ghost_and_no_storm() {
    let mut world = whole(9, Terms::of(9));
    let bytes = |w: &World| -> u64 {
        w.living().iter().map(|n| w.view(*n).expect("it runs").counters.sent_bytes).sum()
    };
    let from = world.now;
    for round in 0..3 {
        for node in [1, 4, 7] {
            world.kill(node);
            world.run_for(300 * MS);
            world.start(node);
            world.run_for(300 * MS * (round % 2));
        }
    }
    assert!(world.run_until(5 * SECOND, World::is_whole).is_some());
    world.run_for(30 * SECOND);
    assert!(world.is_whole());
    assert_eq!(world.false_deaths(from), 0);
    let before = bytes(&world);
    world.run_for(10 * SECOND);
    let each_second = (bytes(&world) - before) / 90;
    assert!(each_second < 16_384, "{each_second} bytes a second each");
    assert!((0..9).all(|n| world.view(n).expect("it runs").members.len() == 8));
}

#[test]
fn one_that_leaves_is_no_death_and_is_not_counted() {
    let mut world = whole(9, Terms::of(9));
    let from = world.now;
    world.leave(3);
    let living = world.living();
    assert!(world.run_until(2 * SECOND, |w| w.all_think(&[3], Left, &living)).is_some());
    world.run_for(20 * SECOND);
    assert_eq!(
        world.count(from, |h| matches!(h, MembershipEvent::Died { .. } | MembershipEvent::Suspected { .. })),
        0
    );
    // Until all have stood with a majority for a whole hold, the number of the settings is counted on.
    assert!(living.iter().all(|n| world.view(*n).expect("it runs").divisor == 9));
    world.run_for(60 * SECOND);
    assert!(living.iter().all(|n| world.view(*n).expect("it runs").divisor == 8));
    world.start(3);
    assert!(world.run_until(5 * SECOND, World::is_whole).is_some());
}

#[test]
fn a_disk_that_went_back_is_found_by_what_the_others_witnessed() {
    let mut world = whole(9, Terms::of(9));
    for _ in 0..3 {
        world.kill(5);
        world.run_for(100 * MS);
        world.start(5);
        world.run_for(3 * SECOND);
    }
    let incarnation = world.view(5).expect("it runs").local.incarnation;
    assert_eq!(incarnation, 4);
    // Lost, and an older one.
    for kept in [0, 2] {
        let incarnation = world.view(5).expect("it runs").local.incarnation;
        let from = world.now;
        world.kill(5);
        world.set_kept(5, kept);
        world.run_for(10 * SECOND);
        world.start(5);
        // It is told at once, and need not wait until somebody asks the dead.
        let took = world.run_until(5 * SECOND, World::is_whole);
        assert!(took.is_some_and(|t| t <= SECOND), "kept {kept}: {took:?}");
        assert!(world.view(5).expect("it runs").local.incarnation > incarnation);
        let told = |h: &MembershipEvent| matches!(h, MembershipEvent::IncarnationRolledBack { stored: k, witnessed } if *k == kept && *witnessed == incarnation);
        assert_eq!(world.count(from, told), 1, "kept {kept}");
    }
}

#[test]
fn two_processes_of_one_name_are_found_and_both_named() {
    // The tenth says that it is the fourth; it starts from a copy of its folder.
    let mut world = World::new(10, Terms::of(10));
    world.kill(9);
    world.run_for(8 * SECOND);
    world.take_name(9, 3);
    world.start(9);
    let found = |w: &World| {
        w.count(0, |h| matches!(h, MembershipEvent::DuplicateName { name: n, .. } if *n == name(3)))
    };
    assert!(world.run_until(20 * SECOND, |w| found(w) > 0).is_some());
    world.run_for(20 * SECOND);
    // Both are counted on, by most at least, and it is told by few words.
    let counted = (0..9).filter(|n| *n != 3 && world.view(*n).expect("it runs").counted >= 10).count();
    assert!(counted >= 5, "{counted}");
    assert!(found(&world) <= 40, "{}", found(&world));
}

#[test]
fn old_messages_change_nothing_but_a_counter() {
    let mut world = whole(3, Terms::of(3));
    world.keep_copies(true);
    world.run_for(5 * SECOND);
    let copies = world.copies();
    world.keep_copies(false);
    world.kill(2);
    let living = [0, 1];
    assert!(world.run_until(10 * SECOND, |w| w.all_think(&[2], Dead, &living)).is_some());
    let from = world.now;
    for (to, message) in copies {
        world.inject(to, message);
    }
    world.run_for(5 * SECOND);
    assert!(world.all_think(&[2], Dead, &living));
    assert_eq!(world.count(from, |_| true), 0, "{:?}", world.told.last());
    assert!(world.view(0).expect("it runs").counters.replayed > 10);
}

#[test]
fn a_starved_processor_makes_patient_and_kills_nobody() {
    let mut world = whole(9, Terms::of(9));
    let from = world.now;
    // All get a turn of some 10 ms in every 700 ms only, each at another time.
    for turn in 0..100 {
        for node in 0..9 {
            world.stop(node);
        }
        for node in 0..9 {
            world.run_for(70 * MS);
            world.go_on((node + turn) % 9);
            world.run_for(8 * MS);
            world.stop((node + turn) % 9);
        }
    }
    let deaths = world.count(from, |h| matches!(h, MembershipEvent::Died { .. }));
    assert_eq!(deaths, 0);
    assert!((0..9).any(|n| world.view(n).expect("it runs").local_health > 0));
    (0..9).for_each(|n| world.go_on(n));
    assert!(world.run_until(10 * SECOND, World::is_whole).is_some());
}

/// What one router sends does not depend on how many there are.
#[test]
fn traffic_is_bounded_whatever_the_number() {
    for members in [9, 300] {
        let mut world = World::new(members, Terms::of(members));
        world.run_for(30 * SECOND);
        let sent = |w: &World| w.view(7).expect("it runs").counters;
        let before = sent(&world);
        (20..20 + members / 5).filter(|n| *n < members).for_each(|n| world.kill(n));
        world.run_for(20 * SECOND);
        let after = sent(&world);
        let bytes = (after.sent_bytes - before.sent_bytes) / 20;
        assert!(bytes < 65_536, "{members}: {bytes} bytes a second");
        assert!((after.sent - before.sent) / 20 < 100, "{members}: {after:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let play = |seed| {
        let mut world = World::new(9, Terms { seed, ..Terms::of(9) });
        world.link = Link { loss: 0.3, ..Link::default() };
        world.run_for(20 * SECOND);
        world.kill(3);
        world.run_for(10 * SECOND);
        world.told
    };
    assert_eq!(play(7), play(7));
    assert_ne!(play(7), play(8));
}

/// The refinements against plain SWIM on the same bad day: what they are for must show.
#[test]
fn plain_swim_kills_the_living_where_the_refined_does_not() {
    let deaths = |refined| {
        let mut world = whole(9, Terms { refined, seed: 3, ..Terms::of(9) });
        let from = world.now;
        world.link = Link { loss: 0.3, ..Link::default() };
        world.cut(&[2], &[5, 6]);
        world.run_for(120 * SECOND);
        assert!(!world.all_think(&[0], Suspect, &[1, 2]) || !refined);
        world.false_deaths(from)
    };
    assert_eq!(deaths(true), 0);
    assert!(deaths(false) > 0);
}

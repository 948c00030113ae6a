use super::*;

const SPAN: Duration = Duration::from_secs(20);

#[test]
fn a_seed_draws_the_same_troubles_again_and_they_overlap() {
    let events = draw(7, SPAN, 8, 12);
    assert_eq!(events, draw(7, SPAN, 8, 12));
    assert_ne!(events, draw(8, SPAN, 8, 12));
    assert!(
        events.len() >= 10
            && events.windows(2).any(|pair| pair[1].at - pair[0].at < Duration::from_millis(500))
    );
    assert!(events.iter().all(|event| event.at < SPAN));
}

#[test]
fn some_runs_have_floods_of_each_kind_and_others_have_none() {
    let is_flood = |event: &&Event| matches!(event.trouble, Trouble::FloodRouter { .. });
    let with_floods: Vec<u64> = (0..60).filter(|seed| shape(*seed).floods).collect();
    assert!((10..50).contains(&with_floods.len()), "{with_floods:?}");
    for seed in 0..60 {
        let count = draw(seed, SPAN, 8, 12).iter().filter(is_flood).count();
        assert_eq!(count > 0, with_floods.contains(&seed), "seed {seed}");
    }
    let all: Vec<Event> = with_floods.iter().flat_map(|seed| draw(*seed, SPAN, 8, 12)).collect();
    for kind in FLOODS {
        let has_kind =
            |event: &Event| matches!(event.trouble, Trouble::FloodRouter { kind: of, .. } if of == kind);
        assert!(all.iter().any(has_kind), "{kind:?}");
    }
}

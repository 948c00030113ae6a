//! Tests of `gather`.

use super::*;
use gaparch_protocol::versions::SendCounts;

fn rows(count: u64) -> Vec<AuditRow> {
    let sends = |n| SendCounts {
        engine: format!("engine-{n}"),
        prefills: n,
        decodes: 0,
        probes: 0,
        first_at: 1_000,
        last_at: 2_000,
    };
    (0..count).map(|n| AuditRow { list: Default::default(), confirmed: true, counts: sends(n) }).collect()
}

/// Plays a question; pages of which every third is lost.
fn play(silent: &str) -> Vec<Told> {
    let routers = vec!["a".to_owned(), "b".to_owned()];
    let mut gather = Gather::new(7, AuditFilter::default(), routers, 0);
    let (mut now, mut count) = (0, 0);
    while !gather.is_over(now) {
        now += 10 * MS;
        let mut out = Vec::new();
        gather.on_time(now, &mut out);
        while let Some((to, talk)) = out.pop() {
            let ReplicationMessage::AuditRequest { nonce, first: from, .. } = talk else { continue };
            if to == silent {
                continue;
            }
            // Its clock is an hour ahead.
            for page in answer(nonce, now + 3_600_000 * MS, 0, &rows(100), from) {
                count += 1;
                if count % 3 > 0 {
                    gather.on_talk(now, &to, &page, &mut out);
                }
            }
        }
    }
    assert!(now < 3_000 * MS);
    gather.told()
}

#[test]
fn all_rows_come_whatever_is_lost_and_who_is_silent_is_unknown() {
    for told in play("none") {
        assert_eq!((told.rows.len(), told.gaps), (100, Some(0)));
        assert_eq!(told.rows[99].counts.prefills, 99);
    }
    let told = play("b");
    assert_eq!((told[0].gaps, told[1].gaps), (Some(0), None));
}

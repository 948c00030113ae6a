//! Tests of queries of the audit logs of all routers.

use super::*;
use gaparch_protocol::versions::SendCounts;

fn rows(count: u64) -> Vec<AuditRow> {
    let counts = |n| SendCounts {
        engine: format!("engine-{n}"),
        prefills: n,
        decodes: 0,
        probes: 0,
        first_at: 1_000,
        last_at: 2_000,
    };
    let row = |n| AuditRow { list: Default::default(), confirmed: true, counts: counts(n) };
    (0..count).map(row).collect()
}

/// Runs a query of two routers where every third page is lost; the router `silent` does not answer.
fn run_query(silent: &str) -> Vec<AuditAnswer> {
    let routers = vec!["a".to_owned(), "b".to_owned()];
    let mut query = AuditQuery::new(7, AuditFilter::default(), routers, 0);
    let (mut now, mut count) = (0, 0);
    while !query.is_over(now) {
        now += 10 * MILLISECOND;
        let mut out = Vec::new();
        query.on_timer(now, &mut out);
        while let Some((to, message)) = out.pop() {
            let ReplicationMessage::AuditRequest { nonce, first, .. } = message else { continue };
            if to == silent {
                continue;
            }
            // The clock of the answering router is an hour ahead.
            for page in answer_pages(nonce, now + 3_600_000 * MILLISECOND, 0, &rows(100), first) {
                count += 1;
                if count % 3 > 0 {
                    query.on_message(now, &to, &page, &mut out);
                }
            }
        }
    }
    assert!(now < 3_000 * MILLISECOND);
    query.into_answers()
}

#[test]
fn all_rows_arrive_despite_lost_pages_and_a_silent_router_has_no_gap_count() {
    for answer in run_query("none") {
        assert_eq!((answer.rows.len(), answer.gaps), (100, Some(0)));
        assert_eq!(answer.rows[99].counts.prefills, 99);
    }
    let answers = run_query("b");
    assert_eq!((answers[0].gaps, answers[1].gaps), (Some(0), None));
}

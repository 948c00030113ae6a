//! Latencies of servers, compared within their role.

use super::{median, Server, Servers};
use crate::api::{Role, ServerId};

/// Takes a latency, and compares those of its role, of servers with enough samples, with their median. Of more servers
/// than `walked` at once only the one is compared, with the median of [`compare_all_paces`].
pub fn learn_pace(all: &mut Servers, id: ServerId, sample: f64, gain: f64, enough: u32, walked: usize) {
    let many = all.len() > walked;
    let Some(s) = all.get_mut(&id) else { return };
    s.pace.add(sample, gain);
    let role = s.role;
    if !many {
        return compare_paces(all, role, enough);
    }
    let median = all.medians[role as usize];
    if let Some(s) = all.get_mut(&id).filter(|s| median > 0.0 && s.pace.samples >= enough) {
        s.pace_ratio = s.pace.value / median.max(1.0);
    }
}

/// Compares the latencies of each role with their median, of more servers than `walked`: of fewer that is done with each
/// latency.
pub fn compare_all_paces(all: &mut Servers, enough: u32, walked: usize) {
    if all.len() <= walked {
        return;
    }
    for role in [Role::Prefill, Role::Decode, Role::Mixed] {
        compare_paces(all, role, enough);
    }
}

fn compare_paces(all: &mut Servers, role: Role, enough: u32) {
    let known = |s: &&mut Server| s.role == role && s.pace.samples >= enough;
    let median = median(all.values_mut().filter(known).map(|s| s.pace.value));
    all.values_mut().filter(known).for_each(|s| s.pace_ratio = s.pace.value / median.max(1.0));
    all.medians[role as usize] = median;
}

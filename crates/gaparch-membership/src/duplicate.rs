//! Detection of two processes that run under one name.

use crate::replay::ReplayWindow;
use crate::{Nanos, SECOND};
use gaparch_protocol::fleet::MemberInfo;

/// A process whose message was received this recently is running.
pub(crate) const RECENT: Nanos = 3 * SECOND;
/// A second process has to be seen to run on for so many milliseconds of its own clock.
const MIN_HEARTBEAT_PROGRESS_MS: u64 = 1_000;
/// A second process is forgotten when nothing was received from it for so long.
const FORGET_AFTER: Nanos = 30 * SECOND;

/// Another process that claims to be the same member.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DuplicateProcess {
    /// The process as it last described itself.
    pub info: MemberInfo,
    /// The sequence numbers seen of it.
    pub replay_window: ReplayWindow,
    /// Its heartbeat in the first message.
    pub first_heartbeat: u64,
    /// When it last gave a new heartbeat.
    pub last_received_at: Nanos,
    /// Whether it goes on while the first process does: two processes have one name.
    pub is_confirmed: bool,
}

/// What a message of another process of a known name shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DuplicateObservation {
    /// The message was seen before.
    Replayed,
    /// Nothing new.
    Unconfirmed,
    /// It is now known that the process runs beside the first one.
    Confirmed,
}

impl DuplicateProcess {
    /// A process that was just met.
    pub fn new(info: MemberInfo, now: Nanos) -> DuplicateProcess {
        DuplicateProcess {
            first_heartbeat: info.heartbeat,
            info,
            replay_window: ReplayWindow::default(),
            last_received_at: now,
            is_confirmed: false,
        }
    }

    /// Records a message of another process in `slot`. The first process of the name last lived at
    /// `original_alive_at`.
    pub fn observe(
        slot: &mut Option<DuplicateProcess>,
        from: &MemberInfo,
        seq: u64,
        original_alive_at: Nanos,
        now: Nanos,
    ) -> DuplicateObservation {
        if slot.as_ref().is_some_and(|known| known.info.run_id != from.run_id) {
            *slot = None;
        }
        let duplicate = slot.get_or_insert_with(|| DuplicateProcess::new(from.clone(), now));
        if !duplicate.replay_window.admit(seq) {
            return DuplicateObservation::Replayed;
        }
        if from.heartbeat > duplicate.info.heartbeat {
            duplicate.info = from.clone();
            duplicate.last_received_at = now;
        }
        let original_runs = now.saturating_sub(original_alive_at) < RECENT;
        let least = duplicate.first_heartbeat + MIN_HEARTBEAT_PROGRESS_MS;
        if !original_runs || duplicate.is_confirmed || duplicate.info.heartbeat < least {
            return DuplicateObservation::Unconfirmed;
        }
        duplicate.is_confirmed = true;
        DuplicateObservation::Confirmed
    }

    /// Whether nothing was received from the process for so long that it no longer counts.
    pub fn is_outdated(&self, now: Nanos) -> bool {
        now >= self.last_received_at.saturating_add(FORGET_AFTER)
    }
}

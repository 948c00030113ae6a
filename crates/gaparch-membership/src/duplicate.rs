//! Detection of two processes that run under the same name.

use crate::replay::ReplayWindow;
use crate::{Nanos, SECOND};
use gaparch_protocol::fleet::MemberInfo;

/// A process counts as running if, within this time, a message from it was received or a new heartbeat of it
/// became known.
pub(crate) const RECENT_WINDOW: Nanos = 3 * SECOND;
/// The heartbeat of a second process must advance by this many milliseconds, by its own clock, before the
/// process is confirmed.
const MIN_HEARTBEAT_PROGRESS_MS: u64 = 1_000;
/// A second process is forgotten once nothing was received from it for this long.
const DUPLICATE_RETENTION: Nanos = 30 * SECOND;

/// Another process that claims to be the same member.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DuplicateProcess {
    /// The process as it last described itself.
    pub info: MemberInfo,
    /// The sequence numbers received from it.
    pub replay_window: ReplayWindow,
    /// The heartbeat of its first message.
    pub first_heartbeat: u64,
    /// When a new heartbeat was last received from it.
    pub last_received_at: Nanos,
    /// Whether it was seen to run at the same time as the first process.
    pub is_confirmed: bool,
}

/// What a message from another process of a known name shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DuplicateObservation {
    /// The message was received before.
    Replayed,
    /// The message does not change what is known.
    Unconfirmed,
    /// This message is the first to prove that the process runs beside the first one.
    Confirmed,
}

impl DuplicateProcess {
    /// A process whose first message was just received.
    pub fn new(info: MemberInfo, now: Nanos) -> DuplicateProcess {
        DuplicateProcess {
            first_heartbeat: info.heartbeat,
            info,
            replay_window: ReplayWindow::default(),
            last_received_at: now,
            is_confirmed: false,
        }
    }

    /// Records a message from another process in `slot`. The first process of the name was last known to be
    /// alive at `original_alive_at`.
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
        let original_runs = now.saturating_sub(original_alive_at) < RECENT_WINDOW;
        let min_heartbeat = duplicate.first_heartbeat + MIN_HEARTBEAT_PROGRESS_MS;
        if !original_runs || duplicate.is_confirmed || duplicate.info.heartbeat < min_heartbeat {
            return DuplicateObservation::Unconfirmed;
        }
        duplicate.is_confirmed = true;
        DuplicateObservation::Confirmed
    }

    /// Whether nothing was received from the process for so long that it is forgotten.
    pub fn is_outdated(&self, now: Nanos) -> bool {
        now >= self.last_received_at.saturating_add(DUPLICATE_RETENTION)
    }
}

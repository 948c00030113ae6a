//! Every value that the decisions go by, with its reason.

use crate::api::{Nanos, TimerToken};
use crate::state::Nearness;

pub const MS: Nanos = 1_000_000;
/// Between looks at deadlines, held requests and overdue attempts.
pub const TICK: Nanos = 10 * MS;
/// Looks before its client leaves, an unanswered request ends.
pub const LAST_CALL: f64 = 2.5;
/// Of the release time, until a state is sent somewhere or let go.
pub const RELEASE_SHARE: f64 = 0.7;
/// Of it, from which the server of an unanswered write is probed.
pub const PROBE_SHARE: f64 = 0.3;
/// Of it, from which a state is sent to another writer if that server does not answer a probe.
pub const LEAVE_SHARE: f64 = 0.6;
/// Of it, from which a state is let go of beside its unanswered write.
pub const LET_GO_SHARE: f64 = 0.9;
/// A write to a running server has arrived by then, and a probe is answered.
pub const ARRIVE_WITHIN: Nanos = 50 * MS;
/// The design's: a full server is left alone, news needs no probe.
pub const RECENTLY: Nanos = 1000 * MS;
/// Of its memory, from which a writer looks full: answers in progress grow.
pub const FULL_SHARE: f64 = 0.92;
/// A near writer yields with this share of memory more held than the least.
pub const WRITER_YIELD: f64 = 0.25;
/// And this more for each second that far writes begin later: slow links.
pub const MOVE_YIELD: f64 = 0.5;
/// Times an even share that a reader is home to, whatever writers its cell has.
pub const HOME_MOST: f64 = 1.6;
/// Of a shared beginning, for each reader's even part of all requests it makes up.
pub const HOMES: f64 = 3.0;
/// Over which requests are counted for that.
pub const SEEN_SPAN: Nanos = 60_000 * MS;
/// Tokens that a read costs whatever its length: steps, hand-over.
pub const READ_BASE: f64 = 400.0;
/// Prompt length taken when none is told.
pub const PROMPT_UNKNOWN: f64 = 500.0;
/// Older news is none: many routers hear seldom from each server.
pub const NEWS_FOR: Nanos = 3000 * MS;
/// Of all service, that messages and probes before a choice may cost, each.
pub const NEWS_WORTH: f64 = 0.015;
/// Least gap between messages, some 50 bytes each; more where it must pay.
pub const TELL_EVERY: Nanos = 300 * MS;
/// How long a read waits for the answers of probes.
pub const LOOK_FOR: Nanos = 30 * MS;
/// Of the reader's cell, probed during a read.
pub const LOOK_WRITERS: usize = 2;
/// A writer whose probe takes longer has a queue: it looks full.
pub const LOOK_LATE: Nanos = 120 * MS;
/// Of reports, when own work is told from that of other routers.
pub const REPORT_LAG: Nanos = 500 * MS;
/// Of a new sample in running means: about the last ten count.
pub const GAIN: f64 = 0.1;
/// Of a slower sample in the pace of a read that waits for nothing.
pub const BEST_GAIN: f64 = 0.02;
/// Of a new sample in a server's own pace.
pub const PACE_GAIN: f64 = 0.25;
/// A server that fails rests until this router would come to it so often again.
pub const REST_VISITS: f64 = 1.0;
/// At most.
pub const REST_MOST: Nanos = 16_000 * MS;
/// Times its peers' median latency, a server counts as so much smaller.
pub const SLOW_FROM: f64 = 2.0;
/// And from here on it gets one request at a time.
pub const SLOW_SHUN: f64 = 3.0;
/// Before a server's own pace is believed.
pub const SAMPLES: u32 = 3;
/// To a server that could not be reached.
pub const PROBE_EVERY: Nanos = 400 * MS;
/// A write not begun for this long is queued: its writer looks full.
pub const STALLED: Nanos = 400 * MS;
/// And is called off if another writer has room.
pub const WRITE_PATIENCE: Nanos = 900 * MS;
/// Of the aim: a reader with a longer wait looks full, and the rest waits here.
pub const READ_WAIT: f64 = 0.25;
/// Of the aim: a read is lost: too many come, all routers together.
pub const READ_LATE: f64 = 1.0;
/// Part of the reads lately sent that goes on then, once a second at most.
pub const READS_CUT: f64 = 0.8;
/// A second, until then.
pub const READS_GROW: f64 = 0.2;
/// Past that and its expected time, by which a read is overdue.
pub const DEVIATIONS: f64 = 4.0;
/// Attempts that may be called off for each sent: in a jam more would add to it.
pub const CALL_OFFS: f64 = 0.2;
/// Time-out of a send where attempts can't be called off.
pub const BLIND_PATIENCE: Nanos = 1500 * MS;
/// For a read and a write from the start.
pub const ATTEMPTS_KEPT: u32 = 2;
/// Over which the load of warm peers is averaged, for the cold budget.
pub const PEER_SPAN: Nanos = 5000 * MS;
/// Mean requests a window that a cold server gets when peers tell nothing.
pub const COLD_FLOOR: f64 = 0.5;
/// Times its share before a tenant is over it: routers see uneven parts.
pub const SHARE_SLACK: f64 = 1.5;
/// Seconds of its share that may come at once, and one request besides.
pub const SHARE_BURST: f64 = 2.0;
/// Servers up to which a request chooses among all, and a tick goes through all.
pub const WALKED: usize = 256;
/// Of more: near its key.
pub const NEAR: Nearness = Nearness { enough: 64, most: 256, points: 16, edge: 1e-3 };
/// A second before a choice, where there are many servers: some 2 KB with all else.
pub const PROBES: f64 = 16.0;
/// At held requests for each event, where each has servers of its own to be looked at.
pub const LOOKS: usize = 8;
pub const TICK_TIMER: TimerToken = TimerToken(0);
pub const ASK_TIMER: TimerToken = TimerToken(1);

//! Pings on behalf of other members.

use super::Membership;
use crate::dissemination::Topic;
use crate::output::Output;
use crate::probes::RelayedPing;
use gaparch_protocol::fleet::MessageBody;
use std::net::SocketAddr;

impl Membership {
    pub(super) fn on_ping_request(
        &mut self,
        requester: &str,
        nonce: u64,
        target: String,
        address: &str,
        out: &mut Vec<Output>,
    ) {
        let Ok(address) = address.parse::<SocketAddr>() else { return };
        let deadline = self.now + self.settings.probe_interval / 2;
        let ping = RelayedPing { requester: requester.to_owned(), nonce, deadline };
        let own_nonce = self.next_nonce();
        if self.probes.relay(own_nonce, ping) {
            self.send(address, target, MessageBody::Ping { nonce: own_nonce }, &[], out);
        }
    }

    /// Forwards the answer to a relayed ping to its requester, with an update that carries the target's
    /// heartbeat.
    pub(super) fn forward_ack(&mut self, from: &str, nonce: u64, out: &mut Vec<Output>) {
        let Some(ping) = self.probes.take_relayed(nonce) else { return };
        let topic = Topic::Member(from.to_owned());
        self.send_to_member(&ping.requester, MessageBody::Ack { nonce: ping.nonce }, &[topic], out);
    }

    pub(super) fn answer_overdue_relays(&mut self, out: &mut Vec<Output>) {
        for ping in self.probes.take_overdue(self.now) {
            self.send_to_member(&ping.requester, MessageBody::Nack { nonce: ping.nonce }, &[], out);
        }
    }

    pub(super) fn on_nack(&mut self, nonce: u64) {
        if let Some(probe) = self.probes.current.as_mut().filter(|probe| probe.nonce == nonce) {
            probe.nacks += 1;
        }
    }
}

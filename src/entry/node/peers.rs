//! Peers: frames received and sent, gossip, and detection of gone peers.

use crate::consensus;
use crate::load;
use crate::model::EntryName;

use super::super::{Effect, Gossip, PeerFrame, PeerMessage};
use super::Node;

impl Node {
    pub(super) fn handle_peer_frame(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        frame: PeerFrame,
        out: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        // Any different incarnation counts as a restart, not only a higher one: it is
        // made of the wall clock, and a clock that was set back must not shut the peer
        // out.
        if frame.incarnation != peer.incarnation {
            peer.reset(frame.incarnation);
        }
        peer.newest_sent_ms = peer.newest_sent_ms.max(Some(frame.sent_ms));
        peer.heard_ms = Some(now_ms);
        peer.gone = false;
        for message in frame.messages {
            match message {
                PeerMessage::Log(message) => {
                    let from = from.clone();
                    self.drive_replica(now_ms, consensus::Input::Message { from, message }, out);
                }
                PeerMessage::Gossip(gossip) => {
                    self.handle_gossip(now_ms, from, frame.echo_ms, gossip, out);
                }
                PeerMessage::InForce { index } => {
                    if let Some(peer) = self.peers.get_mut(from) {
                        peer.applied_index = peer.applied_index.max(index);
                    }
                    self.answer_confirmed_changes(now_ms, out);
                }
            }
        }
    }

    fn handle_gossip(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        echo_ms: Option<u64>,
        gossip: Gossip,
        out: &mut Vec<Effect>,
    ) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.applied_index = peer.applied_index.max(gossip.applied_index);
            peer.in_flight_index = gossip.applied_index;
            peer.in_flight = gossip.in_flight.iter().cloned().collect();
            peer.stopping = gossip.stopping;
        }
        // Without an echo nothing bounds how long the frame was in transit, and a
        // report of unknown age could bring back an upstream that has left.
        if let Some(echo_ms) = echo_ms {
            for (report, age_ms) in &gossip.reports {
                let heard_ms = echo_ms.saturating_sub(*age_ms).min(now_ms);
                self.record_report(now_ms, report, heard_ms, false, out);
            }
        }
        let input = load::Input::PeerLoad {
            peer: from.clone(),
            in_flight: gossip.claimed,
        };
        self.drive_dispatcher(now_ms, input, out);
    }

    /// Queues gossip for every peer: the reports received directly since the last
    /// gossip, and the load.
    pub(super) fn queue_gossip(&mut self, now_ms: u64) {
        let since_ms = self.last_gossip_ms;
        let reports = self
            .directory
            .iter()
            .filter_map(|(_, known)| {
                let direct_ms = known.direct_ms.filter(|ms| *ms >= since_ms)?;
                Some((known.report.clone(), now_ms.saturating_sub(direct_ms)))
            })
            .collect();
        self.last_gossip_ms = now_ms;
        let gossip = Gossip {
            reports,
            in_flight: self
                .in_flight
                .iter()
                .map(|(name, count)| (name.clone(), *count))
                .collect(),
            claimed: self.dispatcher.in_flight(now_ms),
            applied_index: self.applied_index,
            stopping: self.is_stopping(),
        };
        let names: Vec<EntryName> = self.peers.keys().cloned().collect();
        for name in names {
            let messages = self.outbox.entry(name).or_default();
            messages.push(PeerMessage::Gossip(gossip.clone()));
        }
    }

    pub(super) fn detect_gone_peers(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let limit_ms = self.settings.peer_gone_ms;
        let gone: Vec<EntryName> = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| !peer.gone && peer.silent_ms(now_ms) >= limit_ms)
            .map(|(name, peer)| {
                peer.gone = true;
                name.clone()
            })
            .collect();
        for name in gone {
            tracing::info!("peers: no message from {name}, it counts as gone");
            self.drive_dispatcher(now_ms, load::Input::PeerGone(name), out);
        }
    }

    /// Turns the queued messages into one frame per peer.
    pub(super) fn flush_outbox(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for (to, messages) in std::mem::take(&mut self.outbox) {
            let echo_ms = self.peers.get(&to).and_then(|peer| peer.newest_sent_ms);
            let frame = PeerFrame {
                incarnation: self.settings.incarnation,
                sent_ms: now_ms,
                echo_ms,
                messages,
            };
            out.push(Effect::Peer { to, frame });
        }
    }
}

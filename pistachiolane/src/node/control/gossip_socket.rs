//! UDP socket for gossip packets.

use {
    crate::node::{control::control_loop::ControlHandle, shared::Shared},
    crate::schema::{MAX_PACKET_BYTES, Packet},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::UdpSocket,
};

/// Size of the receive buffer. It exceeds the largest valid packet, so that an oversized packet is
/// not truncated to a size that looks valid.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Sends and receives gossip packets, each authenticated with the fleet key.
#[derive(Debug)]
pub struct GossipSocket {
    shared: Arc<Shared>,
    socket: UdpSocket,
}

impl GossipSocket {
    /// Creates a gossip socket from a bound UDP socket.
    pub fn new(shared: Arc<Shared>, socket: UdpSocket) -> Arc<Self> {
        Arc::new(Self { shared, socket })
    }

    /// Sends a packet, or drops it if it can't be encoded or the socket can't send at once; gossip
    /// tolerates packet loss.
    pub fn send(&self, to: SocketAddr, packet: &Packet, same_region: bool) {
        let metrics = &self.shared.metrics;
        let Ok(bytes) = self
            .shared
            .settings
            .fleet_key
            .encode_packet_with_reads(packet, &self.shared.store_reads())
        else {
            return;
        };
        invariant!(bytes.len() <= MAX_PACKET_BYTES, "packet_size_bounded");
        if self.socket.try_send_to(&bytes, to).is_err() {
            return;
        }
        metrics.packets_sent.inc();
        metrics.packet_bytes_sent.inc_by(bytes.len() as u64);
        if !same_region {
            metrics.remote_packet_bytes_sent.inc_by(bytes.len() as u64);
        }
    }

    /// Receives packets and passes the authentic ones to the control loop.
    pub async fn receive(self: Arc<Self>, control: ControlHandle) {
        let mut buf = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else {
                // The error reports that an earlier packet was sent to a closed port; the socket
                // stays usable.
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            self.shared.metrics.packets_received.inc();
            match self.shared.settings.fleet_key.decode_packet_with_reads(&buf[..len]) {
                Ok((packet, reads)) => control.handle_packet(from, packet, reads),
                Err(_) => {
                    self.shared.metrics.malformed.inc();
                }
            }
        }
    }
}

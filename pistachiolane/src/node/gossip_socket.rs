//! The UDP socket for gossip.

use {
    super::{control_loop::ControlHandle, shared::Shared},
    crate::schema::{MAX_PACKET_BYTES, Packet},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::UdpSocket,
};

/// Room for a packet that is larger than any valid one, so that it is seen to be.
const BUFFER_BYTES: usize = 2_048;

/// Sends and receives gossip packets, each with the fleet's tag.
#[derive(Debug)]
pub struct GossipSocket {
    shared: Arc<Shared>,
    socket: UdpSocket,
}

impl GossipSocket {
    /// Gossip over a bound socket.
    pub fn new(shared: Arc<Shared>, socket: UdpSocket) -> Arc<Self> {
        Arc::new(Self { shared, socket })
    }

    /// Sends a packet, if the socket takes it at once; gossip stands losses.
    pub fn send(&self, to: SocketAddr, packet: &Packet, same_region: bool) {
        let metrics = &self.shared.metrics;
        let Ok(bytes) = self.shared.settings.fleet_key.encode_packet(packet) else {
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

    /// Receives packets and hands the authentic ones to the control loop.
    pub async fn receive(self: Arc<Self>, control: ControlHandle) {
        let mut buf = [0; BUFFER_BYTES];
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else {
                // An earlier packet met a closed port; the socket goes on.
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            self.shared.metrics.packets_received.inc();
            match self.shared.settings.fleet_key.decode_packet(&buf[..len]) {
                Ok(packet) => control.handle_packet(from, packet),
                Err(_) => {
                    self.shared.metrics.malformed.inc();
                }
            }
        }
    }
}

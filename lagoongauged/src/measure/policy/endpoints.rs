//! Behaviour of targets and callers on the packets that reach them.

use lagoongauge::flow::Signal;
use lagoongauge::route::Direction;

use super::environment::{Event, FlowIndex, Packet, Phase};
use super::host_core::HostCore;
use super::simulation::{SECOND_US, Simulation};

/// Time in which a target processes a request.
const REQUEST_TIME_US: u64 = 8_000;

impl<C: HostCore> Simulation<'_, C> {
    pub(super) fn deliver_to_target(&mut self, index: u16, packet: Packet) {
        let flow = self.env.flows[packet.flow as usize];
        let target = &mut self.env.targets[usize::from(index)];
        if target.service != flow.service {
            self.stats.counts.misrouted += 1;
            return self.break_flow(packet.flow);
        }
        if !target.up {
            return self.handle_loss(packet);
        }
        if matches!(packet.signal, Signal::Open | Signal::OpenData) {
            return self.accept_flow(index, packet);
        }
        if flow.phase == Phase::Done {
            return;
        }
        if flow.target != Some(index) {
            return self.break_flow(packet.flow);
        }
        match packet.signal {
            Signal::Finish => self.reply(index, packet.flow, Signal::Finish),
            // The first packet after the handshake of a short flow carries its request.
            _ if flow.packets_left == 2 && !flow.is_feed => self.start_request(index, packet.flow),
            _ => {}
        }
    }

    fn accept_flow(&mut self, index: u16, packet: Packet) {
        let flow = &mut self.env.flows[packet.flow as usize];
        let target = &mut self.env.targets[usize::from(index)];
        match flow.target {
            Some(first) if first != index => {
                if flow.syn_data {
                    self.stats.counts.double_run += 1;
                }
                return;
            }
            Some(_) => {}
            None if flow.phase == Phase::Done => return,
            None => {
                flow.target = Some(index);
                target.open_flows += 1;
                if let Some(drain_start) = target.draining_since {
                    let delay = (self.env.now - drain_start) as f64 / SECOND_US as f64;
                    self.stats.drain_delays.push(delay);
                }
            }
        }
        self.reply(index, packet.flow, Signal::Open);
    }

    fn start_request(&mut self, index: u16, flow: FlowIndex) {
        let target = &mut self.env.targets[usize::from(index)];
        target.active_requests += 1;
        if target.active_requests > u32::from(target.announcement.slots) {
            target.overloaded_since.get_or_insert(self.env.now);
        }
        self.env.schedule(REQUEST_TIME_US, Event::RequestDone(index, flow));
    }

    pub(super) fn finish_request(&mut self, index: u16, flow: FlowIndex) {
        let target = &mut self.env.targets[usize::from(index)];
        target.active_requests -= 1;
        if let Some(since) = target
            .overloaded_since
            .filter(|_| target.active_requests <= u32::from(target.announcement.slots))
        {
            target.overloaded_since = None;
            self.stats.overload_seconds += (self.env.now - since) as f64 / SECOND_US as f64;
        }
        if target.up {
            self.reply(index, flow, Signal::Middle);
        }
    }

    fn reply(&mut self, target: u16, flow: FlowIndex, signal: Signal) {
        let direction = Direction::Outward;
        self.send(Packet { flow, signal, direction, source: Some(target), retries: 0, hops: 0 });
    }

    pub(super) fn deliver_to_caller(&mut self, packet: Packet) {
        let flow = &mut self.env.flows[packet.flow as usize];
        match packet.signal {
            Signal::Open if flow.phase == Phase::Opening => {
                flow.phase = Phase::Open;
                self.send_next(packet.flow);
            }
            Signal::Finish => self.env.close_flow(packet.flow),
            _ => {}
        }
    }
}

//! What targets and callers do with the packets that reach them.

use lagoongauge::flow::Signal;
use lagoongauge::route::Direction;

use super::core::Core;
use super::driver::{Driver, SECOND};
use super::world::{Event, FlowIndex, Packet, Phase};

/// Microseconds that a target works on a request.
const WORK: u64 = 8_000;

impl<C: Core> Driver<'_, C> {
    pub(super) fn at_target(&mut self, index: u16, packet: Packet) {
        let flow = self.world.flows[packet.flow as usize];
        let target = &mut self.world.targets[usize::from(index)];
        if target.service != flow.service {
            self.tally.counts.misrouted += 1;
            return self.broke(packet.flow);
        }
        if !target.up {
            return self.lost(packet);
        }
        if matches!(packet.signal, Signal::Open | Signal::OpenData) {
            return self.opened(index, packet);
        }
        if flow.phase == Phase::Done {
            return;
        }
        if flow.target != Some(index) {
            return self.broke(packet.flow);
        }
        match packet.signal {
            Signal::Finish => self.reply(index, packet.flow, Signal::Finish),
            _ if flow.left == 2 && !flow.feed => self.work(index, packet.flow),
            _ => {}
        }
    }

    fn opened(&mut self, index: u16, packet: Packet) {
        let flow = &mut self.world.flows[packet.flow as usize];
        let target = &mut self.world.targets[usize::from(index)];
        match flow.target {
            Some(first) if first != index => {
                if flow.data {
                    self.tally.counts.double_run += 1;
                }
                return;
            }
            Some(_) => {}
            None if flow.phase == Phase::Done => return,
            None => {
                flow.target = Some(index);
                target.open += 1;
                if let Some(begin) = target.drains {
                    let late = (self.world.now - begin) as f64 / SECOND as f64;
                    self.tally.late_work.push(late);
                }
            }
        }
        self.reply(index, packet.flow, Signal::Open);
    }

    fn work(&mut self, index: u16, flow: FlowIndex) {
        let target = &mut self.world.targets[usize::from(index)];
        target.busy += 1;
        if target.busy > u32::from(target.from.slots) {
            target.over.get_or_insert(self.world.now);
        }
        self.world.after(WORK, Event::Worked(index, flow));
    }

    pub(super) fn worked(&mut self, index: u16, flow: FlowIndex) {
        let target = &mut self.world.targets[usize::from(index)];
        target.busy -= 1;
        if let Some(since) = target.over.filter(|_| target.busy <= u32::from(target.from.slots)) {
            target.over = None;
            self.tally.over_slots += (self.world.now - since) as f64 / SECOND as f64;
        }
        if target.up {
            self.reply(index, flow, Signal::Middle);
        }
    }

    fn reply(&mut self, target: u16, flow: FlowIndex, signal: Signal) {
        let direction = Direction::Outward;
        self.send(Packet { flow, signal, direction, source: Some(target), tries: 0, hops: 0 });
    }

    pub(super) fn at_caller(&mut self, packet: Packet) {
        let flow = &mut self.world.flows[packet.flow as usize];
        match packet.signal {
            Signal::Open if flow.phase == Phase::Opening => {
                flow.phase = Phase::Open;
                self.next(packet.flow);
            }
            Signal::Finish => self.world.finish(packet.flow),
            _ => {}
        }
    }
}

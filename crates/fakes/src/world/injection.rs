//! Injects faults and ends them.

use goldcrest_decide::group::Event;
use goldcrest_types::{EndpointIx, RequestId};

use super::{Delivery, World};
use crate::faults::{Cut, Fault, Step};

impl World {
    /// Injects the scheduled fault if this step triggers it. The request becomes the target.
    pub(super) fn reach_step(&mut self, step: Step, id: Option<RequestId>) {
        let Some((wanted, fault)) = self.trigger else {
            return;
        };
        if wanted != step {
            return;
        }
        self.trigger = None;
        self.target = id;
        self.inject(fault);
    }

    pub(super) fn inject(&mut self, fault: Fault) {
        self.injected_at.get_or_insert(self.now);
        for part in fault.parts() {
            self.inject_part(part);
        }
    }

    fn inject_part(&mut self, fault: Fault) {
        let until = self.now + fault.duration();
        let target_host = self.target_host();
        let primary = self.current_primary();
        let replica = EndpointIx(u16::from(primary == EndpointIx(0)));
        match fault {
            Fault::PrimaryDown => self.crash_endpoint(primary),
            Fault::ReplicaDown => self.crash_endpoint(replica),
            Fault::PrimaryPaused => self.endpoints[primary.index()].paused_until = Some(until),
            Fault::PrimaryCut => {
                self.cuts.insert(Cut::Group(primary), until);
                let others = (0..self.hosts.len()).filter(|h| *h != target_host);
                for host in others.collect::<Vec<_>>() {
                    self.cuts.insert(Cut::Host(host, primary), until);
                }
            }
            Fault::ReplicasBehind => {
                for node in &mut self.endpoints {
                    node.lagging_until = Some(until);
                }
            }
            Fault::HostDown => self.crash_host(target_host),
            Fault::HostPaused => self.hosts[target_host].paused_until = Some(until),
            Fault::HostCut => {
                for ix in self.indices().into_iter().filter(|ix| *ix != primary) {
                    self.cuts.insert(Cut::Host(target_host, ix), until);
                }
            }
            Fault::TableDown => self.table.down_until = Some(until),
            Fault::TableSlow => self.table.slow_until = Some(until),
            Fault::TableAnswerLost => self.table.mute_until = Some(until),
            _ => {}
        }
        let affected = if fault == Fault::ReplicaDown {
            replica
        } else {
            primary
        };
        self.push_at(until, Delivery::Heal(fault, affected));
    }

    pub(super) fn heal(&mut self, fault: Fault, ix: EndpointIx) {
        match fault {
            Fault::PrimaryDown | Fault::ReplicaDown => self.endpoints[ix.index()].down = false,
            Fault::HostDown => self.replace_crashed_hosts(),
            _ => {}
        }
        if fault == Fault::ReplicasBehind {
            for ix in self.indices() {
                self.push_at(self.now, Delivery::Apply(ix));
            }
        }
    }

    /// Returns the host of the target request, or the first host.
    fn target_host(&self) -> usize {
        let target = self.target().map(|r| r.client);
        target.map_or(0, |client| self.clients[client].host)
    }

    /// Returns the live endpoint that accepts writes, or else the one with the newest term.
    pub(super) fn current_primary(&self) -> EndpointIx {
        let live = self.endpoints.iter().filter(|n| !n.down);
        let newest = live.max_by_key(|n| (n.replica.is_writable(), n.replica.term));
        newest.map_or(EndpointIx(0), |n| n.replica.ix)
    }

    fn crash_endpoint(&mut self, ix: EndpointIx) {
        let running = self.endpoints[ix.index()].crash();
        let delay = self.plan.latency.endpoint;
        for request in running {
            let event = Event::Lost {
                id: request.id,
                endpoint: ix,
                sent: true,
            };
            self.push(delay, Delivery::Host(request.host, request.epoch, event));
        }
    }

    fn crash_host(&mut self, host: usize) {
        self.hosts[host].crashed_at = Some(self.now);
        self.end_requests_of(host);
        for node in &mut self.endpoints {
            node.disconnect_host(host);
        }
    }
}

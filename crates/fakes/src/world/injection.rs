//! Faults: how they strike, and how they end.

use goldcrest_decide::group::Event;
use goldcrest_types::{EndpointIx, RequestId};

use super::{Delivery, World};
use crate::faults::{Cut, Fault, Step};

impl World {
    /// Notes that a step was reached, and lets the fault strike that waits for it.
    pub(super) fn reach(&mut self, step: Step, id: Option<RequestId>) {
        let Some((wanted, fault)) = self.trigger else {
            return;
        };
        if wanted != step {
            return;
        }
        self.trigger = None;
        self.target = id;
        self.strike(fault);
    }

    pub(super) fn strike(&mut self, fault: Fault) {
        self.injected_at.get_or_insert(self.now);
        for part in fault.parts() {
            self.strike_one(part);
        }
    }

    fn strike_one(&mut self, fault: Fault) {
        let until = self.now + fault.lasts();
        let struck_host = self.struck_host();
        let primary = self.present_primary();
        let replica = EndpointIx(u16::from(primary == EndpointIx(0)));
        match fault {
            Fault::PrimaryDown => self.kill_endpoint(primary),
            Fault::ReplicaDown => self.kill_endpoint(replica),
            Fault::PrimaryPaused => self.endpoints[primary.index()].paused = Some(until),
            Fault::PrimaryCut => {
                self.cuts.insert(Cut::Group(primary), until);
                let others = (0..self.hosts.len()).filter(|h| *h != struck_host);
                for host in others.collect::<Vec<_>>() {
                    self.cuts.insert(Cut::Host(host, primary), until);
                }
            }
            Fault::ReplicasBehind => {
                for node in &mut self.endpoints {
                    node.behind = Some(until);
                }
            }
            Fault::HostDown => self.kill_host(struck_host),
            Fault::HostPaused => self.hosts[struck_host].paused = Some(until),
            Fault::HostCut => {
                for ix in self.ixes().into_iter().filter(|ix| *ix != primary) {
                    self.cuts.insert(Cut::Host(struck_host, ix), until);
                }
            }
            Fault::TableDown => self.table.down = Some(until),
            Fault::TableSlow => self.table.slow = Some(until),
            Fault::TableAnswerLost => self.table.mute = Some(until),
            _ => {}
        }
        let struck = if fault == Fault::ReplicaDown {
            replica
        } else {
            primary
        };
        self.push_at(until, Delivery::Heal(fault, struck));
    }

    pub(super) fn heal(&mut self, fault: Fault, ix: EndpointIx) {
        match fault {
            Fault::PrimaryDown | Fault::ReplicaDown => self.endpoints[ix.index()].down = false,
            Fault::HostDown => self.replace_dead_hosts(),
            _ => {}
        }
        if fault == Fault::ReplicasBehind {
            for ix in self.ixes() {
                self.push_at(self.now, Delivery::Apply(ix));
            }
        }
    }

    /// The host of the struck request, or the first.
    fn struck_host(&self) -> usize {
        let target = self.target().map(|r| r.client);
        target.map_or(0, |client| self.clients[client].host)
    }

    /// The endpoint that takes writes, or the first that says it is primary.
    pub(super) fn present_primary(&self) -> EndpointIx {
        let nodes = self.endpoints.iter().filter(|n| !n.down);
        let newest = nodes.max_by_key(|n| (n.replica.is_writable(), n.replica.term));
        newest.map_or(EndpointIx(0), |n| n.replica.ix)
    }

    fn kill_endpoint(&mut self, ix: EndpointIx) {
        let running = self.endpoints[ix.index()].die();
        let delay = self.plan.latency.endpoint;
        for run in running {
            let event = Event::Lost {
                id: run.id,
                endpoint: ix,
                sent: true,
            };
            self.push(delay, Delivery::Host(run.host, run.life, event));
        }
    }

    fn kill_host(&mut self, host: usize) {
        self.hosts[host].dead = Some(self.now);
        self.host_gone(host);
        for node in &mut self.endpoints {
            node.drop_host(host);
        }
    }
}

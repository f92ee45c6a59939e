//! Messages of other gateways.

use super::{Control, Effect, Need};
use crate::clock::Millis;
use crate::direct::gossip::Message;
use crate::direct::rate_owner::{Grant, NamedRate};

impl Control {
    pub(super) fn handle_message(
        &mut self,
        now: Millis,
        from: &str,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Borrow { workspace, tokens } => {
                let to = self.members.address_of(from);
                out.extend(to.map(|to| Effect::Lend {
                    to,
                    workspace,
                    tokens,
                }));
            }
            Message::Lend {
                workspace,
                tokens,
                left,
            } => {
                self.members.set_lender_level(from, &workspace, left);
                out.push(Effect::ReceiveLoan { workspace, tokens });
            }
            Message::Wanted { service, wanted } => {
                self.need_reported(now, Need::new(service, wanted), out);
            }
            Message::WantedAtVersion(need) => self.need_reported(now, need, out),
            Message::StreamSought(id) => self.stream_sought(now, from, id, out),
            Message::Streams(records) => out.push(Effect::LearnStreams(records)),
            Message::StreamUnknown(id) => out.push(Effect::LearnStreamUnknown(id)),
            Message::Crashes(reports) => self.crashes_told(now, from, reports, out),
            Message::PartProgress(told) => self.progress_told(now, told),
            Message::Blocks(blocks) => self.blocks_told(now, blocks, out),
            Message::Leaving(runs) => self.leaving_told(now, from, &runs, out),
            Message::Members(members) => self.members_told(members, out),
            Message::Evacuations(told) => self.evacuations_told(now, from, &told, out),
            Message::RateLimits(news) => self.limits_told(now, from, &news, out),
            Message::ColdEndpoints(news) => self.cold_told(now, &news),
            Message::GrantsWanted {
                run,
                rate,
                sent_age,
                heard_age,
                wanted,
            } => {
                let named = NamedRate::aged(now, rate, sent_age, heard_age);
                self.grants_asked(now, from, (run, named, wanted), out)
            }
            Message::Grants {
                run,
                requests,
                next_in,
                wanted,
            } => {
                let grant = Grant { requests, next_in };
                self.notices.granted(now, run, grant, wanted);
            }
            Message::Registrations(update) => self.registrations_told(now, from, update, out),
            Message::RegistrationsSought(revision) => {
                self.registrations_sought(now, from, revision, out)
            }
            Message::Holdings(all) => {
                let mut has_changed = false;
                for holdings in all {
                    has_changed |= self.directory.set_holdings(holdings);
                }
                if has_changed {
                    out.push(Effect::Publish);
                }
            }
            Message::Adapters(used) => {
                if let Some(leader) = &mut self.leader {
                    leader.note_adapters_used(now, &used);
                }
            }
            Message::Loads(kind, part) => self.loads.receive(now, from, kind, part),
            // Handled by `Members::receive`.
            Message::Status { .. } | Message::Limits(_) | Message::Demand { .. } => {}
            // The sender is of an older build; this gateway asks others or watches the store.
            Message::RetiredRegistry | Message::RetiredRelay(_) => {}
        }
    }
}

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::draft::{Draft, Times};
use super::{Member, SettingError, SettingFault};

/// Checks that need more than one field.
pub(super) fn check(draft: &Draft, errors: &mut Vec<SettingError>) {
    let mut wrong = |field: &str, fault| errors.push(SettingError::new(field, fault));
    names(draft, &mut wrong);
    own_line(draft, &mut wrong);
    addresses(draft, &mut wrong);
    if draft.all_members {
        voters(&draft.members, &mut wrong);
    }
    times(&draft.times, &mut wrong);
}

fn names(conf: &Draft, wrong: &mut impl FnMut(&str, SettingFault)) {
    let mut names = BTreeSet::new();
    for (n, member) in conf.members.iter().enumerate() {
        if !names.insert(&member.entry) {
            let fault = SettingFault::DuplicateName(member.entry.to_string());
            wrong(&format!("members[{n}].entry"), fault);
        }
    }
    let zone = conf.own.zone.as_ref().filter(|_| conf.all_members);
    if let Some(zone) = zone.filter(|z| !conf.members.iter().any(|m| m.zone == **z)) {
        wrong("zone", SettingFault::ZoneWithoutEntry(zone.to_string()));
    }
}

/// Compares the settings with this entry instance's line among the members.
fn own_line(conf: &Draft, wrong: &mut impl FnMut(&str, SettingFault)) {
    let Some(entry) = &conf.own.entry else { return };
    let Some(own) = conf.members.iter().find(|m| m.entry == *entry) else {
        if conf.all_members {
            wrong("entry", SettingFault::NotAMember(entry.to_string()));
        }
        return;
    };
    // Peers would send to one place while this process listens at another.
    let pairs = [
        (
            "zone",
            own.zone.to_string(),
            conf.own.zone.as_ref().map(ToString::to_string),
        ),
        (
            "peers",
            own.peers.to_string(),
            conf.own.peers.map(|peers| peers.to_string()),
        ),
    ];
    for (field, theirs, ours) in pairs {
        if let Some(ours) = ours.filter(|ours| *ours != theirs) {
            let entry = entry.to_string();
            wrong(
                field,
                SettingFault::MemberDiffers {
                    entry,
                    theirs,
                    ours,
                },
            );
        }
    }
    match (own.voter, conf.own.data_folder.is_some()) {
        // A voter that forgets its vote in a restart can elect two leaders.
        (true, false) => wrong("data_folder", SettingFault::VoterWithoutFolder),
        (false, true) => wrong("data_folder", SettingFault::FolderWithoutVote),
        _ => {}
    }
}

fn addresses(conf: &Draft, wrong: &mut impl FnMut(&str, SettingFault)) {
    let own = conf.own.addresses();
    let own = own.map(|(field, address)| (field.to_owned(), address));
    let others = conf
        .members
        .iter()
        .filter(|m| Some(&m.entry) != conf.own.entry.as_ref())
        .map(|m| (format!("members, {}, peers", m.entry), m.peers));
    let mut seen: BTreeMap<SocketAddr, String> = BTreeMap::new();
    // Port 0 asks for any free port.
    for (field, address) in own.chain(others).filter(|(_, a)| a.port() != 0) {
        match seen.get(&address) {
            Some(other) => {
                let fault = SettingFault::DuplicateAddress {
                    address: address.to_string(),
                    other: other.clone(),
                };
                wrong(&field, fault);
            }
            None => {
                seen.insert(address, field);
            }
        }
    }
}

fn voters(members: &[Member], wrong: &mut impl FnMut(&str, SettingFault)) {
    let voters = members.iter().filter(|m| m.voter).count();
    // Two voters stop when either is lost, four when two are: the even one adds
    // a machine that may fail and no failure that is survived.
    let alone = members.len() == 1 && voters == 1;
    if !alone && voters != 3 && voters != 5 {
        let members = members.len();
        wrong("members", SettingFault::Voters { voters, members });
        return;
    }
    let zones: BTreeSet<_> = members.iter().map(|m| &m.zone).collect();
    if zones.len() < 3 {
        return;
    }
    for zone in zones {
        let here = members
            .iter()
            .filter(|m| m.voter && m.zone == *zone)
            .count();
        if here * 2 > voters {
            wrong("members", SettingFault::VotersInOneZone(zone.to_string()));
        }
    }
}

fn times(times: &Times, wrong: &mut impl FnMut(&str, SettingFault)) {
    let pairs = [
        // One lost report must not take an upstream out.
        (
            ("upstream_lease_ms", times.upstream_lease_ms),
            2,
            ("refresh_ms", times.refresh_ms),
        ),
        // Two late heartbeats must not depose a healthy leader.
        (
            ("election_timeout_ms", times.election_timeout_ms),
            3,
            ("heartbeat_ms", times.heartbeat_ms),
        ),
        // An entry instance whose view ends between two heartbeats would be
        // cut off again and again without any fault.
        (
            ("view_lease_ms", times.view_lease_ms),
            2,
            ("heartbeat_ms", times.heartbeat_ms),
        ),
    ];
    // A view counts as recent until its lease ends; one that outlasted an
    // election, with clocks a tenth apart, would let two leaders act as such.
    if times.view_lease_ms.saturating_mul(10) > times.election_timeout_ms.saturating_mul(9) {
        let most = times.election_timeout_ms / 10 * 9;
        let fault = SettingFault::BadValue(format!(
            "{} ms is over nine tenths of election_timeout_ms: set at most {most}",
            times.view_lease_ms
        ));
        wrong("view_lease_ms", fault);
    }
    for ((field, value), times, (other, part)) in pairs {
        let least = part.saturating_mul(times);
        if value < least {
            let other = other.to_owned();
            let fault = SettingFault::TooShort {
                value,
                least,
                times,
                other,
            };
            wrong(field, fault);
        }
    }
}

//! The replicated log under random schedules of faults.
#![allow(missing_docs, clippy::unwrap_used)]

mod consensus_world;
mod naive_disk;

use consensus_world::{ELECTION_MS, LEASE_MS, Net, World};
use rand::Rng;
use rand::seq::IndexedRandom;
use rosemarygauge::consensus::{
    Action, Beat, HardState, Input, Membership, Message, Record, Recovered, Replica,
    ReplicaSettings, Reply, ReplyOutcome, Role, Stamp, VoteRequest, VoterChange,
};
use rosemarygauge::model::EntryName;

/// Schedules in CI; `ROSEMARYGAUGE_SEEDS` asks for more.
fn seeds() -> u64 {
    let asked = std::env::var("ROSEMARYGAUGE_SEEDS");
    asked.ok().and_then(|s| s.parse().ok()).unwrap_or(60)
}

fn any(world: &mut World) -> EntryName {
    let names = world.names();
    names.choose(&mut world.rng).unwrap().clone()
}

fn fault(world: &mut World) {
    let name = any(world);
    match world.rng.random_range(0..100) {
        0..8 => world.kill(&name),
        8..30 => {
            if let Some(down) = world.down.first().cloned() {
                world.restart(&down);
            }
        }
        30..36 => world.restart(&name),
        36..42 if world.may_lose_disk(&name) => world.lose_disk(&name),
        42..46 => world.isolate(&name),
        46..52 => {
            let side = [name, any(world), any(world)];
            world.split(&side);
        }
        52..60 => {
            let other = any(world);
            world.cut.insert((name, other));
        }
        60..80 => world.cut.clear(),
        80..90 => {
            world.net = Net {
                lost_percent: world.rng.random_range(0..30),
                doubled_percent: world.rng.random_range(0..30),
                delay_max_ms: [2, 20, 200, 1000][world.rng.random_range(0..4)],
            };
        }
        _ => {
            let add = world.rng.random_bool(0.6);
            let change = if add && world.may_hold_disk(&name) {
                VoterChange::Add(name)
            } else {
                VoterChange::Remove(name)
            };
            if add || world.membership.len() > 3 {
                let at = any(world);
                world.input(&at, Input::ChangeVoters { change });
            }
        }
    }
}

/// Callers see one history, whatever fails: messages are lost, late, doubled and
/// out of order, links cut one way or both, processes killed with what they had
/// not synced, disks of a minority lost, voters changed. Each entry is applied in
/// one order everywhere, no committed one changes, and once the faults stop all
/// replicas hold all of it and the next command commits.
#[test]
fn random_schedules_keep_one_history() {
    for seed in 0..seeds() {
        let voters = if seed % 3 == 0 { 5 } else { 3 };
        let mut world = World::new(seed, voters, 1, 2);
        world.until("a cluster", 5_000, |w| !w.membership.is_empty());
        let mut command = 0u64;
        for _ in 0..60 {
            fault(&mut world);
            for _ in 0..world.rng.random_range(0..10) {
                command += 1;
                let at = any(&mut world);
                world.propose(&at, &command.to_le_bytes());
                let pause_ms = world.rng.random_range(0..40);
                world.run(pause_ms);
            }
        }
        world.heal();
        world.until(&format!("seed {seed}: all alike"), 20_000, World::converged);
        let before = world.history.len();
        let at = any(&mut world);
        world.propose(&at, b"last");
        world.until("the next command commits", 2_000, |w| {
            w.history.len() > before && w.converged()
        });
    }
}

fn name(text: &str) -> EntryName {
    text.into()
}

/// A cluster of three voters, `spare` more folders and `learners`, with a leader
/// and a few entries.
fn cluster(seed: u64, spare: usize, learners: usize) -> (World, EntryName) {
    let mut world = World::new(seed, 3, spare, learners);
    world.until("a leader", 5_000, World::converged);
    let leader = world.leader().unwrap();
    commit(&mut world, 10);
    (world, leader)
}

fn commit(world: &mut World, count: usize) {
    let leader = world.leader().unwrap();
    let wanted = world.history.len() + count;
    (0..count).for_each(|i| world.propose(&leader, &[i as u8 + 1]));
    world.until("commits", 1_000, |w| w.history.len() >= wanted);
}

fn followers(world: &World) -> Vec<EntryName> {
    let leader = world.leader();
    let voters = world.membership.iter().map(|(n, _)| n.clone());
    voters.filter(|n| Some(n) != leader.as_ref()).collect()
}

/// A voter cut off alone for five seconds asks for elections again and again.
/// When it returns callers must see nothing: with a term of its own above the
/// leader's, it would depose a leader with which nothing is wrong.
#[test]
fn returning_voter_does_not_depose_the_leader() {
    let (mut world, leader) = cluster(1, 0, 0);
    let term = world.status(&leader).term;
    let alone = followers(&world)[0].clone();
    world.isolate(&alone);
    world.run(5_000);
    world.heal();
    world.run(2_000);
    assert_eq!(world.leader(), Some(leader.clone()));
    assert_eq!(world.status(&leader).term, term);
}

/// A voter hears nothing from the leader, yet all hear the voter. It asks for an
/// election again and again; while the others hear the leader they refuse, or
/// callers would see elections without end.
#[test]
fn one_way_cut_does_not_depose_the_leader() {
    let (mut world, leader) = cluster(10, 0, 0);
    let term = world.status(&leader).term;
    let deaf = followers(&world)[0].clone();
    world.cut.insert((leader.clone(), deaf));
    world.run(5_000);
    assert_eq!(world.leader(), Some(leader.clone()));
    assert_eq!(world.status(&leader).term, term);
}

/// A voter that keeps a leader in office restarts and is cut off from it, just
/// when a third one asks for its vote. If it voted at once, the old leader would
/// still answer from its view as recent while the new one changes things (the
/// world checks that no two leaders are fresh).
#[test]
fn restarted_voter_waits_before_it_votes() {
    for seed in 0..40 {
        let (mut world, leader) = cluster(seed, 0, 0);
        let [asking, keeping] = followers(&world).try_into().unwrap();
        world.isolate(&asking);
        world.run(1_500);
        world.restart(&keeping);
        world.cut.clear();
        world.isolate(&leader);
        world.until("another leads", 5_000, |w| {
            w.leader().is_some_and(|l| l != leader)
        });
    }
}

/// A learner is cut off together with the old leader, which goes on granting it
/// leases until it steps down. The new leader has never heard of them; it must
/// not take the learner's lease for over too early, or a move would let two pools
/// use one instance (the world checks each leader's bound against each peer).
#[test]
fn new_leader_waits_for_the_leases_of_the_old() {
    for seed in 0..40 {
        let (mut world, leader) = cluster(seed, 0, 1);
        world.split(&[leader.clone(), name("d")]);
        world.run(1_500);
        assert!(world.leader().is_some_and(|l| l != leader));
        assert!(!world.status(&name("d")).fresh);
    }
}

/// A leader is cut off from all. Callers on its side must not be served from a
/// view that the others have since changed: it says that its view is not recent
/// when the view lease is over, and stops leading before another is elected.
#[test]
fn isolated_leader_knows_it() {
    for seed in 0..20 {
        let (mut world, leader) = cluster(seed, 0, 1);
        world.isolate(&leader);
        world.run(LEASE_MS);
        assert!(!world.status(&leader).fresh);
        world.until("it steps down", ELECTION_MS, |w| {
            w.status(&leader).role != Role::Leader
        });
        assert!(world.status(&leader).quorum_lost);
        world.until("another leads", 2_000, |w| w.leader().is_some());
        world.heal();
        world.until("all alike", 2_000, World::converged);
    }
}

/// One follower is down while the leader commits with the other. Then the leader
/// dies and the other loses its disk. The two that are up are a quorum by name
/// and know nothing of the last entries: if they elected a leader, accepted rows
/// would be gone. They wait until the old leader is back.
#[test]
fn voter_with_an_empty_folder_has_no_vote() {
    let (mut world, leader) = cluster(2, 0, 0);
    let [behind, lost] = followers(&world).try_into().unwrap();
    world.kill(&behind);
    commit(&mut world, 5);
    world.kill(&leader);
    world.lose_disk(&lost);
    world.restart(&behind);
    for _ in 0..5_000 {
        world.step();
        assert_eq!(world.leader(), None);
    }
    world.restart(&leader);
    world.until("repaired", 5_000, World::converged);
}

/// Two of three voters lose their disks while all are down. The two empty ones
/// must not take themselves for a new cluster, or everything that the third
/// holds would be replaced by nothing. Nor may two empty ones begin without the
/// third, which may hold a state that they have not seen.
#[test]
fn only_all_empty_voters_create_a_cluster() {
    let (mut world, _) = cluster(3, 0, 0);
    for voter in world.names() {
        world.kill(&voter);
    }
    world.lose_disk(&name("a"));
    world.lose_disk(&name("b"));
    world.run(3_000);
    assert_eq!(world.leader(), None);
    world.restart(&name("c"));
    world.run(5_000);
    assert_eq!(world.leader(), None);
}

/// A voter's folder is put back from a copy after it acknowledged more. It looks
/// whole and has the right identity, yet entries that were committed by its word
/// are gone. The leader tells it what it acknowledged; it gives up its identity,
/// has no vote for the time being, and is repaired.
#[test]
fn older_folder_gives_up_its_identity() {
    let (mut world, leader) = cluster(4, 0, 0);
    let [away, copied] = followers(&world).try_into().unwrap();
    let copy = world.disk(&copied);
    world.isolate(&away);
    commit(&mut world, 5);
    world.restart_with(&copied, copy.clone());
    world.until("a new identity", 400, |w| {
        w.status(&copied).incarnation != copy.incarnation
    });
    assert_eq!(world.leader(), Some(leader));
    world.heal();
    world.until("repaired", 5_000, World::converged);
}

/// A voter loses its disk, is repaired, and right after that the leader is lost.
/// The repaired one and the third hold everything and go on. If it had counted
/// before it caught up, entries held by the lost folder and the leader alone
/// would be gone with the second loss.
#[test]
fn second_loss_right_after_a_repair() {
    for seed in 0..20 {
        let (mut world, leader) = cluster(seed, 0, 0);
        let [behind, lost] = followers(&world).try_into().unwrap();
        world.kill(&behind);
        commit(&mut world, 30);
        world.kill(&lost);
        world.restart(&behind);
        world.lose_disk(&lost);
        let incarnation = world.disk(&lost).incarnation;
        world.until("repaired", 5_000, |w| {
            w.membership.incarnation(&lost) == incarnation
        });
        let committed = world.history.len();
        world.kill(&leader);
        world.until("another leads", 5_000, |w| w.leader().is_some());
        commit(&mut world, 1);
        assert!(world.history.len() > committed);
    }
}

/// An entry instance without a disk restarts empty, long after the entries it
/// needs were compacted. It gets the snapshot in pieces and the entries after it,
/// and reports what it applied.
#[test]
fn restarted_learner_catches_up_from_a_snapshot() {
    let (mut world, leader) = cluster(5, 0, 1);
    let learner = name("d");
    commit(&mut world, 100);
    let sent = world.snapshots_sent;
    world.restart(&learner);
    world.until("caught up", 2_000, World::converged);
    assert!(world.snapshots_sent > sent);
    assert_eq!(world.status(&learner).role, Role::Learner);
    world.run(100);
    let applied = world.status(&leader).peers_applied[&learner];
    assert_eq!(applied, world.history.len() as u64 - 1);
    assert!(world.status(&learner).fresh);
}

/// Operators ask for two changes of the voters while no follower answers. Only
/// one is under way: with two, the quorums of before and after need not meet.
#[test]
fn voters_change_one_at_a_time() {
    let (mut world, leader) = cluster(6, 2, 0);
    world.run(200);
    for peer in followers(&world) {
        world.isolate(&peer);
    }
    for spare in ["d", "e"] {
        let change = VoterChange::Add(name(spare));
        world.input(&leader, Input::ChangeVoters { change });
    }
    world.run(100);
    assert_eq!(world.status(&leader).voters.len(), 4);
    world.heal();
    world.until("both", 5_000, |w| w.membership.len() == 5 && w.converged());
    let change = VoterChange::Remove(leader.clone());
    world.input(&leader, Input::ChangeVoters { change });
    world.until("the leader left", 5_000, |w| w.membership.len() == 4);
    world.until("another leads", 5_000, |w| {
        w.leader().is_some_and(|l| l != leader)
    });
}

fn empty_folder() -> Recovered {
    Recovered {
        incarnation: Some(7),
        ..Recovered::default()
    }
}

fn replica_b(recovered: Recovered) -> Replica {
    let settings = ReplicaSettings {
        me: name("b"),
        voters: vec![name("a"), name("b"), name("c")],
        peers: vec![name("d")],
        heartbeat_ms: 50,
        election_timeout_ms: ELECTION_MS,
        view_lease_ms: LEASE_MS,
        snapshot_every: 0,
        seed: 1,
    };
    Replica::new(settings, recovered, 0)
}

/// A voter that answers before its disk has synced forgets in a crash what it
/// said. Vote and acknowledgement come out only with the disk's word.
#[test]
fn nothing_is_answered_before_it_is_durable() {
    let mut replica = replica_b(empty_folder());
    let vote = Message::Vote(VoteRequest {
        term: 2,
        pre: false,
        last_index: 1,
        last_term: 1,
        counted_as: 7,
    });
    let append = Message::Append {
        beat: Beat {
            term: 2,
            sent_ms: 0,
            heard: None,
            acked: None,
            commit_index: 0,
        },
        prev_index: 0,
        prev_term: 0,
        entries: vec![consensus_world::entry(1, 2, b"x")],
    };
    for (message, token) in [(vote, 1), (append, 2)] {
        let from = name("a");
        let at_ms = ELECTION_MS + 1;
        let actions = replica.handle(at_ms, Input::Message { from, message });
        assert!(matches!(&actions[..], [Action::Persist { token: t, .. }] if *t == token));
        let actions = replica.handle(at_ms, Input::Persisted { token });
        assert!(matches!(&actions[..], [Action::Send { .. }]));
    }
}

/// Replica b of a, b, c and learner d as leader of term 3, with an entry of term 1
/// that is not committed, and its own first one.
fn leader_b() -> (Replica, u64) {
    let voters = ["a", "b", "c"].map(|n| (name(n), 7));
    let mut first = consensus_world::entry(1, 1, b"");
    first.membership = Some(Membership::new(voters.into()));
    let mut replica = replica_b(Recovered {
        incarnation: Some(7),
        hard: HardState {
            term: 2,
            voted_for: None,
        },
        entries: vec![first, consensus_world::entry(2, 1, b"old")],
        ..Recovered::default()
    });
    let at_ms = 2 * ELECTION_MS;
    feed(&mut replica, at_ms, Input::Tick);
    for pre in [true, false] {
        let message = Message::VoteReply {
            term: 3,
            pre,
            granted: true,
            incarnation: 7,
        };
        feed(&mut replica, at_ms, from("a", message));
    }
    assert_eq!(replica.status(at_ms).role, Role::Leader);
    (replica, at_ms)
}

/// Handles the input, with a disk that syncs at once; returns what is sent.
fn feed(replica: &mut Replica, now_ms: u64, input: Input) -> Vec<Message> {
    let mut sent = Vec::new();
    for action in replica.handle(now_ms, input) {
        match action {
            Action::Send { message, .. } => sent.push(message),
            Action::Persist { token, .. } => {
                sent.extend(feed(replica, now_ms, Input::Persisted { token }));
            }
            Action::Apply { .. } | Action::Restore { .. } | Action::TakeSnapshot => {}
        }
    }
    sent
}

fn from(peer: &str, message: Message) -> Input {
    let from = name(peer);
    Input::Message { from, message }
}

fn reply(peer: &str, echo_ms: u64, index: u64) -> Input {
    let message = Message::Reply(Reply {
        term: 3,
        echo_ms,
        stamp: Stamp { start: 1, at_ms: 5 },
        incarnation: (peer != "d").then_some(7),
        applied_index: 0,
        outcome: ReplyOutcome::Matched { index },
    });
    from(peer, message)
}

/// A new leader has an entry of an earlier term on a quorum. A leader of a later
/// term that another quorum may still elect could replace it, so it is committed
/// only together with the new leader's first entry.
#[test]
fn earlier_terms_commit_only_under_the_own() {
    let (mut replica, at_ms) = leader_b();
    feed(&mut replica, at_ms, reply("a", at_ms, 2));
    assert_eq!(replica.status(at_ms).commit_index, 0);
    feed(&mut replica, at_ms, reply("a", at_ms, 3));
    assert_eq!(replica.status(at_ms).commit_index, 3);
}

/// A learner's view counts as recent by the leader's word. A leader that has not
/// heard a quorum yet, or no more (its process was frozen, and the first thing it
/// handles is the learner's message), may have been replaced: it gives no such
/// word.
#[test]
fn leader_without_a_quorum_grants_no_lease() {
    let (mut replica, at_ms) = leader_b();
    let grants = |messages: Vec<Message>| {
        let heard = |m: &Message| matches!(m, Message::Append { beat, .. } if beat.heard.is_some());
        messages.iter().any(heard)
    };
    let command = || Input::Propose {
        command: b"x".to_vec(),
    };
    feed(&mut replica, at_ms, reply("d", at_ms, 3));
    let sent = feed(&mut replica, at_ms, command());
    assert!(!sent.is_empty() && !grants(sent));
    let soon_ms = at_ms + 60;
    feed(&mut replica, soon_ms, reply("a", soon_ms, 3));
    assert!(grants(feed(&mut replica, soon_ms, command())));
    let frozen_ms = soon_ms + ELECTION_MS;
    let sent = feed(&mut replica, frozen_ms, command());
    assert!(!sent.is_empty() && !grants(sent));
    assert!(!replica.status(frozen_ms).fresh);
}

/// An entry instance restarted; its clock began anew. A leader's message that
/// answers the start before says nothing about the view of this one. And one that
/// shows it behind the leader's commits makes its view no recent one either.
#[test]
fn view_is_confirmed_only_for_this_start_and_all_commits() {
    let mut replica = replica_b(Recovered::default());
    let beat = |heard, commit_index| Beat {
        term: 1,
        sent_ms: 0,
        heard,
        acked: None,
        commit_index,
    };
    let append = |beat| Message::Append {
        beat,
        prev_index: 0,
        prev_term: 0,
        entries: vec![],
    };
    let now_ms = 1_000;
    let sent = feed(&mut replica, now_ms, from("a", append(beat(None, 0))));
    let [Message::Reply(Reply { stamp, .. })] = sent[..] else {
        panic!("{sent:?}");
    };
    let other = Stamp {
        start: stamp.start ^ 1,
        ..stamp
    };
    for (heard, commit_index, fresh) in [(other, 0, false), (stamp, 1, false), (stamp, 0, true)] {
        let message = append(beat(Some(heard), commit_index));
        feed(&mut replica, now_ms, from("a", message));
        assert_eq!(replica.status(now_ms).fresh, fresh);
    }
}

/// A voter with a tail that was never committed gets a snapshot of another
/// history. After a crash the tail must not stand behind the snapshot as if it
/// followed from it, so the tail is voided first.
#[test]
fn installed_snapshot_voids_the_tail() {
    let mut replica = replica_b(Recovered {
        incarnation: Some(7),
        entries: (1..=5)
            .map(|i| consensus_world::entry(i, 1, b"x"))
            .collect(),
        ..Recovered::default()
    });
    let message = Message::Chunk {
        beat: Beat {
            term: 2,
            sent_ms: 0,
            heard: None,
            acked: None,
            commit_index: 3,
        },
        index: 3,
        term: 2,
        membership: Membership::default(),
        total_bytes: 1,
        offset_bytes: 0,
        data: vec![1],
    };
    let actions = replica.handle(0, from("a", message));
    let records = actions.iter().find_map(|action| match action {
        Action::Persist { records, .. } => Some(&records[..]),
        _ => None,
    });
    assert!(matches!(
        records,
        Some([
            Record::Hard(_),
            Record::Truncate { from: 4 },
            Record::Snapshot(_)
        ])
    ));
}

/// A peer of another version, or a fault on the way that no checksum caught, sends
/// anything at all. The replica may refuse it or be misled about its peer, but
/// the process must not end.
#[test]
fn altered_messages_do_not_end_the_process() {
    let config = bincode::config::standard().with_limit::<{ 1 << 20 }>();
    let mut victim = replica_b(empty_folder());
    let mut world = World::new(9, 3, 0, 1);
    let mut decoded = 0;
    for round in 0..20_000u64 {
        world.step();
        if round % 100 == 0 {
            world.propose(&name("a"), b"x");
        }
        let Some((from, message)) = world.overheard.pop() else {
            continue;
        };
        let whole = bincode::serde::encode_to_vec(message, config).unwrap();
        for _ in 0..20 {
            let mut bytes = whole.clone();
            let place = world.rng.random_range(0..bytes.len());
            bytes[place] = world.rng.random();
            let Ok((message, _)) = bincode::serde::decode_from_slice(&bytes, config) else {
                continue;
            };
            decoded += 1;
            let from = from.clone();
            for action in victim.handle(round, Input::Message { from, message }) {
                if let Action::Persist { token, .. } = action {
                    victim.handle(round, Input::Persisted { token });
                }
            }
            victim.handle(round, Input::Tick);
            victim.status(round);
        }
    }
    assert!(decoded > 5_000, "{decoded}");
}

/// Many commands arrive while the disk is busy. They share the next write, or
/// the disk's sync time bounds the changes per second.
#[test]
fn commands_share_a_write() {
    let (mut world, leader) = cluster(8, 0, 0);
    let writes = world.writes;
    commit(&mut world, 200);
    world.run(50);
    assert_eq!(world.leader(), Some(leader));
    // Three voters; each at most some writes per round trip, not one a command.
    assert!(
        world.writes - writes < 90,
        "{} writes",
        world.writes - writes
    );
}

//! Simulates membership and budgets of small fleets over zones and regions, with all faults of the full size.
//! Disables single safeguards to verify that each checker detects the resulting breach.

use doortrack_budgets::Safeguards;
use doortrack_fault_harness::scale::simulated::agreement::{Agreement, ViewSummary};
use doortrack_fault_harness::scale::simulated::scenario::Scenario;
use doortrack_fault_harness::scale::simulated::slopes;
use doortrack_fault_harness::scale::simulated::topology::{Topology, VOTER_ZONES, ZONES};
use doortrack_fault_harness::scale::simulated::traffic::{Load, Peaks};
use doortrack_fault_harness::scale::simulated::verdict::{
    Measured, Outcome, PartitionUsage, excessive_peak, run, side_breaches, time_limit_breaches,
};
use doortrack_membership::Parameters;

const SMALL: Topology = Topology { nodes: 70 };
const FULL: Topology = Topology { nodes: 770 };
const SLOT_MS: u64 = 20_000;

fn assert_no_breach(scenario: &Scenario, seed: u64) -> Outcome {
    let outcome = run(scenario, seed);
    assert!(
        outcome.breaches.is_empty(),
        "{}: {:#?}",
        scenario.name,
        outcome.breaches
    );
    outcome
}

fn assert_breach(scenario: &Scenario, seed: u64, wanted: &str) {
    let outcome = run(scenario, seed);
    let found = outcome
        .breaches
        .iter()
        .any(|breach| breach.contains(wanted));
    assert!(found, "{wanted}: not among {:#?}", outcome.breaches);
}

#[test]
fn machines_are_assigned_to_racks_zones_and_regions() {
    assert_eq!(FULL.machines(), 774);
    for zone in 0..ZONES {
        let voters = VOTER_ZONES.iter().filter(|of| **of == zone).count();
        assert_eq!(
            FULL.machines_in_zone(zone).len(),
            110 + voters,
            "zone {zone}"
        );
    }
    assert_eq!(FULL.machines_in_region(0).len(), 4 * 110 + 3);
    assert_eq!(FULL.machines_in_region(1).len(), 3 * 110 + 1);
    let rack = FULL.nodes_in_rack(2);
    assert_eq!((rack.len(), rack[0]), (30, 60));
    let zones: Vec<usize> = FULL
        .reserved()
        .iter()
        .map(|node| FULL.zone(*node))
        .collect();
    assert_eq!(zones, [0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6]);
}

#[test]
fn a_day_of_failures_has_no_breach_and_is_deterministic() {
    let day = Scenario::day(SMALL, 1, SLOT_MS, 1);
    let outcome = assert_no_breach(&day, 1);
    assert_eq!(outcome, run(&day, 1));
}

#[test]
fn a_day_of_failures_has_no_breach_despite_datagram_loss() {
    assert_no_breach(&Scenario::day(SMALL, 1, SLOT_MS, 2).with_loss(0.05), 2);
}

/// The partition lasts longer than dead members are remembered, so the regions rejoin only through the seeds.
#[test]
fn regions_rejoin_after_a_partition_longer_than_dead_members_are_remembered() {
    let outcome = assert_no_breach(&Scenario::partitioned(SMALL, 90_000, 1), 1);
    assert!(
        outcome
            .measured
            .iter()
            .any(|measured| measured.label == "restart while parted")
    );
}

/// Each side reports the members of the other as dead; no member may be declared dead by its own side for that.
#[test]
fn regions_that_rejoin_declare_no_member_of_their_own_side_dead() {
    let partitioned = Scenario::partitioned(Topology { nodes: 280 }, 30_000, 8);
    let ms = partitioned
        .partition
        .map_or(0, |partition| partition.until_ms)
        + 6_000;
    assert_no_breach(&Scenario { ms, ..partitioned }, 8);
}

#[test]
fn without_seeds_partitioned_regions_do_not_rejoin() {
    let mut partitioned = Scenario::partitioned(SMALL, 90_000, 1);
    assert_no_breach(&partitioned, 1);
    // With seeds the fleet forms; without them no node finds another.
    partitioned.membership.seeds.clear();
    assert_breach(&partitioned, 1, "never one");
}

#[test]
fn without_majority_votes_both_sides_use_the_full_limit() {
    let partitioned = Scenario::partitioned(SMALL, 30_000, 1);
    let safeguards = Safeguards {
        majority_vote: false,
        ..Safeguards::default()
    };
    assert_breach(
        &Scenario {
            safeguards,
            ..partitioned
        },
        1,
        "over the whole",
    );
}

#[test]
fn without_lease_expiry_allocations_of_the_partitioned_side_are_used_twice() {
    let partitioned = Scenario::partitioned(SMALL, 30_000, 1);
    let safeguards = Safeguards {
        lease_expiry: false,
        ..Safeguards::default()
    };
    assert_breach(
        &Scenario {
            safeguards,
            ..partitioned
        },
        1,
        "over the whole",
    );
}

#[test]
fn too_short_suspicions_cause_false_death_declarations() {
    let day = Scenario::day(SMALL, 0, SLOT_MS, 1).with_loss(0.05);
    let seeds = day.membership.seeds.clone();
    let hasty = Parameters {
        seeds,
        indirect_probers: 0,
        suspicion_min: 50,
        suspicion_max: 100,
        ..Parameters::default()
    };
    assert_breach(
        &Scenario {
            membership: hasty,
            ..day
        },
        1,
        "nobody wrongly declared dead",
    );
}

fn measured(agree_ms: Option<u64>, budget_ms: u64, bytes_out: u64) -> Measured {
    let node = Load {
        bytes_out,
        ..Load::default()
    };
    Measured {
        label: "zone back".into(),
        at_ms: 30_000,
        agree_ms,
        budget_ms,
        peaks: Peaks {
            node,
            ..Peaks::default()
        },
        fleet_peak: node,
    }
}

#[test]
fn delays_excessive_peaks_and_wrong_partition_usage_are_breaches() {
    assert!(time_limit_breaches(&measured(Some(4_000), 5_000, 0), 4_000).is_empty());
    assert_eq!(
        time_limit_breaches(&measured(Some(4_001), 5_001, 0), 4_000).len(),
        2
    );
    assert_eq!(time_limit_breaches(&measured(None, 0, 0), 4_000).len(), 1);
    let baseline = Load {
        bytes_out: 1_000,
        ..Load::default()
    };
    assert_eq!(excessive_peak(&measured(None, 0, 4_000), baseline), None);
    assert!(excessive_peak(&measured(None, 0, 4_001), baseline).is_some());
    let usage = |with_majority, without_majority| PartitionUsage {
        with_majority,
        without_majority,
        reserved: 42.0,
        whole: 1_000.0,
    };
    assert!(side_breaches(&usage(950.0, 41.5)).is_empty());
    assert_eq!(side_breaches(&usage(950.0, 43.0)).len(), 1);
    assert_eq!(side_breaches(&usage(950.0, 0.0)).len(), 1);
    assert_eq!(side_breaches(&usage(890.0, 42.0)).len(), 1);
}

#[test]
fn views_agree_if_they_contain_exactly_the_live_machines() {
    let topology = Topology { nodes: 7 };
    let mut agreement = Agreement::new(topology);
    let held = |digest: u64, members: usize| Some(ViewSummary { digest, members });
    for machine in 0..topology.machines() {
        agreement.record_view(10, machine, held(1, 11));
    }
    assert_eq!(agreement.first_time(0, |state| state.all_agree), Some(10));
    // One machine is killed; the others learn of it one by one.
    agreement.record_view(20, 6, None);
    for machine in (0..topology.machines()).filter(|machine| *machine != 6) {
        agreement.record_view(30 + machine as u64, machine, held(2, 10));
    }
    assert_eq!(agreement.first_time(20, |state| state.all_agree), Some(40));
    // In a partition each region sees only its own machines: four nodes and three voters, two nodes and a voter.
    for machine in (0..topology.machines()).filter(|machine| *machine != 6) {
        let (digest, members) = if topology.region(machine) == 0 {
            (3, 7)
        } else {
            (4, 3)
        };
        agreement.record_view(50, machine, held(digest, members));
    }
    assert_eq!(agreement.first_time(50, |state| state.all_agree), None);
    assert_eq!(
        agreement.first_time(50, |state| state.region_agrees == [true, true]),
        Some(50)
    );
}

#[test]
fn only_the_traffic_of_the_leader_grows_with_the_number_of_nodes() {
    let series = slopes::over_nodes(&[14, 28], 1);
    let names: Vec<String> = series
        .iter()
        .map(|one| serde_json::to_string(&(one.role, one.quantity)).unwrap_or_default())
        .collect();
    let of = |name: &str| names.iter().position(|of| of == name).unwrap();
    let growth = |name: &str| {
        let points = &series[of(name)].points;
        points[1].value / points[0].value
    };
    assert!(growth(r#"["leader","datagrams_in_per_second"]"#) > 1.5);
    assert!((0.8..1.25).contains(&growth(r#"["node","bytes_out_per_second"]"#)));
}

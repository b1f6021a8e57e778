//! Tests of the regions that requests may be sent to.

use boragerill::residency::{
    RegionTable,
    ResidencyRule, //
};
use compact_str::CompactString;
use proptest::prelude::*;

fn regions(names: &[&str]) -> Vec<CompactString> {
    names
        .iter()
        .map(|name| CompactString::from(*name))
        .collect()
}

fn table(own: &str) -> RegionTable {
    let domains = [
        ("zone-c", "south"),
        ("zone-a", "north"),
        ("zone-b", "north"),
    ];
    let domains = domains.map(|(domain, region)| (domain.into(), region.into()));
    RegionTable::new(own, "zone-c", domains.to_vec())
}

#[test]
fn rule_without_regions_admits_everything() {
    // arrange
    let table = table("north");

    // act
    let rule = ResidencyRule::new(&[], &[]);

    // assert
    assert!(!rule.is_restricted());
    assert!(table.admits_domain(&rule, "zone-unknown"));
    assert!(rule.admits(None));
}

// Guards against a request of a restricted route or workspace that reaches a server of another region, or of a domain whose
// region isn't known.
#[test]
fn both_restrictions_apply_and_unknown_regions_are_excluded() {
    // arrange
    let table = table("");
    let domains = ["zone-a", "zone-b", "zone-c", "zone-unknown"];
    let admitted = |rule: &ResidencyRule| domains.map(|domain| table.admits_domain(rule, domain));

    // act
    let route = ResidencyRule::new(&regions(&["north"]), &[]);
    let workspace = ResidencyRule::new(&[], &regions(&["east", "south"]));
    let both = ResidencyRule::new(&regions(&["north", "south"]), &regions(&["south", "west"]));
    let none = ResidencyRule::new(&regions(&["north"]), &regions(&["south"]));

    // assert
    assert_eq!(admitted(&route), [true, true, false, false]);
    assert_eq!(admitted(&workspace), [false, false, true, false]);
    assert_eq!(admitted(&both), [false, false, true, false]);
    assert_eq!(admitted(&none), [false; 4]);
    assert!(none.is_restricted());
}

// Guards against a body that is relayed through a VM of another region or of an unknown one.
#[test]
fn own_region_is_stated_or_that_of_the_own_domain() {
    // arrange
    let rule = ResidencyRule::new(&regions(&["south"]), &[]);

    // act
    let (stated, by_domain) = (table("north"), table(""));
    let unknown = RegionTable::new("", "zone-x", Vec::new());

    // assert
    assert!(!stated.admits_own(&rule) && by_domain.admits_own(&rule));
    assert!(stated.is_own_region("zone-a") && !stated.is_own_region("zone-c"));
    assert!(by_domain.is_own_region("zone-c"));
    assert!(!unknown.is_own_region("zone-x") && !unknown.admits_own(&rule));
}

fn region_lists() -> impl Strategy<Value = Vec<CompactString>> {
    prop::collection::btree_set("[a-d]", 0..4)
        .prop_map(|names| names.into_iter().map(CompactString::from).collect())
}

proptest! {
    // Guards against a restriction that is lost when two are joined.
    #[test]
    fn joined_rule_admits_what_each_one_admits(
        route in region_lists(),
        workspace in region_lists(),
        region in "[a-e]",
    ) {
        // act
        let rule = ResidencyRule::new(&route, &workspace);

        // assert
        let allows = |list: &[CompactString]| list.is_empty() || list.iter().any(|name| *name == region);
        prop_assert_eq!(rule.admits(Some(&region)), allows(&route) && allows(&workspace));
        prop_assert_eq!(rule.admits(None), route.is_empty() && workspace.is_empty());
    }
}

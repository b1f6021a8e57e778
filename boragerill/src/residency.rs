//! Regions that requests may be sent to.
//!
//! Routes and workspaces may allow some regions only. A server or VM whose region isn't known is in no allowed region.

use std::sync::Arc;

use compact_str::CompactString;

/// Regions that a request may be sent to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResidencyRule {
    regions: Option<Arc<[CompactString]>>, // Sorted; `None` without a restriction.
}

impl ResidencyRule {
    /// Returns the rule for a route and a workspace with these allowed regions, sorted. An empty list sets no restriction;
    /// if both set one, both apply.
    pub fn new(route: &[CompactString], workspace: &[CompactString]) -> ResidencyRule {
        let regions = match (route.is_empty(), workspace.is_empty()) {
            (true, true) => return ResidencyRule::default(),
            (false, true) => route.into(),
            (true, false) => workspace.into(),
            (false, false) => {
                let common = route.iter();
                let common = common.filter(|region| workspace.binary_search(region).is_ok());
                common.cloned().collect()
            }
        };
        ResidencyRule {
            regions: Some(regions),
        }
    }

    /// Returns whether there is a restriction.
    pub fn is_restricted(&self) -> bool {
        self.regions.is_some()
    }

    /// Returns whether a request may be sent to a region; `None` for one that isn't known.
    pub fn admits(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.regions else {
            return true;
        };
        region.is_some_and(|region| {
            let found = regions.binary_search_by(|allowed| allowed.as_str().cmp(region));
            found.is_ok()
        })
    }
}

/// Regions of this VM and of all failure domains.
#[derive(Clone, Debug, Default)]
pub struct RegionTable {
    own: Option<CompactString>,
    domains: Vec<(CompactString, CompactString)>, // Failure domain and its region; sorted by domain.
}

impl RegionTable {
    /// Creates the table of a VM in the region `own`, or in that of `own_domain` if `own` is empty.
    pub fn new(
        own: &str,
        own_domain: &str,
        mut domains: Vec<(CompactString, CompactString)>,
    ) -> RegionTable {
        domains.retain(|entry| !entry.1.is_empty());
        domains.sort_unstable();
        let mut table = RegionTable { own: None, domains };
        table.own = match own {
            "" => table.region_of(own_domain).map(CompactString::from),
            own => Some(own.into()),
        };
        table
    }

    /// Returns the region of a failure domain, if it is known.
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        let found = self
            .domains
            .binary_search_by(|entry| entry.0.as_str().cmp(domain));
        Some(self.domains[found.ok()?].1.as_str())
    }

    /// Returns whether a rule admits the servers, or the VMs, of a failure domain.
    pub fn admits_domain(&self, rule: &ResidencyRule, domain: &str) -> bool {
        !rule.is_restricted() || rule.admits(self.region_of(domain))
    }

    /// Returns whether a rule admits this VM.
    pub fn admits_own(&self, rule: &ResidencyRule) -> bool {
        rule.admits(self.own.as_deref())
    }

    /// Returns whether a failure domain is in the region of this VM, so that its VMs may get whatever this one may.
    pub fn is_own_region(&self, domain: &str) -> bool {
        let region = self.region_of(domain);
        region.is_some() && region == self.own.as_deref()
    }
}

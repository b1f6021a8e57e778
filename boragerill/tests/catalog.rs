//! Look-ups in a catalog, and its choice of services.

use boragerill::{
    catalog::{
        Catalog,
        CatalogParts,
        CatalogRoute,
        CatalogWorkspace,
        RouteKind,
        StreamTerms, //
    },
    keys::hash_key, //
};

fn route(host: &str, prefix: &str) -> CatalogRoute {
    CatalogRoute {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: None,
        target: Default::default(),
        attempts: 1,
        priority: 0,
        open: false,
        services: vec![("desk".into(), 1)],
        allowed_regions: Vec::new(),
    }
}

fn workspace(name: &str, keys: &[&str]) -> CatalogWorkspace {
    CatalogWorkspace {
        name: name.into(),
        hash: 0,
        rate: 0.0,
        burst: 0.0,
        priority: None,
        keys: keys.iter().map(|key| hash_key(key)).collect(),
        allowed_regions: Vec::new(),
    }
}

fn catalog() -> Catalog {
    Catalog::new(CatalogParts {
        version: 4,
        routes: vec![
            route("b.example", "/"),
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
            route("a.example", "/z/"),
        ],
        workspaces: vec![workspace("w2", &["k3"]), workspace("w1", &["k1", "k2"])],
        ..Default::default()
    })
}

#[test]
fn longest_prefix_of_the_host_wins() {
    // arrange
    let catalog = catalog();
    let find = |host, path| {
        let found = catalog.find_route(host, path);
        found.map(|route| route.name.to_string())
    };

    // act and assert
    assert_eq!(
        find("a.example", "/x/y/1").as_deref(),
        Some("a.example/x/y/")
    );
    assert_eq!(find("a.example", "/x/1").as_deref(), Some("a.example/x/"));
    assert_eq!(find("b.example", "/x/y/1").as_deref(), Some("b.example/"));
    assert_eq!(find("a.example", "/x"), None);
    assert_eq!(find("c.example", "/x/1"), None);
}

#[test]
fn keys_are_mapped_to_their_workspace() {
    // arrange
    let catalog = catalog();
    let find = |key| {
        let found = catalog.find_key(&hash_key(key));
        found.map(|workspace| workspace.name.to_string())
    };

    // act and assert
    assert_eq!(find("k2").as_deref(), Some("w1"));
    assert_eq!(find("k3").as_deref(), Some("w2"));
    assert_eq!(find("k4"), None);
    assert!(catalog.needs_keys());
}

#[test]
fn services_are_chosen_by_weight_and_consistently_for_a_request() {
    // arrange
    let mut split = route("a.example", "/x/");
    split.services = vec![("old".into(), 90), ("new".into(), 10), ("none".into(), 0)];

    // act
    let ids: Vec<String> = (0..2000).map(|index| format!("{index:x}")).collect();
    let chosen: Vec<_> = ids.iter().map(|id| split.choose_service(id)).collect();
    let chosen_again: Vec<_> = ids.iter().map(|id| split.choose_service(id)).collect();
    let count = |name: &str| {
        let named = chosen.iter().flatten().filter(|service| **service == name);
        named.count()
    };

    // assert
    assert_eq!(chosen, chosen_again);
    assert!((1700..1900).contains(&count("old")), "{}", count("old"));
    assert_eq!(count("none"), 0);
}

#[test]
fn streams_are_repeatable_only_if_resumable() {
    // arrange
    let kinds = [
        (RouteKind::Idempotent, true),
        (RouteKind::NonIdempotent, false),
        (RouteKind::Stream(StreamTerms::default()), false),
        (
            RouteKind::Stream(StreamTerms {
                resumable: true,
                ..Default::default()
            }),
            true,
        ),
    ];

    for (kind, repeatable) in kinds {
        // act
        let route = CatalogRoute {
            kind,
            ..route("a.example", "/x/")
        };

        // assert
        assert_eq!(route.is_repeatable(), repeatable, "{:?}", route.kind);
    }
}

package pearusher.policy;

/** The registries that most modules read: servers, proxies, tables, and the servers in scope. */
record FleetState(
    ServerRegistry servers, ProxyRegistry proxies, ZoneTables tables, ZoneScope scope) {}

package pearusher.policy;

/** Registries of servers, proxies and tables, and the servers in scope. Most modules read them. */
record FleetState(
    ServerRegistry servers, ProxyRegistry proxies, ZoneTables tables, ZoneScope scope) {}

package pearusher.scale;

/** How many there are, and what they write. */
record SimulatedAssignerWorkload(
    int count, double updatesPerPeriod, double entriesPerUpdate, long periodNs, long seed) {}

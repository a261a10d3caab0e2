package pearusher.scale;

/**
 * The number of simulated assigners and the updates that they send.
 *
 * @param updatesPerPeriod updates to each proxy per period
 * @param entriesPerUpdate weight entries in each update
 */
record SimulatedAssignerWorkload(
    int count, double updatesPerPeriod, double entriesPerUpdate, long periodNs, long seed) {}

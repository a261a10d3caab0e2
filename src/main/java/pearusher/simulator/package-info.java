/**
 * Adapter between the simulator's binary protocol and the policy. It reads batches of events from
 * an input stream, delivers them to the policy instances, and writes one reply per batch. It is
 * single-threaded and makes no decisions.
 */
package pearusher.simulator;

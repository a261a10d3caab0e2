/**
 * HTTP client calls: the watch and the fetch of the endpoint list at discovery, and health checks
 * of servers. Each call ends exactly once and reports its result to the controller. The policy
 * decides when to call again. Runs on the threads of one selector and of the executor.
 */
package pearusher.discovery;

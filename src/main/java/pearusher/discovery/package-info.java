/**
 * Client calls by HTTP: the watch and the poll of discovery's endpoint list, and health checks of
 * servers. Each call ends exactly once and reports that to the controller; when to call again is
 * the policy's decision. Its threads are those of one selector and of the executor.
 */
package pearusher.discovery;

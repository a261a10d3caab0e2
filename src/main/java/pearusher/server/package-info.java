/**
 * The life of the process: start, readiness, reload on SIGHUP, graceful shutdown, and the warm-up
 * of the code paths before the first ping is answered.
 */
package pearusher.server;

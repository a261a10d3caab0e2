/**
 * The lifecycle of an assigner process: start, warm-up of the code paths before the first ping is
 * answered, readiness, reload on SIGHUP, and graceful shutdown.
 */
package pearusher.server;

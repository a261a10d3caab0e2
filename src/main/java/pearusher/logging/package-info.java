/**
 * Helpers for log output that several packages share. It knows no other package of the project and
 * may be used from any thread.
 */
package pearusher.logging;

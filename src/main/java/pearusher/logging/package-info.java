/**
 * Log output helpers shared by several packages. The package depends on no other package of the
 * project and may be used from any thread.
 */
package pearusher.logging;

/**
 * Reads the settings of a site, from JSON or from {@code path=value} lines, into the records that
 * the policy is given at its start. It knows no other part of a configuration.
 */
package pearusher.sitesettings;

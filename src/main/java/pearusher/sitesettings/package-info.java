/**
 * Reading of a site's settings, from JSON or from {@code path=value} lines, into the records that
 * the policy is constructed with. The package does not depend on the rest of the configuration.
 */
package pearusher.sitesettings;

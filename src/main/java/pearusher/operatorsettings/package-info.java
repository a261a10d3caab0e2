/**
 * Operators' settings: the grammar of the file, the keys, their validation and the effective
 * values. Every error has a position. The package does not act on the values; the JSON
 * configuration that the platform provides is not part of it.
 */
package pearusher.operatorsettings;
